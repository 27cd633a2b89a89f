"""Steps of the guarantee scenarios, which run real daemons and endpoints.

Each scenario guards against a violation of the guarantee in its title.
"""

from concurrent.futures import ThreadPoolExecutor
from time import monotonic, sleep

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bronzemoor_daemon.demo import (
    FILE_CLAIM,
    ORGANISATION,
    PAY_OUT,
    READ_CLAIM,
    TEMPLATE,
)
from bronzemoor_daemon.embedded import EmbeddedSystem
from bronzemoor_standin.statements import Sql

scenarios("daemon/tests/features/guarantees.feature")


@pytest.fixture
def start():
    """Returns a function that starts a system, which is stopped after the scenario."""
    systems = []

    def make(**options):
        system = EmbeddedSystem(**options)
        systems.append(system)
        system.start()
        system.apply_template(ORGANISATION, TEMPLATE)
        return system

    yield make
    for system in systems:
        system.stop()


@pytest.fixture
def context():
    """Values that one step passes on to later ones."""
    return {}


def count_stored(system, table, column, member=None):
    """Counts the rows by a column in a table of a member, the primary by default."""
    ledger = system.members[member or system.primary].ledger
    sql = f"SELECT {column}, count(*) FROM {table} GROUP BY {column}"
    results, _ = ledger.read([Sql(sql, [])], (0, 0), 0.0)
    return dict(results[0]["rows"])


def file_claim(client, daemon, claim, **fields):
    key = f"request-{claim}"
    return client.run(
        daemon, "file-claim", FILE_CLAIM, [claim, f"of {claim}", key], key, **fields
    )


# --- given


@given(parsers.re("a running system(?P<kind>.*)"), target_fixture="system")
def running_system(start, tmp_path, kind):
    options = {
        " whose replicas lag by 300 ms": {"lag_ms": 300.0},
        " whose statements take 60 ms": {"statement_ms": 60.0},
        " whose statements take 200 ms": {"statement_ms": 200.0},
        " with a data folder": {"data_folder": lambda name: str(tmp_path / name)},
    }
    system = start(**options.get(kind, {}))
    if kind == " with claims of ten passengers":
        client = system.client(ORGANISATION)
        for number in range(10):
            assert file_claim(client, 0, f"c{number}")["outcome"] == "done"
    return system


# --- when


@when("a claim is filed through the first daemon", target_fixture="client")
def one_claim(system):
    client = system.client(ORGANISATION)
    assert file_claim(client, 0, "c1")["outcome"] == "done"
    return client


@when("the primary is cut off from its fellow members")
def cut_off_primary(system, context):
    context["old"] = system.primary
    system.members[system.primary].faults.cut_peers = True


@when("a claim is filed with resends until it is done")
def claim_with_resends(system):
    client = system.client(ORGANISATION)
    key = "request-c1"
    answer = client.write(0, "file-claim", FILE_CLAIM, ["c1", "of c1", key], key)
    assert answer["outcome"] == "done", answer


@when("two transactions file a claim each", target_fixture="transactions")
def two_transactions(system):
    begun = []
    for _ in range(2):
        client = system.client(ORGANISATION)
        answer = client.run(0, "file-claim", "", path="/v1/transactions")
        assert answer["outcome"] == "done", answer
        begun.append((client, answer["transaction"]))
    # The second transaction writes first; a write in the first must wait or fail.
    client, transaction = begun[1]
    answer = file_claim(client, 0, "c2", transaction=transaction)
    assert answer["outcome"] == "done", answer
    return begun


@when("the first one is rolled back and the second one is committed")
def end_transactions(transactions):
    (first, rolled_back), (second, committed) = transactions
    file_claim(first, 0, "c1", transaction=rolled_back, deadline_ms=300)
    path = f"/v1/transactions/{rolled_back}/rollback"
    first.run(0, "file-claim", "", path=path)
    path = f"/v1/transactions/{committed}/commit"
    answer = second.run(0, "file-claim", "", request_id="commit-2", path=path)
    assert answer["outcome"] == "done", answer


@when("answers come late, twice and out of order", target_fixture="answers")
def reads_with_disturbed_answers(system):
    for member in system.members.values():
        member.faults.set(
            {"duplicate_rate": 0.1, "late_rate": 0.1, "reorder_rate": 0.1}
        )

    def read(number):
        client = system.client(ORGANISATION)
        claim = f"c{number % 10}"
        return claim, client.run(
            number % 2, "agent-read", READ_CLAIM, [claim], deadline_ms=1500
        )

    with ThreadPoolExecutor(8) as pool:
        return list(pool.map(read, range(200)))


@when(
    "thirty claims are filed at once with a deadline of 250 ms",
    target_fixture="answers",
)
def overload(system):
    def write(number):
        client = system.client(ORGANISATION)
        return f"c{number}", file_claim(
            client, number % 2, f"c{number}", deadline_ms=250
        )

    with ThreadPoolExecutor(30) as pool:
        return list(pool.map(write, range(30)))


@when("the answers to a payout are lost")
def lost_payout(system):
    faults = system.members[system.primary].faults
    faults.set({"drop_rate": 1.0, "only_calls": ["execute"]})
    client = system.client(ORGANISATION)
    client.run(0, "payout", PAY_OUT, ["c1", "p1"], "p1", deadline_ms=800)


@when("the payout is sent again to both daemons at once")
def resent_payout(system):
    def resend(daemon):
        client = system.client(ORGANISATION)
        return client.run(
            daemon, "payout", PAY_OUT, ["c1", "p1"], "p1", deadline_ms=800
        )

    with ThreadPoolExecutor(2) as pool:
        assert "not_run" not in [a["outcome"] for a in pool.map(resend, (0, 1))]
    system.members[system.primary].faults.clear()


@when("a replica announces that it is leaving")
def leaving_replica(system, context):
    context["leaving"] = next(name for name in system.members if name != system.primary)
    system.members[context["leaving"]].leave()


@when(
    "a daemon is asked to stop while it serves ten requests", target_fixture="answers"
)
def stop_under_load(system, context):
    daemon = system.daemons["vm-2"]

    def write(number):
        client = system.client(ORGANISATION)
        return file_claim(client, 1, f"c{number}", deadline_ms=8000)

    with ThreadPoolExecutor(11) as pool:
        writes = [pool.submit(write, number) for number in range(10)]
        sleep(0.15)
        context["status"] = pool.submit(daemon.stop).result(timeout=20)
        return [write.result(timeout=20) for write in writes]


@when(
    "two operators submit competing changes to twenty successive versions",
    target_fixture="codes_by_version",
)
def competing_operators(system):
    def change(operator, version):
        return system.admin(
            operator,
            "template.apply",
            organisation=ORGANISATION,
            body={**TEMPLATE, "connections": 10 + version + 50 * operator},
            expect_version=version,
            change_id=f"change-{operator}-{version}",
        )["code"]

    with ThreadPoolExecutor(2) as pool:
        return [
            sorted(pool.map(change, (0, 1), (version, version)))
            for version in range(1, 21)
        ]


@when("every daemon is killed and started again")
def restart_daemons(system):
    for daemon in system.daemons.values():
        daemon.kill()
    for name in list(system.daemons):
        system.restart_daemon(name)


@when("every open connection of every member becomes unresponsive")
def unresponsive_connections(system, context):
    client = system.client(ORGANISATION)
    assert file_claim(client, 0, "before")["outcome"] == "done"
    context["old"] = system.primary
    for member in system.members.values():
        member.faults.silence()


# --- then


@then("the same session reads it at once through the second daemon")
def read_own_write(client):
    answer = client.run(1, "agent-read", READ_CLAIM, ["c1"])
    assert answer["outcome"] == "done", answer
    assert answer["result"][0]["rows"] == [["c1", "of c1", "request-c1"]]


@then("another member is the primary")
def another_primary(system, context):
    system.wait_for(lambda: system.primary not in ("", context["old"]))


@then(parsers.parse("only claim {claim} is stored, once, at the primary"))
def stored_once(system, claim):
    assert count_stored(system, "claims", "claim_id") == {claim: 1}


@then("the old primary confirms no write")
def old_primary_confirms_nothing(system, context):
    state = system.members[context["old"]].ledger.state
    assert (
        state.role != "primary"
        or state.majority_offset < state.log.last.offset
        or (state.term < system.members[system.primary].ledger.state.term)
    )


@then("every caller reads its own claim or gets an error")
def own_answers(answers):
    done = 0
    for claim, answer in answers:
        if answer["outcome"] == "done":
            done += 1
            expected = [[claim, f"of {claim}", f"request-{claim}"]]
            assert answer["result"][0]["rows"] == expected
    assert done > len(answers) / 2


@then("some are refused as not run")
def some_refused(answers):
    assert "not_run" in [answer["outcome"] for _, answer in answers]


@then("no refused claim is stored")
def refused_claims(system, answers):
    sleep(0.5)
    claims = count_stored(system, "claims", "claim_id")
    for claim, answer in answers:
        if answer["outcome"] == "not_run":
            assert claim not in claims, answer
        if answer["outcome"] == "done":
            assert claims[claim] == 1


@then("the payout is stored at most once")
def payout_once(system):
    assert count_stored(system, "payouts", "request_id").get("p1", 0) <= 1


@then("it serves no read that was sent 2 s later")
def no_new_work(system, context):
    client = system.client(ORGANISATION)
    sleep(2.0)
    for number in range(50):
        answer = client.run(number % 2, "agent-read", READ_CLAIM, ["c1"])
        assert answer["outcome"] == "done", answer
        assert answer["served_by"] != context["leaving"]


@then("all ten requests are answered as done")
def all_done(answers):
    assert [answer["outcome"] for answer in answers] == ["done"] * 10, answers


@then("the daemon ends with exit status 0")
def clean_exit(context):
    assert context["status"] == 0


@then("one change to each version is accepted")
def one_change_accepted(codes_by_version):
    assert codes_by_version == [["ok", "version_conflict"]] * 20


@then("every daemon has the last version in effect")
def last_version(system):
    def versions():
        blackboards = [d.driver.node.blackboard for d in system.daemons.values()]
        templates = [
            blackboard.configuration.templates.get(ORGANISATION)
            for blackboard in blackboards
        ]
        return [template.version if template else 0 for template in templates]

    system.wait_for(lambda: versions() == [21, 21], timeout=3.0)


@then("claims are filed again within 3 s")
def filed_again(system):
    client = system.client(ORGANISATION)
    started = monotonic()
    key = "request-after"
    answer = client.write(0, "file-claim", FILE_CLAIM, ["after", "x", key], key)
    assert answer["outcome"] == "done", answer
    assert monotonic() - started < 3.0


@then("the primary is still the same")
def same_primary(system, context):
    assert system.primary == context["old"]
