"""Sums the loads of members over data centres at the control leader.

Load pattern: the owners of over a hundred proxies report twice a second, and bytes
between regions are paid for. A load is one integer, made of the member's index in the
topology and the load; members with a low load are left out and count as idle.

Loads are averages over seconds. A report is older than a statement takes, and what a
member has in progress at one moment would make all proxies move after each report.
"""

from bronzemoor_core.wire.loadbalance import MAX_COUNT

# Loads are sent in eighths of a statement, since a data centre alone often has less
# than one in progress at a member.
UNIT = 0.125
# A load below this makes no statement wait, and is not told.
MIN_TOLD_LOAD = 2.5
MIN_REPORTED_LOAD = 0.25
# Samples are taken every 0.1 s, so that the average covers about 2 s.
SAMPLE_WEIGHT = 0.05
# Loads of a proxy that has not reported for longer are not summed.
REPORT_HORIZON_SECONDS = 1.5
# Distance of the indices in an encoded load.
SCALE = 8_192


def encode_load(index: int, load: float) -> int:
    """Returns the load of the member with this index as one integer."""
    return index * SCALE + round(max(0.0, min(load, MAX_COUNT)) / UNIT)


def decode_loads(loads: list[int], number: int) -> dict[int, float]:
    """Returns loads by index; indices beyond the ``number`` of members are left out."""
    return {
        load // SCALE: load % SCALE * UNIT
        for load in loads
        if 0 <= load < number * SCALE
    }


class LoadAverage:
    """Moving average of the statements in progress at a member."""

    __slots__ = ("_value",)

    def __init__(self) -> None:
        self._value = 0.0

    @property
    def value(self) -> float:
        return self._value

    def sample(self, load: int) -> None:
        self._value += (load - self._value) * SAMPLE_WEIGHT


class LoadExchange:
    """The newest loads that owners reported, by data centre and group."""

    def __init__(self) -> None:
        # Time, data centre, version of the topology and loads of the last report, by
        # proxy and group.
        self._reports: dict[tuple[str, str], tuple[float, str, int, list[int]]] = {}

    def record(
        self,
        now: float,
        proxy: str,
        zone: str,
        group: str,
        version: int,
        loads: list[int],
    ) -> None:
        """Replaces what ``proxy`` reported for ``group``.

        Indices are those of the ``version`` of the topology that the proxy has.
        """
        if loads:
            self._reports[proxy, group] = now, zone, version, loads
        else:
            self._reports.pop((proxy, group), None)

    def others(
        self, now: float, zone: str, version: int, groups: dict[str, int]
    ) -> list[int]:
        """Returns the encoded sums of all data centres but ``zone``.

        ``groups`` has the number of members of each group in the order of the topology,
        in which the sums are numbered through.
        """
        sums: dict[int, float] = {}
        offsets, offset = {}, 0
        for group, number in groups.items():
            offsets[group] = offset
            offset += number
        for key, (at, other, known, loads) in list(self._reports.items()):
            group = key[1]
            if now - at > REPORT_HORIZON_SECONDS or known != version:
                del self._reports[key]
            elif other != zone and group in offsets:
                for index, load in decode_loads(loads, groups[group]).items():
                    index += offsets[group]
                    sums[index] = sums.get(index, 0.0) + load
        return [
            encode_load(index, load)
            for index, load in sorted(sums.items())
            if load >= MIN_TOLD_LOAD
        ]
