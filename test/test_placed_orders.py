"""Whether orders of runners are sent, and sent again."""

from lagoonpost.systems.placed_orders import (
    ORDER_RETRY_SECONDS,
    PlacedOrders,
)
from lagoonpost.systems.scaling import CapacityPool, RunnerOrder

SPOT = CapacityPool("domain-a", True)
FULL = CapacityPool("domain-a", False)
FOUR = RunnerOrder(SPOT, 4)


class TestPlacedOrders:
    def is_needed(self, placed, present, at, order=FOUR, orders=(FOUR,)):
        placed.note_present(present)
        return placed.is_needed(order, present, orders, at)

    def test_an_order_whose_runners_were_reclaimed_is_sent_again(self):
        """Guards against a lost runner counting as one that has to start.

        The number that is desired after a reclaim is the one ordered a
        second before it, so that nothing was ordered until the retry.
        """
        placed = PlacedOrders()
        placed.note_placed(FOUR, 0.0)
        assert not self.is_needed(placed, {SPOT: 4}, 0.5)
        assert self.is_needed(placed, {}, 1.0)

    def test_an_order_is_sent_again_for_a_part_of_its_runners(self):
        """Guards against a loss unseen as the rest have not started yet."""
        placed = PlacedOrders()
        placed.note_placed(FOUR, 0.0)
        assert not self.is_needed(placed, {SPOT: 3}, 0.5)
        assert self.is_needed(placed, {SPOT: 1}, 1.0)

    def test_an_order_is_not_repeated_while_its_runners_start(self):
        """Guards against a priced call each half second of a start-up."""
        placed = PlacedOrders()
        placed.note_placed(FOUR, 0.0)
        for half_seconds, count in enumerate((0, 0, 1, 1, 3, 3)):
            assert not self.is_needed(placed, {SPOT: count}, half_seconds / 2)

    def test_an_order_without_effect_is_repeated(self):
        placed = PlacedOrders()
        placed.note_placed(FOUR, 0.0)
        late = ORDER_RETRY_SECONDS + 0.1
        assert self.is_needed(placed, {SPOT: 2}, late)

    def test_one_order_answers_one_loss(self):
        placed = PlacedOrders()
        placed.note_placed(FOUR, 0.0)
        self.is_needed(placed, {SPOT: 4}, 0.5)
        assert self.is_needed(placed, {SPOT: 1}, 1.0)
        placed.note_placed(FOUR, 1.0)
        assert not self.is_needed(placed, {SPOT: 1}, 1.5)

    def test_runners_that_were_given_back_are_not_ordered_again(self):
        """Guards against taking an order's own effect for a loss."""
        placed = PlacedOrders()
        fewer = RunnerOrder(SPOT, 2)
        placed.note_placed(FOUR, 0.0)
        assert self.is_needed(placed, {SPOT: 4}, 0.5, fewer, (fewer,))
        placed.note_placed(fewer, 0.5)
        for count in (4, 3, 2, 2):
            assert not self.is_needed(
                placed, {SPOT: count}, 1.0, fewer, (fewer,)
            )

    def test_runners_are_given_back_once_others_are_present(self):
        placed = PlacedOrders()
        none = RunnerOrder(FULL, 0)
        orders = (FOUR, none)
        assert not self.is_needed(
            placed, {SPOT: 1, FULL: 2}, 0.0, none, orders
        )
        assert self.is_needed(placed, {SPOT: 4, FULL: 2}, 0.5, none, orders)
