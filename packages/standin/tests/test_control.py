"""Tests of the control port."""

import requests

from bronzemoor_standin.group import Group


def test_switches_are_set_and_reported_over_http():
    """Guards against faults that cannot be set on a member in another process."""
    with Group(data_centres=["dc1"], control_port=0) as group:
        member = group.primary
        base = f"http://{member.control.address}"
        response = requests.post(f"{base}/faults", json={"lag_ms": 7}, timeout=5)
        assert response.json()["lag_ms"] == 7
        assert member.faults.lag_ms == 7
        bad = requests.post(f"{base}/faults", json={"lag": 7}, timeout=5)
        assert (bad.status_code, bad.json()["error"]) == (400, "unknown switch lag")
        assert requests.post(f"{base}/faults", data="[", timeout=5).status_code == 400
        assert requests.get(f"{base}/nope", timeout=5).status_code == 404
        requests.post(f"{base}/leave", timeout=5)
        assert requests.get(f"{base}/status", timeout=5).json()["leaving"] is True
