"""Leases that limit how long a proxy may rely on the topology it was given.

A proxy uses a primary only while it holds a lease. The control leader replaces a
primary only after every proxy that may hold a lease has confirmed a newer topology or
its lease has expired. Times are in seconds, on a clock that also advances while the VM
is suspended.
"""

# How long a proxy may use a primary without contact to the control leader, seconds.
LEASE_SECONDS = 2.0
# Added by the leader to allow for clock drift.
LEASE_MARGIN_SECONDS = 0.100
# A proxy whose lease expired this long ago is considered lost.
LOST_AFTER_SECONDS = 5.0


class LeaseTable:
    """Granted leases and the topology versions that their holders confirmed."""

    def __init__(self, elected_at: float) -> None:
        # Leases of an earlier leader are unknown and expire within one lease.
        self._predecessor_leases_end = elected_at + LEASE_SECONDS + LEASE_MARGIN_SECONDS
        self._expires: dict[str, float] = {}
        self._confirmed_versions: dict[str, int] = {}
        # 0 if no proxy is known to be lost.
        self._lost_until = 0.0

    def lost_until(self, now: float) -> float:
        """The latest time at which a process now lost may have confirmed a commit.

        Proxies that an earlier leader had granted leases and that have not reported yet
        may be lost; they count for as long as a proxy that has.
        """
        end = self._predecessor_leases_end
        return max(self._lost_until, end if now - end <= LOST_AFTER_SECONDS else 0.0)

    def forget_lost(self, now: float) -> None:
        """Removes proxies that are lost and will confirm no further topology."""
        for proxy, expires in list(self._expires.items()):
            if now - expires > LOST_AFTER_SECONDS:
                self._lost_until = max(self._lost_until, expires)
                del self._expires[proxy]
                self._confirmed_versions.pop(proxy, None)

    def process_ended(self, now: float, proxy: str) -> None:
        """Records that a proxy's process has ended, with what it had acknowledged."""
        ended_at = min(now, self._expires.get(proxy, now))
        self._lost_until = max(self._lost_until, ended_at)

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
