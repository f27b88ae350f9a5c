"""What was let through before this gateway heard of it.

Pattern of load: all gateways are killed right after a workspace used up its
quota. Those that start know nothing of it and would let it through again
within the same window. The store has records of bursts; what came after the
last one is taken for a whole burst. Where some gateways go on running, they
tell what they let through themselves.
"""

import math

from lagoonpost.systems.quota_limit import (
    compute_burst,
    compute_limit,
    compute_startup_allowance,
)
from lagoonpost.systems.sliding_window import Charge, SlidingWindow
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.gateway_report import UsageByAge
from lagoonpost.tables.quota import QuotaBounds


class PriorUsage:
    """Use by workspace.

    Args:
        bounds: How exactly quotas are kept.
        started: Time of this start; None if nothing can have been before.
    """

    def __init__(self, bounds: QuotaBounds, started: float | None) -> None:
        self._bounds = bounds
        self._started = started
        self._records: dict[str, list[Charge]] | None = None
        self._before: dict[str, SlidingWindow] = {}
        self._met: dict[str, SlidingWindow] = {}

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Keep to other bounds from now on."""
        self._bounds = bounds
        for windows in (self._before, self._met):
            for window in windows.values():
                window.seconds = bounds.window

    def needs_records(self, now: float) -> bool:
        """Tell whether use before this start may count and is not known."""
        if self._started is None or self._records is not None:
            return False
        return now - self._started < self._bounds.window

    def load_records(self, records: UsageByAge, now: float) -> None:
        """Take what the store has of the use before this start."""
        self._records = {
            name: [Charge(now - age, units) for age, units in taken]
            for name, taken in records.items()
        }
        self._before.clear()

    def assume_unrecorded(self, workspace: Workspace) -> None:
        """Take for used what may have been used before this start."""
        started, name = self._started, workspace.name
        if started is None or name in self._before:
            return
        burst = compute_burst(self._bounds, workspace)
        if self._records is None:
            limit = compute_limit(self._bounds, workspace)
            known = [Charge(started, limit - burst)]
        else:
            # What was recorded since this start is told by those that run.
            known = [
                Charge(min(at, started), units)
                for at, units in self._records.get(name, ())
            ]
        unknown = max(
            0.0, burst - compute_startup_allowance(self._bounds, workspace)
        )
        after = math.nextafter(started, math.inf)
        self._before[name] = SlidingWindow(self._bounds.window)
        self._before[name].replace([*known, Charge(after, unknown)])

    def add_peer_usage(self, name: str, units: float, now: float) -> None:
        """Add what a gateway that is heard first let through in the window."""
        window = self._met.setdefault(name, SlidingWindow(self._bounds.window))
        window.add_spread(units, now - self._bounds.window, now)

    def discard(self) -> None:
        """Know nothing of it any more, as a hub tells it with the rest."""
        self._started = None
        self._before.clear()
        self._met.clear()

    def workspace_names(self) -> set[str]:
        """Return the workspaces that something is known of."""
        return {*self._before, *self._met}

    def sum(self, name: str, now: float) -> float:
        """Return the units within the window."""
        larger = self._find_larger(name, now)
        return larger.sum(now) if larger else 0.0

    def list_ages(self, name: str, now: float) -> list[tuple[float, float]]:
        """Return pairs of the use's age in seconds and its units."""
        larger = self._find_larger(name, now)
        return larger.list_ages(now) if larger else []

    def find_excess(
        self, workspace: Workspace, since: float, now: float
    ) -> float:
        """Return the units beyond the rate that the store has no record of."""
        before = self._before.get(workspace.name)
        if before is None or self._started is None:
            return 0.0
        since = max(since, self._started)
        return before.find_excess(workspace.rate, since, now)

    def _find_larger(self, name: str, now: float) -> SlidingWindow | None:
        """Return the larger one of two accounts of the same use.

        Others tell their own when they are first heard, the store has what
        all of them let through.
        """
        found = [
            windows[name]
            for windows in (self._before, self._met)
            if name in windows
        ]
        return max(found, key=lambda each: each.sum(now), default=None)
