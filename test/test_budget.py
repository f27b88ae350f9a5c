"""The retry budget that all gateways share."""

from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.systems.budget import RetryBudget


class TestRetryBudget:
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 8),
                st.booleans(),
                st.floats(0.001, 0.5),
            ),
            max_size=300,
        )
    )
    def test_the_sum_over_all_gateways_stays_within_the_bound(self, events):
        """Guards against retries that exceed the shared budget.

        All requests of a lost failure domain are retried at once. Not only
        each gateway but also the sum must stay within the budget, in any
        window.
        """
        budgets = [RetryBudget(0.2, 58, 10.0) for _ in range(9)]
        now = 0.0
        requests: list[float] = []
        retries: list[float] = []
        for number, is_request, pause in events:
            now += pause
            if is_request:
                budgets[number].note_request(now)
                requests.append(now)
            elif budgets[number].take(9, now):
                retries.append(now)
        for end in retries:
            window = [t for t in retries if end - 10 < t <= end]
            sent = [t for t in requests if end - 10 < t <= end]
            before = [t for t in requests if end - 20 < t <= end - 10]
            most = max(len(sent), len(before))
            assert len(window) <= 0.2 * max(most, len(sent)) + 58

    def test_it_comes_back_with_time(self):
        budget = RetryBudget(0.0, 2, 10.0)
        assert budget.take(1, 0.0)
        assert not budget.take(1, 5.0)
        assert budget.take(1, 10.5)
