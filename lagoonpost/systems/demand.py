"""How much model runners have to do, as a number of runners.

Pattern of load: prompts come in waves and bursts, and at times a runner turns
slow or is lost while nobody says so. The rate of prompt tokens, at the pace at
which a runner reads them alone, tells how many runners are busy; but not that
one of them has become five times slower. What waits does: so many seconds of
reading that are under way everywhere must not take a caller's whole patience.

The larger of the two counts at once and is forgotten slowly, as runners that
go take the prompts with them that they hold, and new ones need seconds to
start.
"""

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from lagoonpost.tables.configuration import Workspace

RATE_WINDOW_SECONDS = 5.0
"""Time over which the rate is averaged: an eighth of the waves in which
callers come, and long enough for some tens of prompts."""
MAX_BACKLOG_SECONDS = 0.8
"""Reading under way that one runner may have: callers of drafts wait 0.8 s
and more for the first word."""
BACKLOG_AVERAGING_SECONDS = 1.5
"""Time over which what is under way is averaged, so that one prompt of
40,000 tokens, a second of reading, is no reason for another runner."""
DECAY_SECONDS = 10.0
"""Time in which a load that fell is forgotten to a third."""


EXPECTED_QUOTA_SHARE = 0.5
"""Part of the workspaces' quotas that is expected to be read at first: quotas
are set at about twice the usual, and nothing of the prompts is held yet. At a
quarter, the first two seconds of 684 requests had 0.74 of their worth."""


class Sample(NamedTuple):
    """What was known of a service at one time.

    Attributes:
        at: Time in seconds.
        total: Prompt tokens that were sent since the start, a counter.
        waiting: Prompt tokens under way that have not been read.
        pace: Seconds that one runner takes for a token.
    """

    at: float
    total: float
    waiting: float
    pace: float


def estimate_initial_busy(
    workspaces: Iterable[Workspace], pace: float
) -> float:
    """Return the runners that callers of some workspaces will keep busy.

    Before the first request nothing but the quotas says how many will come.
    Runners that were sent away by then are missing for a start-up: at 45 of
    them the first six seconds had 0.2 to 0.4 of their worth.

    Args:
        workspaces: All workspaces; those without a quota in tokens say
            nothing.
        pace: Seconds that one runner takes for a token.
    """
    allowed = sum(each.rate for each in workspaces if each.by_tokens)
    return EXPECTED_QUOTA_SHARE * allowed * pace


class DemandMeter:
    """The demand for one service's runners.

    Args:
        known: Whether there is no load yet. Otherwise the first seconds
            say nothing: a holder that has just started would take what it
            has not seen for no load, and send runners away from under it.
        expected: Runners that the first callers are expected to keep busy;
            it holds until they come, and is forgotten like any load.
    """

    def __init__(self, starts_idle: bool, expected: float = 0.0) -> None:
        self._known = starts_idle
        self._begun = not starts_idle
        self._samples: deque[Sample] = deque()
        self._waiting = 0.0
        self._busy = expected

    def note(self, sample: Sample) -> None:
        """Take what is known now."""
        samples = self._samples
        passed = sample.at - samples[-1].at if samples else 0.0
        samples.append(sample)
        while (
            len(samples) > 2
            and samples[1].at <= sample.at - RATE_WINDOW_SECONDS
        ):
            samples.popleft()
        if sample.at - samples[0].at >= RATE_WINDOW_SECONDS:
            self._known = True
        recent = 1 - math.exp(-passed / BACKLOG_AVERAGING_SECONDS)
        under_way = sample.waiting * sample.pace
        self._waiting += recent * (under_way - self._waiting)
        busy = max(
            self._measure_rate() * sample.pace,
            self._waiting / MAX_BACKLOG_SECONDS,
        )
        self._begun = self._begun or busy > 0
        if not self._begun:
            return
        fall = math.exp(-passed / DECAY_SECONDS)
        self._busy = max(busy, busy + (self._busy - busy) * fall)

    def busy(self) -> float | None:
        """Return how many runners are busy; None if it is not known."""
        return self._busy if self._known else None

    def describe(self) -> dict[str, float]:
        """Return what the demand follows from, the pace in us, for the log."""
        last = self._samples[-1] if self._samples else Sample(0, 0, 0, 0)
        return {
            "busy": round(self._busy, 2),
            "tokens_per_second": round(self._measure_rate()),
            "waiting_seconds": round(self._waiting, 3),
            "tokens_per_second_alone": round(1 / last.pace)
            if last.pace
            else 0,
        }

    def _measure_rate(self) -> float:
        if not self._samples:
            return 0.0
        first, last = self._samples[0], self._samples[-1]
        if last.at - first.at < RATE_WINDOW_SECONDS / 2:
            return 0.0
        # A restarted gateway's counters begin anew.
        return max(0.0, last.total - first.total) / (last.at - first.at)
