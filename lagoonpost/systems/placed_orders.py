"""Decides whether an order of runners has to be sent, or sent again.

Load pattern: reclaims come in waves. The runners that an order has just
brought may all be reclaimed a second later, when the desired number is still
the one of that order. An order that counts as carried out because the same
number was desired before leaves the service short until it is repeated, while
most requests find the runners full.

An order is therefore compared with the runners that are present: it is sent
again as soon as runners leave that it had brought. It is not repeated while
they start.
"""

from collections.abc import Mapping, Sequence

from lagoonpost.systems.scaling import CapacityPool, RunnerOrder

ORDER_RETRY_SECONDS = 8.0
"""Time after which an order without effect is repeated: a runner's start-up
and two heartbeats."""


class _Placed:
    """The last order of one pool.

    Attributes:
        runners: Ordered number.
        at: Time of the order in seconds.
        most_present: Most runners seen since, up to the ordered number.
    """

    def __init__(self, runners: int, at: float) -> None:
        self.runners = runners
        self.at = at
        self.most_present = 0


class PlacedOrders:
    """The orders of one service that the platform has accepted."""

    def __init__(self) -> None:
        self._placed: dict[CapacityPool, _Placed] = {}

    def note_placed(self, order: RunnerOrder, now: float) -> None:
        """Record an order that was accepted."""
        self._placed[order.capacity_pool] = _Placed(order.runners, now)

    def note_present(self, running: Mapping[CapacityPool, int]) -> None:
        """Forget the orders whose runners have left since they came.

        Args:
            running: Number of runners that stay, by capacity pool.
        """
        for pool, placed in list(self._placed.items()):
            count = min(running.get(pool, 0), placed.runners)
            if count < placed.most_present:
                del self._placed[pool]
            placed.most_present = count

    def is_needed(
        self,
        order: RunnerOrder,
        running: Mapping[CapacityPool, int],
        orders: Sequence[RunnerOrder],
        now: float,
    ) -> bool:
        """Return whether an order has to be sent.

        Args:
            order: The order.
            running: Number of runners that stay, by capacity pool.
            orders: All orders of the service, this one included.
            now: Time in seconds.
        """
        count = running.get(order.capacity_pool, 0)
        placed = self._placed.get(order.capacity_pool)
        if placed is not None and placed.runners == order.runners:
            overdue = now - placed.at > ORDER_RETRY_SECONDS
            return overdue and count != order.runners
        if placed is None and count == order.runners:
            return False
        present = sum(running.values())
        planned = sum(order.runners for order in orders)
        # Runners are released only once their replacements are present.
        return order.runners > count or present >= planned
