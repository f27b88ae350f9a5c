"""Demand for model runners, measured as the number of busy runners.

Load pattern: prompts come in waves and bursts, and at times a runner becomes
slow or is lost without any report of it. The rate of prompt tokens, times the
seconds an unloaded runner takes for a token, gives the number of busy
runners, but does not show that one of them has become five times slower. The
backlog does: the prefill work that is in flight must not take more seconds
than callers will wait.

The larger of the two estimates is used. The demand rises at once and decays
slowly, because runners that are removed lose their cached prompts and new
ones take seconds to start.
"""

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from lagoonpost.tables.configuration import Workspace

RATE_WINDOW_SECONDS = 5.0
"""Window for the token rate: an eighth of the period of the waves in which
callers arrive, and long enough for some tens of prompts."""
MAX_BACKLOG_SECONDS = 0.8
"""Prefill backlog that one runner may have: callers of drafts wait 0.8 s or
more for the first token."""
BACKLOG_AVERAGING_SECONDS = 1.5
"""Time constant of the backlog's average, so that one prompt of 40,000
tokens, a second of prefill, does not add a runner."""
DECAY_SECONDS = 10.0
"""Time in which the demand decays to about a third after the load drops."""

EXPECTED_QUOTA_SHARE = 0.5
"""Part of the workspaces' quotas that is expected as load after a start.
Quotas are about twice the usual load, and no prompt is cached yet. With a
quarter, the 684 requests of the first two seconds reached a score of 0.74
of their best."""


class Sample(NamedTuple):
    """Load of a service at one time.

    Attributes:
        at: Time in seconds.
        total: Counter of the prompt tokens sent since the start.
        waiting: Prompt tokens in flight that have not been prefilled.
        pace: Seconds that one unloaded runner takes for a prompt token.
    """

    at: float
    total: float
    waiting: float
    pace: float


def estimate_initial_busy(
    workspaces: Iterable[Workspace], pace: float
) -> float:
    """Estimate the runners that the workspaces' callers will keep busy.

    Before the first request, only the quotas indicate the load. Runners that
    were removed by then are missing until replacements have started: with 45
    of them, the first six seconds reached a score of 0.2 to 0.4 of their
    best.

    Args:
        workspaces: All workspaces; a workspace without a quota in tokens
            is ignored.
        pace: Seconds that one unloaded runner takes for a prompt token.
    """
    allowed = sum(
        workspace.rate for workspace in workspaces if workspace.by_tokens
    )
    return EXPECTED_QUOTA_SHARE * allowed * pace


class DemandMeter:
    """Measures the demand for one service's runners.

    Args:
        starts_idle: Whether the service is known to have no load yet.
            Otherwise the demand is unknown for the first seconds: a newly
            started lease holder has seen no traffic, would take this for
            no load, and would remove runners that are in use.
        expected: Runners that the first callers are expected to keep busy.
            The value holds until the first load and then decays.
    """

    def __init__(self, starts_idle: bool, expected: float = 0.0) -> None:
        self._is_known = starts_idle
        self._has_load = not starts_idle
        self._samples: deque[Sample] = deque()
        self._backlog = 0.0
        self._busy = expected

    def note(self, sample: Sample) -> None:
        """Add a sample of the current load."""
        samples = self._samples
        elapsed = sample.at - samples[-1].at if samples else 0.0
        samples.append(sample)
        while (
            len(samples) > 2
            and samples[1].at <= sample.at - RATE_WINDOW_SECONDS
        ):
            samples.popleft()
        if sample.at - samples[0].at >= RATE_WINDOW_SECONDS:
            self._is_known = True
        gain = 1 - math.exp(-elapsed / BACKLOG_AVERAGING_SECONDS)
        backlog = sample.waiting * sample.pace
        self._backlog += gain * (backlog - self._backlog)
        busy = max(
            self._measure_rate() * sample.pace,
            self._backlog / MAX_BACKLOG_SECONDS,
        )
        self._has_load = self._has_load or busy > 0
        if not self._has_load:
            return
        decay = math.exp(-elapsed / DECAY_SECONDS)
        self._busy = max(busy, busy + (self._busy - busy) * decay)

    def busy(self) -> float | None:
        """Return the number of busy runners; None if it is unknown."""
        return self._busy if self._is_known else None

    def describe(self) -> dict[str, float]:
        """Return the inputs of the demand for the log, rates in tokens/s."""
        last = self._samples[-1] if self._samples else Sample(0, 0, 0, 0)
        return {
            "busy": round(self._busy, 2),
            "tokens_per_second": round(self._measure_rate()),
            "waiting_seconds": round(self._backlog, 3),
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
        # The counters of a restarted gateway start from zero.
        return max(0.0, last.total - first.total) / (last.at - first.at)
