"""Tests of the log lines that lead from a failed request to its cause."""

import pytest
from system import Client, run_system
from test_whole_path import outcome


def only_session(proxy):
    (session,) = proxy.sessions
    return session


def test_a_transaction_that_a_stop_ends_is_logged_with_its_cause(tmp_path):
    """Guards against an aborted transaction whose cause no log line names."""

    async def scenario(system):
        proxy = system.proxies[0]
        client = await Client.open(system.client_addresses[0], "orders")
        await client.call("BEGIN")
        assert outcome(await client.call("STORE k1 v")) == "COMPLETE"
        only_session(proxy).end_transaction()
        ended = [f for event, f in system.events if event == "transaction_ended"]
        assert [(f["request"], f["reason"]) for f in ended] == [("q1", "stopping")]
        assert proxy._metrics.ended_transactions.values == {("stopping",): 1}
        assert outcome(await client.call("COMMIT")) == "ERROR ABORTED"

    run_system(tmp_path, scenario)


def test_a_session_that_fails_is_logged_with_request_and_place(tmp_path):
    """Guards against an unexpected exception that the log cannot tell from others."""

    async def scenario(system):
        proxy = system.proxies[0]
        client = await Client.open(system.client_addresses[0], "orders")
        await client.call("BEGIN")
        only_session(proxy)._transaction.run = None
        with pytest.raises(ConnectionError):
            await client.call("STORE k1 v")
        (failed,) = [f for event, f in system.events if event == "session_failed"]
        assert (failed["request"], failed["in_transaction"]) == ("q2", True)
        assert "clientsession.py:" in failed["where"]

    run_system(tmp_path, scenario)
