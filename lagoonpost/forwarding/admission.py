"""Admission control: resolves route and workspace, and enforces quotas."""

import random
from collections.abc import Callable

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.crash_watch import CrashWatch
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.forwarding.peer_sync import PeerSync
from lagoonpost.forwarding.quota_charges import QuotaCharges
from lagoonpost.forwarding.refusal import (
    NO_CONFIGURATION,
    NO_KEY,
    NO_ROUTE,
    NO_RUNNER,
    SUSPECTED,
    Refusal,
    make_over_quota,
)
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.quota import Quotas
from lagoonpost.systems.quota_limit import (
    CONTINUED_MARGIN_SHARE,
    find_margin_share,
)
from lagoonpost.systems.route import choose_service
from lagoonpost.systems.service_load import count_work
from lagoonpost.systems.service_shares import ServiceShares
from lagoonpost.tables.bounds import Bounds
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.quota import QuotaBounds, QuotaCharge, count_units
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
        expects_peers: Whether there are other gateways to be heard of.

    Attributes:
        cluster: State exchanged with the other gateways.
        quotas: Quota used by each workspace.
        shares: Shares of the workspaces in services that are short.
        scheduling: Parts of the scheduling that are in effect.
        charges: Charges runs to the quotas.
        on_quota_charged: Called after a run was charged or granted.
    """

    cluster: PeerSync
    charges: QuotaCharges
    on_quota_charged: Callable[[], None]

    def __init__(
        self,
        view: ClusterState,
        crashes: CrashWatch,
        bounds: Bounds,
        rng: random.Random,
        started: float | None,
        expects_peers: bool,
    ) -> None:
        self._view = view
        self._rng = rng
        self._crashes = crashes
        self.scheduling = NO_PARTS
        self.quotas = Quotas(
            _find_quota_bounds(bounds), started, expects_peers
        )
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
        refusal = self._reserve_quota(exchange)
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

    def _reserve_quota(self, exchange: Exchange) -> Refusal | None:
        workspace = exchange.workspace
        if workspace is None:
            return None
        tokens = exchange.arrival.tokens
        total = None if tokens is None else tokens.prompt + tokens.output
        exchange.cost = count_units(workspace, total)
        retry_after = self.quotas.reserve(
            workspace,
            exchange.cost,
            self.cluster.reports.reachable_share(),
            read_clock(),
            self._find_margin_share(exchange),
        )
        exchange.quota = self.quotas.decision_inputs
        if retry_after is not None:
            return make_over_quota(retry_after)
        exchange.reserved = True
        return None

    async def charge(
        self, exchange: Exchange, continues: bool
    ) -> float | None:
        """Charge a run that is about to begin.

        Args:
            exchange: The request.
            continues: Whether its caller has a part of the answer.

        Returns:
            None if the run may begin, else the seconds until it could.
        """
        workspace = exchange.workspace
        if workspace is None:
            return None
        margin_share = CONTINUED_MARGIN_SHARE if continues else 1.0
        wait = await self.charges.charge(
            workspace, exchange.cost, margin_share
        )
        if wait is None:
            charge = QuotaCharge(read_clock(), exchange.cost)
            exchange.charges.append(charge)
            self.release(exchange)
        return wait

    def refund(self, exchange: Exchange) -> None:
        """Return the units of the last run, which has not begun."""
        workspace = exchange.workspace
        if workspace is None or not exchange.charges:
            return
        charge = exchange.charges[-1]
        if self.quotas.refund(workspace, charge, read_clock()):
            exchange.charges.pop()

    def release(self, exchange: Exchange) -> None:
        """Release the units that are reserved for a request, if any."""
        if exchange.reserved and exchange.workspace is not None:
            exchange.reserved = False
            waited = exchange.now() - exchange.started
            self.quotas.release(exchange.workspace, exchange.cost, waited)

    def note_charged(self, workspace: Workspace) -> None:
        """Tell the others of usage that was charged here, if it is due."""
        self.on_quota_charged()
        gateways = self.cluster.count_gateways()
        reports, roles = self.cluster.reports, self.cluster.find_roles()
        is_near = (
            reports.is_hub()
            and not roles.mesh
            and self.quotas.is_near_limit([workspace], read_clock())
        )
        if is_near or self.quotas.needs_publishing(workspace, gateways):
            reports.send_soon()

    def _find_margin_share(self, exchange: Exchange) -> float:
        routes, workspace = self._view.routes, exchange.workspace
        if routes is None or not self.scheduling.shares:
            return 1.0
        if workspace is not None and workspace.priority is not None:
            # All its requests are as urgent.
            return 1.0
        return find_margin_share(exchange.priority, routes.priorities)


def _find_quota_bounds(bounds: Bounds) -> QuotaBounds:
    return QuotaBounds(
        bounds.quota_window, bounds.quota_overage, bounds.quota_slack
    )
