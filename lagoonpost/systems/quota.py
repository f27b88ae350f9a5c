"""Enforces each workspace's quota over all gateways.

Load pattern: one workspace sends many times its usual load through all
gateways at once. A fixed part of the quota for each gateway refuses callers
that happen to meet at one gateway while most of the quota is unused; a
central counter costs a remote call per request. Here each gateway counts the
usage that all gateways admitted within one sliding window: its own at once,
that of the peers when their reports arrive, some tenths of a second later.

The usage that peers admitted but have not yet reported is unknown, so the
enforced limit stays below the promised one. A gateway that is connected to
only some of its peers admits only the part of the quota of the connected
gateways, itself included: when 1 of 9 is cut off, it enforces a ninth, and
the other eight the rest.

With a limit on the window alone, all of it could be admitted at one moment,
and a gateway that starts after all gateways were killed cannot know how
recently that was. A burst beyond the rate is therefore admitted only once the
store has a record of the earlier usage. Gateways that start read the records
and assume that one further burst was used.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping

from lagoonpost.systems.prior_usage import PriorUsage
from lagoonpost.systems.quota_limit import compute_burst, compute_limit
from lagoonpost.systems.sliding_window import Charge, SlidingWindow, sum_recent
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.gateway_report import UsageByAge
from lagoonpost.tables.quota import QuotaBounds, QuotaCheck

MIN_RETRY_SECONDS = 0.2
"""Shortest retry delay for a refused caller; reports are about as old."""
MAX_RETRY_SECONDS = 5.0
"""Longest retry delay for a refused caller, as a quota may be raised."""
PUBLISH_SHARE = 0.01
"""Unpublished usage, as a part of the limit, above which a gateway publishes
at once, so that nine gateways cannot admit a tenth of it unreported."""
NEAR_LIMIT_SHARE = 0.7
"""Part of a limit above which a hub publishes its summary at the shortest
interval. The usual usage is about half of a quota; at seven times it, a
window goes from this share to its limit within a second."""
PUBLISH_SHARE_GATEWAYS = 9
"""Most gateways for which `PUBLISH_SHARE` holds undivided; a larger number
shares the total."""
PROPAGATION_SECONDS = 0.2
"""Age of the peers' reported usage: two reports at the shortest interval."""


class Quotas:
    """Counts the usage of all workspaces and enforces their quotas.

    Args:
        bounds: Window and tolerance of the quotas.
        started: Time of this gateway's start, from which it counts usage; None
            if there can be no prior usage, as the whole system is new.

    Attributes:
        used: Units admitted by this gateway since its start, by workspace.
        decision_inputs: Inputs of the last decision, for the log; None if
            the workspace has no quota.
        prior_usage: Usage from before this gateway's start.
    """

    def __init__(
        self, bounds: QuotaBounds, started: float | None = None
    ) -> None:
        self.used: dict[str, float] = {}
        self.decision_inputs: QuotaCheck | None = None
        self.prior_usage = PriorUsage(bounds, started)
        self._bounds = bounds
        self._windows: dict[str, SlidingWindow] = {}
        self._peer_totals: dict[tuple[str, str], float] = {}
        self._peer_report_times: dict[str, float] = {}
        self._unpublished: dict[str, float] = {}
        self._own: dict[str, deque[Charge]] = {}
        self._recorded_at: dict[str, float] = {}
        self._changed: set[str] = set()
        self._is_summarized = False

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Replace the window and tolerance of the quotas."""
        self._bounds = bounds
        self.prior_usage.set_bounds(bounds)
        for window in self._windows.values():
            window.seconds = bounds.window

    def take(
        self,
        workspace: Workspace,
        cost: float,
        connected_share: float,
        now: float,
        gateways: int = 1,
        margin_share: float = 1.0,
    ) -> float | None:
        """Admit a request and count its units, or refuse it.

        Args:
            workspace: Workspace of the request.
            cost: Units of the request.
            connected_share: Connected gateways as a share of all gateways,
                this one included; 0 to 1.
            now: Time in seconds.
            gateways: Number of gateways.
            margin_share: Part that the request may use of what is admitted
                beyond the quota, from 0 to 1.

        Returns:
            None if the request is admitted, else the seconds until it would
            be.
        """
        if workspace.rate <= 0:
            self.decision_inputs = None
            return None
        if not self._peer_report_times:
            connected_share = self.prior_usage.limit_share(
                connected_share, now
            )
        inputs = self.decision_inputs = self._collect_inputs(
            workspace, connected_share, now, gateways, margin_share
        )
        if not inputs.fits(cost):
            return self._find_wait(
                workspace, inputs, cost, connected_share, now
            )
        self._add_own_usage(workspace.name, cost, now)
        unpublished = self._unpublished.get(workspace.name, 0.0) + cost
        self._unpublished[workspace.name] = unpublished
        return None

    def _collect_inputs(
        self,
        workspace: Workspace,
        connected_share: float,
        now: float,
        gateways: int,
        margin_share: float,
    ) -> QuotaCheck:
        name = workspace.name
        limit = compute_limit(self._bounds, workspace, margin_share)
        burst = compute_burst(self._bounds, workspace, margin_share)
        self.prior_usage.assume_unrecorded(workspace)
        recorded_at = self._recorded_at.get(name, -math.inf)
        burst -= self.prior_usage.find_excess(workspace, recorded_at, now)
        earlier = self.prior_usage.sum(name, now)
        unreported, repeated = self._estimate_unreported(
            name, gateways * connected_share, now
        )
        return QuotaCheck(
            used=self._sum_usage(name, now),
            unreported=unreported,
            unreported_beyond_largest=repeated,
            # Each connected group of gateways gets its part of what the
            # prior usage leaves.
            limit=earlier + (limit - earlier) * connected_share,
            excess=self._find_excess(workspace, connected_share, now),
            burst=burst * connected_share,
        )

    def _find_wait(
        self,
        workspace: Workspace,
        inputs: QuotaCheck,
        cost: float,
        connected_share: float,
        now: float,
    ) -> float:
        """Return the seconds until the request would be admitted."""
        over = (
            inputs.excess
            + inputs.unreported_beyond_largest
            + cost
            - inputs.burst
        )
        over = min(inputs.excess, over)
        more = inputs.used + inputs.unreported + cost - inputs.limit
        wait = max(
            over / (workspace.rate * connected_share),
            self._find_window(workspace.name).find_wait(more, now),
        )
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))

    def _estimate_unreported(
        self, name: str, connected: float, now: float
    ) -> tuple[float, float]:
        """Estimate the usage that peers admitted but have not yet reported.

        Each peer is assumed to have admitted as much as this gateway: units
        that leave the window become available to all of them at once, and
        their reports take some tenths of a second. The estimate counts at
        most `PUBLISH_SHARE_GATEWAYS` gateways, as with more of them, most
        have admitted nothing.

        Returns:
            The units, and the units without this gateway's largest request.
        """
        own, largest = sum_recent(
            self._own.get(name, ()), now - PROPAGATION_SECONDS
        )
        others = max(0.0, min(connected, PUBLISH_SHARE_GATEWAYS) - 1)
        return max(0.0, own) * others, max(0.0, own - largest) * others

    def needs_publishing(self, workspace: Workspace, gateways: int) -> bool:
        """Return whether to publish a workspace's usage to the peers at once.

        Args:
            workspace: The workspace.
            gateways: Number of gateways. All together may have as much
                unpublished usage as `PUBLISH_SHARE_GATEWAYS` of them.
        """
        if workspace.rate <= 0:
            return False
        unpublished = self._unpublished.get(workspace.name, 0.0)
        share = PUBLISH_SHARE * min(
            1.0, PUBLISH_SHARE_GATEWAYS / max(1, gateways)
        )
        return unpublished > share * self.limit(workspace)

    def is_near_limit(
        self, workspaces: Iterable[Workspace], now: float
    ) -> bool:
        """Return whether any workspace is near its limit.

        Such a workspace may reach the limit before the next report.
        """
        return any(
            self._sum_usage(workspace.name, now)
            > NEAR_LIMIT_SHARE * self.limit(workspace)
            for workspace in workspaces
            if workspace.rate > 0
        )

    def mark_published(self) -> None:
        """Record that the usage so far was published to the peers."""
        self._unpublished.clear()

    def limit(self, workspace: Workspace) -> float:
        """Return the units that may be admitted within a window."""
        return compute_limit(self._bounds, workspace)

    # Bursts and their records

    def _find_excess(
        self, workspace: Workspace, connected_share: float, now: float
    ) -> float:
        since = self._recorded_at.get(workspace.name, -math.inf)
        window = self._find_window(workspace.name)
        return window.find_excess(workspace.rate * connected_share, since, now)

    def list_bursting(
        self,
        workspaces: Iterable[Workspace],
        share: float,
        connected_share: float,
        now: float,
    ) -> list[str]:
        """Return the names of the workspaces whose usage must be recorded.

        Only workspaces whose usage changed since the last call are listed.

        Args:
            workspaces: All workspaces.
            share: Part of a burst above which the usage must be recorded.
            connected_share: Connected gateways as a share of all gateways.
            now: Time in seconds.
        """
        changed, self._changed = self._changed, set()
        return [
            workspace.name
            for workspace in workspaces
            if workspace.name in changed
            and workspace.rate > 0
            and self._find_excess(workspace, connected_share, now)
            > share * connected_share * compute_burst(self._bounds, workspace)
        ]

    def make_record(
        self, name: str, gateways: int, now: float
    ) -> list[tuple[float, float]]:
        """Return a workspace's usage for the store.

        Args:
            name: Name of the workspace.
            gateways: Number of connected gateways; with 0, only this
                gateway's own usage is returned.
            now: Time in seconds.

        Returns:
            Pairs of age in seconds and units.
        """
        self._find_window(name).close_bucket()
        if not gateways:
            return [(now - at, units) for at, units in self._own.get(name, ())]
        unreported, _ = self._estimate_unreported(name, gateways, now)
        return [*self._list_ages(name, now), (0.0, round(unreported))]

    def note_recorded(self, name: str, at: float) -> None:
        """Record that the store has the usage until a time."""
        before = self._recorded_at.get(name, -math.inf)
        self._recorded_at[name] = max(before, at)

    def forget_records(self) -> None:
        """Treat all usage as unrecorded, because the store lost rows."""
        self._recorded_at.clear()

    def refund(self, workspace: Workspace, cost: float, now: float) -> None:
        """Return the units of a request that did not run."""
        if workspace.rate > 0 and cost:
            self._add_own_usage(workspace.name, -cost, now)

    def update_from_peers(
        self,
        sender: str,
        used: Mapping[str, float],
        recent: Mapping[str, float],
        now: float,
    ) -> None:
        """Count the usage in a peer's report.

        Args:
            sender: Identifies one run of the peer.
            used: Units by workspace that the peer admitted since its start.
            recent: The units of them within the window. In a peer's first
                report only these count, as the others left the window.
            now: Time in seconds.
        """
        self._keep_summary(now)
        is_known = sender in self._peer_report_times
        since = self._peer_report_times.get(sender, now - self._bounds.window)
        self._peer_report_times[sender] = now
        for name, units in used.items():
            first = 0.0 if is_known else units - recent.get(name, 0.0)
            before = self._peer_totals.get((sender, name), first)
            self._peer_totals[sender, name] = units
            if units == before:
                continue
            self._changed.add(name)
            # A peer whose whole usage is recent may have just started, like
            # this gateway. Its usage does not overlap with prior usage, but
            # a summary may have had it.
            is_new = units <= recent.get(name, 0.0)
            if is_known or (is_new and not self.prior_usage.has_summary(name)):
                window = self._find_window(name)
                window.add_spread(units - before, since, now)
            else:
                self.prior_usage.add_peer_usage(name, units - before, now)

    def _keep_summary(self, now: float) -> None:
        """Note the other gateways' usage in the last summary, if any.

        Their first reports after it tell the same usage again.
        """
        if not self._is_summarized:
            return
        self._is_summarized = False
        recent = self.list_own_usage(now)
        for name, window in self._windows.items():
            total = window.sum(now)
            own = min(max(0.0, recent.get(name, 0.0)), total)
            part = (total - own) / total if total > 0 else 0.0
            self.prior_usage.note_summarized(name, window.scale(part))

    def list_own_usage(self, now: float) -> dict[str, float]:
        """Return the units by workspace that this gateway admitted recently.

        Only units within the window count.
        """
        recent = {}
        for name, own in self._own.items():
            while own and own[0].at <= now - self._bounds.window:
                own.popleft()
            if own:
                recent[name] = sum(charge.units for charge in own)
        return recent

    def list_taken(
        self, now: float, workspaces: Iterable[Workspace] = ()
    ) -> UsageByAge:
        """Return the usage of all gateways within the window, by age.

        Args:
            now: Time in seconds.
            workspaces: All workspaces, including those without usage.
        """
        for workspace in workspaces:
            self.prior_usage.assume_unrecorded(workspace)
        listed = {
            name: self._list_ages(name, now)
            for name in {*self._windows, *self.prior_usage.workspace_names()}
        }
        return {name: ages for name, ages in listed.items() if ages}

    def replace_with_summary(
        self, taken: UsageByAge, since: float, now: float
    ) -> None:
        """Replace the known usage by a hub's summary.

        Args:
            taken: Usage of all gateways, this gateway's up to ``since``
                included.
            since: Time up to which this gateway's usage is included.
            now: Time in seconds.
        """
        # The hub's summary includes the prior usage and all reports.
        self.prior_usage.discard()
        self._peer_totals.clear()
        self._peer_report_times.clear()
        self._is_summarized = True
        for name in self._windows.keys() | taken.keys():
            rows = [
                Charge(now - age, units) for age, units in taken.get(name, ())
            ]
            rows += [
                charge
                for charge in self._own.get(name, ())
                if charge.at > since
            ]
            self._find_window(name).replace(rows)

    def _list_ages(self, name: str, now: float) -> list[tuple[float, float]]:
        later = self._find_window(name).list_ages(now)
        return later + self.prior_usage.list_ages(name, now)

    def _sum_usage(self, name: str, now: float) -> float:
        return self._find_window(name).sum(now) + self.prior_usage.sum(
            name, now
        )

    def _find_window(self, name: str) -> SlidingWindow:
        window = self._windows.get(name)
        if window is None:
            window = self._windows[name] = SlidingWindow(self._bounds.window)
        return window

    def _add_own_usage(self, name: str, units: float, now: float) -> None:
        self._find_window(name).add(units, now)
        self._changed.add(name)
        self.used[name] = self.used.get(name, 0.0) + units
        own = self._own.setdefault(name, deque())
        own.append(Charge(now, units))
        while own[0].at <= now - self._bounds.window:
            own.popleft()
