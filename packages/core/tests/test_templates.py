"""Tests of templates: problems, defaults, units and differences."""

import pytest

from bronzemoor_core.exceptions import InvalidSettings
from bronzemoor_core.templates import diff_templates, parse_template

BODY = {
    "databases": ["claims"],
    "classes": {
        "poll": {"kind": "read", "max_age": "250ms"},
        "claim": {"kind": "write"},
    },
}


def test_units_and_defaults():
    """Guards against durations read in the wrong unit and missing defaults."""
    template = parse_template("reclamar", BODY, 3)
    assert (template.version, template.connections) == (3, 20)
    assert template.classes["poll"].max_age == 0.25
    assert template.classes["claim"].max_age is None
    assert template.classes["claim"].deadline == 2.0
    assert template.acknowledgement == "majority"


def test_all_problems_are_reported_at_once():
    """Guards against reporting only the first problem."""
    body = {
        "databases": [],
        "conections": 5,
        "retry_ratio": 2,
        "acknowledgement": "all",
        "classes": {
            "claim": {"kind": "writ", "deadline": 250},
            "poll": {"kind": "write", "max_age": "1 hour"},
        },
    }
    with pytest.raises(InvalidSettings) as raised:
        parse_template("reclamar", body, 1)
    text = "\n".join(raised.value.problems)
    for part in (
        "'conections'; did you mean 'connections'?",
        "databases: found [], allowed: items >= 1",
        "retry_ratio: found 2, allowed: >= 0 and <= 1",
        "acknowledgement: found 'all', allowed: majority",
        "classes.claim.kind: found 'writ', allowed: read, write; did you mean 'write'?",
        "classes.claim.deadline: found 250, allowed: a duration",
        "classes.poll.max_age: found '1 hour', allowed: a duration",
        "classes.poll.max_age: found on a write",
    ):
        assert part in text


def test_differences_are_listed_by_path():
    """Guards against a diff that hides a removed or an added setting."""
    new = {**BODY, "connections": 40, "classes": {"claim": {"kind": "read"}}}
    assert diff_templates(BODY, new) == [
        "classes.claim.kind: write -> read",
        "classes.poll.kind: read -> (unset)",
        "classes.poll.max_age: 250ms -> (unset)",
        "connections: (unset) -> 40",
    ]
