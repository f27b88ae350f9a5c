"""Retry budget: a limit of a service's retries over all gateways.

Load pattern: a failure domain is lost and all gateways retry every request
there at once, or every runner rejects a part of its requests. Without a limit
the retries add to the load that made the requests fail. The limit is a ratio
of the requests and a floor. It holds for the sum over all gateways while they
are killed, started and cut off from each other, so it must not depend on what
a process remembers or on how many gateways it sees.

Each request earns a credit, the ratio. A credit belongs to one gateway at a
time: to the one that read the request, or to the one that it was handed over
to. It is lost with its process, and a process starts without any. Credits are
spent while they are fresh, no more of them than are usual; those that are
saved up are limited to a part of the floor, divided by the number of gateways.

The rest of the floor is reserved in the store before it is granted. The store
accepts a reservation only if it follows all earlier ones, so reservations need
no agreement on who makes them.
"""

import math
from collections import deque
from collections.abc import Iterable

from lagoonpost.tables.retry import BudgetState, Reservation

CREDIT_SECONDS = 1.0
"""Time for which a credit counts as fresh: most failures that can be retried
show within it."""
TRAVEL_SECONDS = 0.5
"""Longest time from the grant of a retry to its arrival at the runner, also
over slow links."""
HOLD_SECONDS = 1.0
"""Longest time from the call that reserves retries to their grant: two calls
to a store that is sixty times slower than usual."""
SAVED_SHARE = 0.125
"""Part of the floor that covers credits which are saved up. It is enough for
the failures of calm times at a few gateways, without calls to the store."""
ROUNDING = 1e-9
"""Error of a sum of credits."""


class RetryBudget:
    """One gateway's view of the budget of one service.

    Args:
        ratio: Allowed retries as a part of the requests.
        floor: Further retries allowed.
        window: Length of the window in seconds.
    """

    def __init__(self, ratio: float, floor: float, window: float) -> None:
        self._window = window
        # Credits spent within a window were earned within this longer span.
        span = window + CREDIT_SECONDS + TRAVEL_SECONDS
        self._credit_per_request = ratio * window / span
        self._saveable = SAVED_SHARE * floor
        self._reservable = floor - self._saveable
        self._saved = 0.0
        self._fresh: deque[tuple[float, float]] = deque()
        self._held: deque[tuple[float, int]] = deque()
        self._reservations: list[Reservation] = []
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    # Credits

    def note_request(self, gateways: int, now: float) -> None:
        """Count a new request and earn its credit.

        Args:
            gateways: Number of gateways that may serve callers.
            now: Time in seconds.
        """
        self._requests.append(now)
        _drop_until(self._requests, now - self._window)
        self._age(gateways, now)
        credit = self._credit_per_request
        # What a burst earns beyond the usual would be spent in the next one.
        usual = len(self._requests) * CREDIT_SECONDS / self._window
        room = credit * max(1.0, usual) - self._sum_fresh()
        fresh = min(credit, max(0.0, room))
        if fresh:
            self._fresh.append((now, fresh))
        self._save(credit - fresh, gateways)

    def add_credit(self, credit: float, gateways: int, now: float) -> None:
        """Add credit that was earned now or handed over.

        Args:
            credit: Credit in retries.
            gateways: Number of gateways that may serve callers.
            now: Time in seconds.
        """
        self._age(gateways, now)
        if credit > 0:
            self._fresh.append((now, credit))

    def hand_over(self, gateways: int, now: float) -> float:
        """Return credit for another gateway, at most for one retry.

        Args:
            gateways: Number of gateways that may serve callers.
            now: Time in seconds.
        """
        self._age(gateways, now)
        credit = min(1.0, self._sum_credit())
        self._spend(credit)
        return credit

    def _age(self, gateways: int, now: float) -> None:
        while self._fresh and self._fresh[0][0] <= now - CREDIT_SECONDS:
            self._save(self._fresh.popleft()[1], gateways)
        self._save(0.0, gateways)

    def _save(self, credit: float, gateways: int) -> None:
        most = self._saveable / max(1, gateways)
        self._saved = min(most, self._saved + credit)

    def _sum_fresh(self) -> float:
        return sum(credit for _, credit in self._fresh)

    def _sum_credit(self) -> float:
        return self._saved + self._sum_fresh()

    def _spend(self, credit: float) -> None:
        saved = min(self._saved, credit)
        self._saved -= saved
        credit -= saved
        while credit > ROUNDING and self._fresh:
            earned, oldest = self._fresh.popleft()
            if oldest > credit:
                self._fresh.appendleft((earned, oldest - credit))
            credit -= oldest

    # Retries

    def take(self, gateways: int, now: float) -> str:
        """Grant one retry if there is credit or a reservation for it.

        Args:
            gateways: Number of gateways that may serve callers.
            now: Time in seconds.

        Returns:
            What the retry was taken from; empty if it isn't granted.
        """
        source = self._take(gateways, now)
        if source:
            self._retries.append(now)
        return source

    def _take(self, gateways: int, now: float) -> str:
        self._age(gateways, now)
        if self._sum_credit() >= 1 - ROUNDING:
            self._spend(1.0)
            return "credit"
        while self._held and self._held[0][0] <= now:
            self._held.popleft()
        if not self._held:
            return ""
        until, units = self._held.popleft()
        if units > 1:
            self._held.appendleft((until, units - 1))
        return "reserved"

    # Reservations

    def plan_reservation(self, wanted: int, store_now: float) -> int:
        """Return how many retries may be reserved.

        Args:
            wanted: Number of retries that are wanted.
            store_now: Time in seconds by the store's clock.
        """
        self._drop_reservations(store_now)
        return max(
            0, min(wanted, int(self._reservable - self._sum_reserved()))
        )

    def list_reservations(self) -> list[Reservation]:
        """Return the known reservations of all gateways."""
        return list(self._reservations)

    def set_reservations(self, reservations: Iterable[Reservation]) -> None:
        """Replace the known reservations by those in the store."""
        self._reservations = list(reservations)

    def assume_reserved(self, store_now: float) -> None:
        """Count all that can be reserved as reserved now.

        For a record that can't be read: whatever it holds was reserved before,
        so it leaves the window sooner.

        Args:
            store_now: Time in seconds by the store's clock.
        """
        units = math.ceil(self._reservable)
        self._reservations = [Reservation(store_now, units)]

    def hold(self, units: int, called_at: float) -> None:
        """Keep retries that are reserved until they are granted.

        Args:
            units: Number of retries.
            called_at: Time of the call in seconds, by this host's clock.
        """
        self._held.append((called_at + HOLD_SECONDS, units))

    def find_release(self, store_now: float) -> float:
        """Return the seconds until a reservation leaves the window.

        Args:
            store_now: Time in seconds by the store's clock.
        """
        earliest = min((each.at for each in self._reservations), default=None)
        if earliest is None:
            return self._window
        return max(0.0, earliest + self._count_seconds - store_now)

    @property
    def _count_seconds(self) -> float:
        """Seconds for which a reservation counts."""
        return self._window + HOLD_SECONDS + TRAVEL_SECONDS

    def _drop_reservations(self, store_now: float) -> None:
        oldest = store_now - self._count_seconds
        self._reservations = [
            each for each in self._reservations if each.at > oldest
        ]

    def _sum_reserved(self) -> int:
        return sum(each.units for each in self._reservations)

    def describe(self, gateways: int, now: float) -> BudgetState:
        """Return what is known of the budget, for the log.

        Args:
            gateways: Number of gateways that may serve callers.
            now: Time in seconds.
        """
        for times in (self._requests, self._retries):
            _drop_until(times, now - self._window)
        return BudgetState(
            window=self._window,
            gateways=gateways,
            requests=len(self._requests),
            retries=len(self._retries),
            credit=round(self._sum_credit(), 3),
            held=sum(units for until, units in self._held if until > now),
            reserved=self._sum_reserved(),
            reservable=self._reservable,
        )


def _drop_until(times: deque[float], oldest: float) -> None:
    while times and times[0] <= oldest:
        times.popleft()
