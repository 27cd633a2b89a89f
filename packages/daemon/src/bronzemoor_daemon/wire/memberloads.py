"""What a proxy is told of members' loads, and what it shows operators of them."""

from collections.abc import Callable, Mapping
from math import isfinite

from bronzemoor_core.messages import GroupView
from bronzemoor_core.wire.loadbalance import believed_load
from bronzemoor_core.wire.loadexchange import decode_loads
from bronzemoor_daemon.wire.clock import logged_ms
from bronzemoor_daemon.wire.groups import Group
from bronzemoor_daemon.wire.memberpool import MemberPool
from bronzemoor_daemon.wire.metrics import WireMetrics

# Members that the metrics show; members come and go, but few at a time.
MAX_SHOWN = 256


class MemberLoads:
    """Loads of the members of groups whose connections are shared."""

    def __init__(self, report: Callable[..., None], metrics: WireMetrics) -> None:
        self._report = report
        self._metrics = metrics
        # Group and member by the index that grants use.
        self._members: list[tuple[str, str]] = []
        self._cut: set[tuple[str, str]] = set()

    def set_topology(self, views: list[GroupView]) -> None:
        """Numbers the members of a topology through."""
        self._members = [(v.group, item.member) for v in views for item in v.members]

    def record(
        self, now: float, told_at: float, loads: list[int], groups: Mapping[str, Group]
    ) -> None:
        """Records the leader's sums, which are no older than ``told_at``.

        A member that they leave out has little load from other zones.
        """
        told = decode_loads(loads, len(self._members))
        for index, (name, member) in enumerate(self._members):
            group = groups.get(name)
            if group is not None and group.shared and member in group.pools:
                figures = group.pools[member].figures
                figures.record_others(now, told_at, told.get(index, 0.0))

    def update(self, now: float, groups: Mapping[str, Group]) -> None:
        """Updates the metrics, and logs whose share was cut or restored."""
        loads: dict[tuple[str, ...], float] = {}
        ages: dict[tuple[str, ...], float] = {}
        spreads: dict[tuple[str, ...], float] = {}
        cut = set()
        for name, group in groups.items():
            if not group.shared or not group.pools:
                continue
            of_group = []
            for member, pool in group.pools.items():
                load = believed_load(now, pool)
                of_group.append(load)
                if len(loads) < MAX_SHOWN:
                    loads[name, member] = load
                    if isfinite(pool.figures.told_at):
                        ages[name, member] = now - pool.figures.told_at
                if pool.failures.is_cut:
                    cut.add((name, member))
                if pool.failures.is_cut != ((name, member) in self._cut):
                    self._log_share(now, pool, load)
            mean = sum(of_group) / len(of_group)
            spreads[name,] = max(of_group) / mean if mean else 1.0
        self._cut = cut
        self._metrics.loads.values = loads
        self._metrics.load_ages.values = ages
        self._metrics.load_spreads.values = spreads

    def _log_share(self, now: float, pool: MemberPool, load: float) -> None:
        cut = pool.failures.is_cut
        self._report(
            "warning" if cut else "info",
            "member_share_cut" if cut else "member_share_restored",
            group=pool.group,
            member=pool.member,
            failures=pool.failures.failures,
            failed_ms=logged_ms(now - pool.failed_at),
            busy_ms=logged_ms(now - pool.refused_at),
            probe_interval_ms=logged_ms(pool.failures.pause),
            load=round(load, 1),
            load_age_ms=logged_ms(now - pool.figures.told_at),
        )
