"""Sequential test of whether a new version is worse than the old one.

Load pattern: two versions run side by side on one route, the new one with
anything from one request in a hundred to nine in ten. Each request is bad or
not (failed, or slower than its target), and the common rate of bad requests
changes all the time: bursts, reclaims, outages of both versions.

A fixed limit on failures would roll back good versions in every outage.
Repeating an ordinary significance test finds a "significant" difference sooner
or later. Waiting for enough requests before a single test lets a bad version
harm all of them.

A gateway chooses the version of each request at random, with a known share. If
the new version is no worse, each bad request belongs to it with just that
probability, whatever the current rate of bad requests, so an outage of both
versions cancels out. The likelihood ratio of a worse version against a
tolerable one is multiplied over all bad requests of all gateways. A version
may turn bad at any time, so the product may start at any interval, each start
with equal weight (Shiryaev-Roberts). With a tolerable version the expectation
of this sum never exceeds 1. By Ville's inequality it therefore ever reaches
``1 / FALSE_ROLLBACK_PROBABILITY`` with at most that probability, however often
it is tested.

Only counts of bad requests are needed. They only grow, so gateways can gossip
them and merge them in any order.
"""

from collections.abc import Iterable
from math import comb, exp, inf, log
from typing import NamedTuple

FALSE_ROLLBACK_PROBABILITY = 0.005
"""Probability of rolling back a good version, over all routes and criteria.

The requirement is 1 in 100; half of it is reserved for gateways that receive
the gossiped intervals in another order and so compute slightly different sums.
"""
TOLERABLE_RISK_RATIO = 1.5
"""Risk ratio that does not justify a rollback, such as from a cold cache."""
WORSE_RISK_RATIOS = (4.0, 30.0)
"""Risk ratios to detect: a slower version, and one that mostly fails.

The mean of both sums is tested, at a cost of ln 2 against the sum of the
better fitting ratio.
"""
MAX_EXACT_REQUESTS = 64
"""Number of bad requests up to which probabilities are computed exactly."""
INTERVAL_SECONDS = 2.0
"""Time between two tests, in which gossip reaches all gateways."""


class Counts(NamedTuple):
    """Bad requests on one route and gateway in one interval.

    Attributes:
        share: Probability with which the new version was chosen for them, at
            their start and not at their end.
        new_bad: Bad requests of the new version.
        old_bad: Bad requests of the old version.
    """

    share: float
    new_bad: int
    old_bad: int


class Evidence(NamedTuple):
    """Evidence against a new version.

    Attributes:
        log_sums: Logarithm of the sum for each of ``WORSE_RISK_RATIOS``.
    """

    log_sums: tuple[float, ...] = (-inf,) * len(WORSE_RISK_RATIOS)


def add_interval(
    evidence: Evidence, ratios: Iterable[tuple[float, ...]], intervals: float
) -> Evidence:
    """Return ``evidence`` with one more interval added.

    Args:
        evidence: Evidence before the interval.
        ratios: `compute_log_ratios` of each gateway's counts.
        intervals: Maximum number of intervals of the whole move; each start
            has its inverse as weight.
    """
    start = -log(intervals)
    totals = [0.0] * len(WORSE_RISK_RATIOS)
    for gateway in ratios:
        totals = [sum(pair) for pair in zip(totals, gateway, strict=True)]
    return Evidence(
        tuple(
            _add_logs(old, start) + total
            for old, total in zip(evidence.log_sums, totals, strict=True)
        )
    )


def is_worse(evidence: Evidence, criteria: int) -> bool:
    """Return whether the new version is worse.

    Args:
        evidence: Evidence by one criterion.
        criteria: Number of tests of the move: routes times criteria.
    """
    return _compute_log_mean(evidence) >= log(
        criteria / FALSE_ROLLBACK_PROBABILITY
    )


def _compute_log_mean(evidence: Evidence) -> float:
    total = -inf
    for value in evidence.log_sums:
        total = _add_logs(total, value)
    return total - log(len(WORSE_RISK_RATIOS))


def compute_chance(counts: Counts) -> float:
    """Return how probable so many bad requests of a tolerable version are.

    Given the number of bad requests of both versions, the new one's have a
    binomial distribution. For many the result is Chernoff's upper bound.
    """
    bad = counts.new_bad + counts.old_bad
    if not bad or not 0 < counts.share < 1:
        return 1.0
    new = TOLERABLE_RISK_RATIO * counts.share
    expected = new / (new + 1 - counts.share)
    found = counts.new_bad / bad
    if found <= expected:
        return 1.0
    if bad <= MAX_EXACT_REQUESTS:
        return sum(
            comb(bad, count)
            * expected**count
            * (1 - expected) ** (bad - count)
            for count in range(counts.new_bad, bad + 1)
        )
    divergence = found * log(found / expected)
    if found < 1:
        divergence += (1 - found) * log((1 - found) / (1 - expected))
    return exp(-bad * divergence)


def compute_log_ratios(counts: Counts) -> tuple[float, ...]:
    """Return the log likelihood ratio for each of ``WORSE_RISK_RATIOS``."""
    if not 0 < counts.share < 1:
        return (0.0,) * len(WORSE_RISK_RATIOS)
    tolerable = _log_likelihood(counts, TOLERABLE_RISK_RATIO)
    return tuple(
        _log_likelihood(counts, risk) - tolerable for risk in WORSE_RISK_RATIOS
    )


def _log_likelihood(counts: Counts, risk: float) -> float:
    new = risk * counts.share
    old = 1 - counts.share
    return counts.new_bad * log(new / (new + old)) + counts.old_bad * log(
        old / (new + old)
    )


def _add_logs(one: float, two: float) -> float:
    high, low = max(one, two), min(one, two)
    if low == -inf:
        return high
    return high + log(1 + exp(low - high))
