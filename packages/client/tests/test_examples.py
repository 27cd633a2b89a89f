"""Tests of the example templates and settings, which operators copy first."""

from pathlib import Path

import pytest
from yaml import safe_load

from bronzemoor_core.settings_schema import parse_settings
from bronzemoor_core.templates import parse_template

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
SETTINGS = sorted((EXAMPLES / "settings").glob("*.yaml"))


@pytest.mark.parametrize("name", ["reclamar-voo", "toile-sahel"])
def test_example_template_is_valid(name):
    """Guards against an example template that validation rejects."""
    body = safe_load((EXAMPLES / f"{name}.yaml").read_text())
    template = parse_template(name, body, 1)
    not_repeatable = [c.name for c in template.classes.values() if not c.repeatable]
    assert len(template.databases) == 3 and len(not_repeatable) == 1


def test_example_settings_are_consistent():
    """Guards against example settings of VMs that contradict each other."""
    nodes = [parse_settings(safe_load(path.read_text()))[0] for path in SETTINGS]
    assert len(nodes) == 7
    assert {node.name for node in nodes} == set(nodes[0].peers)
    assert len({node.data_centre for node in nodes}) == 3
    for node in nodes:
        assert node.peers == nodes[0].peers
        assert node.control == (node.name in node.control_members)
        assert node.token_keys == nodes[0].token_keys
