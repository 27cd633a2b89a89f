"""Connects the core to the transports; one lock serialises access to the node."""

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

# How often a waiting request checks whether its caller is still connected.
CALLER_CHECK_INTERVAL_SECONDS = 0.1
# The core replies by the deadline; the margin covers a call still in progress then.
REPLY_MARGIN_SECONDS = 5.0
# For a request without a deadline of its own; the core applies that of its class.
DEFAULT_WAIT_SECONDS = 60.0
ADMIN_TIMEOUT_SECONDS = 10.0

Performer = Callable[[Any], None]


class Driver:
    """Passes events to the node and its actions, in order, to their performers.

    Performers run under the lock, so they only enqueue. The actions of a request go to
    the mailbox of the thread that serves it.
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
        self._submit_call = self._performers[SendCall]
        self._performers[SendCall] = self._route_call
        self._send_to_peer = self._performers[SendPeerMessage]
        self._performers[SendPeerMessage] = self._route_message
        self._performers[Reply] = self._route_reply
        self._performers[AdminReply] = self._route_reply
        self._on_error = on_error
        self._tracing = tracing
        # Sent with the peer messages that the event in progress causes.
        self._trace_context = ""
        self._clock = clock
        self._lock = Lock()
        self._tickets = count(1)
        self._mailboxes: dict[int, SimpleQueue[Action]] = {}
        # Messages from this daemon to itself, for example as a control member.
        self._local_messages: deque[PeerMessageReceived] = deque()

    @property
    def node(self) -> Node:
        return self._node

    @property
    def clock(self) -> Callable[[], float]:
        return self._clock

    @property
    def trace_context(self) -> str:
        """W3C trace context of the event in progress, or empty; read by performers."""
        return self._trace_context

    @property
    def requests_in_progress(self) -> int:
        """Number of requests and commands without a reply."""
        return len(self._mailboxes)

    def handle(self, event: object) -> None:
        """Processes one event; an exception in the core is reported, not raised."""
        with self._lock:
            self._process_event(event)

    def serve(
        self,
        request: Request,
        is_disconnected: Callable[[], bool],
        trace: Trace | None = None,
    ) -> Reply:
        """Runs one request in the calling thread and returns its reply.

        ``is_disconnected`` returns whether the caller closed its connection.
        """
        mailbox: SimpleQueue[Action] = SimpleQueue()
        ticket = next(self._tickets)
        try:
            with self._lock:
                self._mailboxes[ticket] = mailbox
                self._process_traced_event(RequestReceived(ticket, request), trace)
            while True:
                try:
                    action = mailbox.get_nowait()
                except Empty:
                    action = self._wait_for_action(
                        ticket, request, mailbox, is_disconnected, trace
                    )
                if type(action) is not SendCall:
                    return action  # type: ignore[return-value]
                event = self._call_endpoint(action, trace)
                with self._lock:
                    self._process_traced_event(event, trace)
        finally:
            self._close_mailbox(ticket, mailbox)

    def handle_peer_message(
        self, event: PeerMessageReceived, trace_context: str
    ) -> None:
        """Processes a peer message, which may belong to a trace of the sender."""
        if not trace_context:
            self.handle(event)
            return
        started = self._clock()
        with self._lock:
            self._trace_context = trace_context
            self._process_event(event)
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
        """Runs an operator's command; the code is ``unknown`` after a timeout."""
        mailbox: SimpleQueue[Any] = SimpleQueue()
        ticket = next(self._tickets)
        try:
            with self._lock:
                self._mailboxes[ticket] = mailbox
                self._process_event(AdminCommand(ticket, name, arguments, operator, at))
            reply: AdminReply = mailbox.get(timeout=ADMIN_TIMEOUT_SECONDS)
            return reply
        except Empty:
            message = (
                f"no reply in {ADMIN_TIMEOUT_SECONDS} s; the change may be in effect"
            )
            return AdminReply(ticket, "unknown", {"message": message})
        finally:
            self._close_mailbox(ticket, mailbox)

    def _call_endpoint(self, action: SendCall, trace: Trace | None) -> object:
        if trace is None:
            return self._perform_call(action)
        started = self._clock()
        event = self._perform_call(action)
        call = action.call
        attributes = {"kind": call.kind, "answer": type(event).__name__}
        trace.record_span(f"endpoint:{call.kind}", started, self._clock(), attributes)
        return event

    def _wait_for_action(
        self,
        ticket: int,
        request: Request,
        mailbox: "SimpleQueue[Action]",
        is_disconnected: Callable[[], bool],
        trace: Trace | None,
    ) -> Action:
        started = self._clock()
        give_up_at = (
            request.deadline or started + DEFAULT_WAIT_SECONDS
        ) + REPLY_MARGIN_SECONDS
        while True:
            try:
                action = mailbox.get(timeout=CALLER_CHECK_INTERVAL_SECONDS)
            except Empty:
                pass
            else:
                if trace is not None:
                    trace.record_span("queue", started, self._clock(), {})
                return action
            if is_disconnected():
                # The core sends no reply to a disconnected caller.
                self.handle(CallerGone(ticket))
                return Reply(ticket, Unknown("caller_gone", "", "http"))
            if self._clock() > give_up_at:
                return Reply(
                    ticket, Unknown("internal", "the core sent no reply", "driver")
                )

    def _close_mailbox(self, ticket: int, mailbox: "SimpleQueue[Any]") -> None:
        """Removes a mailbox; the thread pool performs the calls left in it."""
        if mailbox.empty() and ticket not in self._mailboxes:
            return
        with self._lock:
            self._mailboxes.pop(ticket, None)
            while not mailbox.empty():
                action = mailbox.get_nowait()
                if type(action) is SendCall:
                    self._submit_call(action)

    def _process_traced_event(self, event: object, trace: Trace | None) -> None:
        if trace is None:
            self._process_event(event)
            return
        started = self._clock()
        self._trace_context = trace.trace_context
        self._process_event(event)
        self._trace_context = ""
        attributes = {"event": type(event).__name__}
        trace.record_span("decision", started, self._clock(), attributes)

    def _process_event(self, event: object) -> None:
        try:
            actions = self._node.handle(self._clock(), event)
        except Exception as error:  # a failed event must not stop the daemon
            self._on_error(event, error)
            self._reply_internal_error(event, error)
            return
        for action in actions:
            performer = self._performers.get(type(action))
            if performer is not None:
                performer(action)
        if self._local_messages:
            self._process_event(self._local_messages.popleft())

    def _reply_internal_error(self, event: object, error: Exception) -> None:
        if isinstance(event, RequestReceived):
            outcome = Unknown("internal", type(error).__name__, "core")
            self._route_reply(Reply(event.ticket, outcome))
        elif isinstance(event, AdminCommand):
            body = {"message": type(error).__name__}
            self._route_reply(AdminReply(event.ticket, "internal", body))

    def _route_call(self, action: SendCall) -> None:
        mailbox = self._mailboxes.get(action.call.ticket)
        if mailbox is None:
            self._submit_call(action)
        else:
            mailbox.put(action)

    def _route_message(self, action: SendPeerMessage) -> None:
        if action.recipient == self._node.settings.name:
            self._local_messages.append(
                PeerMessageReceived(action.recipient, action.message)
            )
        else:
            self._send_to_peer(action)

    def _route_reply(self, action: Reply | AdminReply) -> None:
        mailbox = self._mailboxes.pop(action.ticket, None)
        if mailbox is not None:
            mailbox.put(action)
