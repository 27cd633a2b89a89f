"""Tests of the order of a proxy's reports."""

from bronzemoor_core.wire.reportorder import ReportAge, ReportOrder

NEWEST, LATE, NEW_PROCESS = ReportAge.NEWEST, ReportAge.LATE, ReportAge.NEW_PROCESS


def test_a_late_report_does_not_replace_a_later_one():
    """Guards against a position that goes back, so that a commit is not counted."""
    order = ReportOrder()
    assert order.classify("p", 100, 7) is NEWEST
    assert order.classify("p", 100, 9) is NEWEST
    assert order.classify("p", 100, 8) is LATE
    assert order.classify("q", 100, 8) is NEWEST


def test_a_restarted_proxy_is_told_from_its_earlier_process():
    """Guards against an earlier process whose commits are forgotten with it."""
    order = ReportOrder()
    assert order.classify("p", 100, 7) is NEWEST
    assert order.classify("p", 60, 1) is NEW_PROCESS
    assert order.classify("p", 100, 8) is LATE
    assert order.classify("p", 60, 2) is NEWEST


def test_proxies_of_an_earlier_build_are_always_heard():
    """Guards against a proxy that is ignored after its restart."""
    order = ReportOrder()
    assert [order.classify("p", 0, n) for n in (7, 1, 2)] == [NEWEST] * 3
