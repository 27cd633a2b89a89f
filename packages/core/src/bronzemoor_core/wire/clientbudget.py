"""Limits of what the clients of a process make it hold.

The load are clients that send large messages all at once or never complete them, that
do not read answers, and that open more connections than the process has descriptors.
"""

from collections import Counter, OrderedDict

MEBIBYTE = 1_048_576
MAX_MESSAGE_BYTES = MEBIBYTE
# Limits of a process whose VM states none.
DEFAULT_MEMORY_LIMIT_BYTES = 256 * MEBIBYTE
DEFAULT_MAX_DESCRIPTORS = 4_096

# Resident memory of a proxy without clients (30 MB measured) and its member answers,
# peer messages and log lines under load.
BASE_MEMORY_BYTES = 48 * MEBIBYTE
# A statement that runs is held as line, as text and as encoded for its member; an
# answer as rows and as encoded for the client. A budget counts each byte once.
COPIES = 3
MIN_BUDGET_BYTES = 8 * MEBIBYTE
# Part of the budget that the received bytes of one client may take. It exceeds the
# largest message, so that a message that was begun can be completed.
CLIENT_SHARE = 0.25
# Part of the budget that received bytes leave to answers. Otherwise messages that are
# never completed would get the answers of other clients dropped.
ANSWER_SHARE = 0.125
# Part of the budget that values and prepared statements of all sessions may take. They
# stay as long as their sessions, and messages need the rest.
STATE_SHARE = 0.5
# Bytes of each kind that every client may hold beyond the budget. They are part of a
# session's own memory, so that small statements are served when the budget is used up.
ALLOWANCE_BYTES = 2_048
# A session's objects (4 KiB measured) and its allowances.
SESSION_BYTES = 12 * 1_024
# Bytes that a client may be granted before they are read.
GRANT_BYTES = 65_536

# Descriptors that client sessions leave to members, peers, probes and operators.
RESERVED_DESCRIPTOR_SHARE = 0.25
MIN_RESERVED_DESCRIPTORS = 64

# Kinds of bytes.
RECEIVED = "received"
UNSENT = "unsent"
STATE = "state"


class ClientLimits:
    """What the clients of one process may hold altogether."""

    __slots__ = ("budget_bytes", "max_sessions", "reserved_descriptors")

    def __init__(
        self, budget_bytes: int, max_sessions: int, reserved_descriptors: int
    ) -> None:
        self.budget_bytes = budget_bytes
        self.max_sessions = max_sessions
        self.reserved_descriptors = reserved_descriptors


def derive_limits(memory_limit: int, max_descriptors: int) -> ClientLimits:
    """Derives the limits from those of the VM; 0 stands for the default."""
    memory = memory_limit or DEFAULT_MEMORY_LIMIT_BYTES
    descriptors = max_descriptors or DEFAULT_MAX_DESCRIPTORS
    reserved = max(
        MIN_RESERVED_DESCRIPTORS, int(descriptors * RESERVED_DESCRIPTOR_SHARE)
    )
    sessions = max(1, descriptors - reserved)
    rest = memory - BASE_MEMORY_BYTES - sessions * SESSION_BYTES
    return ClientLimits(max(MIN_BUDGET_BYTES, rest // COPIES), sessions, reserved)


class ClientBudget:
    """The bytes that all clients hold, and who waits for a part of them."""

    __slots__ = ("_used", "_waiting", "by_kind", "client_limit", "limit", "max_used")

    def __init__(self, limit: int) -> None:
        self._used = 0
        # Clients whose reading is paused, in the order in which they get grants.
        self._waiting: OrderedDict[Holding, None] = OrderedDict()
        self.limit = limit
        # Received bytes that a single client may hold.
        self.client_limit = max(
            MAX_MESSAGE_BYTES + GRANT_BYTES, int(limit * CLIENT_SHARE)
        )
        # Bytes by kind, with the allowances.
        self.by_kind: Counter[str] = Counter()
        self.max_used = 0

    @property
    def used(self) -> int:
        return self._used

    @property
    def free(self) -> int:
        return self.limit - self._used

    @property
    def free_to_read(self) -> int:
        """Bytes that may be read; the rest is kept for answers."""
        return max(0, self.free - int(self.limit * ANSWER_SHARE))

    @property
    def waiting_count(self) -> int:
        return len(self._waiting)

    def wait(self, holding: "Holding") -> None:
        """Queues a client until ``next_granted`` returns it."""
        self._waiting.setdefault(holding)

    def next_granted(self) -> "Holding | None":
        """Returns the client that has waited longest, with a grant of bytes to read.

        Returns None if nobody waits or too little is free.
        """
        while self._waiting:
            holding = next(iter(self._waiting))
            if holding.readable == 0 and self.free_to_read < GRANT_BYTES:
                return None
            del self._waiting[holding]
            if holding.prepare_read():
                return holding
        return None

    def acquire(self, amount: int) -> bool:
        """Takes bytes if they are free."""
        if amount > self.free:
            return False
        self._used += amount
        self.max_used = max(self.max_used, self._used)
        return True

    def release(self, amount: int) -> None:
        self._used -= amount

    def stop_waiting(self, holding: "Holding") -> None:
        self._waiting.pop(holding, None)


class Holding:
    """The bytes that one client holds; ``owner`` is its connection."""

    __slots__ = ("_budget", "_granted", "_state", "owner", "received", "unsent")

    def __init__(self, budget: ClientBudget, owner: object = None) -> None:
        self._budget = budget
        self.received = self.unsent = self._state = 0
        # Bytes that are acquired and not read yet.
        self._granted = 0
        self.owner = owner

    @property
    def total(self) -> int:
        return self.received + self.unsent + self._state

    @property
    def readable(self) -> int:
        """Returns how many bytes may be read without acquiring more."""
        return max(0, ALLOWANCE_BYTES - self.received) + self._granted

    @property
    def read_limit(self) -> int:
        """Returns how many bytes the next read may take.

        A message that begins may take what is free, since ``receive`` follows at once.
        A longer one waits for its turn in ``prepare_read``.
        """
        if self.received >= ALLOWANCE_BYTES:
            return self._granted
        allowed = ALLOWANCE_BYTES - self.received
        return allowed + min(GRANT_BYTES, self._budget.free_to_read)

    @property
    def is_at_limit(self) -> bool:
        """Returns whether the client must wait for its own statements."""
        return _charge(self.received) + self._granted >= self._budget.client_limit

    def prepare_read(self) -> bool:
        """Acquires bytes for the next read; returns whether any may be read."""
        if self.received >= ALLOWANCE_BYTES:
            held = _charge(self.received) + self._granted
            wanted = min(
                GRANT_BYTES - self._granted,
                self._budget.client_limit - held,
                self._budget.free_to_read,
            )
            if wanted > 0 and self._budget.acquire(wanted):
                self._granted += wanted
        return self.readable > 0

    def receive(self, amount: int) -> None:
        """Records bytes that were read, at most ``read_limit``."""
        received = self.received + amount
        if received > ALLOWANCE_BYTES:
            change = _charge(received) - _charge(self.received)
            granted = min(change, self._granted)
            if not self._budget.acquire(change - granted):
                raise ValueError("more was read than the budget has")
            self._granted -= granted
        self.received = received
        self._budget.by_kind[RECEIVED] += amount

    def release_received(self, amount: int) -> None:
        """Releases bytes that were processed, and a grant that is not needed."""
        amount = min(amount, self.received)
        before = self.received
        self.received -= amount
        self._budget.by_kind[RECEIVED] -= amount
        freed = _charge(before) - _charge(self.received)
        if self.received < ALLOWANCE_BYTES:
            freed += self._granted
            self._granted = 0
        self._budget.release(freed)

    def set_unsent(self, amount: int) -> bool:
        """Changes the bytes that wait to be sent; returns whether they fit."""
        if not self._change(self.unsent, amount):
            return False
        self._budget.by_kind[UNSENT] += amount - self.unsent
        self.unsent = amount
        return True

    def add_state(self, amount: int) -> bool:
        """Changes the size of the session's state; returns whether it fits."""
        size = self._state + amount
        total = self._budget.by_kind[STATE] + amount
        if amount > 0 and (
            total > self._budget.limit * STATE_SHARE and size > ALLOWANCE_BYTES
        ):
            return False
        if not self._change(self._state, size):
            return False
        self._budget.by_kind[STATE] += amount
        self._state = size
        return True

    def release_all(self) -> None:
        """Releases everything once the connection is closed; repeats change nothing."""
        self._budget.stop_waiting(self)
        self.release_received(self.received)
        self.set_unsent(0)
        self.add_state(-self._state)

    def _change(self, before: int, after: int) -> bool:
        change = _charge(after) - _charge(before)
        if change > 0:
            return self._budget.acquire(change)
        self._budget.release(-change)
        return True


def _charge(amount: int) -> int:
    """Returns the part that the allowance does not cover."""
    return max(0, amount - ALLOWANCE_BYTES)
