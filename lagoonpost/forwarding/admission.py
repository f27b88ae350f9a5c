"""Admission control: resolves route and workspace, and enforces quotas."""

import random
from collections.abc import Callable

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.crash_watch import CrashWatch
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.forwarding.peer_sync import PeerSync
from lagoonpost.forwarding.refusal import (
    NO_CONFIGURATION,
    NO_KEY,
    NO_ROUTE,
    NO_RUNNER,
    SUSPECTED,
    Refusal,
)
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.quota import Quotas
from lagoonpost.systems.quota_limit import find_margin_share
from lagoonpost.systems.route import choose_service
from lagoonpost.systems.service_load import count_work
from lagoonpost.systems.service_shares import ServiceShares
from lagoonpost.tables.bounds import Bounds
from lagoonpost.tables.quota import QuotaBounds, count_units
from lagoonpost.tables.scheduling import NO_PARTS
from lagoonpost.tables.service_share import UNLISTED


class Admission:
    """Accepts or refuses each request before it is sent to a runner.

    Args:
        view: Local view of the configuration and the runners.
        crashes: Tells which requests crash runners.
        bounds: Time limits and ratios from the settings.
        rng: Source of random choices.
        started: Time at which this process started, in seconds; None at the
            first start of the system.

    Attributes:
        cluster: State exchanged with the other gateways.
        quotas: Quota used by each workspace.
        shares: Shares of the workspaces in services that are short.
        scheduling: Parts of the scheduling that are in effect.
        on_quota_charged: Called after a request was charged to a quota.
    """

    cluster: PeerSync
    on_quota_charged: Callable[[], None]

    def __init__(
        self,
        view: ClusterState,
        crashes: CrashWatch,
        bounds: Bounds,
        rng: random.Random,
        started: float | None,
    ) -> None:
        self._view = view
        self._rng = rng
        self._crashes = crashes
        self.scheduling = NO_PARTS
        self.quotas = Quotas(_find_quota_bounds(bounds), started)
        self.shares = ServiceShares()

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new bounds to later requests."""
        self.quotas.set_bounds(_find_quota_bounds(bounds))

    def admit(self, exchange: Exchange) -> Refusal | None:
        """Resolve a request's route, workspace and service.

        Returns:
            The refusal to answer with, or None if the request is admitted.
        """
        routes = self._view.routes
        if routes is None:
            return NO_CONFIGURATION
        arrival = exchange.arrival
        exchange.version = self._view.version
        route = routes.find_route(arrival.host, exchange.request.target)
        if route is None:
            return NO_ROUTE
        exchange.route = route
        workspace = routes.find_workspace(arrival.key)
        if workspace is None and routes.needs_key and not route.public:
            return NO_KEY
        exchange.workspace = None if route.public else workspace
        service = choose_service(route, self._rng)
        exchange.set_service(
            service, routes.configuration.services.get(service)
        )
        self._crashes.identify(exchange)
        refusal = self._crashes.find_refusal(exchange)
        if refusal is not None and refusal != SUSPECTED:
            return refusal
        if not self._view.find_runners(service, exchange.regions):
            return NO_RUNNER
        refusal = self._charge_quota(exchange)
        if refusal is None and self.scheduling.shares:
            self._check_share(exchange)
        return refusal

    def _check_share(self, exchange: Exchange) -> None:
        workspace, wanted = exchange.workspace, exchange.requirements
        exchange.over_share = self.shares.is_over_share(
            wanted.service,
            workspace.name if workspace else UNLISTED,
            count_work(wanted.prompt, wanted.parts),
            read_clock(),
            self._rng,
        )
        exchange.share = self.shares.check
        if exchange.over_share:
            exchange.note("over_share")

    def _charge_quota(self, exchange: Exchange) -> Refusal | None:
        workspace = exchange.workspace
        if workspace is None:
            return None
        tokens = exchange.arrival.tokens
        total = None if tokens is None else tokens.prompt + tokens.output
        cost = count_units(workspace, total)
        reports = self.cluster.reports
        gateways = self.cluster.count_gateways()
        retry_after = self.quotas.take(
            workspace,
            cost,
            reports.reachable_share(),
            read_clock(),
            gateways,
            self._find_margin_share(exchange),
        )
        exchange.quota = self.quotas.decision_inputs
        if retry_after is None:
            exchange.units = cost
            self.on_quota_charged()
            if self.quotas.needs_publishing(workspace, gateways):
                reports.send_soon()
            return None
        detail = "the workspace is over its quota"
        return Refusal(429, "over_quota", detail, retry_after=retry_after)

    def _find_margin_share(self, exchange: Exchange) -> float:
        routes, workspace = self._view.routes, exchange.workspace
        if routes is None or not self.scheduling.shares:
            return 1.0
        if workspace is not None and workspace.priority is not None:
            # All its requests are as urgent.
            return 1.0
        return find_margin_share(exchange.priority, routes.priorities)

    def give_back(self, exchange: Exchange) -> None:
        """Refund the quota charged to a request that no runner started."""
        if exchange.known_not_run and exchange.workspace is not None:
            self.quotas.refund(
                exchange.workspace, exchange.units, read_clock()
            )


def _find_quota_bounds(bounds: Bounds) -> QuotaBounds:
    return QuotaBounds(
        bounds.quota_window, bounds.quota_overage, bounds.quota_slack
    )
