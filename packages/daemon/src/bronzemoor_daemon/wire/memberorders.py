"""Sends status requests and orders to members, each on a short-lived connection."""

import asyncio

from bronzemoor_core.wire.records import MemberRecord
from bronzemoor_core.wire.statements import MemberStatus
from bronzemoor_daemon.wire.exceptions import ConnectionLost
from bronzemoor_daemon.wire.memberconnection import connect
from bronzemoor_daemon.wire.ports import StatementCodec

ORDER_TIMEOUT_SECONDS = 0.4


async def send_order(
    codec: StatementCodec,
    caller: str,
    record: MemberRecord,
    text: bytes,
    timeout: float = ORDER_TIMEOUT_SECONDS,
) -> MemberStatus | str:
    """Sends an order on a new connection; returns the status or the reason for none.

    ``timeout`` is in seconds and covers both the connection and the answer.
    """
    try:
        async with asyncio.timeout(timeout):
            connection, answer = await connect(
                codec, record.group, caller, record.member, record.address, timeout,
                timeout,
            )  # fmt: skip
            if answer.ok:
                answer = await connection.query(b"", text)
        connection.close()
        if not answer.ok:
            return answer.error
        return codec.decode_status(answer)
    except (TimeoutError, ConnectionLost) as error:
        return repr(error)
    except ValueError as error:
        return f"unreadable status: {error}"


async def send_order_to_all(
    codec: StatementCodec, caller: str, records: list[MemberRecord], text: bytes
) -> dict[str, MemberStatus]:
    """Sends an order to several members at once; returns the statuses received."""
    results = await asyncio.gather(
        *(send_order(codec, caller, record, text) for record in records)
    )
    return {
        record.member: result
        for record, result in zip(records, results, strict=True)
        if isinstance(result, MemberStatus)
    }
