"""Tests of the decoding of protocol lines, documents, settings and announcements."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from system import make_document

from bronzemoor_core.positions import ZERO, Position
from bronzemoor_core.wire import statements
from bronzemoor_core.wire.deployment import InvalidDeployment
from bronzemoor_core.wire.statements import Answer, EndRequest, QueryRequest
from bronzemoor_platform.calls import InvalidAnnouncement, decode_announcement
from bronzemoor_platform.documents import read_document
from bronzemoor_platform.lines import PlatformLines
from bronzemoor_platform.settings import decode_settings

LINES = PlatformLines()


@given(st.binary(max_size=200).filter(lambda line: b"\r\n" not in line))
def test_any_client_line_is_decoded_or_rejected(line):
    """Guards against a malformed line that crashes the process."""
    LINES.decode_request(line)
    LINES.decode_request(b"QUERY q " + line)


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        (b"BEGIN", statements.BEGIN),
        (b"BEGIN FETCH", statements.BEGIN),
        (b"FETCH 1a4", statements.READ),
        (b"STORE 1a4 some data", statements.WRITE),
        (b"EXECUTE s1 1a4 data", statements.EXECUTE),
        (b"DEALLOC s1", statements.DEALLOCATE),
    ],
)
def test_statements_keep_their_text(text, kind):
    """Guards against statements that are altered before they reach the member."""
    request = LINES.decode_request(b"QUERY 5c0e " + text)
    assert isinstance(request, QueryRequest)
    assert (request.query_id, request.statement.kind) == (b"5c0e", kind)
    assert request.statement.text == text
    line = LINES.encode_query(b"5c0e", text, Position(3, 9))
    assert line == b"QUERY 5c0e WAITLSN 3.9 " + text + b"\r\n"


@pytest.mark.parametrize(
    "text", [b"", b"WAITLSN 1.2 FETCH a", b"STATUS", b"PAUSE 3", b"BEGIN NOW", b"FETCH"]
)
def test_clients_cannot_send_orders(text):
    """Guards against clients that send control statements to members."""
    assert LINES.decode_request(b"QUERY q " + text).statement is None
    assert LINES.decode_request(b"QUERY - FETCH a") is None


def test_an_answer_passes_through_unchanged():
    """Guards against answers that lose the member's rows or signature."""
    answer = Answer()
    lines = (b"ROW a b", b"ROW c", b"COMPLETE 7.1f", b"READY T 3.12")
    done = [LINES.decode_reply(line, answer) for line in lines]
    assert done == [False, False, False, True]
    assert LINES.encode_answer(answer) == b"\r\n".join((*lines, b""))
    assert isinstance(LINES.decode_request(b"CLOSE"), EndRequest)
    assert LINES.encode_ready(statements.IDLE, ZERO) == b"READY I -\r\n"


def test_a_document_is_accepted_or_rejected_as_a_whole():
    """Guards against a partly applied or an invalid document."""
    deployment = read_document(make_document(7))
    assert deployment.version == 7 and deployment.transaction_idle == 3.0
    assert deployment.routes["stock"].max_staleness == 2.0
    body = json.loads(make_document(7))
    bad = [
        make_document(7)[:-10],
        json.dumps({**body, "version": "7"}),
        json.dumps({**body, "services": []}),
        json.dumps({**body, "routes": body["routes"] + body["routes"][:1]}),
        json.dumps({**body, "routes": [{**body["routes"][0], "timeout_ms": 0}]}),
        json.dumps([]),
        "null",
    ]
    for document in bad:
        with pytest.raises(InvalidDeployment):
            read_document(document)


def with_number(section: str, field: str, value: object) -> str:
    """Returns a document with one value replaced in its first route or service."""
    body = json.loads(make_document(7))
    (body[section][0] if section else body)[field] = value
    return json.dumps(body)


@pytest.mark.parametrize(
    ("section", "field"),
    [
        ("", "version"),
        ("routes", "timeout_ms"),
        ("routes", "priority"),
        ("services", "max_conns"),
        ("services", "sync_replicas"),
    ],
)
def test_a_whole_number_is_read_in_any_notation_and_others_are_refused(section, field):
    """Guards against acknowledged documents that no message to a proxy can carry.

    A ``max_conns`` of 30.0 ended all leases (review case 8), as 10000000000 did, and of
    a text the next control leader (issue 29).
    """
    assert read_document(with_number(section, field, 30.0)) == read_document(
        with_number(section, field, 30)
    )
    for value in ("38", 1.5, True, [], 10**400, float("nan"), float("inf"), 2**64):
        with pytest.raises(InvalidDeployment, match=field):
            read_document(with_number(section, field, value))


def test_invalid_announcements_are_ignored():
    """Guards against malformed announcements that are accepted as members."""
    body = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": "ready",
        "db_role": "replica",
        "sequence": 4,
    }
    assert decode_announcement("i-1", json.dumps(body).encode()).sequence == 4
    wrong = [b"", b"\xff", b"[]", b"1"]
    for name, value in (
        ("service", 3),
        ("address", "nowhere"),
        ("state", "asleep"),
        ("db_role", None),
        ("sequence", "4"),
        ("born", True),
    ):
        wrong.append(json.dumps({**body, name: value}).encode())
    for text in wrong:
        with pytest.raises(InvalidAnnouncement):
            decode_announcement("i-1", text)


def test_settings_name_daemons_by_their_internal_address():
    """Guards against daemons that connect to each other's operator port."""
    settings = decode_settings(
        {
            "node_name": "n",
            "ip": "10.1.0.8",
            "zone": "z",
            "serves": ["control_plane", "new"],
            "listen_addrs": {"control": "10.1.0.8:8782"},
            "internal_port_range": [7440, 7455],
            "seeds": ["10.1.0.11:8782"],
            "unknown": 1,
        }
    )
    assert settings.peer == "10.1.0.8:7440"
    assert settings.seeds == ("10.1.0.11:7440",)
    assert settings.roles == ("control",)
