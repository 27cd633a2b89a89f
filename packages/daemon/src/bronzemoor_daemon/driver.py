"""Interface between the core and the transports: one lock around the node."""

from collections import deque
from collections.abc import Callable, Mapping
from itertools import count
from queue import Empty, SimpleQueue
from threading import Lock
from time import monotonic
from typing import Any

from bronzemoor_core.actions import (
    Action,
    AdminReply,
    Reply,
    SendCall,
    SendPeerMessage,
)
from bronzemoor_core.events import (
    AdminCommand,
    CallerGone,
    PeerMessageReceived,
    Request,
    RequestReceived,
)
from bronzemoor_core.node import Node
from bronzemoor_core.outcomes import Unknown
from bronzemoor_daemon.tracing import Trace, Tracing

# How often a waiting request looks whether its caller is still connected.
CALLER_CHECK_INTERVAL = 0.1
# The core answers by the deadline; this margin covers a call in progress at that time.
REPLY_MARGIN = 5.0
# Applies to a request that names no deadline and so has that of its class.
DEFAULT_LIMIT = 60.0
ADMIN_TIMEOUT = 10.0

Performer = Callable[[Any], None]


class Driver:
    """Feeds events to the node and hands its actions to their performers, in order.

    Performers run under the lock, so they only enqueue. Actions for a request that a
    thread serves go to that thread's mailbox instead.
    """

    def __init__(
        self,
        node: Node,
        performers: Mapping[type, Performer],
        call: Callable[[SendCall], object],
        on_error: Callable[[object, Exception], None],
        tracing: Tracing,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._node = node
        self._performers = dict(performers)
        self._perform_call = call
        self._send_elsewhere = self._performers[SendCall]
        self._performers[SendCall] = self._route_call
        self._send_to_peer = self._performers[SendPeerMessage]
        self._performers[SendPeerMessage] = self._route_message
        self._performers[Reply] = self._route_reply
        self._performers[AdminReply] = self._route_reply
        self._on_error = on_error
        self._tracing = tracing
        # Trace of the event in progress, for messages to peers that it causes.
        self._trace_context = ""
        self._clock = clock
        self._lock = Lock()
        self._tickets = count(1)
        self._mailboxes: dict[int, SimpleQueue[Action]] = {}
        # Messages of this daemon to itself, for example as its own control member.
        self._local: deque[PeerMessageReceived] = deque()

    @property
    def node(self) -> Node:
        return self._node

    @property
    def clock(self) -> Callable[[], float]:
        return self._clock

    @property
    def trace_context(self) -> str:
        """W3C context of the event in progress; read by performers."""
        return self._trace_context

    @property
    def waiting(self) -> int:
        """Number of requests that have no answer yet."""
        return len(self._mailboxes)

    def handle(self, event: object) -> None:
        """Processes one event; an error of the core is reported, not raised."""
        with self._lock:
            self._handle(event)

    def read(self, function: Callable[[Any], Any]) -> Any:
        """Calls ``function`` with the blackboard while no event is processed."""
        with self._lock:
            return function(self._node.blackboard)

    def serve(
        self,
        request: Request,
        gone: Callable[[], bool],
        trace: Trace | None = None,
    ) -> Reply:
        """Runs one request in the calling thread and returns its reply.

        ``gone`` tells whether the caller closed its connection.
        """
        mailbox: SimpleQueue[Action] = SimpleQueue()
        ticket = next(self._tickets)
        try:
            with self._lock:
                self._mailboxes[ticket] = mailbox
                self._handle_traced(RequestReceived(ticket, request), trace)
            while True:
                try:
                    action = mailbox.get_nowait()
                except Empty:
                    action = self._wait(ticket, request, mailbox, gone, trace)
                if type(action) is not SendCall:
                    return action  # type: ignore[return-value]
                event = self._call(action, trace)
                with self._lock:
                    self._handle_traced(event, trace)
        finally:
            self._abandon(ticket, mailbox)

    def handle_remote(self, event: PeerMessageReceived, trace_context: str) -> None:
        """Processes a message that may belong to a trace of another daemon."""
        if not trace_context:
            self.handle(event)
            return
        started = self._clock()
        with self._lock:
            self._trace_context = trace_context
            self._handle(event)
            self._trace_context = ""
        self._tracing.record_remote(
            trace_context,
            f"peer:{type(event.message).__name__}",
            started,
            self._clock(),
            event.sender,
        )

    def command(
        self, name: str, arguments: dict[str, Any], operator: str, at: float
    ) -> AdminReply:
        """Runs an operator's command; without an answer in time the code is unknown."""
        mailbox: SimpleQueue[Any] = SimpleQueue()
        ticket = next(self._tickets)
        try:
            with self._lock:
                self._mailboxes[ticket] = mailbox
                self._handle(AdminCommand(ticket, name, arguments, operator, at))
            reply: AdminReply = mailbox.get(timeout=ADMIN_TIMEOUT)
            return reply
        except Empty:
            message = f"no answer within {ADMIN_TIMEOUT} s; the change may be in force"
            return AdminReply(ticket, "unknown", {"message": message})
        finally:
            self._abandon(ticket, mailbox)

    def _call(self, action: SendCall, trace: Trace | None) -> object:
        if trace is None:
            return self._perform_call(action)
        started = self._clock()
        event = self._perform_call(action)
        call = action.call
        attributes = {"kind": call.kind, "answer": type(event).__name__}
        trace.observe(f"endpoint:{call.kind}", started, self._clock(), attributes)
        return event

    def _wait(
        self,
        ticket: int,
        request: Request,
        mailbox: "SimpleQueue[Action]",
        gone: Callable[[], bool],
        trace: Trace | None,
    ) -> Action:
        started = self._clock()
        give_up = (request.deadline or started + DEFAULT_LIMIT) + REPLY_MARGIN
        while True:
            try:
                action = mailbox.get(timeout=CALLER_CHECK_INTERVAL)
            except Empty:
                pass
            else:
                if trace is not None:
                    trace.observe("queue", started, self._clock(), {})
                return action
            if gone():
                # The core gives no reply to a caller that is gone.
                self.handle(CallerGone(ticket))
                return Reply(ticket, Unknown("caller_gone", "", "http"))
            if self._clock() > give_up:
                return Reply(
                    ticket, Unknown("internal", "the core gave no answer", "driver")
                )

    def _abandon(self, ticket: int, mailbox: "SimpleQueue[Any]") -> None:
        """Ends a mailbox; calls that are still in it are performed elsewhere."""
        if mailbox.empty() and ticket not in self._mailboxes:
            return
        with self._lock:
            self._mailboxes.pop(ticket, None)
            while not mailbox.empty():
                action = mailbox.get_nowait()
                if type(action) is SendCall:
                    self._send_elsewhere(action)

    def _handle_traced(self, event: object, trace: Trace | None) -> None:
        if trace is None:
            self._handle(event)
            return
        started = self._clock()
        self._trace_context = trace.trace_context
        self._handle(event)
        self._trace_context = ""
        attributes = {"event": type(event).__name__}
        trace.observe("decision", started, self._clock(), attributes)

    def _handle(self, event: object) -> None:
        try:
            actions = self._node.handle(self._clock(), event)
        except Exception as error:  # a fault of one event must not stop the daemon
            self._on_error(event, error)
            self._answer_failed(event, error)
            return
        for action in actions:
            performer = self._performers.get(type(action))
            if performer is not None:
                performer(action)
        if self._local:
            self._handle(self._local.popleft())

    def _answer_failed(self, event: object, error: Exception) -> None:
        if isinstance(event, RequestReceived):
            outcome = Unknown("internal", type(error).__name__, "core")
            self._route_reply(Reply(event.ticket, outcome))
        elif isinstance(event, AdminCommand):
            body = {"message": type(error).__name__}
            self._route_reply(AdminReply(event.ticket, "internal", body))

    def _route_call(self, action: SendCall) -> None:
        mailbox = self._mailboxes.get(action.call.ticket)
        if mailbox is None:
            self._send_elsewhere(action)
        else:
            mailbox.put(action)

    def _route_message(self, action: SendPeerMessage) -> None:
        if action.recipient == self._node.settings.name:
            self._local.append(PeerMessageReceived(action.recipient, action.message))
        else:
            self._send_to_peer(action)

    def _route_reply(self, action: Reply | AdminReply) -> None:
        mailbox = self._mailboxes.pop(action.ticket, None)
        if mailbox is not None:
            mailbox.put(action)
