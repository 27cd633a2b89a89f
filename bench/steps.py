"""Time of each step of a read in a daemon."""

import json
from collections import defaultdict
from collections.abc import Callable, Iterator
from http.client import HTTPConnection
from statistics import median
from time import perf_counter, sleep

from bench.processes import SELECT, daemon_and_group, post, request_body
from bench.registry import Result, benchmark
from bronzemoor_core.actions import Call, Reply
from bronzemoor_core.events import Statement
from bronzemoor_core.outcomes import Done
from bronzemoor_daemon.answers import encode_reply
from bronzemoor_daemon.codec import from_bytes, to_bytes
from bronzemoor_daemon.endpoints import CALL_ENCODERS, decode_answer
from bronzemoor_daemon.gen.endpoint import ttypes
from bronzemoor_daemon.parsing import parse_request

REPEATS = 2_000
REQUESTS = 300
# Pause between two requests to an otherwise idle daemon.
PAUSE_SECONDS = 0.003
PAYLOAD = b'[{"columns":["claim_id","status"],"rows":[["c1","filed"]],"row_count":1}]'


def median_microseconds(function: Callable[[], object]) -> float:
    """Returns the median time of one call."""
    times = []
    for _ in range(REPEATS):
        before = perf_counter()
        function()
        times.append(perf_counter() - before)
    return median(times) * 1e6


@benchmark
def steps() -> Iterator[Result]:
    """The daemon's functions in a loop, and the trace spans of an idle daemon."""
    body = json.dumps(request_body("read", SELECT, ["c1"])).encode()
    reply = Reply(1, Done(PAYLOAD, peer="m1", role="replica"), "t" * 150, "m1")
    call = Call("execute", 1, 1, 1.0, "r", "d" * 64, (Statement(SELECT, b'["c1"]'),))
    answer = ttypes.Reply(1, "r", 0, "", "", 1, 2, 2, -1, PAYLOAD, len(PAYLOAD), 1)
    data = to_bytes(answer)
    functions: dict[str, Callable[[], object]] = {
        "parse_json": lambda: parse_request(body, "statements", 0.0, "dc1"),
        "encode_call": lambda: to_bytes(CALL_ENCODERS["execute"](call)),
        "decode_answer": lambda: decode_answer(from_bytes(ttypes.Reply, data)),
        "encode_json": lambda: encode_reply(reply, "0" * 32),
    }
    for name, function in functions.items():
        yield Result(f"steps.{name}", median_microseconds(function), "us")
    spans = defaultdict(list)
    with daemon_and_group(trace_ratio=1.0) as (daemon, _):
        connection = HTTPConnection(*daemon.host_port, timeout=5)
        request_times = []
        for _ in range(REQUESTS):
            sleep(PAUSE_SECONDS)
            before = perf_counter()
            connection.request("POST", "/v1/statements", body)
            response = json.loads(connection.getresponse().read())
            request_times.append(perf_counter() - before)
            trace = {"trace_id": response["trace_id"]}
            for span in post(daemon, "/v1/admin/explain", trace)[1]["spans"]:
                event = span["attributes"].get("event", "")
                spans[f"{span['name']}.{event}".strip(".")].append(span["duration_ms"])
        connection.close()
    for name, values in spans.items():
        yield Result(f"steps.span.{name}", median(values) * 1000, "us")
    yield Result("steps.seen_by_client", median(request_times) * 1e6, "us")
