"""Sends status requests and orders to members, each on a short-lived connection."""

import asyncio

from bronzemoor_core.wire.records import MemberRecord
from bronzemoor_core.wire.statements import Answer, MemberStatus
from bronzemoor_daemon.wire.clock import boottime
from bronzemoor_daemon.wire.exceptions import ConnectionLost
from bronzemoor_daemon.wire.memberconnection import MemberConnection, connect
from bronzemoor_daemon.wire.ports import StatementCodec

ORDER_TIMEOUT_SECONDS = 0.4
# Deadline of requests that change nothing.
NO_DEADLINE = float("inf")


async def send_order(
    codec: StatementCodec,
    caller: str,
    record: MemberRecord,
    text: bytes,
    deadline: float,
) -> MemberStatus | str:
    """Sends an order on a new connection; returns the status or the reason for none.

    The order is sent before ``deadline``, a time of ``boottime``, or not at all, and
    the kernel does not go on with one that is given up.
    """
    if boottime() >= deadline:
        return "the deadline has passed"
    timeout = ORDER_TIMEOUT_SECONDS
    try:
        async with asyncio.timeout(timeout):
            connection, answer = await connect(
                codec, record.group, caller, record.member, record.address, timeout,
                timeout,
            )  # fmt: skip
            if not answer.ok:
                return answer.error
            answer = await _exchange(connection, text, deadline)
        return codec.decode_status(answer) if answer.ok else answer.error
    except (TimeoutError, ConnectionLost) as error:
        return repr(error)
    except ValueError as error:
        return f"unreadable status: {error}"


async def _exchange(
    connection: MemberConnection, text: bytes, deadline: float
) -> Answer:
    """Sends an order and closes the connection after the answer, or resets it."""
    try:
        remaining = deadline - boottime()
        if remaining <= 0:
            raise TimeoutError("the deadline has passed")
        connection.limit_delivery(min(ORDER_TIMEOUT_SECONDS, remaining))
        answer = await connection.query(b"", text)
    except BaseException:
        connection.reset()
        raise
    connection.close()
    return answer


async def send_order_to_all(
    codec: StatementCodec,
    caller: str,
    records: list[MemberRecord],
    text: bytes,
    deadline: float,
) -> dict[str, MemberStatus]:
    """Sends an order to several members at once; returns the statuses received."""
    results = await asyncio.gather(
        *(send_order(codec, caller, record, text, deadline) for record in records)
    )
    return {
        record.member: result
        for record, result in zip(records, results, strict=True)
        if isinstance(result, MemberStatus)
    }
