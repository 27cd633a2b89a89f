"""Bounds the time in which an order of a control leader can be on its way.

A quorum's confirmation proves that no later leader was elected before it. An order
leaves its sender only within ``ORDER_WINDOW_SECONDS`` of that, and a later leader
orders no promotion before the leases of its predecessor have ended. What lies between
is left to the network. Times are in seconds, on a clock that also advances while the VM
is suspended.
"""

from msgspec import Struct

from bronzemoor_core.wire.leases import LEASE_SECONDS

ORDER_WINDOW_SECONDS = 1.5
# How long bytes that left in time may take until they arrive; the margin of the leases,
# for the drift of clocks, remains.
TRANSIT_SECONDS = LEASE_SECONDS - ORDER_WINDOW_SECONDS
# No order is begun with less time than this left.
MIN_REMAINING_SECONDS = 0.2


class PromotionOrder(Struct, frozen=True):
    """A promotion that leaves its sender before ``deadline`` or not at all."""

    group: str
    member: str
    holder: str
    fence: int
    deadline: float

    @property
    def arrives_until(self) -> float:
        """When the order arrives at the latest, if it was sent."""
        return self.deadline + TRANSIT_SECONDS


def order_deadline(confirmed_at: float) -> float:
    """Returns when the last byte of an order must have left its sender.

    ``confirmed_at`` is a time before which no later leader was elected.
    """
    return confirmed_at + ORDER_WINDOW_SECONDS


def may_order(now: float, deadline: float) -> bool:
    """Returns whether enough time is left to begin an order."""
    return now + MIN_REMAINING_SECONDS < deadline
