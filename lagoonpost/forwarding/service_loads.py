"""Keeps the load of all services, and what it means for shares, up to date."""

import math

import eliot

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.placement import Placement
from lagoonpost.systems.service_load import find_objectives, measure_load
from lagoonpost.systems.service_shares import ServiceShares, find_weights
from lagoonpost.tables.configuration import Configuration
from lagoonpost.tables.service_share import Demand, ServiceLoad

RUNNERS_PER_SECOND = 5000.0
"""Runners that are measured per second, 0.5% of a core at 1 us each. With more
than 1,250 of them the pause between measurements grows."""


class ServiceLoads:
    """Measures the load of all services for the workspaces' shares.

    Args:
        view: Local view of the configuration and the runners.
        placement: Open work of all gateways.
        shares: Shares of the workspaces.
    """

    def __init__(
        self, view: ClusterState, placement: Placement, shares: ServiceShares
    ) -> None:
        self._view = view
        self._placement = placement
        self._shares = shares
        self._next_update = 0.0
        self._configuration: Configuration | None = None
        self._objectives: dict[str, float] = {}
        self._weights: dict[str, float] = {}

    def update(self, others: Demand | None) -> None:
        """Measure all services and apply what other gateways tell.

        Args:
            others: Demand at the other gateways; None if it isn't known.
        """
        now = read_clock()
        if self._view.routes is None or now < self._next_update:
            return
        configuration = self._view.routes.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self._objectives = find_objectives(configuration.routes)
            self._weights = find_weights(configuration.workspaces)
        loads = {}
        count = 0
        for service in configuration.services:
            runners = self._view.find_runners(service)
            objective = self._objectives.get(service, math.inf)
            loads[service] = measure_load(
                service, runners, self._placement, objective
            )
            count += len(runners)
        self._next_update = now + count / RUNNERS_PER_SECOND
        changed = self._shares.update(loads, others, self._weights, now)
        for service in changed:
            self._log(service, loads.get(service), others)

    def _log(
        self, service: str, load: ServiceLoad | None, others: Demand | None
    ) -> None:
        eliot.log_message(
            message_type="lagoonpost:forwarding:short",
            service=service,
            short=self._shares.is_short(service),
            pressure=round(load.pressure, 2) if load else None,
            others_known=others is not None,
        )
