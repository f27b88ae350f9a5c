"""How many repeats a gateway may send: its part of one shared budget.

Pattern of load: a failure domain is lost and every request there is sent
again, by all gateways at once; or each runner rejects a part of what it
gets. Without a bound the repeats add to the load that made requests fail.
The bound holds for the sum over all gateways, so each gets the part of it
that needs no news of the others: the ratio applies to its own requests, and
the floor is divided by their number.
"""

from collections import deque

USED_BUDGET_SHARE = 0.8
"""Part of the budget that is used: the rest is for windows that are cut
differently from ours and for requests that were counted but never sent."""


class RetryBudget:
    """Repeats of one service within a sliding window.

    Args:
        ratio: Repeats allowed as a part of the requests.
        floor: Repeats allowed besides, over all gateways.
        window: Seconds.
    """

    def __init__(self, ratio: float, floor: float, window: float) -> None:
        self._ratio = ratio
        self._floor = floor
        self._window = window
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a new request."""
        self._requests.append(now)

    def take(self, gateways: int, now: float) -> bool:
        """Tell whether one more repeat may be sent, and count it.

        Args:
            gateways: Number of gateways that share the budget.
            now: Time in seconds.
        """
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window:
                times.popleft()
        allowed = self._ratio * len(self._requests)
        allowed += self._floor / max(1, gateways)
        if len(self._repeats) + 1 > USED_BUDGET_SHARE * allowed:
            return False
        self._repeats.append(now)
        return True
