"""The retry budgets of all services."""

import asyncio
from collections.abc import Callable

from lagoonpost.forwarding.request_log import log_retry
from lagoonpost.systems.budget import RetryBudget
from lagoonpost.tables.bounds import Bounds


class RetryBudgets:
    """This gateway's part of each service's retry budget.

    Args:
        bounds: Ratio, floor and window of the budgets.
        count_gateways: Returns the number of gateways that share them.
    """

    def __init__(
        self, bounds: Bounds, count_gateways: Callable[[], int]
    ) -> None:
        self._bounds = bounds
        self._count_gateways = count_gateways
        self._budgets: dict[str, RetryBudget] = {}

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new bounds and start with fresh budgets."""
        self._bounds = bounds
        self._budgets.clear()

    def note_request(self, service: str) -> None:
        """Count the first offer of a request."""
        self._find(service).note_request(_read_time())

    def take(self, service: str) -> bool:
        """Take one retry from a service's budget if one is left."""
        budget = self._find(service)
        granted = budget.take(self._count_gateways(), _read_time())
        log_retry(service, granted, budget.last_check)
        return granted

    def _find(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                self._bounds.budget_ratio,
                self._bounds.budget_floor,
                self._bounds.budget_window,
            )
        return budget


def _read_time() -> float:
    return asyncio.get_running_loop().time()
