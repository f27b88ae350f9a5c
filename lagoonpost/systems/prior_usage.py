"""Quota usage from before this gateway's start.

Load pattern: all gateways are killed right after a workspace used up its
quota. The restarted gateways have no counts and would admit the same usage
again within the same window. The store has records of bursts; the usage after
the last record is assumed to be a whole burst. Gateways that kept running
report their own usage.
"""

import math
from collections.abc import Collection, Iterable

from lagoonpost.systems.hub import MAX_MESH_GATEWAYS
from lagoonpost.systems.permit_group import SETTLING_SECONDS
from lagoonpost.systems.quota_limit import (
    compute_burst,
    compute_limit,
    compute_startup_allowance,
)
from lagoonpost.systems.sliding_window import Charge, SlidingWindow
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.gateway_report import UsageByAge
from lagoonpost.tables.quota import QuotaBounds

START_SHARE = 1.0 / MAX_MESH_GATEWAYS
"""Largest part of a quota that a gateway admits until it knows others or what
was used: that of one in the largest full mesh."""


class PriorUsage:
    """Usage by workspace from before this gateway's start.

    Args:
        bounds: Window and tolerance of the quotas.
        started: Time of this start in seconds; None if there can be no prior
            usage.
        expects_peers: Whether there are other gateways to be heard of.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        started: float | None,
        expects_peers: bool = False,
    ) -> None:
        self._bounds = bounds
        self._expects_peers = expects_peers
        self._started = started
        self._records: dict[str, list[Charge]] | None = None
        self._outdated: frozenset[str] = frozenset()
        self._assumed: dict[str, SlidingWindow] = {}
        self._reported: dict[str, SlidingWindow] = {}

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Replace the window and tolerance of the quotas."""
        self._bounds = bounds
        for windows in (self._assumed, self._reported):
            for window in windows.values():
                window.seconds = bounds.window

    def needs_records(self, now: float) -> bool:
        """Return whether the records of prior usage are still required."""
        if self._started is None or self._records is not None:
            return False
        return now - self._started < self._bounds.window

    def limit_share(self, connected_share: float, now: float) -> float:
        """Return the part of the gateways that a quota is admitted for.

        A gateway that has just started, has no records yet and has heard no
        other gateway doesn't know how many start with it, and each of them
        would admit what is meant for all. One that expects others and hears
        none is probably cut off from them: what they use is not in its
        records, which may be old as well.

        Args:
            connected_share: Connected gateways as a share of all that this
                one knows.
            now: Time in seconds.
        """
        started = self._started
        if started is None:
            return connected_share
        is_settled = (
            self._records is not None or now >= started + SETTLING_SECONDS
        )
        is_cut_off = (
            self._expects_peers and now < started + self._bounds.window
        )
        if is_settled and not is_cut_off:
            return connected_share
        return min(connected_share, START_SHARE)

    def load_records(
        self,
        records: UsageByAge,
        now: float,
        outdated: Collection[str] = (),
    ) -> None:
        """Set the store's records of the usage before this start.

        Args:
            records: Usage by workspace; ages in seconds.
            now: Time in seconds to which the ages refer.
            outdated: Workspaces of which later records were lost, as the store
                has come back from an older copy.
        """
        self._outdated = frozenset(outdated)
        self._records = {
            name: [Charge(now - age, units) for age, units in charges]
            for name, charges in records.items()
        }
        self._assumed.clear()

    def assume_unrecorded(self, workspace: Workspace) -> None:
        """Count the usage that may have preceded this start.

        Without records, this is the whole limit. With records, it is the
        recorded usage and a burst that may not have been recorded. A record
        that was followed by others, now lost, counts as none. In all these
        cases it is reduced by the units that a starting gateway admits.
        """
        started, name = self._started, workspace.name
        if started is None or name in self._assumed:
            return
        burst = compute_burst(self._bounds, workspace)
        if self._records is None or name in self._outdated:
            limit = compute_limit(self._bounds, workspace)
            known = [Charge(started, limit - burst)]
        else:
            # Usage recorded after this start is reported by the running
            # gateways; it counts here at the start at the latest.
            known = [
                Charge(min(at, started), units)
                for at, units in self._records.get(name, ())
            ]
        unknown = max(
            0.0, burst - compute_startup_allowance(self._bounds, workspace)
        )
        after = math.nextafter(started, math.inf)
        self._assumed[name] = SlidingWindow(self._bounds.window)
        self._assumed[name].replace([*known, Charge(after, unknown)])

    def add_peer_usage(
        self,
        name: str,
        dated: Iterable[Charge] | None,
        units: float,
        now: float,
    ) -> None:
        """Add the usage in the window from a peer's first report.

        Args:
            name: Name of the workspace.
            dated: Usage of the peer; None if its times are not told.
            units: Units of it within the window.
            now: Time in seconds.
        """
        window = self._reported.setdefault(
            name, SlidingWindow(self._bounds.window)
        )
        if dated is None:
            window.add_spread(units, now - self._bounds.window, now)
        else:
            window.insert(dated)

    def discard(self) -> None:
        """Drop all prior usage, as a hub's summary includes it."""
        self._started = None
        self._assumed.clear()
        self._reported.clear()

    def workspace_names(self) -> set[str]:
        """Return the names of the workspaces that have prior usage."""
        return {*self._assumed, *self._reported}

    def sum(self, name: str, now: float) -> float:
        """Return the units of prior usage within the window."""
        larger = self._find_larger_window(name, now)
        return max(0.0, larger.sum(now)) if larger else 0.0

    def list_ages(self, name: str, now: float) -> list[tuple[float, float]]:
        """Return the prior usage as pairs of age in seconds and units."""
        larger = self._find_larger_window(name, now)
        return larger.list_ages(now) if larger else []

    def find_excess(
        self, workspace: Workspace, since: float, now: float
    ) -> float:
        """Return the unrecorded units in excess of the rate."""
        assumed = self._assumed.get(workspace.name)
        if assumed is None or self._started is None:
            return 0.0
        since = max(since, self._started)
        return assumed.find_excess(workspace.rate, since, now)

    def _find_larger_window(
        self, name: str, now: float
    ) -> SlidingWindow | None:
        """Return the larger one of two accounts of the same usage.

        Peers report their own usage in their first report; the store records
        the usage of all gateways.
        """
        found = [
            windows[name]
            for windows in (self._assumed, self._reported)
            if name in windows
        ]
        return max(found, key=lambda window: window.sum(now), default=None)
