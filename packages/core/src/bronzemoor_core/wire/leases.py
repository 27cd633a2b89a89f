"""Leases that limit how long a proxy may rely on the topology it was given.

A proxy uses a primary only while it holds a lease. The control leader replaces a
primary only after every proxy that may hold a lease has confirmed a newer topology or
its lease has expired. Times are in seconds, on a clock that also advances while the VM
is suspended.
"""

from collections.abc import Iterable

# How long a proxy may use a primary without contact to the control leader, seconds.
LEASE_SECONDS = 2.0
# Added by the leader to allow for clock drift.
LEASE_MARGIN_SECONDS = 0.100
# A proxy whose lease expired this long ago is considered lost.
LOST_AFTER_SECONDS = 5.0
# Stands for all processes of proxies if nobody has recorded them.
UNKNOWN_PROCESS = ""


def process_name(proxy: str, incarnation: int) -> str:
    """Returns the name of a process of a proxy."""
    return f"{proxy}#{incarnation}"


class LeaseTable:
    """Granted leases and the topology versions that their holders confirmed.

    ``recorded`` are the processes to which earlier leaders may have granted a lease.
    """

    def __init__(self, elected_at: float, recorded: Iterable[str] = ()) -> None:
        # Leases of an earlier leader expire within one lease of the election.
        self._predecessor_leases_end = elected_at + LEASE_SECONDS + LEASE_MARGIN_SECONDS
        # Recorded processes that have not reported to this leader under its lease.
        self._unheard = set(recorded)
        # The newest process of each proxy that has reported.
        self._processes: dict[str, str] = {}
        self._expires: dict[str, float] = {}
        self._confirmed_versions: dict[str, int] = {}
        # Until when processes that ended or are lost may have acknowledged commits.
        self._lost: dict[str, float] = {}

    @property
    def lost_until(self) -> float:
        """The latest time at which a process that says nothing may have had a commit.

        It is 0 if no process is lost. Recorded processes without a lease of this leader
        may be lost; they had one of an earlier leader at most.
        """
        unheard = self._predecessor_leases_end if self._unheard else 0.0
        return max(unheard, max(self._lost.values(), default=0.0))

    @property
    def unheard(self) -> int:
        """Number of recorded processes that have not reported to this leader."""
        return len(self._unheard)

    @property
    def lost(self) -> int:
        """Number of processes that ended, or are lost, with commits they know of."""
        return len(self._lost)

    def hear(self, now: float, proxy: str, process: str) -> None:
        """Records which process of a proxy reported at ``now``.

        Others of the proxy have ended, with what they had acknowledged.
        """
        known = self._processes.get(proxy, process)
        if known != process:
            self._end(min(now, self._expires.get(proxy, now)), known)
        for other in [item for item in self._unheard if _is_replaced(item, process)]:
            self._end(min(now, self._predecessor_leases_end), other)
        self._processes[proxy] = process

    def tell(self, now: float, proxy: str) -> None:
        """Records that a proxy has reported what its present process acknowledged.

        Under a lease of an earlier leader alone it may acknowledge more.
        """
        process = self._processes.get(proxy, proxy)
        self._lost.pop(process, None)
        if self.holds(now, proxy):
            self._unheard.discard(process)

    def _end(self, ended_at: float, process: str) -> None:
        self._unheard.discard(process)
        self._lost[process] = max(ended_at, self._lost.get(process, 0.0))

    def forget_lost(self, now: float) -> None:
        """Removes proxies that are lost and will confirm no further topology."""
        for proxy, expires in list(self._expires.items()):
            if now - expires > LOST_AFTER_SECONDS:
                self._end(expires, self._processes.get(proxy, proxy))
                del self._expires[proxy]
                self._confirmed_versions.pop(proxy, None)

    def covered(self, now: float, sampled_at: float) -> list[str]:
        """Returns lost processes whose commits a primary's position covers.

        It was asked for it at ``sampled_at``. Processes that had leases of an earlier
        leader only and said nothing since are among them.
        """
        covered = [item for item, until in self._lost.items() if until <= sampled_at]
        end = self._predecessor_leases_end
        if end <= sampled_at and now - end > LOST_AFTER_SECONDS:
            covered += self._unheard
        return sorted(covered)

    def forget(self, processes: Iterable[str]) -> None:
        """Forgets lost processes, since a recorded position covers their commits."""
        for process in processes:
            self._unheard.discard(process)
            self._lost.pop(process, None)

    @property
    def holders(self) -> list[str]:
        return list(self._expires)

    def grant(self, now: float, proxy: str, quorum_confirmed: float) -> float:
        """Grants a lease at ``now`` and returns its length in seconds.

        The lease counts from the last time a quorum confirmed this leader, so that it
        expires within one lease of any later leader's election.
        """
        length = max(0.0, quorum_confirmed + LEASE_SECONDS - now)
        if length:
            expires = now + length + LEASE_MARGIN_SECONDS
            self._expires[proxy] = max(self._expires.get(proxy, 0.0), expires)
        return length

    def confirm(self, proxy: str, topology_version: int) -> None:
        """Records the newest topology version that a proxy applies."""
        if topology_version > self._confirmed_versions.get(proxy, 0):
            self._confirmed_versions[proxy] = topology_version

    def holds(self, now: float, proxy: str) -> bool:
        """Returns whether the proxy may hold a lease."""
        return self._expires.get(proxy, 0.0) > now

    def active(self, now: float) -> int:
        """Returns the number of proxies that may hold a lease."""
        return sum(expires > now for expires in self._expires.values())

    def waiting_for(self, now: float, topology_version: int) -> list[str]:
        """Returns the proxies that may still use an older topology.

        An empty name represents holders of an earlier leader's leases.
        """
        waiting = [
            proxy
            for proxy, expires in self._expires.items()
            if expires > now
            and self._confirmed_versions.get(proxy, 0) < topology_version
        ]
        if not self.predecessor_leases_expired(now):
            waiting.append("")
        return waiting

    def predecessor_leases_expired(self, now: float) -> bool:
        """Returns whether every lease of an earlier leader has expired."""
        return now >= self._predecessor_leases_end

    def all_confirmed(self, topology_version: int) -> bool:
        """Returns whether every proxy on record confirmed the topology."""
        return all(
            self._confirmed_versions.get(proxy, 0) >= topology_version
            for proxy in self._expires
        )


def _is_replaced(other: str, process: str) -> bool:
    """Returns whether another process of the same proxy follows it."""
    return other != process and other.rpartition("#")[0] == process.rpartition("#")[0]


class HeldLease:
    """The lease that a proxy holds."""

    def __init__(self) -> None:
        self._expires = float("-inf")

    @property
    def expires(self) -> float:
        return self._expires

    def renew(self, asked_at: float, length: float) -> None:
        """Extends the lease with one that was requested at ``asked_at``."""
        self._expires = max(self._expires, asked_at + length)

    def valid(self, now: float) -> bool:
        return now < self._expires
