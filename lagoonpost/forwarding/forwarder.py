"""Forwards requests to runners; all kinds of requests share one code path."""

import asyncio
import random
from collections.abc import Callable, Mapping

from lagoonpost.forwarding.admission import Admission
from lagoonpost.forwarding.attempt import (
    Barred,
    Broken,
    Moved,
    OverQuota,
    Silent,
)
from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.crash_watch import CrashWatch
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.forwarding.issuers import Issuers
from lagoonpost.forwarding.migration import Migrations
from lagoonpost.forwarding.notice_reader import NoticeReader
from lagoonpost.forwarding.offers import Offers, send_response
from lagoonpost.forwarding.peer_sync import PeerSync
from lagoonpost.forwarding.permits import Permits
from lagoonpost.forwarding.quota_charges import QuotaCharges, QuotaCluster
from lagoonpost.forwarding.quota_recorder import ClockedStore
from lagoonpost.forwarding.refusal import (
    ANSWER_LOST,
    NO_RUNNER,
    NOT_SENT,
    SUSPECTED,
    TOO_LATE,
    Refusal,
    make_refusal,
)
from lagoonpost.forwarding.request_log import (
    log_cut_off,
    log_scheduling,
    log_trial,
)
from lagoonpost.forwarding.retry_budgets import RetryBudgets
from lagoonpost.forwarding.runner_choice import RunnerChooser
from lagoonpost.forwarding.runner_paths import RunnerClient, RunnerPaths
from lagoonpost.forwarding.service_loads import ServiceLoads
from lagoonpost.forwarding.trials import Trials
from lagoonpost.forwarding.usage_counter import UsageCounter
from lagoonpost.forwarding.version_shifts import VersionShifts
from lagoonpost.http.client import Client
from lagoonpost.http.message import Request
from lagoonpost.http.responder import Responder
from lagoonpost.platform.headers import parse_request_headers
from lagoonpost.platform.kv_cache import KvCacheClient
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.placement import Choice, Placement
from lagoonpost.systems.reach import Reach
from lagoonpost.tables.bounds import Bounds
from lagoonpost.tables.gateway_report import RunnerWork
from lagoonpost.tables.scheduling import NO_PARTS, Scheduling

CONFIGURATION_WAIT_SECONDS = 0.4
"""Time from the first request after a start during which requests wait for
the first configuration, which usually arrives some hundredths of a second
later."""


class Forwarder:
    """Handles callers' requests.

    Args:
        view: Local view of the configuration and the runners.
        client: HTTP client.
        usage: Counts of started requests by workspace.
        bounds: Time limits and ratios from the settings.
        rng: Source of random choices.
        log: Called with each finished exchange.
        admission: Accepts or refuses requests before they are forwarded.
        crashes: Tells which requests crash runners.
        make_paths: Returns the paths to runners, given what is known of them.
        store: Store that holds reserved retries.
        is_store_lost: Returns whether the store doesn't answer this gateway.

    Attributes:
        admission: Accepts or refuses requests before they are forwarded.
        cluster: State exchanged with the other gateways.
        placement: Chooses runners by their load.
        paths: Opens connections to runners.
        permits: Gets permits for runners that bear less than usual.
        retries: Grants retries within the budgets of the services.
        trials: Gets permits for trials of requests that may crash runners.
        notices: Reads what runners say of themselves in answers.
        offers: Offers requests to runners.
        scheduling: Parts of the scheduling that are in effect.
    """

    def __init__(
        self,
        view: ClusterState,
        client: Client,
        usage: UsageCounter,
        bounds: Bounds,
        rng: random.Random,
        log: Callable[[Exchange], None],
        admission: Admission,
        crashes: CrashWatch,
        make_paths: Callable[[Reach], RunnerPaths],
        store: ClockedStore,
        is_store_lost: Callable[[], bool],
    ) -> None:
        self._view = view
        self._bounds = bounds
        self._log = log
        self.admission = admission
        self._crashes = crashes
        self.cluster: PeerSync
        self.placement = Placement()
        self.paths = make_paths(self.placement.reach)
        crashes.check_runner = self.paths.check
        self.permits = Permits(view, lambda: self.cluster.find_others())
        self.trials = Trials(
            view.limits.group, lambda: self.cluster.find_others()
        )
        self.retries = RetryBudgets(
            view.limits.group.name,
            bounds,
            store,
            is_store_lost,
            lambda: self.cluster.find_roles().eligible_holders,
            lambda: self.cluster.find_others(),
            view.limits.group.count,
            rng,
        )
        self.notices = NoticeReader(
            view, self.permits, self.placement.count_open
        )
        self._chooser = RunnerChooser(
            view, self.permits, self.placement, self.paths, rng
        )
        migrations = Migrations(
            view,
            self.placement,
            KvCacheClient(RunnerClient(self.paths)),
            self._chooser.find_waits,
            self.permits,
            self.retries.acquire,
            crashes.may_send,
            lambda exchange: admission.charge(exchange, continues=True),
            admission.refund,
            lambda: self._bounds.drain_seconds,
            rng,
        )
        self.offers = Offers(
            client,
            self.paths,
            self.placement,
            self.permits,
            migrations,
            usage,
            crashes,
            view,
            self.notices,
            self._chooser.ordering,
            admission.charge,
            admission.refund,
        )
        self.offers.choose_next = self._choose_next
        self._loads = ServiceLoads(view, self.placement, admission.shares)
        self._configuration_deadline: float | None = None
        self.scheduling = NO_PARTS

    def connect(self, cluster: PeerSync, shifts: VersionShifts) -> None:
        """Set what is built after the forwarder, before the first request.

        Args:
            cluster: State exchanged with the other gateways.
            shifts: Services that shift to another version.
        """
        self.cluster = self._chooser.cluster = cluster
        self.offers.shifts = self._chooser.shifts = shifts
        self.permits.listen(cluster.messenger)
        self.trials.listen(cluster.messenger)
        self.retries.listen(cluster.messenger)
        self.admission.cluster = cluster
        self.admission.charges = self._make_charges(cluster)
        self.admission.charges.listen(cluster.messenger)
        self.notices.publish = cluster.publish_news

    def _make_charges(self, cluster: PeerSync) -> QuotaCharges:
        issuers = Issuers(
            self._view.limits.group.name,
            lambda: cluster.find_quota_issuers(self._bounds.quota_window),
            cluster.find_others,
            read_clock,
        )
        reports = cluster.reports
        return QuotaCharges(
            self.admission.quotas,
            self._view.list_workspaces,
            QuotaCluster(
                issuers,
                reports.find_sender,
                reports.reachable_share,
                reports.find_heard_share,
                reports.find_pause,
                cluster.count_gateways,
            ),
            self.admission.note_charged,
        )

    def note_peer_work(self, work: Mapping[str, RunnerWork]) -> None:
        """Apply the newest reports of the other gateways.

        Args:
            work: Their open work by runner.
        """
        self.placement.update_from_peers(work)
        if self.scheduling.shares:
            self._loads.update(self.cluster.reports.find_peer_demand())
        limits = self._view.limits
        own = self.placement.report() if limits.has_statements() else {}
        limits.note_reports(
            {id_: each.requests for id_, each in own.items()},
            {id_: each.requests for id_, each in work.items()},
            read_clock(),
        )

    def set_scheduling(self, scheduling: Scheduling) -> None:
        """Apply the parts of the scheduling that are in effect now."""
        if scheduling == self.scheduling:
            return
        log_scheduling(scheduling)
        self.scheduling = scheduling
        self.placement.scheduling = scheduling
        self.admission.scheduling = scheduling
        self._chooser.scheduling = scheduling

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new bounds."""
        if bounds == self._bounds:
            return
        self._bounds = bounds
        self.retries.set_bounds(bounds)
        self.admission.set_bounds(bounds)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        loop = asyncio.get_running_loop()
        exchange = Exchange(
            request, parse_request_headers(request.headers), loop.time
        )
        try:
            if not self._view.loaded.is_set():
                await self._wait_loaded(exchange.now())
            refusal = self.admission.admit(exchange)
            if refusal is None:
                refusal = await self._forward(exchange, responder)
            if refusal is not None:
                exchange.note_refused(refusal)
                await responder.send(make_refusal(refusal))
        except asyncio.CancelledError:
            exchange.outcome = "caller_gone"
            raise
        finally:
            self._log(exchange)

    async def _wait_loaded(self, now: float) -> None:
        """Wait for the first configuration for a limited time.

        The time limit is shared by all requests after a start.
        """
        if self._configuration_deadline is None:
            self._configuration_deadline = now + CONFIGURATION_WAIT_SECONDS
        try:
            async with asyncio.timeout_at(self._configuration_deadline):
                await self._view.loaded.wait()
        except TimeoutError:
            pass

    # Forwarding

    async def _forward(
        self, exchange: Exchange, responder: Responder
    ) -> Refusal | None:
        """Offer the request to runners until one of them answers it."""
        self.retries.note_request(exchange.requirements.service)
        try:
            async with asyncio.timeout_at(exchange.deadline):
                return await self._try_runners(exchange, responder)
        except TimeoutError:
            exchange.note("timeout")
            exchange.last_refusal = (
                NOT_SENT if exchange.known_not_run else TOO_LATE
            )
            return await self._give_up(exchange, responder)
        finally:
            if exchange.successor is not None:
                exchange.successor.cancel()
            self.admission.release(exchange)

    async def _try_runners(
        self, exchange: Exchange, responder: Responder
    ) -> Refusal | None:
        moved: Moved | None = None
        while True:
            successor, exchange.successor = exchange.successor, None
            # A move takes its permit and its retry before it stops the run.
            if moved is not None:
                if successor is not None:
                    successor.cancel()
                    successor = None
                choice = self._chooser.make_moved(moved.target)
            elif successor is not None:
                choice = successor.choice
            else:
                found = await self._choose(exchange, responder)
                if found is None:
                    return await self._give_up(exchange, responder)
                choice = found
                refusal = await self._ask_for_trial(exchange)
                if refusal is not None:
                    exchange.note_barred(refusal)
                    return await self._give_up(exchange, responder)
            saved = moved.saved if moved else None
            if successor is not None:
                outcome = await successor.finish()
            else:
                outcome = await self.offers.send(
                    exchange, choice, responder, saved
                )
            exchange.note_outcome(choice, outcome)
            moved = outcome if isinstance(outcome, Moved) else None
            if moved:
                continue
            is_cut_off = isinstance(outcome, Broken | Silent)
            if is_cut_off:
                log_cut_off(exchange, choice, outcome)
            if responder.finished or exchange.outcome == "answered":
                return None
            barred = isinstance(
                outcome, Barred | OverQuota
            ) or not self._crashes.may_send(exchange)
            if is_cut_off and not self._crashes.may_retry(exchange):
                barred = True
            if barred or not exchange.may_retry():
                return await self._give_up(exchange, responder)

    async def _ask_for_trial(self, exchange: Exchange) -> Refusal | None:
        """Return why a request is sent to no runner, not as a trial either."""
        refusal = self._crashes.find_refusal(exchange)
        if refusal != SUSPECTED:
            return refusal
        service = exchange.requirements.service
        exchange.on_trial = await self.trials.acquire(service)
        log_trial(exchange)
        return self._crashes.find_refusal(exchange)

    async def _choose(
        self, exchange: Exchange, responder: Responder
    ) -> Choice | None:
        """Return the runner to offer the request to next, or None."""
        choice = await self._chooser.choose(exchange, responder.started)
        if choice is None or not exchange.reached_count:
            return choice
        if await self.retries.acquire(exchange.requirements.service):
            return choice
        exchange.note("no_budget")
        return None

    async def _choose_next(
        self, exchange: Exchange, responder: Responder
    ) -> Choice | None:
        """Choose a runner to go on for one that is silent, or None."""
        choice = await self._chooser.choose(exchange, responder.started)
        if choice is None or not self._crashes.may_send(exchange):
            return None
        if await self.retries.acquire(exchange.requirements.service):
            return choice
        return None

    async def _give_up(
        self, exchange: Exchange, responder: Responder
    ) -> Refusal | None:
        """Finish a request that is offered to no further runner.

        Returns:
            The refusal to answer with, or None if the caller has an answer.
        """
        # A stream that has started can only be aborted. The caller detects
        # from the missing end that it is incomplete.
        if responder.started:
            exchange.outcome = "broken_off"
            return None
        # A runner's failure response is more specific than ANSWER_LOST, and
        # a refusal would wrongly claim that no runner has run the request.
        if exchange.fallback_response is not None:
            await send_response(
                exchange, exchange.fallback_response, responder
            )
            return None
        if exchange.last_refusal is not None:
            return exchange.last_refusal
        return NO_RUNNER if exchange.known_not_run else ANSWER_LOST
