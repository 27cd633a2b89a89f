"""Tests of connections that are kept after a late answer and used by other sessions."""

import pytest
from system import Client, run_system
from test_relays import SCARCE, owner_of, wait_until_shared
from test_whole_path import outcome

# Later than any attempt waits, and earlier than a connection is given up.
LATE_SECONDS = 0.7


@pytest.mark.parametrize("in_transaction", [False, True])
@pytest.mark.parametrize("shared", [False, True])
def test_a_connection_that_answered_late_keeps_nothing_of_its_session(
    tmp_path, shared, in_transaction
):
    """Guards against values, names or a transaction of the session before."""

    async def scenario(system):
        await wait_until_shared(system)
        primary = system.group.primary
        owner = owner_of(system, primary.name)
        address = system.client_addresses[1 - owner if shared else owner]
        late, other = [await Client.open(address, "orders") for _ in range(2)]
        await late.call("SET tz lisbon")
        await late.call("PREPARE s1 FETCH late")
        assert outcome(await late.call("EXECUTE s1 k")) == "COMPLETE"
        used = primary.connections_of(f"proxy-{owner}")
        if in_transaction:
            await late.call("BEGIN")
            assert outcome(await late.call("STORE k late")) == "COMPLETE"
        primary.statement_delays["FETCH slow"] = LATE_SECONDS
        assert outcome(await late.call("FETCH slow")).startswith("ERROR")
        primary.statement_delays.clear()

        async def served() -> bool:
            return outcome(await other.call("STORE k other")) == "COMPLETE"

        await system.until_async(served, 3.0)
        assert primary.values_at_run["STORE k other"] == {}
        assert system.group.acknowledged == [("k", "other")]
        await other.call("PREPARE s1 FETCH other")
        assert (await other.call("EXECUTE s1 k"))[0] == "ROW other:k"
        # The connection was kept, so that it is the one that was tested.
        assert primary.connections_of(f"proxy-{owner}") == used

    run_system(tmp_path, scenario, **SCARCE)
