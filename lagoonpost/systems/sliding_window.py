"""What was let through of one workspace's quota, by when it was."""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

PUBLISHED_BUCKETS = 8
"""Parts of a window in which use is told to others: what leaves the window
does so an eighth of it early or late at most."""
LOCAL_BUCKETS = 64
"""Parts of a window in which use is added up here: a look at all of them for
each request has to be short."""


class Charge(NamedTuple):
    """Units that were let through, and when."""

    at: float
    units: float


class SlidingWindow:
    """The use within a sliding window.

    Attributes:
        seconds: Length of the window.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self._rows: deque[Charge] = deque()
        self._sum = 0.0
        self._slot_from = -math.inf

    def add(self, units: float, now: float) -> None:
        """Add what was let through now."""
        self._sum += units
        if self._rows and now - self._slot_from < self.seconds / LOCAL_BUCKETS:
            self._rows[-1] = Charge(now, self._rows[-1].units + units)
            return
        self._slot_from = now
        self._rows.append(Charge(now, units))

    def add_spread(self, units: float, since: float, now: float) -> None:
        """Add what was let through at times that are not known."""
        pause = self.seconds / PUBLISHED_BUCKETS
        parts = max(1, min(PUBLISHED_BUCKETS, int((now - since) / pause)))
        if parts == 1:
            self.add(units, now)
            return
        self.insert(
            Charge(now - place * pause, units / parts)
            for place in range(parts)
        )

    def insert(self, rows: Iterable[Charge]) -> None:
        """Add what was let through at earlier times."""
        self.replace([*self._rows, *rows])

    def replace(self, rows: Iterable[Charge]) -> None:
        """Take this use in place of all that is known."""
        self._rows = deque(sorted(rows))
        self._sum = sum(each.units for each in self._rows)
        self.close_bucket()

    def close_bucket(self) -> None:
        """Tell what comes next from all that was added before."""
        self._slot_from = -math.inf

    def sum(self, now: float) -> float:
        """Return the units within the window."""
        while self._rows and self._rows[0].at <= now - self.seconds:
            self._sum -= self._rows.popleft().units
        return self._sum if self._rows else 0.0

    def find_excess(self, rate: float, since: float, now: float) -> float:
        """Return the most units of a span until now, beyond a rate.

        Args:
            rate: Units a second.
            since: Earliest time at which the span begins.
            now: Time in seconds.
        """
        excess = 0.0
        before = now
        for at, units in self._rows:
            if at > since:
                left = max(0.0, excess - rate * max(0.0, at - before))
                excess = max(0.0, left + units)
                before = at
        return max(0.0, excess - rate * max(0.0, now - before))

    def find_wait(self, units: float, now: float) -> float:
        """Return the seconds until so many units have left the window."""
        wait = 0.0
        for at, free in self._rows:
            if units <= 0:
                break
            units -= free
            wait = at + self.seconds - now
        return wait

    def list_ages(self, now: float) -> list[tuple[float, float]]:
        """Return pairs of the use's age in seconds and its units."""
        if not self.sum(now):
            return []
        pause = self.seconds / PUBLISHED_BUCKETS
        buckets: dict[int, float] = {}
        for at, units in self._rows:
            place = max(0, int((now - at) / pause))
            buckets[place] = buckets.get(place, 0.0) + units
        return [
            (round((place + 0.5) * pause, 2), round(units))
            for place, units in buckets.items()
        ]


def sum_recent(rows: Sequence[Charge], since: float) -> tuple[float, float]:
    """Return the units since a time, and the most of one request.

    Args:
        rows: Use in the order of its time.
        since: Time in seconds.
    """
    total = largest = 0.0
    for at, units in reversed(rows):
        if at <= since:
            break
        total += units
        largest = max(largest, units)
    return total, largest
