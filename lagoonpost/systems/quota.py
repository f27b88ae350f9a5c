"""Enforces each workspace's quota over all gateways.

Load pattern: one workspace sends many times its usual load through all
gateways at once. A fixed part of the quota for each gateway refuses callers
that happen to meet at one gateway while most of the quota is unused; a
central counter costs a remote call per request. Here each gateway counts the
usage that all gateways admitted within one sliding window: its own at once,
that of the peers when their reports arrive, some tenths of a second later.

A request is charged when it is sent to a runner, once for each run: what is
promised are the units that runners begin within a window. What cannot be
charged is refused when it arrives, so each request reserves its units until
then.

The usage that peers admitted but have not yet reported is unknown. As long as
much of a quota is left, each gateway decides alone, within its equal part of
what is tolerated beyond the limit: so much may be unknown to the others at any
moment. For more, and near the limit, the gateways ask one of them, the issuer
of the workspace's quota, which receives all reports. A request to it has the
asking gateway's total, so that a grant and its report are counted once. A
gateway that reaches no issuer admits its part of what is left. A gateway that
is connected to only some of its peers admits only the part of the quota of
the connected gateways, itself included: when 1 of 9 is cut off, it enforces a
ninth, and the other eight the rest.

With a limit on the window alone, all of it could be admitted at one moment,
and a gateway that starts after all gateways were killed cannot know how
recently that was. A burst beyond the rate is therefore admitted only once the
store has a record of the earlier usage. Gateways that start read the records
and assume that one further burst was used.
"""

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from lagoonpost.systems.prior_usage import PriorUsage
from lagoonpost.systems.quota_limit import (
    compute_alone_allowance,
    compute_burst,
    compute_limit,
)
from lagoonpost.systems.sliding_window import (
    PUBLISHED_BUCKETS,
    Charge,
    SlidingWindow,
    sum_recent,
)
from lagoonpost.systems.summarized_usage import SummarizedUsage
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.gateway_report import DatedUsage, UsageByAge
from lagoonpost.tables.quota import (
    QuotaBounds,
    QuotaCharge,
    QuotaCheck,
    QuotaOrder,
)

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
REPORTED_SECONDS = 0.4
"""Longest pause between a peer's reports."""
SILENCE_SECONDS = 2.0
"""Time after which a gateway that reports nothing counts as not connected."""
ALONE_SHARE = 0.7
"""Part of a limit up to which gateways decide alone. The usual usage is about
half."""
DELIVERY_SECONDS = 0.1
"""Time within which a report has reached a hub, and a summary others."""
REPORTED_BUCKETS = 32
"""Parts of a window in which a gateway reports its own usage to a new hub."""
MAX_REPORT_TIMES = 64
"""Times of own reports that are kept: six seconds at the shortest pause."""
WAIT_WEIGHT = 0.1
"""Weight of one request's wait in their mean."""
MAX_REFUND_SECONDS = 1.0
"""Age of a charge from which it is not refunded: peers learn of a refund as a
lower total, and take it for one of a charge as old as this."""


class _Denial(NamedTuple):
    """What an issuer has denied.

    Attributes:
        units: Units that it denied.
        until: Time in seconds before which it is not asked again for as many.
        possible_at: Time in seconds at which it would grant them.
    """

    units: float
    until: float
    possible_at: float


class Quotas:
    """Counts the usage of all workspaces and enforces their quotas.

    Args:
        bounds: Window and tolerance of the quotas.
        started: Time of this gateway's start, from which it counts usage; None
            if there can be no prior usage, as the whole system is new.
        expects_peers: Whether there are other gateways to be heard of.

    Attributes:
        used: Units admitted by this gateway since its start, by workspace.
        decision_inputs: Inputs of the last decision, for the log; None if
            the workspace has no quota.
        prior_usage: Usage from before this gateway's start.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        started: float | None = None,
        expects_peers: bool = False,
    ) -> None:
        self.used: dict[str, float] = {}
        self.decision_inputs: QuotaCheck | None = None
        self.prior_usage = PriorUsage(bounds, started, expects_peers)
        self._bounds = bounds
        self._windows: dict[str, SlidingWindow] = {}
        self._peer_totals: dict[tuple[str, str], float] = {}
        self._peer_report_times: dict[str, float] = {}
        self._peers_heard_at: dict[str, float] = {}
        self._peer_orders: dict[str, QuotaOrder] = {}
        self._peer_grants: dict[tuple[str, str], dict[int, float]] = {}
        self._unpublished: dict[str, float] = {}
        self._own: dict[str, deque[Charge]] = {}
        self._recorded_at: dict[str, float] = {}
        self._changed: set[str] = set()
        self._is_summarized = False
        self._summary: dict[str, list[Charge]] = {}
        self._is_from_summary = False
        self._summarized: dict[str, SummarizedUsage] = {}
        self._unreported: dict[str, list[Charge]] = {}
        self._granted: dict[str, list[Charge]] = {}
        self._informed_at = -math.inf
        self._summarized_at = -math.inf
        self._reserved: dict[str, float] = {}
        self._mean_wait = 0.0
        self._last_number = 0
        self._report_times: deque[float] = deque(maxlen=MAX_REPORT_TIMES)
        self._open_requests: dict[int, None] = {}
        self._denied: dict[str, _Denial] = {}
        self._granting: dict[str, tuple[float, float]] = {}
        self._report_pause = REPORTED_SECONDS

    def set_report_pause(self, seconds: float) -> None:
        """Set the longest pause between a gateway's reports."""
        self._report_pause = seconds

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Replace the window and tolerance of the quotas."""
        self._bounds = bounds
        self.prior_usage.set_bounds(bounds)
        for window in self._windows.values():
            window.seconds = bounds.window

    # Requests that arrive

    def reserve(
        self,
        workspace: Workspace,
        cost: float,
        connected_share: float,
        now: float,
        margin_share: float = 1.0,
    ) -> float | None:
        """Reserve the units of a request that arrives, or refuse it.

        Args:
            workspace: Workspace of the request.
            cost: Units of the request.
            connected_share: Connected gateways as a share of all gateways.
            now: Time in seconds.
            margin_share: As for `take`.

        Returns:
            None if it may be sent by what is known, else the seconds until
            it could be.
        """
        if workspace.rate <= 0:
            self.decision_inputs = None
            return None
        name = workspace.name
        wait = self.find_denial(name, cost, now)
        share = self._limit_share(connected_share, now)
        reserved = self._reserved.get(name, 0.0)
        inputs = self._collect_inputs(workspace, share, now, margin_share)
        # What leaves the window while the request waits is free for it.
        waited_until = now + self._mean_wait - self._bounds.window
        window = self._find_window(name)
        leaving = window.sum(now) - window.sum_since(waited_until)
        inputs = self.decision_inputs = inputs._replace(
            used=inputs.used - max(0.0, leaving) + reserved,
            excess=inputs.excess
            + max(0.0, reserved - workspace.rate * share * self._mean_wait),
        )
        if not inputs.fits(cost):
            late = self._find_wait(workspace, inputs, cost, share, now)
            wait = max(wait or 0.0, late)
        if wait is None:
            self._reserved[name] = reserved + cost
        return wait

    def release(
        self, workspace: Workspace, cost: float, waited: float
    ) -> None:
        """Release the units of a request that was charged or has ended.

        Args:
            workspace: Workspace of the request.
            cost: Units of the request.
            waited: Seconds since they were reserved.
        """
        left = self._reserved.get(workspace.name, 0.0) - cost
        self._reserved[workspace.name] = max(0.0, left)
        self._mean_wait += WAIT_WEIGHT * (waited - self._mean_wait)

    # Runs that are about to begin

    def may_decide_alone(
        self,
        workspace: Workspace,
        cost: float,
        connected_share: float,
        now: float,
        gateways: int,
    ) -> bool:
        """Return whether a run needs no issuer's grant.

        It needs none as long as all gateways together remain below
        `ALONE_SHARE` of the limits and within the allowance for what is not
        reported yet, if each has admitted as much as this one since the last
        news and is about to admit the same run.

        Args:
            workspace: Workspace of the request.
            cost: Units of the run.
            connected_share: Connected gateways as a share of all gateways.
            now: Time in seconds.
            gateways: Number of gateways.
        """
        if workspace.rate <= 0 or gateways <= 1:
            return True
        own = self._sum_unreported(workspace.name, now)
        share = self._limit_share(connected_share, now)
        others = max(0.0, gateways * share - 1)
        oldest = 2 * self._report_pause + PROPAGATION_SECONDS
        if self._informed_at < now - oldest:
            return False
        inputs = self._collect_inputs(workspace, share, now, 1.0)
        unknown = own * others + cost * (1 + others)
        if unknown > share * compute_alone_allowance(self._bounds, workspace):
            return False
        # A burst is a limit for restarts only, at which few runs coincide.
        coinciding = min(others, PUBLISH_SHARE_GATEWAYS - 1)
        excess = inputs.excess + own * others + cost * (1 + coinciding)
        return (
            max(0.0, inputs.used) + unknown <= ALONE_SHARE * inputs.limit
            and excess <= ALONE_SHARE * inputs.burst
        )

    def find_denial(self, name: str, cost: float, now: float) -> float | None:
        """Return the seconds until an issuer may grant what it has denied.

        Args:
            name: Name of the workspace.
            cost: Units of the run.
            now: Time in seconds.

        Returns:
            None if the issuer may be asked.
        """
        denial = self._denied.get(name)
        if denial is None or cost < denial.units or now >= denial.until:
            return None
        wait = max(denial.until, denial.possible_at) - now
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))

    def note_denied(
        self, name: str, cost: float, wait: float, pause: float, now: float
    ) -> None:
        """Record that an issuer has denied a run.

        Args:
            name: Name of the workspace.
            cost: Units of the run.
            wait: Seconds until it would be granted.
            pause: Seconds for which the issuer is not asked for as much.
            now: Time in seconds.
        """
        before = self._denied.get(name)
        if before is not None and now < before.until:
            cost = min(cost, before.units)
        self._denied[name] = _Denial(cost, now + pause, now + wait)

    def note_asking(self) -> QuotaOrder:
        """Record that an issuer is asked for a run; return the order of it."""
        self._last_number += 1
        self._open_requests[self._last_number] = None
        return self._find_order()

    def note_answered(self, number: int) -> None:
        """Record that an issuer is no longer asked for a run."""
        del self._open_requests[number]

    def note_report(self, now: float) -> QuotaOrder:
        """Record that a report is made; return the order of it."""
        self._last_number += 1
        self._report_times.append(now)
        return self._find_order()

    def _find_order(self) -> QuotaOrder:
        first = next(iter(self._open_requests), self._last_number + 1)
        return QuotaOrder(self._last_number, first)

    def charge(self, workspace: Workspace, cost: float, now: float) -> None:
        """Count a run that was granted."""
        if workspace.rate <= 0:
            return
        self._add_own_usage(workspace.name, cost, now)
        unpublished = self._unpublished.get(workspace.name, 0.0) + cost
        self._unpublished[workspace.name] = unpublished

    def grant(
        self,
        workspace: Workspace,
        cost: float,
        connected_share: float,
        now: float,
        sender: str = "",
        used: float = 0.0,
        margin_share: float = 1.0,
        heard_share: float = 1.0,
        order: QuotaOrder | None = None,
        issuers: Collection[str] | None = None,
    ) -> float | None:
        """Admit a run of any gateway, as the issuer, and count its units.

        Gateways that have just fallen silent may be cut off and ask another
        issuer. Until they count as not connected, each is assumed to have
        admitted as much as each of the others since it was heard.

        Args:
            workspace: Workspace of the request.
            cost: Units of the run.
            connected_share: Connected gateways as a share of all gateways.
            now: Time in seconds.
            sender: Identifies the run of the peer that asks; empty for this
                gateway.
            used: Units that the peer has admitted since its start.
            margin_share: As for `take`.
            heard_share: Part of the connected gateways that was heard a
                moment ago, above 0 to 1.
            order: Order of the peer's request; None if messages arrive in
                the order in which they were sent.
            issuers: Names of the other gateways that may be issuers; None for
                all.

        Returns:
            None if the run is granted, else the seconds until it would be.
        """
        name = workspace.name
        if order is not None and self._is_given_up(sender, order):
            return MIN_RETRY_SECONDS
        is_known = sender in self._peer_report_times
        if is_known:
            self._peers_heard_at[sender] = now
        if is_known and self._is_newest(sender, order):
            since = self._peer_report_times[sender]
            total = used + self._sum_untold(sender, name)
            self._count_peer(sender, name, total, since, now)
        share = self._limit_share(connected_share, now)
        inputs = self._collect_inputs(workspace, share, now, margin_share)
        recent = self._find_window(name).sum_since(now - SILENCE_SECONDS)
        silent = max(0.0, recent) * (1 / heard_share - 1)
        unheard = max(0.0, recent) * self._find_unheard_share(issuers, now)
        # The burst is a limit for restarts, not for cuts.
        inputs = inputs._replace(
            used=inputs.used + max(0.0, unheard - silent), unreported=silent
        )
        if not sender:
            self.decision_inputs = inputs
        if workspace.rate > 0 and not inputs.fits(cost):
            return self._find_wait(workspace, inputs, cost, share, now)
        if not sender:
            self.charge(workspace, cost, now)
            return None
        # What a peer that is not known yet has used comes with its first
        # report, which has this run once more.
        if is_known:
            before = self._peer_totals.get((sender, name), 0.0)
            self._peer_totals[sender, name] = before + cost
        if order is not None:
            grants = self._peer_grants.setdefault((sender, name), {})
            grants[order.number] = cost
        if self._is_summarized:
            self._granted.setdefault(name, []).append(Charge(now, cost))
        self._find_window(name).add(cost, now)
        self._changed.add(name)
        first, last = self._granting.get(name, (now, now))
        if now - last > REPORTED_SECONDS:
            first = now
        self._granting[name] = first, now
        return None

    def _find_unheard_share(
        self, issuers: Collection[str] | None, now: float
    ) -> float:
        """Return the share of `SILENCE_SECONDS` in which a peer was not heard.

        That of the issuer that was heard longest ago is returned: it may be
        cut off with other gateways, to which it grants as much.
        """
        oldest = now - SILENCE_SECONDS
        ages = (
            now - at
            for sender, at in self._peers_heard_at.items()
            if at > oldest
            and (issuers is None or sender.partition("/")[0] in issuers)
        )
        return max(ages, default=0.0) / SILENCE_SECONDS

    def _is_newest(self, sender: str, order: QuotaOrder | None) -> bool:
        """Return whether a peer's message is newer than those before.

        Datagrams may overtake each other, and the total of an older one would
        count as a refund.
        """
        if order is None:
            return True
        last = self._peer_orders.get(sender)
        if last is not None and order.number <= last.number:
            return False
        self._peer_orders[sender] = order
        return True

    def _is_given_up(self, sender: str, order: QuotaOrder) -> bool:
        """Return whether a peer no longer waits for a reply to a request."""
        last = self._peer_orders.get(sender)
        return last is not None and order.number < last.first_open

    def _sum_untold(self, sender: str, name: str) -> float:
        """Return the units granted to a peer that its totals may not have.

        They have each grant that it has received.
        """
        grants = self._peer_grants.get((sender, name))
        order = self._peer_orders.get(sender)
        if not grants or order is None:
            return 0.0
        for number in [n for n in grants if n < order.first_open]:
            del grants[number]
        return sum(grants.values())

    def _limit_share(self, connected_share: float, now: float) -> float:
        if self._peer_report_times:
            return connected_share
        return self.prior_usage.limit_share(connected_share, now)

    def take(
        self,
        workspace: Workspace,
        cost: float,
        connected_share: float,
        now: float,
        gateways: int = 1,
        margin_share: float = 1.0,
    ) -> float | None:
        """Admit a run within this gateway's part of what is left.

        Each gateway that reaches no issuer admits as much at the most, so
        that all of them together stay within the limit.

        Args:
            workspace: Workspace of the request.
            cost: Units of the run.
            connected_share: Connected gateways as a share of all gateways,
                this one included; 0 to 1.
            now: Time in seconds.
            gateways: Number of gateways.
            margin_share: Part that the run may use of what is admitted
                beyond the quota, from 0 to 1; more for runs that continue
                an answer.

        Returns:
            None if the run is admitted, else the seconds until it would be.
        """
        if workspace.rate <= 0:
            self.decision_inputs = None
            return None
        share = self._limit_share(connected_share, now)
        inputs = self._collect_inputs(workspace, share, now, margin_share)
        own = self._sum_unreported(workspace.name, now)
        others = (own + cost) * max(0.0, gateways * share - 1)
        inputs = self.decision_inputs = inputs._replace(unreported=others)
        if not inputs.fits(cost):
            return self._find_wait(workspace, inputs, cost, share, now)
        self.charge(workspace, cost, now)
        return None

    def _collect_inputs(
        self,
        workspace: Workspace,
        connected_share: float,
        now: float,
        margin_share: float,
    ) -> QuotaCheck:
        name = workspace.name
        limit = compute_limit(self._bounds, workspace, margin_share)
        burst = compute_burst(self._bounds, workspace, margin_share)
        self.prior_usage.assume_unrecorded(workspace)
        recorded_at = self._recorded_at.get(name, -math.inf)
        burst -= self.prior_usage.find_excess(workspace, recorded_at, now)
        earlier = self.prior_usage.sum(name, now)
        return QuotaCheck(
            used=self._sum_usage(name, now),
            unreported=0.0,
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
        over = inputs.excess + inputs.unreported + cost - inputs.burst
        over = min(inputs.excess, over)
        more = inputs.used + inputs.unreported + cost - inputs.limit
        wait = max(
            over / (workspace.rate * connected_share),
            self._find_window(workspace.name).find_wait(more, now),
        )
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))

    def _sum_unreported(self, name: str, now: float) -> float:
        """Return the units admitted here since the last news of the others."""
        since = self._find_unreported_since(now)
        own = self._own.get(name)
        return max(0.0, sum_recent(reversed(own), since)) if own else 0.0

    def _find_unreported_since(self, now: float) -> float:
        """Return the time from which the peers' usage is not known."""
        if self._informed_at <= now - self._bounds.window:
            return now - PROPAGATION_SECONDS
        return min(now - PROPAGATION_SECONDS, self._informed_at)

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
        unreported = 0.0
        if not self._is_granting(name, now):
            # The others go on as before until they have reported.
            since = now - PROPAGATION_SECONDS
            unreported = max(0.0, self._find_window(name).sum_since(since))
        return [*self._list_ages(name, now), (0.0, round(unreported))]

    def _is_granting(self, name: str, now: float) -> bool:
        """Return whether all gateways ask this one, and have for a while.

        It then knows of each run, and what was not granted is reported.
        """
        first, last = self._granting.get(name, (now, -math.inf))
        return last >= now - REPORTED_SECONDS >= first

    def note_recorded(self, name: str, at: float) -> None:
        """Record that the store has the usage until a time."""
        before = self._recorded_at.get(name, -math.inf)
        self._recorded_at[name] = max(before, at)

    def forget_records(self) -> None:
        """Treat all usage as unrecorded, because the store lost rows."""
        self._recorded_at.clear()

    def refund(
        self, workspace: Workspace, charge: QuotaCharge, now: float
    ) -> bool:
        """Return the units of a run that did not begin.

        They leave the window together with their charge, or the sum would be
        too small once the charge has left it.

        Args:
            workspace: The workspace.
            charge: The charge of the run.
            now: Time in seconds.

        Returns:
            Whether they are returned.
        """
        at, units = charge
        if workspace.rate <= 0 or now - at > MAX_REFUND_SECONDS:
            return False
        name = workspace.name
        self._find_window(name).subtract(units, at)
        self._changed.add(name)
        self.used[name] = self.used.get(name, 0.0) - units
        own = self._own.setdefault(name, deque())
        place = bisect_right(own, Charge(at, math.inf))
        own.insert(place, Charge(at, -units))
        return True

    def update_from_peers(
        self,
        sender: str,
        used: Mapping[str, float],
        recent: Mapping[str, float],
        now: float,
        order: QuotaOrder | None = None,
        dated: DatedUsage | None = None,
    ) -> None:
        """Count the usage in a peer's report.

        Args:
            sender: Identifies one run of the peer.
            used: Units by workspace that the peer admitted since its start.
            recent: The units of them within the window. In a peer's first
                report only these count, as the others left the window.
            now: Time in seconds.
            order: Order of the report; None if messages arrive in the order
                in which they were sent.
            dated: The recent units by age, as from `list_dated_usage`; None
                if their ages are not told.
        """
        self._keep_summary(now)
        is_known = sender in self._peer_report_times
        since = self._peer_report_times.get(sender, now - self._bounds.window)
        self._peer_report_times[sender] = self._peers_heard_at[sender] = now
        self._informed_at = now - self._report_pause
        if not self._is_newest(sender, order):
            return
        for name, units in used.items():
            total = units + self._sum_untold(sender, name)
            if is_known:
                self._count_peer(sender, name, total, since, now)
                continue
            self._peer_totals[sender, name] = total
            within = recent.get(name, 0.0)
            if within or (dated is not None and name in dated.buckets):
                self._changed.add(name)
                is_whole = units <= within
                self._add_first_report(name, dated, within, is_whole, now)

    def _count_peer(
        self, sender: str, name: str, units: float, since: float, now: float
    ) -> None:
        """Count what a peer's total has changed by.

        A lower total is a refund. Its charge is `MAX_REFUND_SECONDS` older
        than the last report at the most.

        Args:
            sender: Identifies one run of the peer.
            name: Name of the workspace.
            units: Units that the peer admitted since its start.
            since: Earliest time of the change in seconds.
            now: Time in seconds.
        """
        before = self._peer_totals.get((sender, name), 0.0)
        self._peer_totals[sender, name] = units
        if units == before:
            return
        self._changed.add(name)
        window = self._find_window(name)
        if units > before:
            window.add_spread(units - before, since, now)
            return
        at = since - MAX_REFUND_SECONDS
        window.subtract(before - units, at)

    def _keep_summary(self, now: float) -> None:
        """Keep of the last summary, if any, what no gateway reports.

        The gateways' first reports after it tell most of it again.
        """
        if not self._is_summarized:
            return
        self._is_summarized = False
        self._is_from_summary = True
        for name, window in self._windows.items():
            own = self._own.get(name, ())
            summarized = self._find_summarized(name)
            summarized.note_reported(own, self._informed_at)
            window.replace([*own, *self._granted.get(name, ())])
            self._insert_unreported(name, now)
        self._granted.clear()

    def _add_first_report(
        self,
        name: str,
        dated: DatedUsage | None,
        recent: float,
        is_whole: bool,
        now: float,
    ) -> None:
        """Count the usage in a peer's first report.

        Args:
            name: Name of the workspace.
            dated: Usage of the peer by age; None if its ages are not told.
            recent: Units of it within the window.
            is_whole: Whether it is all that the peer has admitted.
            now: Time in seconds.
        """
        window = self._find_window(name)
        seconds = self._bounds.window / REPORTED_BUCKETS
        rows = None
        if dated is not None:
            rows = [
                Charge(now - index * seconds, units)
                for index, units in dated.buckets.get(name, ())
            ]
        if not self._is_from_summary:
            # A peer whose whole usage is recent may have just started, like
            # this gateway. Its usage does not overlap with prior usage.
            if not is_whole:
                self.prior_usage.add_peer_usage(name, rows, recent, now)
            elif rows is None:
                window.add(recent, now)
            else:
                window.insert(rows)
            return
        summarized = self._find_summarized(name)
        if dated is None or rows is None:
            summarized.note_undated(recent, now)
        else:
            # The summary has what an earlier report had told by then.
            last = self._summarized_at - DELIVERY_SECONDS
            times = (now - age for age in dated.earlier)
            until = max((at for at in times if at <= last), default=-math.inf)
            earliest = (Charge(at - seconds, units) for at, units in rows)
            summarized.note_reported(earliest, until)
            window.insert(rows)
        self._insert_unreported(name, now)

    def _find_summarized(self, name: str) -> SummarizedUsage:
        """Return the usage of a workspace in the last summary."""
        found = self._summarized.get(name)
        if found is None:
            found = self._summarized[name] = SummarizedUsage(
                self._summary.get(name, ()),
                self._summarized_at,
                self._bounds.window,
                2 * REPORTED_SECONDS,
            )
        return found

    def _insert_unreported(self, name: str, now: float) -> None:
        """Count the usage in the summary that is not reported yet."""
        window = self._find_window(name)
        window.remove(self._unreported.pop(name, []))
        rows = self._find_summarized(name).list_unreported(now)
        window.insert(rows)
        self._unreported[name] = rows

    def list_own_usage(self, now: float) -> dict[str, float]:
        """Return the units by workspace that this gateway admitted recently.

        Only units within the window count.
        """
        since = now - self._bounds.window
        recent = {}
        for name, own in self._own.items():
            self._drop_old(own, now)
            if own and own[-1].at > since:
                recent[name] = sum_recent(reversed(own), since)
        return recent

    def list_dated_usage(self, now: float) -> DatedUsage:
        """Return the units that this gateway admitted recently, by age.

        They include those of another published bucket before the window, as
        a bucket leaves the window as a whole.
        """
        seconds = self._bounds.window / REPORTED_BUCKETS
        listed: dict[str, list[tuple[int, float]]] = {}
        for name, own in self._own.items():
            self._drop_old(own, now)
            buckets: dict[int, float] = {}
            for at, units in own:
                index = max(0, int((now - at) / seconds))
                buckets[index] = buckets.get(index, 0.0) + units
            if buckets:
                listed[name] = [
                    (index, round(units)) for index, units in buckets.items()
                ]
        earlier = tuple(round(now - at, 3) for at in self._report_times)
        return DatedUsage(listed, earlier)

    def _drop_old(self, own: deque[Charge], now: float) -> None:
        """Drop charges that have left the window and its oldest bucket."""
        window = self._bounds.window
        oldest = now - window - window / PUBLISHED_BUCKETS
        while own and own[0].at <= oldest:
            own.popleft()

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
        self._informed_at, self._summarized_at = since, now
        # The hub's summary includes the prior usage and all reports.
        self.prior_usage.discard()
        self._peer_totals.clear()
        self._peer_report_times.clear()
        self._peers_heard_at.clear()
        self._peer_orders.clear()
        self._peer_grants.clear()
        self._is_summarized = True
        self._is_from_summary = False
        self._summarized.clear()
        self._unreported.clear()
        self._granted.clear()
        self._summary = {
            name: [Charge(now - age, units) for age, units in ages]
            for name, ages in taken.items()
        }
        for name in self._windows.keys() | taken.keys():
            later = [
                charge
                for charge in self._own.get(name, ())
                if charge.at > since
            ]
            rows = [*self._summary.get(name, ()), *later]
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
        self._drop_old(own, now)
