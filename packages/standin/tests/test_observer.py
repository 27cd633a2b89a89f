"""Tests of the observer of members during a load run."""

from bronzemoor_standin.group import Group
from bronzemoor_standin.observer import Observer


def test_each_change_of_a_member_is_recorded_once(call, eventually):
    """Guards against missing events and a promotion that is recorded twice."""
    with Group(data_centres=["dc1"], database="claims") as group:
        member = group.members["m1"]
        events = []
        observer = Observer(
            {"claims": [member.address, "127.0.0.1:9"]}, [], events.append
        )
        observer.start()
        eventually(lambda: events)
        caller = call(member)
        order = {"start_offset": caller.greeting.offset}
        caller.order("promote", 2, primary="m1", members=group.addresses, **order)
        eventually(lambda: len(events) == 2)
        member.leave()
        eventually(lambda: len(events) == 3)
        observer.stop()
    seen = [(event.kind, event.name, event.term) for event in events]
    assert seen == [("promoted", "m1", 1), ("promoted", "m1", 2), ("leaving", "m1", 0)]
