"""Work that only the leader does: usage reports and runner orders.

One gateway at a time holds the lease for it. A new leader must not repeat a
usage report with other counts, nor act while a call of the previous leader may
still take effect.
"""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from statistics import median

import eliot

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.peer_sync import PeerSync
from lagoonpost.forwarding.timers import sleep_aligned
from lagoonpost.platform.cloud import CloudClient, CloudOutcome, Duty
from lagoonpost.platform.settings import HostSettings
from lagoonpost.platform.store import PlatformStore
from lagoonpost.store.clock import read_clock
from lagoonpost.store.lease import LeaseManager
from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Row,
    Unavailable,
    Write,
)
from lagoonpost.systems.demand import (
    DemandMeter,
    Sample,
    estimate_initial_busy,
)
from lagoonpost.systems.hub import MS_PER_SECOND, Roles
from lagoonpost.systems.lease import LeasePolicy
from lagoonpost.systems.placed_orders import PlacedOrders
from lagoonpost.systems.placement import DEFAULT_SECONDS_PER_TOKEN
from lagoonpost.systems.scaling import (
    SPOT_RETRY_SECONDS,
    Demand,
    RunnerOrder,
    count_runners,
    exclude_domains,
    keep_present,
    plan_orders,
)
from lagoonpost.systems.usage import (
    find_due_windows,
    is_remembered,
    sum_begun_requests,
)
from lagoonpost.tables.configuration import Service
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.tables.gateway_report import GatewayReport
from lagoonpost.unreadable import read_row

LEASE_NAME = "duties"
USAGE_PREFIX = "usage/"
LATE_CALL_SECONDS = 10.0
"""Longest time for which an unanswered call may still take effect: the
platform documents some seconds."""
LEASE_MARGIN_SECONDS = 0.5
"""Covers clock drift and the latency of a call to the platform."""
REPORT_WAIT_SECONDS = 2.0
"""Time after a start until reports of the other gateways have arrived. A
leader that acted earlier would count and order by its own requests alone."""
POLL_SECONDS = 0.5
"""Pause between checks for due work: a reclaim's notice is two seconds."""


class LeaderDuties:
    """Contends for the leader lease and does the due work under it.

    Args:
        settings: Settings of this host.
        store: The store.
        cloud: Client of the cloud's API.
        cluster: Configuration and runners.
        peer_sync: State exchanged with the other gateways.
        wall_clock: Returns seconds since the epoch.
        base: Number of on-demand runners that each service keeps.
        is_shifting: Tells whether a service moves to another version now.
    """

    def __init__(
        self,
        settings: HostSettings,
        store: PlatformStore,
        cloud: CloudClient,
        cluster: ClusterState,
        peer_sync: PeerSync,
        wall_clock: Callable[[], float],
        base: int,
        is_shifting: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._is_shifting = is_shifting
        self._settings = settings
        self._store = store
        self._cloud = cloud
        self._cluster = cluster
        self._peer_sync = peer_sync
        self._wall_clock = wall_clock
        self._base = base
        seconds = settings.bounds.lease_seconds
        policy = LeasePolicy(
            duration=seconds + 1.0,
            margin=LEASE_MARGIN_SECONDS,
            renew_after=seconds / 2,
            retry=0.3,
            poll=1.0,
            order=LATE_CALL_SECONDS,
            handback_delay=seconds + LEASE_MARGIN_SECONDS,
        )
        self._lease = LeaseManager(
            store, LEASE_NAME, settings.name, peer_sync.reports.run_id, policy
        )
        self._reported: dict[int, bool] = {}
        self._placed: defaultdict[str, PlacedOrders] = defaultdict(
            PlacedOrders
        )
        self._retry_at: dict[tuple[str, str], float] = {}
        self._meters: dict[str, DemandMeter] = {}
        self._last_sent_by_run: dict[str, dict[str, int]] = {}
        self._sent: Counter[str] = Counter()
        self._measures_from_start = settings.first_start
        self._leaving = False
        self._started = 0.0 if settings.first_start else wall_clock()
        self._ready_at = read_clock()
        if not settings.first_start:
            self._ready_at += REPORT_WAIT_SECONDS

    def handle_new_era(self) -> None:
        """Wait out every possible holder before the lease is taken again."""
        self._lease.handle_store_restore(self._store.eras.era)

    def is_held(self) -> bool:
        """Tell whether this gateway is the leader."""
        return self._lease.is_held()

    def is_contender(self) -> bool:
        """Tell whether this gateway may become the leader."""
        if self._leaving or read_clock() < self._ready_at:
            return False
        return self._settings.name in self._peer_sync.find_roles().contenders

    async def run(self) -> None:
        """Contend for the lease and do due work until cancelled."""
        self._lease.set_wanted(False)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._lease.run())
            group.create_task(self._contend())
            if self._settings.reports_usage:
                group.create_task(self._report_usage())
            if self._settings.orders_runners:
                group.create_task(self._order_runners())

    def leave(self) -> None:
        """Start no more work, as this process is about to end."""
        self._leaving = True
        self._lease.set_wanted(False)

    async def release(self) -> None:
        """Release the lease before this process ends."""
        self.leave()
        await self._lease.release()

    async def _contend(self) -> None:
        wanted = False
        while True:
            roles = self._peer_sync.find_roles()
            before, wanted = wanted, self._may_contend(roles)
            self._lease.set_wanted(wanted)
            if wanted != before:
                eliot.log_message(
                    message_type="lagoonpost:duties:contend",
                    wanted=wanted,
                    contenders=roles.contenders,
                )
            await sleep_aligned(POLL_SECONDS)

    def _may_contend(self, roles: Roles) -> bool:
        if self.is_held():
            return self._settings.name in roles.eligible_holders
        return self.is_contender()

    async def _send(
        self, send: Callable[[Duty], Awaitable[CloudOutcome]], **fields: object
    ) -> CloudOutcome:
        """Make a fenced call as the leader, and log it with extra fields."""
        fence = self._lease.fence

        def may_send() -> bool:
            return self._lease.fence == fence and self.is_held()

        duty = Duty(self._settings.name, fence, may_send)
        sent_at = round(self._wall_clock(), 4)
        with self._lease.call() as call:
            outcome = await send(duty)
            call.answered = outcome != "unknown"
        eliot.log_message(
            holder=duty.holder,
            fence=fence,
            sent_at=sent_at,
            outcome=outcome,
            **fields,
        )
        return outcome

    # Usage

    async def _report_usage(self) -> None:
        bounds = self._settings.bounds
        while True:
            await sleep_aligned(POLL_SECONDS)
            if not self.is_held():
                continue
            due = find_due_windows(
                self._wall_clock(),
                bounds.usage_window,
                bounds.usage_late,
                self._reported,
            )
            for window in due:
                await self._report_window(window)

    async def _report_window(self, window: int) -> None:
        """Report one usage window, with the counts of any earlier report.

        A leader may die after its call and before it publishes that fact.
        The next leader would count again and get a different result. So the
        counts are written to the store first, and a leader that finds them
        there repeats them unchanged.
        """
        counts = await self._persist_counts(window)
        if counts is None or not self.is_held():
            return
        outcome = await self._send(
            lambda duty: self._cloud.report_usage(duty, window, counts),
            message_type="lagoonpost:duties:usage",
            window=window,
            counts=counts,
        )
        if outcome in ("done", "fenced"):
            self._reported[window] = True

    async def _persist_counts(self, window: int) -> dict[str, int] | None:
        counts = self._peer_sync.usage_gossip.usage.get(window)
        if counts is None and not self._is_remembered(window):
            return await self._read_counts(window)
        if counts is None:
            # Peers keep the published counts even if the store loses the row.
            reports = self._peer_sync.reports.list_reports()
            counts = sum_begun_requests(reports, window)
        key = f"{USAGE_PREFIX}{window}"
        outcome = await self._store.transact(
            [Condition(key, 0)], [Write(key, counts)]
        )
        match outcome:
            case Committed():
                pass
            case Conflict((row, *_)):
                counts = self._read_row(window, row)
            case _:
                return None
        if counts is None:
            return None
        self._peer_sync.usage_gossip.publish_usage(window, counts)
        return counts

    def _is_remembered(self, window: int) -> bool:
        starts = [
            member.incarnation / MS_PER_SECOND
            for member in self._peer_sync.find_others()
        ]
        seconds = self._settings.bounds.usage_window
        return is_remembered(window, seconds, [self._started, *starts])

    async def _read_counts(self, window: int) -> dict[str, int] | None:
        """Return the counts of a window that no running gateway remembers.

        A store that came back from an older copy may have lost a row whose
        counts were told. So the window is not counted again; the counts of
        gateways that ended are lost in any case.
        """
        rows = await self._store.read([f"{USAGE_PREFIX}{window}"])
        if isinstance(rows, Unavailable):
            return None
        if rows[0].version:
            return self._read_row(window, rows[0])
        self._reported[window] = True
        eliot.log_message(
            message_type="lagoonpost:duties:not_counted", window=window
        )
        return None

    def _read_row(self, window: int, row: Row) -> dict[str, int] | None:
        """Return the counts in the row of a window.

        If it can't be read, the counts in it may have been reported. Those
        that its writer told to the gateways are the same. Without them, the
        window counts as reported, as another report could have other counts.
        """
        counts = read_row(row.key, row.value, dict[str, int])
        if not isinstance(counts, Unreadable):
            return dict(counts)
        told = self._peer_sync.usage_gossip.usage.get(window)
        if told is None:
            self._reported[window] = True
        return told

    # Orders

    async def _order_runners(self) -> None:
        while True:
            await sleep_aligned(POLL_SECONDS)
            self._measure()
            if not self.is_held():
                continue
            for service in self._list_scaled().values():
                await self._order_service(service)

    def _list_scaled(self) -> dict[str, Service]:
        """Return the services that have a scaling policy."""
        if self._cluster.routes is None:
            return {}
        services = self._cluster.routes.configuration.services
        return {
            name: service
            for name, service in services.items()
            if service.scaling is not None
        }

    def _measure(self) -> None:
        """Add up the load of each service from all gateways' reports.

        Only some gateways receive all reports. One that receives them later
        starts with empty meters, as it knew only its own share of the load.
        """
        if not self._peer_sync.reports.receives_reports():
            self._meters.clear()
            self._last_sent_by_run.clear()
            self._measures_from_start = False
            return
        self._add_sent(self._peer_sync.reports.list_reports())
        fresh = self._peer_sync.reports.list_fresh_reports(with_own=True)
        now = read_clock()
        for service in self._list_scaled():
            waiting = sum(
                r.unread_prompt_tokens.get(service, 0) for r in fresh
            )
            paces = [
                r.seconds_per_prompt_token[service]
                for r in fresh
                if service in r.seconds_per_prompt_token
            ]
            pace = median(paces) if paces else DEFAULT_SECONDS_PER_TOKEN
            meter = self._meter(service)
            meter.note(Sample(now, self._sent[service], waiting, pace))

    def _add_sent(self, reports: list[GatewayReport]) -> None:
        """Add the tokens that each gateway run has sent since its last report.

        A first report adds nothing, as its total covers the time since the
        gateway's start. A run that is dropped subtracts nothing.
        """
        sent_by_run = {report.run: report.prompt_tokens for report in reports}
        for run, sent in sent_by_run.items():
            self._sent.update(sent)
            self._sent.subtract(self._last_sent_by_run.get(run, sent))
        self._last_sent_by_run = sent_by_run

    def _meter(self, service: str) -> DemandMeter:
        meter = self._meters.get(service)
        if meter is None:
            expected = 0.0
            if self._measures_from_start and self._cluster.routes is not None:
                workspaces = self._cluster.routes.configuration.workspaces
                expected = estimate_initial_busy(
                    workspaces, DEFAULT_SECONDS_PER_TOKEN
                )
            meter = DemandMeter(self._measures_from_start, expected)
            self._meters[service] = meter
        return meter

    async def _order_service(self, service: Service) -> None:
        assert service.scaling is not None
        now = read_clock()
        evacuated = self._cluster.evacuated_domains
        scaling = exclude_domains(service.scaling, evacuated)
        running = count_runners(
            runner
            for runner in self._cluster.find_all_runners(service.name)
            if runner.failure_domain not in evacuated
        )
        busy = self._meter(service.name).busy()
        if busy is None:
            return
        demand = Demand(busy, self._base)
        sold_out = {
            domain: at
            for (name, domain), at in self._retry_at.items()
            if name == service.name
        }
        orders = plan_orders(scaling, demand, running, sold_out, now)
        if self._is_shifting(service.name):
            orders = keep_present(orders, running)
        placed = self._placed[service.name]
        placed.note_present(running)
        for order in orders:
            if not self.is_held():
                return
            if placed.is_needed(order, running, orders, read_clock()):
                await self._place_order(service.name, order)

    async def _place_order(self, service: str, order: RunnerOrder) -> None:
        tenure, count = order
        outcome = await self._send(
            lambda duty: self._cloud.order_runners(
                duty, service, tenure.domain, count, tenure.spot
            ),
            message_type="lagoonpost:duties:order",
            service=service,
            failure_domain=tenure.domain,
            spot=tenure.spot,
            count=count,
            **self._meter(service).describe(),
        )
        self._record_outcome(service, order, outcome)

    def _record_outcome(
        self, service: str, order: RunnerOrder, outcome: CloudOutcome
    ) -> None:
        now = read_clock()
        if outcome == "done":
            self._placed[service].note_placed(order, now)
            if order.capacity_pool.spot:
                self._end_drought(service, order.capacity_pool.domain, now)
        elif outcome == "fenced" and order.capacity_pool.spot:
            # Either there is no capacity, or another gateway holds the lease
            # by now; the next check of the lease shows which.
            key = (service, order.capacity_pool.domain)
            self._retry_at[key] = now + SPOT_RETRY_SECONDS

    def _end_drought(self, service: str, domain: str, now: float) -> None:
        """Record that reclaimable runners are available again.

        Capacity mostly returns in all failure domains at once, so orders in
        the other domains are retried without delay.
        """
        self._retry_at.pop((service, domain), None)
        for key in self._retry_at:
            if key[0] == service:
                self._retry_at[key] = now
