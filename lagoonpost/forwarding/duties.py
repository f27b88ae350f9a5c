"""Work that one gateway at a time does: usage reports and orders."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from statistics import median

import eliot

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.peer_sync import PeerSync
from lagoonpost.forwarding.timers import sleep_aligned
from lagoonpost.platform.cloud import CloudCalls, CloudOutcome, Duty
from lagoonpost.platform.settings import HostSettings
from lagoonpost.platform.store import PlatformStore
from lagoonpost.store.clock import read_clock
from lagoonpost.store.lease import LeaseKeeper
from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Write,
)
from lagoonpost.systems.demand import (
    DemandMeter,
    Sample,
    estimate_initial_busy,
)
from lagoonpost.systems.hub import Roles
from lagoonpost.systems.lease import LeasePolicy
from lagoonpost.systems.placement import DEFAULT_SECONDS_PER_TOKEN
from lagoonpost.systems.scaling import (
    SPOT_RETRY_SECONDS,
    CapacityPool,
    Demand,
    RunnerOrder,
    count_runners,
    plan_orders,
)
from lagoonpost.systems.usage import find_due_windows, sum_begun_requests
from lagoonpost.tables.configuration import Service
from lagoonpost.tables.gateway_report import GatewayReport

LEASE_NAME = "duties"
USAGE_PREFIX = "usage/"
LATE_CALL_SECONDS = 10.0
"""Longest time after which a call without an answer may still take effect:
the platform says some seconds."""
LEASE_MARGIN_SECONDS = 0.5
"""Covers clocks that run unlike, and the way of a call to the platform."""
REPORT_WAIT_SECONDS = 2.0
"""Time after a start until the others' reports are heard: counts and orders of
one that takes the duties before would be by its own requests alone."""
POLL_SECONDS = 0.5
"""Pause between looks at what is due: a reclaim's notice is two seconds."""
ORDER_RETRY_SECONDS = 8.0
"""Time after which an order that shows no effect is given again: start-up
and two heartbeats."""


class LeaderDuties:
    """Takes the lease and does what is due under it.

    Args:
        settings: Of this host.
        store: The store.
        cloud: The cloud's calls.
        belief: Configuration and runners.
        shared: What is known of the other gateways.
        wall_clock: Seconds since the epoch.
        base: Runners at full price that each service keeps.
    """

    def __init__(
        self,
        settings: HostSettings,
        store: PlatformStore,
        cloud: CloudCalls,
        cluster: ClusterState,
        peer_sync: PeerSync,
        wall_clock: Callable[[], float],
        base: int,
    ) -> None:
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
        self._lease = LeaseKeeper(
            store, LEASE_NAME, settings.name, peer_sync.reports.run_id, policy
        )
        self._reported: dict[int, bool] = {}
        self._ordered: dict[tuple[str, CapacityPool], tuple[int, float]] = {}
        self._ask_again: dict[tuple[str, str], float] = {}
        self._meters: dict[str, DemandMeter] = {}
        self._heard: dict[str, dict[str, int]] = {}
        self._sent: Counter[str] = Counter()
        self._from_start = settings.first_start
        self._leaving = False
        self._hears_from = read_clock()
        if not settings.first_start:
            self._hears_from += REPORT_WAIT_SECONDS

    def handle_new_era(self) -> None:
        """Take the lease only after all who may still hold it."""
        self._lease.distrust(self._store.eras.era)

    def is_held(self) -> bool:
        """Tell whether this gateway does the duties."""
        return self._lease.is_held()

    def is_contender(self) -> bool:
        """Tell whether this gateway may do the duties next."""
        if self._leaving or read_clock() < self._hears_from:
            return False
        return self._settings.name in self._peer_sync.find_roles().contenders

    async def run(self) -> None:
        """Contend for the lease and do what is due until cancelled."""
        self._lease.want(False)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._lease.run())
            group.create_task(self._look())
            if self._settings.reports_usage:
                group.create_task(self._report_usage())
            if self._settings.orders_runners:
                group.create_task(self._order_runners())

    def leave(self) -> None:
        """Begin nothing more, as this process is about to end."""
        self._leaving = True
        self._lease.want(False)

    async def release(self) -> None:
        """Give the lease away before this process ends."""
        self.leave()
        await self._lease.release()

    async def _look(self) -> None:
        wanted = False
        while True:
            roles = self._peer_sync.find_roles()
            before, wanted = wanted, self._may_contend(roles)
            self._lease.want(wanted)
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
        self, send: Callable[[Duty], Awaitable[CloudOutcome]], **told: object
    ) -> CloudOutcome:
        """Make a call as the holder, and log it with what is told of it."""
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
            **told,
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
        """Report one window, exactly as any holder before did.

        A holder may die between its call and the news of it. The next one
        would count anew, and differ; so the counts are written first, and
        whoever finds them there repeats them as they are.
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
        if counts is None:
            # Counted once: the store may lose the row, not so the others.
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
                counts = {str(k): int(v) for k, v in dict(row.value).items()}
            case _:
                return None
        self._peer_sync.usage_gossip.publish_usage(window, counts)
        return counts

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
        """Return the services whose runners may be ordered."""
        if self._cluster.routes is None:
            return {}
        services = self._cluster.routes.configuration.services
        return {
            name: service
            for name, service in services.items()
            if service.scaling is not None
        }

    def _measure(self) -> None:
        """Add up what all gateways say of each service's load.

        Only those that hear all can. One that becomes a hub later begins
        anew, as it has no more than its own share of the load before.
        """
        if not self._peer_sync.reports.is_hub():
            self._meters.clear()
            self._heard.clear()
            self._from_start = False
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
        """Add what each run has sent since it was heard before.

        What one that is heard for the first time has sent is no load of
        now, nor does one that is forgotten take any away.
        """
        heard = {each.run: each.prompt_tokens for each in reports}
        for run, sent in heard.items():
            self._sent.update(sent)
            self._sent.subtract(self._heard.get(run, sent))
        self._heard = heard

    def _meter(self, service: str) -> DemandMeter:
        meter = self._meters.get(service)
        if meter is None:
            expected = 0.0
            if self._from_start and self._cluster.routes is not None:
                workspaces = self._cluster.routes.configuration.workspaces
                expected = estimate_initial_busy(
                    workspaces, DEFAULT_SECONDS_PER_TOKEN
                )
            meter = DemandMeter(self._from_start, expected)
            self._meters[service] = meter
        return meter

    async def _order_service(self, service: Service) -> None:
        assert service.scaling is not None
        now = read_clock()
        there = count_runners(self._cluster.find_all_runners(service.name))
        busy = self._meter(service.name).busy()
        if busy is None:
            return
        demand = Demand(busy, self._base)
        dry = {
            domain: at
            for (name, domain), at in self._ask_again.items()
            if name == service.name
        }
        orders = plan_orders(service.scaling, demand, there, dry, now)
        for order in orders:
            if not self.is_held():
                return
            if self._needs(service.name, order, there, orders):
                await self._give(service.name, order)

    def _needs(
        self,
        service: str,
        order: RunnerOrder,
        there: dict[CapacityPool, int],
        orders: list[RunnerOrder],
    ) -> bool:
        count = there.get(order.capacity_pool, 0)
        before = self._ordered.get((service, order.capacity_pool))
        if before is not None and before[0] == order.runners:
            overdue = read_clock() - before[1] > ORDER_RETRY_SECONDS
            return overdue and count != order.runners
        if before is None and count == order.runners:
            return False
        present = sum(there.values())
        planned = sum(each.runners for each in orders)
        # Runners go only once what takes their place is there.
        return order.runners > count or present >= planned

    async def _give(self, service: str, order: RunnerOrder) -> None:
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
        self._take_outcome(service, order, outcome)

    def _take_outcome(
        self, service: str, order: RunnerOrder, outcome: CloudOutcome
    ) -> None:
        now = read_clock()
        if outcome == "done":
            self._ordered[service, order.capacity_pool] = (order.runners, now)
            if order.capacity_pool.spot:
                self._end_drought(service, order.capacity_pool.domain, now)
        elif outcome == "fenced" and order.capacity_pool.spot:
            # None are to be had, or another holds the lease by now; the
            # next look tells which.
            key = (service, order.capacity_pool.domain)
            self._ask_again[key] = now + SPOT_RETRY_SECONDS

    def _end_drought(self, service: str, domain: str, now: float) -> None:
        """Note that there are reclaimable runners again.

        They mostly come back in all domains at once, so the others are
        asked without waiting.
        """
        self._ask_again.pop((service, domain), None)
        for key in self._ask_again:
            if key[0] == service:
                self._ask_again[key] = now
