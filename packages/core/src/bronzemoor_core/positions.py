"""Positions in the log of a database group and their order across terms."""

from msgspec import Struct, field


class Position(Struct, frozen=True, order=True):
    """A position in a database's log: ``term`` and ``offset`` in log entries."""

    term: int = 0
    offset: int = 0


ZERO = Position(0, 0)


def text_of(position: Position | None) -> str:
    """Returns a position for a log line, empty if it is unknown."""
    return "" if position is None else f"{position.term}.{position.offset}"


class TermHistory(Struct):
    """The start offset of each term of one database."""

    start_offsets: dict[int, int] = field(default_factory=dict)

    def add_term(self, term: int, start_offset: int) -> None:
        """Adds a term's start offset; a known term keeps its first one."""
        self.start_offsets.setdefault(term, start_offset)

    def end_of(self, term: int) -> int | None:
        """Returns the last surviving offset of ``term``, None for the latest term."""
        later = [start for other, start in self.start_offsets.items() if other > term]
        return min(later) if later else None

    def survives(self, position: Position) -> bool:
        """Returns whether the entry at ``position`` is part of the surviving log."""
        end = self.end_of(position.term)
        return end is None or position.offset <= end

    def covers(self, held: Position, wanted: Position) -> bool:
        """Returns whether a member at ``held`` contains everything up to ``wanted``.

        Comparing offsets is not enough: a promotion may have discarded the tail of an
        older term, and a member may still hold that tail.
        """
        if wanted.offset == 0:
            return True
        if held.term == wanted.term:
            return held.offset >= wanted.offset
        if held.term < wanted.term:
            return False
        return self.survives(wanted) and held.offset >= wanted.offset
