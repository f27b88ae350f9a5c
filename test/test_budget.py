"""The retry budget that all gateways share."""

from random import Random

import pytest
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


class TestRestarts:
    @pytest.mark.parametrize("gateways", [3, 9])
    def test_what_was_spent_before_a_kill_still_counts(self, gateways):
        """Guards against a budget that each restart of a gateway renews."""
        rng = Random(1)
        kills = [5.0, 8.0, 11.0]
        requests: list[float] = []
        retries: list[float] = []
        budgets = [RetryBudget(0.2, 58, 10.0) for _ in range(gateways)]
        now = 0.0
        while now < 20.0:
            now += rng.expovariate(40.0)
            if kills and now > kills[0]:
                del kills[0]
                budgets = [RetryBudget(0.2, 58, 10.0) for _ in range(gateways)]
            budget = rng.choice(budgets)
            budget.note_request(now)
            requests.append(now)
            retries += [now for _ in range(2) if budget.take(gateways, now)]
        for start in retries:
            spent = sum(start <= at < start + 10.0 for at in retries)
            sent = max(
                sum(begin <= at < begin + 10.0 for at in requests)
                for begin in (start, start - 5.0, start - 10.0)
            )
            assert spent <= 0.2 * sent + 58
