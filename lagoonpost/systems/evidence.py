"""Tests one after another whether a new version is worse than the old one.

Pattern of load: two versions run side by side on one route, the new one with
anything from one request in a hundred to nine in ten. Each request is bad
or not (failed, or slower than its target), and the common rate of bad ones
changes all the time: bursts, reclaims, outages behind both versions.

What goes wrong without it: a fixed limit on failures takes good versions
back in every outage, and looking again and again at an ordinary test finds a
"significant" difference sooner or later. Waiting for enough requests before
one look lets a bad version harm all of them.

How it decides: a gateway draws the version of each request at random, with
a share that it knows. Were the new version no worse, each bad request would
be the new version's with just that chance, whatever the rate of bad ones
was at the moment, so that an outage behind both versions cancels out. The
likelihood ratio of a worse version against a tolerable one is multiplied up
over all bad requests of all gateways. A version may turn bad at any time, so
the product may start at any interval, each with an equal part of the weight
(Shiryaev-Roberts). With a tolerable version the expectation of this sum
never exceeds 1, so that, by Ville's inequality, it ever reaches
``1 / FALSE_TRIPS`` with at most that probability, however often one looks.

Only numbers of bad requests are needed. They only grow, so that gateways can
gossip them and merge them in any order.
"""

from collections.abc import Iterable
from math import exp, inf, log
from typing import NamedTuple

FALSE_ROLLBACK_PROBABILITY = 0.005
"""Good versions taken back by chance, over all routes and both questions.

The users allow 1 in 100; half is kept for gateways that see the gossiped
intervals in another order and so compute slightly different sums.
"""
TOLERABLE_RISK_RATIO = 1.5
"""Risk ratio that is not worth a take-back, such as of a cold cache."""
WORSE_RISK_RATIOS = (4.0, 30.0)
"""Risk ratios looked for: a slower version, and one that mostly fails.

The mean of both sums is compared: whichever fits better costs ln 2 more.
"""
INTERVAL_SECONDS = 2.0
"""Between two looks: the time in which gossip reaches all gateways."""


class Counts(NamedTuple):
    """Bad requests on one route and gateway in one interval.

    Attributes:
        share: Chance with which the new version was drawn for them, which
            is that at their start and not that at their end.
        new_bad: Those drawn for the new version.
        old_bad: Those drawn for the old one.
    """

    share: float
    new_bad: int
    old_bad: int


class Evidence(NamedTuple):
    """Logarithms of the sums, one for each of ``WORSE``."""

    log_sums: tuple[float, ...] = (-inf,) * len(WORSE_RISK_RATIOS)


def add_interval(
    evidence: Evidence, ratios: Iterable[tuple[float, ...]], intervals: float
) -> Evidence:
    """Return ``evidence`` after one interval.

    Args:
        evidence: Before the interval.
        ratios: `weigh` of each gateway's counts.
        intervals: Intervals that the whole move lasts at most; the weight
            of one start is its inverse.
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


def is_worse(evidence: Evidence, questions: int) -> bool:
    """Return whether the new version is worse.

    Args:
        evidence: Evidence on one question.
        questions: Questions asked of the move: routes times two.
    """
    return _average(evidence) >= log(questions / FALSE_ROLLBACK_PROBABILITY)


def _average(evidence: Evidence) -> float:
    total = -inf
    for value in evidence.log_sums:
        total = _add_logs(total, value)
    return total - log(len(WORSE_RISK_RATIOS))


def compute_log_ratios(counts: Counts) -> tuple[float, ...]:
    """Return the log likelihood ratio of each of ``WORSE``."""
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
