"""Shifts a service's traffic to a new version within seconds, or rolls back.

Load pattern: operators give a new version some ten seconds to take over a
service next to the old version. The new one may fail or be slow at once, or
only later.

Traffic spread evenly over all runners would give a bad version half of all
callers; and once the old runners are stopped, their requests in flight are
lost.

Until ``DRAIN_TIME_SHARE`` of the time is left, the new version gets so few
requests that the promised limit on exposure holds whatever the version does:
each gateway counts its own requests and keeps to its part of the limit,
without any coordination. One gateway sums the answers of all gateways and
tests them as `lagoonpost.systems.evidence` does. Without evidence against the
version, all requests then go to it, and the shift is complete only after the
old runners had time to finish their requests. A version that is rolled back
gets no further requests.

A few bad answers on one route don't suffice for a rollback, and a version that
answers nothing has no bad answers. A step can't be undone after the last one,
so each step has its own, stricter condition: answers since the step before,
and no route or criterion on which the new version looks worse. A version for
which that does not hold by the deadline is rolled back.
"""

from collections.abc import Mapping
from typing import NamedTuple

from lagoonpost.systems.evidence import (
    INTERVAL_SECONDS,
    Counts,
    Evidence,
    add_interval,
    compute_chance,
    compute_log_ratios,
    is_worse,
)
from lagoonpost.tables.version_shift import (
    ShiftOrder,
    ShiftPhase,
    VersionCounts,
    add_counts,
    subtract_counts,
)

EXPOSURE_SAFETY_SHARE = 0.5
"""Share of the promised exposure that is used during the trial.

The rest is left for a version that turns bad once all requests go to it, until
that shows, and covers requests that are counted at other gateways and never
arrive.
"""
MAX_TRIAL_SHARE = 0.5
"""Largest share of requests for the new version during the trial.

Applies even if the limit on exposure allows more: without requests to the old
version there is no comparison.
"""
DRAIN_TIME_SHARE = 0.25
"""Share of the time that is left for draining the old runners.

All requests go to the new version meanwhile.
"""
MIN_DRAIN_SECONDS = 2.0
"""Minimum drain time: most answers take less."""
LEADER_ONLY_SECONDS = 3.0
"""Time before the end in which only the leader evaluates the shift.

The leader may complete a version then; a gateway that rolled it back at the
same moment would leave it without runners.
"""
WRITE_MARGIN_SECONDS = 1.0
"""Margin before the end for writing and acknowledging the outcome.

Allows for one lost call to the store.
"""
MIN_ANSWERS = 10
"""Answers of the new version below which it is not trusted."""
EXPECTED_ANSWER_SHARE = 0.25
"""Share of the answers of the time before that a version must give once all
requests go to it, if that is less than ``MIN_ANSWERS``."""
DOUBT_PROBABILITY = 0.05
"""Probability, over all routes and criteria, with which chance alone keeps a
tolerable version from its next step."""
ALL_ROUTES = ""
"""Key of the sum over all routes.

A fault on all routes shows there first.
"""
ALL_INTERVAL_SECONDS = 0.5
"""Time between two tests once all requests go to the new version, as long as
the news of the answers takes. Each request counts as exposure then."""
CRITERIA_PER_ROUTE = 2
"""Tests on each route: more failures, and more slow requests."""


class ExposureBounds(NamedTuple):
    """Limit on a new version's requests during the trial, over all gateways.

    Attributes:
        share: Share of the service's requests.
        slack: Number of requests in addition.
    """

    share: float = 0.1
    slack: float = 50.0


class Exposure:
    """One gateway's request counts of a service since a shift order.

    Args:
        fraction: Random number from 0 to 1. Among many gateways each may have
            a part of less than one request; with the fraction added, the sum
            over all of them is kept on average.

    Attributes:
        total: Requests sent to either version.
        new: Requests sent to the new version.
    """

    def __init__(self, fraction: float = 0.0) -> None:
        self._fraction = fraction
        self.total = 0
        self.new = 0

    def allows_trial(self, bounds: ExposureBounds, gateways: int) -> bool:
        """Return whether another request may go to the new version."""
        allowed = bounds.share * self.total + bounds.slack / max(1, gateways)
        part = EXPOSURE_SAFETY_SHARE * allowed
        return self.new + 1 <= part + self._fraction

    def record_sent(self, is_new: bool) -> None:
        """Count a request that was sent to either version."""
        self.total += 1
        self.new += is_new


class ShiftEvaluator:
    """Evaluates one shift order from the answers of all gateways.

    Args:
        order: The shift order.
        now: Time in seconds at which the order was received.
    """

    def __init__(self, order: ShiftOrder, now: float) -> None:
        self.order = order
        self._started = now
        self._evaluated = now
        self._all_since: float | None = None
        # Answers at the first evaluation after all requests went to it.
        self._at_all: tuple[float, dict[str, VersionCounts]] | None = None
        self._evidence: dict[tuple[str, str], Evidence] = {}
        self._counted: dict[str, VersionCounts] = {}

    def advance(
        self,
        phase: ShiftPhase,
        counts: Mapping[str, VersionCounts],
        now: float,
    ) -> ShiftPhase:
        """Return the next phase of the shift.

        Args:
            phase: The current phase.
            counts: Answers since the order by route, over all gateways.
            now: Time in seconds.
        """
        if phase in ("complete", "taken_back"):
            return phase
        if phase == "all" and self._at_all is None:
            self._at_all = now, dict(counts)
        next_phase = self._find_next(phase, counts, now)
        # All that is known is tested before a version gets more requests.
        interval = (
            INTERVAL_SECONDS if phase == "trial" else ALL_INTERVAL_SECONDS
        )
        is_due = now - self._evaluated >= interval
        is_step = phase == "trial" and self._is_trial_over(now)
        if is_due or is_step or next_phase != phase:
            self._evaluated = now
            totals = {**counts, ALL_ROUTES: _sum_counts(counts)}
            if self._is_worse(totals, phase == "trial"):
                return "taken_back"
        return next_phase

    def _find_next(
        self,
        phase: ShiftPhase,
        counts: Mapping[str, VersionCounts],
        now: float,
    ) -> ShiftPhase:
        """Return the next phase of a version with nothing against it."""
        due = self._started + self.order.seconds - WRITE_MARGIN_SECONDS
        if phase == "trial":
            if self._may_take_all(counts, now):
                return "all"
            # A version of which too little is known is not trusted.
            return "taken_back" if now >= due else phase
        # Another gateway's step may be heard of late, its answers even later.
        at = max(
            self.mark_all_new(now), self._at_all[0] if self._at_all else 0
        )
        if now < max(due, at + MIN_DRAIN_SECONDS):
            return phase
        return "complete" if self._may_complete(counts, now) else "taken_back"

    @property
    def started(self) -> float:
        """Time in seconds at which the shift began."""
        return self._started

    def merge_start(self, started: float) -> None:
        """Merge another gateway's start time; the earliest wins."""
        self._started = min(self._started, started)

    def may_roll_back(self, now: float) -> bool:
        """Return whether a gateway other than the leader may roll back."""
        return now < self._started + self.order.seconds - LEADER_ONLY_SECONDS

    def mark_all_new(self, now: float) -> float:
        """Mark that all requests go to the new version.

        Returns:
            The time of the first such call. Another gateway that takes over
            the evaluation measures the drain time from then, not from its own
            first evaluation.
        """
        if self._all_since is None:
            self._all_since = now
        return self._all_since

    def _is_trial_over(self, now: float) -> bool:
        """Return whether the time of the trial is over."""
        seconds = self.order.seconds
        drain_seconds = max(
            DRAIN_TIME_SHARE * seconds,
            MIN_DRAIN_SECONDS + WRITE_MARGIN_SECONDS,
        )
        return now >= self._started + seconds - drain_seconds

    def _may_take_all(
        self, counts: Mapping[str, VersionCounts], now: float
    ) -> bool:
        if not self._is_trial_over(now):
            return False
        if _sum_counts(counts).new < MIN_ANSWERS:
            return False
        return not _looks_worse(counts)

    def _may_complete(
        self, counts: Mapping[str, VersionCounts], now: float
    ) -> bool:
        """Return whether the answers since the last step suffice.

        The old version's answers from before are what they are compared with;
        if those who counted them were killed, nothing is known against a
        version that fails each request.
        """
        at, before = self._at_all or (now, dict(counts))
        since = {
            route: subtract_counts(
                total, before.get(route, VersionCounts())
            )._replace(
                old=total.old,
                old_failed=total.old_failed,
                old_slow=total.old_slow,
            )
            for route, total in counts.items()
        }
        earlier = _sum_counts(before)
        trial_seconds = max(INTERVAL_SECONDS, at - self._started)
        expected = (earlier.new + earlier.old) * (now - at) / trial_seconds
        needed = min(MIN_ANSWERS, EXPECTED_ANSWER_SHARE * expected)
        if not earlier.old or _sum_counts(since).new < needed:
            return False
        return not _looks_worse(since) and not _looks_worse(counts)

    def _is_worse(
        self, counts: Mapping[str, VersionCounts], has_old: bool
    ) -> bool:
        """Test the answers since the last evaluation.

        Once all requests go to the new version there is nothing to compare it
        with, so it is compared with the old version's answers while both ran.
        An outage of both versions then looks like a fault of the new one and
        causes an unnecessary rollback; the shift can be ordered again.
        """
        intervals = max(1.0, self.order.seconds / ALL_INTERVAL_SECONDS)
        for route, total in counts.items():
            previous = self._counted.get(route, VersionCounts())
            recent = subtract_counts(total, previous)
            self._counted[route] = total
            if not has_old:
                recent = VersionCounts(*recent[:3], *total[3:])
            for criterion, bad in _split_by_criterion(recent).items():
                key = (route, criterion)
                self._evidence[key] = add_interval(
                    self._evidence.get(key, Evidence()),
                    [compute_log_ratios(bad)],
                    intervals,
                )
        criteria = CRITERIA_PER_ROUTE * len(counts)
        return any(
            is_worse(evidence, criteria)
            for evidence in self._evidence.values()
        )


def _sum_counts(counts: Mapping[str, VersionCounts]) -> VersionCounts:
    total = VersionCounts()
    for route_counts in counts.values():
        total = add_counts(total, route_counts)
    return total


def _looks_worse(counts: Mapping[str, VersionCounts]) -> bool:
    """Return whether a version has too many bad answers on some route.

    Weaker than the evidence for a rollback: it only holds back a step.
    """
    totals = [*counts.values(), _sum_counts(counts)]
    limit = DOUBT_PROBABILITY / (CRITERIA_PER_ROUTE * len(totals))
    return any(
        compute_chance(bad) < limit
        for total in totals
        for bad in _split_by_criterion(total).values()
    )


def _split_by_criterion(recent: VersionCounts) -> dict[str, Counts]:
    answers = recent.new + recent.old
    share = recent.new / answers if answers else 0.0
    return {
        "failed": Counts(share, recent.new_failed, recent.old_failed),
        "slow": Counts(share, recent.new_slow, recent.old_slow),
    }
