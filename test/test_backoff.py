"""Backoff: spread returns, limited retries, no retry storm after an outage."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from bench.player import Player
from bench.workload import (
    Call,
    compute_capacity,
    draw_arrivals,
    make_declaration,
)
from lagoonpost.systems.backoff import (
    JITTER_SHARE,
    MAX_RETRY_SECONDS,
    MAX_RETRY_TOKENS,
    MIN_RETRY_SECONDS,
    TOKENS_PER_ATTEMPT,
    RetryBudget,
    ReturnQueue,
    add_jitter,
    compute_backoff,
)
from lagoonpost.systems.event import Dispatch

CHECK = Call(0.0, prompt=200, output=50)


class TestSpread:
    @given(st.floats(0, 1e6), st.integers())
    def test_stays_in_its_bounds(self, seconds, seed):
        delay = add_jitter(seconds, Random(seed))
        assert (
            MIN_RETRY_SECONDS
            <= delay
            <= MAX_RETRY_SECONDS * (1 + JITTER_SHARE)
        )

    @given(st.integers())
    def test_callers_told_at_once_do_not_return_together(self, seed):
        rng = Random(seed)
        delays = [add_jitter(10.0, rng) for _ in range(200)]
        seconds = [int(delay) for delay in delays]
        assert max(map(seconds.count, seconds)) < 200 * 0.4

    @given(st.integers(1, 2000), st.integers())
    def test_back_off_is_capped(self, attempt, seed):
        assert (
            0
            <= compute_backoff(attempt, 0.05, Random(seed))
            <= MAX_RETRY_SECONDS
        )


class TestPromises:
    @given(st.integers(1, 200), st.floats(1, 1000))
    def test_returns_come_no_faster_than_they_are_served(self, count, drain):
        promises = ReturnQueue()
        delays = [promises.add(10.0, 0.0, drain, 1.0) for _ in range(count)]
        for index, delay in enumerate(delays):
            expected = min(index * 10.0 / drain, MAX_RETRY_SECONDS)
            assert abs(delay - expected) < 1e-6

    @given(st.floats(0, 1000), st.floats(0, 1000))
    def test_more_ahead_means_later(self, one, other):
        low, high = sorted((one, other))
        assert ReturnQueue().add(1, low, 5, 1) <= ReturnQueue().add(
            1, high, 5, 1
        )


class TestRetryBudget:
    @given(st.lists(st.booleans(), max_size=300))
    def test_retries_are_a_tenth_of_first_attempts(self, events):
        budget = RetryBudget()
        retries = firsts = 0
        for first in events:
            if first:
                budget.earn()
                firsts += 1
            elif budget.spend():
                retries += 1
        assert retries <= MAX_RETRY_TOKENS + TOKENS_PER_ATTEMPT * firsts + 1e-6

    def test_failing_service_is_not_sent_more(self):
        """A failure of all runners must not multiply the load.

        Every runner answers with an error for five seconds, and each error is
        retried on the next runner.
        """
        player = Player(make_declaration(6, 8))
        for fake in player.runners.values():
            fake.fails = lambda now: 5.0 <= now < 10.0
        rate = compute_capacity(6, 8, CHECK) * 0.5
        calls = draw_arrivals(Random(1), rate, 0.0, 25.0, CHECK)
        outcomes = player.play(calls, 60.0)
        sent = [
            action
            for time, action in player.log
            if isinstance(action, Dispatch) and 5.0 <= time < 10.0
        ]
        arrived = [o for o in outcomes if 5.0 <= o.arrived < 10.0]
        assert len(sent) <= 1.1 * len(arrived) + MAX_RETRY_TOKENS
        after = [o for o in outcomes if o.arrived >= 15.0]
        assert sum(o.good for o in after) >= 0.98 * len(after)


class TestStoreOutage:
    """Callers refused in a store outage must not overload the service later.

    The store is down for ten seconds, and all bookings are refused meanwhile.
    With one fixed retry delay their callers would return together, overload
    the runners and make bookings fail for minutes after the outage.
    """

    def test_returns_are_served_and_others_see_nothing(self):
        player = Player(make_declaration(6, 8))
        player.store_down = lambda now: 8.0 <= now < 18.0
        player.store_down_since = 8.0
        booking = CHECK._replace(
            workspace="b", request_class="booking", honors_retry_after=True
        )
        rate = compute_capacity(6, 8, CHECK)
        calls = draw_arrivals(Random(1), rate * 0.35, 0.0, 45.0, booking)
        calls += draw_arrivals(Random(2), rate * 0.35, 0.0, 45.0, CHECK)
        outcomes = player.play(calls, 120.0)
        checks = [o for o in outcomes if o.call.request_class == "check"]
        assert sum(o.good for o in checks) >= 0.99 * len(checks)
        bookings = [o for o in outcomes if o.call.request_class == "booking"]
        refused = [o for o in bookings if 8.0 <= o.arrived < 18.0]
        assert all(o.refused == o.arrived for o in refused)
        after = [o for o in bookings if o.arrived >= 18.0]
        assert sum(o.good for o in after) >= 0.95 * len(after)
        settled = [o for o in bookings if o.arrived >= 35.0]
        assert sum(o.good for o in settled) >= 0.99 * len(settled)
        assert len({o.attempts for o in after if o.finished}) == 1
