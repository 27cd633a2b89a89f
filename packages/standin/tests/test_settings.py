"""Tests of the settings."""

import pytest

from bronzemoor_standin.command import main
from bronzemoor_standin.schemas import load_schema, split_statements
from bronzemoor_standin.settings import InvalidSettings, parse_settings


def test_every_problem_is_reported_at_once():
    """Guards against a member that starts with a misspelt setting."""
    with pytest.raises(InvalidSettings) as error:
        parse_settings({"databse": "a", "member": "m1", "port": "x", "lag_ms": 1})
    assert str(error.value) == (
        "unknown setting databse; database is missing; port must be int"
    )


def test_integers_are_accepted_for_times():
    """Guards against refusing an integer such as ``lag_ms: 5``."""
    assert parse_settings({"database": "a", "member": "m", "lag_ms": 5}).lag_ms == 5


def test_bad_settings_end_the_process_with_a_message(tmp_path, capsys):
    """Guards against a traceback instead of a message."""
    path = tmp_path / "member.yaml"
    path.write_text("database: [1]\nmember: m1\n")
    assert main(["endpoint", "--config", str(path)]) == 1
    assert "database must be str" in capsys.readouterr().err


@pytest.mark.parametrize(("name", "count"), [("claims", 5), ("stock", 7), ("", 0)])
def test_packaged_schemas_load(name, count):
    """Guards against a schema that is missing from the package or split wrongly."""
    assert len(load_schema(name)) == count


def test_statements_with_semicolons_inside_are_not_split():
    """Guards against running part of a trigger or of a literal as a statement."""
    text = "CREATE TABLE t (a TEXT DEFAULT ';');\nSELECT 1;\n"
    assert split_statements(text) == text.splitlines()
