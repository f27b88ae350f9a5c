"""Retry budget: each gateway's part of a budget shared by all gateways.

Load pattern: a failure domain is lost and all gateways retry every request
there at once, or every runner rejects a part of its requests. Without a limit
the retries add to the load that made the requests fail. The limit holds for
the sum over all gateways. Each gateway takes a part that needs no
coordination: the ratio applies to its own requests, and the floor is divided
by the number of gateways.
"""

from collections import deque
from typing import NamedTuple

USED_BUDGET_SHARE = 0.8
"""Part of the budget that is used. The rest covers windows with other start
times than the local ones and requests that were counted but never sent."""


class BudgetCheck(NamedTuple):
    """Inputs of a decision on a retry, for the log.

    Attributes:
        requests: Requests counted within the window.
        retries: Retries taken within the window, before this one.
        gateways: Number of gateways that share the floor.
        allowed: Retries that may be taken within the window.
    """

    requests: int
    retries: int
    gateways: int
    allowed: float


class RetryBudget:
    """Budget for the retries of one service within a sliding window.

    Args:
        ratio: Allowed retries as a part of the requests.
        floor: Further retries allowed, summed over all gateways.
        window: Length of the window in seconds.

    Attributes:
        last_check: Inputs of the last decision; None before the first.
    """

    def __init__(self, ratio: float, floor: float, window: float) -> None:
        self._ratio = ratio
        self._floor = floor
        self._window = window
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self.last_check: BudgetCheck | None = None

    def note_request(self, now: float) -> None:
        """Count a new request."""
        self._requests.append(now)

    def take(self, gateways: int, now: float) -> bool:
        """Count one more retry if the budget allows it.

        Args:
            gateways: Number of gateways that share the budget.
            now: Time in seconds.

        Returns:
            Whether the retry may be sent.
        """
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
        allowed = self._ratio * len(self._requests)
        allowed += self._floor / max(1, gateways)
        self.last_check = BudgetCheck(
            len(self._requests),
            len(self._retries),
            gateways,
            USED_BUDGET_SHARE * allowed,
        )
        if len(self._retries) + 1 > self.last_check.allowed:
            return False
        self._retries.append(now)
        return True
