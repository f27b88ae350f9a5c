"""Moves a service's traffic to a new version within seconds, or takes it back.

Pattern of load: operators give a new version some ten seconds to take over a
service, beside the old one. It may fail or be slow at once, or only later.

What goes wrong without it: traffic spread over all runners alike gives a bad
version half of all callers; and once the old runners are stopped, what they
still work on is cut off.

How it decides: until ``ALL_PART`` of the time is left, the new version gets
so few requests that the promised bound on exposure holds whatever it does:
each gateway counts its own and keeps to its part of the bound, so that nobody
has to be asked. One gateway adds up the answers of all and tests them as
`lagoonpost.systems.evidence` does. If nothing speaks against the version, all
requests go to it, and only when the old runners have had time to end what
they do is the shift complete. A version taken back gets nothing any more.
"""

from collections.abc import Mapping
from typing import NamedTuple

from lagoonpost.systems.evidence import (
    INTERVAL_SECONDS,
    Counts,
    Evidence,
    add_interval,
    compute_log_ratios,
    is_worse,
)
from lagoonpost.tables.version_shift import (
    Phase,
    ShiftOrder,
    VersionCounts,
    add_counts,
    subtract_counts,
)

EXPOSURE_SAFETY_SHARE = 0.6
"""Part of the promised exposure that is used before the version is trusted:
the rest is for requests that are counted elsewhere and never arrive."""
MAX_TRIAL_SHARE = 0.5
"""Most of the requests that try the new version while the bound allows more:
with no request left to the old one there is nothing to compare with."""
DRAIN_TIME_SHARE = 0.25
"""Part of the time that is left for all requests on the new version, in which
the old runners end what they do."""
MIN_DRAIN_SECONDS = 2.0
"""The same at least: most answers take less."""
LEADER_ONLY_SECONDS = 3.0
"""Time before the end in which the holder of the duties judges alone: it may
complete a version then, and one that others took back in the same moment
would be left without runners."""
WRITE_MARGIN_SECONDS = 1.0
"""Left before the end for the news of it to be written and acknowledged, with
one call to the store that is lost."""
MIN_ANSWERS = 10
"""Answers of the new version without which nothing is known of it."""
ALL_ROUTES = ""
"""Key of the sum over all routes: a fault on all of them shows there first."""
CRITERIA_PER_ROUTE = 2
"""Asked of each route: whether it fails more often, and is slow more often."""


class ExposureBounds(NamedTuple):
    """What a version may get before it is trusted, over all gateways.

    Attributes:
        share: Part of the service's requests.
        slack: Requests besides.
    """

    share: float = 0.1
    slack: float = 50.0


class Exposure:
    """One gateway's requests of a service since an order."""

    def __init__(self) -> None:
        self.total = 0
        self.new = 0

    def allows_trial(self, bounds: ExposureBounds, gateways: int) -> bool:
        """Tell whether one more request may go to the new version."""
        allowed = bounds.share * self.total + bounds.slack / max(1, gateways)
        return self.new + 1 <= EXPOSURE_SAFETY_SHARE * allowed

    def record_sent(self, is_new: bool) -> None:
        """Count a request that was sent to either version."""
        self.total += 1
        self.new += is_new


class ShiftEvaluator:
    """Judges one order by the answers of all gateways.

    Args:
        order: The order.
        now: Time at which it was learned, in seconds.
    """

    def __init__(self, order: ShiftOrder, now: float) -> None:
        self.order = order
        self._started = now
        self._judged = now
        self._all_since: float | None = None
        self._evidence: dict[tuple[str, str], Evidence] = {}
        self._seen: dict[str, VersionCounts] = {}

    def advance(
        self, phase: Phase, counts: Mapping[str, VersionCounts], now: float
    ) -> Phase:
        """Return the phase that follows from what is known.

        Args:
            phase: The present one.
            counts: Answers since the order by route, over all gateways.
            now: Time in seconds.
        """
        if phase in ("complete", "taken_back"):
            return phase
        if now - self._judged >= INTERVAL_SECONDS:
            self._judged = now
            whole = {**counts, ALL_ROUTES: _add_up(counts)}
            if self._is_worse(whole, phase == "trial"):
                return "taken_back"
        if phase == "trial":
            return "all" if self._may_take_all(counts, now) else phase
        ended = now >= self.mark_all_new(now) + MIN_DRAIN_SECONDS
        due = self._started + self.order.seconds - WRITE_MARGIN_SECONDS
        return "complete" if ended and now >= due else phase

    @property
    def started(self) -> float:
        """Time from which the order's own time counts."""
        return self._started

    def merge_start(self, started: float) -> None:
        """Take when another gateway learned the order; the first counts."""
        self._started = min(self._started, started)

    def may_roll_back(self, now: float) -> bool:
        """Tell whether one that is not the holder may take a version back."""
        return now < self._started + self.order.seconds - LEADER_ONLY_SECONDS

    def mark_all_new(self, now: float) -> float:
        """Note that all requests go to the new version; return since when.

        Whoever judges next counts the time of the old runners' end from
        there, and not from its own first look.
        """
        if self._all_since is None:
            self._all_since = now
        return self._all_since

    def _may_take_all(
        self, counts: Mapping[str, VersionCounts], now: float
    ) -> bool:
        seconds = self.order.seconds
        left = self._started + seconds - now
        if left > max(
            DRAIN_TIME_SHARE * seconds,
            MIN_DRAIN_SECONDS + WRITE_MARGIN_SECONDS,
        ):
            return False
        return sum(each.new for each in counts.values()) >= MIN_ANSWERS

    def _is_worse(
        self, counts: Mapping[str, VersionCounts], has_old: bool
    ) -> bool:
        """Test what came since the last look.

        Once all requests go to the new version there is nothing beside it:
        it is compared with what the old one did while both ran. An outage
        behind both then looks like a fault of the version, and costs a
        shift that can be ordered again.
        """
        intervals = max(1.0, self.order.seconds / INTERVAL_SECONDS)
        for route, total in counts.items():
            before = self._seen.get(route, VersionCounts())
            fresh = subtract_counts(total, before)
            self._seen[route] = total
            if not has_old:
                fresh = VersionCounts(*fresh[:3], *total[3:])
            for question, asked in _ask(fresh).items():
                key = (route, question)
                self._evidence[key] = add_interval(
                    self._evidence.get(key, Evidence()),
                    [compute_log_ratios(asked)],
                    intervals,
                )
        questions = CRITERIA_PER_ROUTE * len(counts)
        return any(
            is_worse(each, questions) for each in self._evidence.values()
        )


def _add_up(counts: Mapping[str, VersionCounts]) -> VersionCounts:
    total = VersionCounts()
    for each in counts.values():
        total = add_counts(total, each)
    return total


def _ask(fresh: VersionCounts) -> dict[str, Counts]:
    answers = fresh.new + fresh.old
    share = fresh.new / answers if answers else 0.0
    return {
        "failed": Counts(share, fresh.new_failed, fresh.old_failed),
        "slow": Counts(share, fresh.new_slow, fresh.old_slow),
    }
