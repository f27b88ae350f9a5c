"""Lets requests in: finds route, workspace and service, keeps the quotas."""

import random
from collections.abc import Callable

from lagoonpost.forwarding.belief import Belief
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.forwarding.refusal import (
    NO_CONFIGURATION,
    NO_KEY,
    NO_ROUTE,
    NO_RUNNER,
    QUARANTINED,
    Refusal,
)
from lagoonpost.forwarding.shared import Shared
from lagoonpost.platform.settings import Bounds
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.poison import BrokenAnswerTable, make_fingerprint
from lagoonpost.systems.quota import Quotas
from lagoonpost.systems.route import choose_service
from lagoonpost.tables.quota import QuotaBounds, count_units


class Admission:
    """Decides about each request before any runner is asked.

    Args:
        belief: Configuration and runners.
        bounds: Promised times and shares.
        rng: Source of random choices.
        started: Time of this start; None at the first of the system.

    Attributes:
        shared: What is known of the other gateways.
        breaks: Requests that crash their runners.
        quotas: What was let through of each workspace's quota.
        on_take: Called when something was let through.
    """

    cluster: Shared
    on_quota_charged: Callable[[], None]

    def __init__(
        self,
        belief: Belief,
        bounds: Bounds,
        rng: random.Random,
        started: float | None,
    ) -> None:
        self._belief = belief
        self._rng = rng
        self.crashes = BrokenAnswerTable()
        self.quotas = Quotas(_find_quota_bounds(bounds), started)

    def set_bounds(self, bounds: Bounds) -> None:
        """Keep to other bounds from now on."""
        self.quotas.set_bounds(_find_quota_bounds(bounds))

    def admit(self, exchange: Exchange) -> Refusal | None:
        """Say what a request is, and refuse it if it may not go on."""
        routes = self._belief.routes
        if routes is None:
            return NO_CONFIGURATION
        arrival = exchange.arrival
        exchange.version = self._belief.version
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
        exchange.fingerprint = make_fingerprint(
            exchange.workspace.name if exchange.workspace else "",
            exchange.request.target,
            exchange.request.body,
        )
        if self.crashes.is_poison(exchange.fingerprint, exchange.now()):
            return QUARANTINED
        if not self._belief.find_runners(service):
            return NO_RUNNER
        return self._take_quota(exchange)

    def _take_quota(self, exchange: Exchange) -> Refusal | None:
        workspace = exchange.workspace
        if workspace is None:
            return None
        tokens = exchange.arrival.tokens
        total = None if tokens is None else tokens.prompt + tokens.output
        cost = count_units(workspace, total)
        reports = self.cluster.reports
        gateways = self.cluster.count_gateways()
        wait = self.quotas.take(
            workspace, cost, reports.heard_part(), read_clock(), gateways
        )
        exchange.quota = self.quotas.weighed
        if wait is None:
            exchange.units = cost
            self.on_quota_charged()
            if self.quotas.must_tell(workspace, gateways):
                reports.nudge()
            return None
        detail = "the workspace is over its quota"
        return Refusal(429, "over_quota", detail, retry_after=wait)

    def give_back(self, exchange: Exchange) -> None:
        """Return a request's part of the quota if it has not run."""
        if exchange.known_not_run and exchange.workspace is not None:
            self.quotas.give_back(
                exchange.workspace, exchange.units, read_clock()
            )


def _find_quota_bounds(bounds: Bounds) -> QuotaBounds:
    return QuotaBounds(
        bounds.quota_window, bounds.quota_overage, bounds.quota_slack
    )
