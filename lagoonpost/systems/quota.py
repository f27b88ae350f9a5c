"""How much of each workspace's quota is left, over all gateways.

Pattern of load: one workspace sends many times its usual, through all
gateways at once. A fixed part for each gateway refuses callers that happen
to meet at one of them while the whole quota is hardly used; asking a
central counter costs a call a request. Here each gateway counts what all of
them let through within one sliding window: its own at once, the others' when
their counts arrive, some tenths of a second later.

What the others let through before their news arrives is not known, so the
limit used here stays below the one that is promised. A gateway that hears
only some of the others lets through only the part of those that it hears,
itself included: 1 of 9 cut off keeps a ninth, the other eight the rest.

A limit for the window alone lets all of it through at one moment, and a
gateway that starts after all were killed can't know how late that was. So a
burst beyond the rate is let through only once the store has a record of what
was used before. Gateways that start read the records, and take a whole burst
besides for used.
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
"""Least seconds to tell a refused caller; news is about as old."""
MAX_RETRY_SECONDS = 5.0
"""Most seconds to tell a refused caller; quotas may be raised meanwhile."""
PUBLISH_SHARE = 0.01
"""Part of a limit after which a gateway tells the others at once what it let
through, so that nine of them can't let through a tenth unheard."""
NEAR_LIMIT_SHARE = 0.7
"""Part of a limit from which a hub tells its sums at the fastest pace: at
seven times the usual use, which is about half of a quota, a window goes from
there to its limit within a second."""
PUBLISH_SHARE_GATEWAYS = 9
"""Gateways up to which that part holds; more share it among them."""
PROPAGATION_SECONDS = 0.2
"""Age of the news of what others let through: two reports at the fastest
pace."""


class Quotas:
    """Counts of all workspaces.

    Args:
        bounds: How exactly quotas are kept.
        started: Time from which this gateway knows what was let through;
            None if nothing can have been before, as everything is new.

    Attributes:
        used: Units let through by this gateway since its start.
        weighed: Inputs of the last decision, for the log.
        earlier: What was let through before this gateway heard of it.
    """

    def __init__(
        self, bounds: QuotaBounds, started: float | None = None
    ) -> None:
        self.used: dict[str, float] = {}
        self.decision_inputs: QuotaCheck | None = None
        self.prior_usage = PriorUsage(bounds, started)
        self._bounds = bounds
        self._windows: dict[str, SlidingWindow] = {}
        self._heard: dict[tuple[str, str], float] = {}
        self._heard_at: dict[str, float] = {}
        self._untold: dict[str, float] = {}
        self._own: dict[str, deque[Charge]] = {}
        self._recorded_at: dict[str, float] = {}
        self._changed: set[str] = set()

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Keep to other bounds from now on."""
        self._bounds = bounds
        self.prior_usage.set_bounds(bounds)
        for window in self._windows.values():
            window.seconds = bounds.window

    def take(
        self,
        workspace: Workspace,
        cost: float,
        part: float,
        now: float,
        gateways: int = 1,
    ) -> float | None:
        """Take a request's units.

        Args:
            workspace: Whose it is.
            cost: Its units.
            part: Part of all gateways that this one hears of, itself
                included; 0 to 1.
            now: Time in seconds.
            gateways: Number of gateways.

        Returns:
            None if it is let through, else seconds until it would be.
        """
        if workspace.rate <= 0:
            self.decision_inputs = None
            return None
        weighed = self.decision_inputs = self._weigh(
            workspace, part, now, gateways
        )
        if not weighed.fits(cost):
            return self._find_wait(workspace, weighed, cost, part, now)
        self._add_own(workspace.name, cost, now)
        untold = self._untold.get(workspace.name, 0.0) + cost
        self._untold[workspace.name] = untold
        return None

    def _weigh(
        self, workspace: Workspace, part: float, now: float, gateways: int
    ) -> QuotaCheck:
        name = workspace.name
        limit = self.limit(workspace)
        burst = compute_burst(self._bounds, workspace)
        self.prior_usage.assume_unrecorded(workspace)
        recorded_at = self._recorded_at.get(name, -math.inf)
        burst -= self.prior_usage.find_excess(workspace, recorded_at, now)
        earlier = self.prior_usage.sum(name, now)
        unheard, repeated = self._expect_unheard(name, gateways * part, now)
        return QuotaCheck(
            used=self._sum(name, now),
            unreported=unheard,
            unreported_beyond_largest=repeated,
            # Of what is left, each part of the gateways has its own.
            limit=earlier + (limit - earlier) * part,
            excess=self._find_excess(workspace, part, now),
            burst=burst * part,
        )

    def _find_wait(
        self,
        workspace: Workspace,
        weighed: QuotaCheck,
        cost: float,
        part: float,
        now: float,
    ) -> float:
        """Return the seconds until the request would be let through."""
        over = (
            weighed.excess
            + weighed.unreported_beyond_largest
            + cost
            - weighed.burst
        )
        over = min(weighed.excess, over)
        more = weighed.used + weighed.unreported + cost - weighed.limit
        wait = max(
            over / (workspace.rate * part),
            self._find_window(workspace.name).find_wait(more, now),
        )
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))

    def _expect_unheard(
        self, name: str, heard: float, now: float
    ) -> tuple[float, float]:
        """Return what others may have let through that is not heard yet.

        As much as this gateway each: what has become free is free for all
        of them, and they do not hear of each other for some tenths of a
        second. Most of many have let through nothing.

        Returns:
            The units, and how many if the largest request here is left out.
        """
        own, largest = sum_recent(
            self._own.get(name, ()), now - PROPAGATION_SECONDS
        )
        others = max(0.0, min(heard, PUBLISH_SHARE_GATEWAYS) - 1)
        return max(0.0, own) * others, max(0.0, own - largest) * others

    def needs_publishing(self, workspace: Workspace, gateways: int) -> bool:
        """Tell whether the others should hear of a workspace's use now.

        Args:
            workspace: The workspace.
            gateways: Number of gateways; together they may leave unheard
                what nine do.
        """
        if workspace.rate <= 0:
            return False
        untold = self._untold.get(workspace.name, 0.0)
        share = PUBLISH_SHARE * min(
            1.0, PUBLISH_SHARE_GATEWAYS / max(1, gateways)
        )
        return untold > share * self.limit(workspace)

    def is_near_limit(
        self, workspaces: Iterable[Workspace], now: float
    ) -> bool:
        """Tell whether a workspace may reach its limit by the next news."""
        return any(
            self._sum(each.name, now) > NEAR_LIMIT_SHARE * self.limit(each)
            for each in workspaces
            if each.rate > 0
        )

    def mark_published(self) -> None:
        """Note that the others were told what was let through."""
        self._untold.clear()

    def limit(self, workspace: Workspace) -> float:
        """Return the units that may be let through within a window."""
        return compute_limit(self._bounds, workspace)

    # Bursts, and what is known of them after a start

    def _find_excess(
        self, workspace: Workspace, part: float, now: float
    ) -> float:
        since = self._recorded_at.get(workspace.name, -math.inf)
        window = self._find_window(workspace.name)
        return window.find_excess(workspace.rate * part, since, now)

    def list_bursting(
        self,
        workspaces: Iterable[Workspace],
        share: float,
        part: float,
        now: float,
    ) -> list[str]:
        """Return whose use has to be recorded, of those that changed.

        Args:
            workspaces: All of them.
            share: Part of a burst from which on it has to be.
            part: Part of all gateways that this one hears of.
            now: Time in seconds.
        """
        changed, self._changed = self._changed, set()
        return [
            each.name
            for each in workspaces
            if each.name in changed
            and each.rate > 0
            and self._find_excess(each, part, now)
            > share * part * compute_burst(self._bounds, each)
        ]

    def make_record(
        self, name: str, gateways: int, now: float
    ) -> list[tuple[float, float]]:
        """Return a workspace's use by its age, for the store.

        With no ``gateways`` that are heard it is the own use alone.
        """
        self._find_window(name).close_bucket()
        if not gateways:
            return [(now - at, n) for at, n in self._own.get(name, ())]
        unheard, _ = self._expect_unheard(name, gateways, now)
        return [*self._list_ages(name, now), (0.0, round(unheard))]

    def note_recorded(self, name: str, at: float) -> None:
        """Note that the store has a record of the use until a time."""
        before = self._recorded_at.get(name, -math.inf)
        self._recorded_at[name] = max(before, at)

    def forget_records(self) -> None:
        """Take no use for recorded, as the store lost some rows."""
        self._recorded_at.clear()

    def refund(self, workspace: Workspace, cost: float, now: float) -> None:
        """Return the units of a request that did not run."""
        if workspace.rate > 0 and cost:
            self._add_own(workspace.name, -cost, now)

    def update_from_peers(
        self,
        sender: str,
        used: Mapping[str, float],
        recent: Mapping[str, float],
        now: float,
    ) -> None:
        """Take another gateway's count into account.

        Args:
            sender: Identifies one run of the other gateway.
            used: Units by workspace that it let through since its start.
            recent: The part of them within the window. When a gateway is
                first heard, only that counts: the rest is long ago.
            now: Time in seconds.
        """
        known = sender in self._heard_at
        since = self._heard_at.get(sender, now - self._bounds.window)
        self._heard_at[sender] = now
        for name, units in used.items():
            first = 0.0 if known else units - recent.get(name, 0.0)
            before = self._heard.get((sender, name), first)
            self._heard[sender, name] = units
            if units == before:
                continue
            self._changed.add(name)
            # One whose whole use is recent may have started like this one.
            if known or units <= recent.get(name, 0.0):
                window = self._find_window(name)
                window.add_spread(units - before, since, now)
            else:
                self.prior_usage.add_peer_usage(name, units - before, now)

    def list_own_usage(self, now: float) -> dict[str, float]:
        """Return the units that this gateway let through in the window."""
        recent = {}
        for name, own in self._own.items():
            while own and own[0].at <= now - self._bounds.window:
                own.popleft()
            if own:
                recent[name] = sum(each.units for each in own)
        return recent

    def list_taken(
        self, now: float, workspaces: Iterable[Workspace] = ()
    ) -> UsageByAge:
        """Return what all let through within the window, by its age.

        Args:
            now: Time in seconds.
            workspaces: All of them, also those that nothing is known of.
        """
        for each in workspaces:
            self.prior_usage.assume_unrecorded(each)
        listed = {
            name: self._list_ages(name, now)
            for name in {*self._windows, *self.prior_usage.workspace_names()}
        }
        return {name: ages for name, ages in listed.items() if ages}

    def replace_with_summary(
        self, taken: UsageByAge, since: float, now: float
    ) -> None:
        """Take a hub's sums in place of all that was known of others.

        Args:
            taken: What all let through, own use up to ``since`` included.
            since: Time up to which own use is in the sums.
            now: Time in seconds.
        """
        # The hub's sums have what may have been before.
        self.prior_usage.discard()
        for name in self._windows.keys() | taken.keys():
            rows = [
                Charge(now - age, units) for age, units in taken.get(name, ())
            ]
            rows += [
                each for each in self._own.get(name, ()) if each.at > since
            ]
            self._find_window(name).replace(rows)

    def _list_ages(self, name: str, now: float) -> list[tuple[float, float]]:
        later = self._find_window(name).list_ages(now)
        return later + self.prior_usage.list_ages(name, now)

    def _sum(self, name: str, now: float) -> float:
        return self._find_window(name).sum(now) + self.prior_usage.sum(
            name, now
        )

    def _find_window(self, name: str) -> SlidingWindow:
        window = self._windows.get(name)
        if window is None:
            window = self._windows[name] = SlidingWindow(self._bounds.window)
        return window

    def _add_own(self, name: str, units: float, now: float) -> None:
        self._find_window(name).add(units, now)
        self._changed.add(name)
        self.used[name] = self.used.get(name, 0.0) + units
        own = self._own.setdefault(name, deque())
        own.append(Charge(now, units))
        while own[0].at <= now - self._bounds.window:
            own.popleft()
