"""Application of the control leader's grants to the state of a proxy."""

from collections.abc import Callable, Mapping

from bronzemoor_core.exceptions import BronzemoorError
from bronzemoor_core.messages import ProxyGrant
from bronzemoor_core.positions import Position
from bronzemoor_core.wire.deployment import Deployment
from bronzemoor_core.wire.documentdeltas import decode_delta
from bronzemoor_core.wire.leases import HeldLease
from bronzemoor_core.wire.quotasettings import TERM_SHIFT_BITS, TOKEN_EXTENSION_SECONDS
from bronzemoor_core.wire.records import unpack_document
from bronzemoor_daemon.wire.groups import Group
from bronzemoor_daemon.wire.memberloads import MemberLoads
from bronzemoor_daemon.wire.ports import DocumentReader
from bronzemoor_daemon.wire.quotagate import QuotaGate


class GrantApplier:
    """Applies the lease, samples, loads and tokens of grants that answer a report."""

    __slots__ = ("_groups", "_lease", "_loads", "_quotas", "_send_quota_report")

    def __init__(
        self,
        groups: Mapping[str, Group],
        lease: HeldLease,
        loads: MemberLoads,
        quotas: QuotaGate,
        send_quota_report: Callable[[], None],
    ) -> None:
        self._groups = groups
        self._lease = lease
        self._loads = loads
        self._quotas = quotas
        self._send_quota_report = send_quota_report

    def apply(
        self, now: float, sent_at: float, message: ProxyGrant, topology_version: int
    ) -> None:
        """Applies the answer to the report that was sent at ``sent_at``."""
        self._record_samples(sent_at, message)
        if message.topology_version == topology_version:
            self._loads.record(now, sent_at, message.loads, self._groups)
            if message.lease_ms > 0:
                self._renew_lease(now, sent_at, message.lease_ms / 1_000)
        self._apply_quotas(now, sent_at, message, topology_version)

    def _apply_quotas(
        self, now: float, sent_at: float, message: ProxyGrant, topology_version: int
    ) -> None:
        """Applies the tokens in a grant of the leader whose topology is in force."""
        term = message.topology_version >> TERM_SHIFT_BITS
        if term != topology_version >> TERM_SHIFT_BITS:
            return
        expires = float("-inf")
        if message.lease_ms > 0:
            expires = sent_at + message.lease_ms / 1_000 + TOKEN_EXTENSION_SECONDS
        if self._quotas.apply_grant(
            now, term, message.sequence, expires, message.quotas
        ):
            # A new leader divides the quotas once it knows what was spent.
            self._send_quota_report()

    def _record_samples(self, sent_at: float, message: ProxyGrant) -> None:
        """Records position samples of other proxies.

        Ages refer to the time at which the leader sent the message. That was after
        ``sent_at``, so a sample never appears newer than it is.
        """
        for sample in message.samples:
            group = self._groups.get(sample.group)
            if group is not None:
                position = Position(sample.term, sample.offset)
                group.record_sample(sent_at - sample.age_ms / 1_000, position)

    def _renew_lease(self, now: float, sent_at: float, length: float) -> None:
        had_lease = self._lease.valid(now)
        self._lease.renew(sent_at, length)
        if not had_lease:
            for group in self._groups.values():
                group.notify_waiters()


class DeploymentDecoder:
    """Decodes the deployments in grants, which are whole documents or deltas."""

    __slots__ = ("_document", "_read_document", "_report", "accepts_deltas")

    def __init__(
        self, read_document: DocumentReader, report: Callable[..., None]
    ) -> None:
        self._read_document = read_document
        self._report = report
        # The text that later versions are encoded for.
        self._document = ""
        # False after one could not be decoded, so that the whole document is sent.
        self.accepts_deltas = True

    def decode(
        self, message: ProxyGrant, current: Deployment | None
    ) -> Deployment | None:
        """Returns the deployment that replaces the current one, if there is one."""
        current_version = current.version if current else 0
        if message.deployment_version <= current_version or not message.deployment:
            return None
        if current is None and message.lease_ms <= 0:
            # A leader without a quorum may have been replaced and may still have keys
            # and routes that were removed since.
            return None
        if message.deployment_base not in (0, current_version):
            # It was encoded for the process before this one; the answer to the next
            # report is not.
            return None
        try:
            document = (
                decode_delta(message.deployment, self._document)
                if message.deployment_base
                else unpack_document(message.deployment)
            )
            deployment = self._read_document(document)
        except (BronzemoorError, ValueError) as error:
            self.accepts_deltas = False
            self._report("error", "deployment_unreadable", error=str(error))
            return None
        self._document, self.accepts_deltas = document, True
        return deployment
