"""Quotas that run short: which requests of a workspace are admitted."""

from collections import Counter
from collections.abc import Sequence
from itertools import pairwise
from random import Random

import pytest
from quota_play import run_once

from lagoonpost.systems.quota import Quotas
from lagoonpost.systems.quota_limit import compute_limit, find_margin_share
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.quota import QuotaBounds

BOUNDS = QuotaBounds(window=8.0, overage=0.1, slack=110_000)
HOT = Workspace("hot", ("k",), rate=120_000, burst=120_000, by_tokens=True)
QUOTA = HOT.rate * BOUNDS.window + HOT.burst
COSTS = (9_000.0, 2_400.0, 700.0)
"""Units of a request by its priority."""


def play(
    rates: Sequence[float],
    has_margins: bool,
    gateways: int = 20,
    seed: int = 1,
) -> tuple[list[float], float]:
    """Return the share admitted by priority, and the most of one window.

    Gateways hear each other's usage as sums of a hub that are up to 0.3 s
    old, and all usage is recorded at once.

    Args:
        rates: Requested units per second by priority.
        has_margins: Whether the more urgent requests have their margins.
        gateways: Number of gateways.
        seed: Seed of the requests.
    """
    rng = Random(seed)
    quotas = [Quotas(BOUNDS) for _ in range(gateways)]
    frequencies = [
        rate / cost for rate, cost in zip(rates, COSTS, strict=True)
    ]
    asked: Counter[int] = Counter()
    passed: Counter[int] = Counter()
    admitted: list[tuple[float, float]] = []
    now = told = 0.0
    while now < 20.0:
        now += rng.expovariate(sum(frequencies))
        if now >= told:
            told = now + 0.3
            for number, quota in enumerate(quotas[1:]):
                used = dict(quota.used)
                quotas[0].update_from_peers(str(number), used, {}, now)
            taken = quotas[0].list_taken(now)
            for quota in quotas:
                quota.note_recorded("hot", now)
            for quota in quotas[1:]:
                quota.replace_with_summary(taken, now, now)
        priority = rng.choices(range(3), frequencies)[0]
        margin = find_margin_share(priority, range(3)) if has_margins else 1.0
        cost = COSTS[priority]
        number = rng.randrange(gateways)
        refused = run_once(
            quotas[number],
            str(number - 1),
            quotas[0],
            HOT,
            cost,
            now,
            gateways,
            margin_share=margin,
        )
        if refused is None:
            admitted.append((now, cost))
        if now >= 8.0:
            asked[priority] += 1
            passed[priority] += refused is None
    most = max(
        sum(units for at, units in admitted if start <= at < start + 8.0)
        for start, _ in admitted[::10]
    )
    return [passed[each] / asked[each] for each in range(3)], most


def play_seeds(
    rates: Sequence[float], has_margins: bool
) -> tuple[list[float], float]:
    """Return the mean shares of three plays, and the most of all."""
    plays = [play(rates, has_margins, seed=seed) for seed in range(3)]
    shares = zip(*(shares for shares, _ in plays), strict=True)
    return [sum(each) / 3 for each in shares], max(most for _, most in plays)


class TestMargins:
    @pytest.mark.parametrize(
        "rates",
        [(100e3, 100e3, 100e3), (60e3, 60e3, 300e3), (300e3, 50e3, 50e3)],
    )
    def test_a_short_quota_goes_to_the_more_urgent_first(self, rates):
        """Guards against a quota that is spent by whoever comes first."""
        shares, most = play_seeds(rates, True)
        first_come, _ = play_seeds(rates, False)
        assert shares[0] > first_come[0] and shares[2] < first_come[2]
        for more, less in pairwise(shares):
            assert more >= less - 0.05
        assert most <= QUOTA * (1 + BOUNDS.overage) + BOUNDS.slack

    def test_the_less_urgent_have_the_whole_quota(self):
        """Guards against requests that are refused though owed."""
        assert compute_limit(BOUNDS, HOT, 0.0) == QUOTA
        shares, _ = play((9_000.0, 9_000.0, 0.8 * HOT.rate), True)
        assert shares == [1.0, 1.0, 1.0]

    def test_margins_are_in_proportion_to_the_rank(self):
        shares = [find_margin_share(each, {0, 3, 9}) for each in (0, 3, 9)]
        assert shares == [1.0, 0.5, 0.0]
        assert find_margin_share(4, {4}) == 1.0
        assert find_margin_share(9, set()) == 1.0
