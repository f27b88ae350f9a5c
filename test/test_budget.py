"""The retry budget that all gateways share: one gateway's view of it."""

from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.systems.budget import (
    CREDIT_SECONDS,
    HOLD_SECONDS,
    TRAVEL_SECONDS,
    RetryBudget,
)
from lagoonpost.tables.retry import Reservation


def reserve(budget: RetryBudget, wanted: int, now: float) -> int:
    """Reserve retries as if the store had accepted them at once."""
    units = budget.plan_reservation(wanted, now)
    if units:
        later = [*budget.list_reservations(), Reservation(now, units)]
        budget.set_reservations(later)
        budget.hold(units, now)
    return units


class TestRetryBudget:
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 8),
                st.sampled_from(("request", "retry", "retry", "restart")),
                st.floats(0.001, 0.5),
            ),
            max_size=300,
        )
    )
    def test_the_sum_over_all_gateways_stays_within_the_bound(self, events):
        """Guards against retries that exceed the shared budget.

        All requests of a lost failure domain are retried at once while
        gateways restart. Not only each gateway but also the sum must stay
        within the budget, in any window.
        """
        budgets = [RetryBudget(0.2, 8, 10.0) for _ in range(9)]
        stored: list[Reservation] = []
        now = 0.0
        requests: list[float] = []
        retries: list[float] = []
        for number, event, pause in events:
            now += pause
            budget = budgets[number]
            if event == "request":
                budget.note_request(9, now)
                requests.append(now)
                continue
            if event == "restart":
                budgets[number] = RetryBudget(0.2, 8, 10.0)
                continue
            budget.set_reservations(stored)
            if not budget.take(9, now):
                reserve(budget, 1, now)
                stored = budget.list_reservations()
                if not budget.take(9, now):
                    continue
            retries.append(now)
        for end in retries:
            window = [t for t in retries if end - 10 < t <= end]
            sent = [t for t in requests if end - 10 < t <= end]
            before = [t for t in requests if end - 20 < t <= end - 10]
            most = max(len(sent), len(before))
            assert len(window) <= 0.2 * most + 8

    def test_it_comes_back_with_time(self):
        budget = RetryBudget(0.0, 2, 10.0)
        assert reserve(budget, 1, 0.0) == 1
        assert budget.take(1, 0.0)
        assert not reserve(budget, 1, 5.0)
        assert not budget.take(1, 5.0)
        later = budget.find_release(5.0) + 5.001
        assert reserve(budget, 1, later) == 1
        assert budget.take(1, later)


class TestCredits:
    def earn(self, budget: RetryBudget, requests: int, now: float) -> None:
        for _ in range(requests):
            budget.note_request(9, now)

    def test_requests_pay_for_retries(self):
        budget = RetryBudget(0.2, 0, 10.0)
        for step in range(100):
            self.earn(budget, 2, step / 10)
        taken = [budget.take(9, 9.95) for _ in range(5)]
        assert taken == ["credit"] * 3 + [""] * 2

    def test_a_start_has_none(self):
        """Guards against a budget that each restart renews."""
        assert not RetryBudget(0.2, 58, 10.0).take(1, 0.0)

    def test_many_gateways_save_little_of_them(self):
        """Guards against retries beyond the budget from credits kept for long.

        Before a failure all gateways have unused credits, and spend them at
        once.
        """
        saved = []
        for gateways in (9, 82):
            budget = RetryBudget(0.2, 58, 10.0)
            for step in range(100):
                budget.note_request(gateways, step / 10)
            later = 10.0 + CREDIT_SECONDS
            credit = budget.hand_over(gateways, later)
            while budget.take(gateways, later):
                credit += 1
            saved.append(gateways * credit)
        assert max(saved) <= 58 * 0.125 + 1e-6

    def test_handed_over_credit_is_spent_once(self):
        """Guards against credit that two gateways spend."""
        first, second = (RetryBudget(0.2, 58, 10.0) for _ in range(2))
        self.earn(first, 4, 0.0)
        self.earn(second, 4, 0.0)
        second.add_credit(first.hand_over(9, 0.1), 9, 0.1)
        assert first.hand_over(9, 0.2) == 0.0
        assert second.take(9, 0.2) == "credit"
        assert not second.take(9, 0.2)


class TestReservations:
    def test_one_is_held_for_a_moment_only(self):
        """Guards against retries that are granted when none are counted."""
        budget = RetryBudget(0.0, 58, 10.0)
        reserve(budget, 3, 0.0)
        assert budget.take(1, HOLD_SECONDS / 2) == "reserved"
        assert not budget.take(1, HOLD_SECONDS)

    def test_one_counts_until_its_retries_have_left_the_window(self):
        """Guards against windows that hold two floors.

        A retry arrives up to ``HOLD_SECONDS`` and ``TRAVEL_SECONDS`` after
        its reservation.
        """
        budget = RetryBudget(0.0, 8, 10.0)
        assert reserve(budget, 100, 0.0) == 7
        latest = 10.0 + HOLD_SECONDS + TRAVEL_SECONDS
        assert not budget.plan_reservation(1, latest - 0.01)
        assert budget.plan_reservation(100, latest) == 7
