"""Sliding window of the quota usage of one workspace."""

import math
from bisect import bisect_left
from collections import deque
from collections.abc import Collection, Iterable
from typing import NamedTuple

PUBLISHED_BUCKETS = 8
"""Parts of a window in which usage is published to peers. Usage leaves the
window at most an eighth of its length early or late."""
LOCAL_BUCKETS = 64
"""Parts of a window in which usage is summed locally. All of them are scanned
for each request, so their number is small."""


class Charge(NamedTuple):
    """Units that were admitted.

    Attributes:
        at: Time in seconds.
        units: Number of units; negative for a refund.
    """

    at: float
    units: float


class SlidingWindow:
    """The usage within a sliding window.

    Attributes:
        seconds: Length of the window in seconds.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self._rows: deque[Charge] = deque()
        self._sum = 0.0
        self._bucket_start = -math.inf

    def add(self, units: float, now: float) -> None:
        """Add units that are admitted now."""
        self._sum += units
        if (
            self._rows
            and now - self._bucket_start < self.seconds / LOCAL_BUCKETS
        ):
            self._rows[-1] = Charge(now, self._rows[-1].units + units)
            return
        self._bucket_start = now
        self._rows.append(Charge(now, units))

    def add_spread(self, units: float, since: float, now: float) -> None:
        """Add units admitted at unknown times, spread evenly.

        Args:
            units: Number of units.
            since: Earliest time of the usage.
            now: Time in seconds, the latest time of the usage.
        """
        bucket_seconds = self.seconds / PUBLISHED_BUCKETS
        parts = max(
            1, min(PUBLISHED_BUCKETS, int((now - since) / bucket_seconds))
        )
        if parts == 1:
            self.add(units, now)
            return
        self.insert(
            Charge(now - index * bucket_seconds, units / parts)
            for index in range(parts)
        )

    def insert(self, rows: Iterable[Charge]) -> None:
        """Add usage of earlier times."""
        self.replace([*self._rows, *rows])

    def subtract(self, units: float, at: float) -> None:
        """Take back units, so that they leave with those of a time.

        Args:
            units: Number of units.
            at: Time in seconds at which they were added, or an earlier one.
        """
        if not self._rows or self._rows[-1].at < at:
            self.add(-units, at)
            return
        place = bisect_left(self._rows, (at,))
        found = self._rows[place]
        self._rows[place] = found._replace(units=found.units - units)
        self._sum -= units

    def replace(self, rows: Iterable[Charge]) -> None:
        """Replace all usage."""
        self._rows = deque(sorted(rows))
        self._sum = sum(charge.units for charge in self._rows)
        self.close_bucket()

    def remove(self, rows: Collection[Charge]) -> None:
        """Take back rows that were inserted and have not left the window."""
        left = dict.fromkeys((row.at for row in rows), 0.0)
        for at, units in rows:
            left[at] += units
        kept = []
        for row in self._rows:
            units = left.pop(row.at, 0.0)
            if row.units != units:
                kept.append(row._replace(units=row.units - units))
        self.replace(kept)

    def close_bucket(self) -> None:
        """Separate later usage from all that was added so far."""
        self._bucket_start = -math.inf

    def sum(self, now: float) -> float:
        """Return the units within the window."""
        while self._rows and self._rows[0].at <= now - self.seconds:
            self._sum -= self._rows.popleft().units
        return self._sum if self._rows else 0.0

    def sum_since(self, since: float) -> float:
        """Return the units since a time."""
        return sum_recent(reversed(self._rows), since)

    def find_excess(self, rate: float, since: float, now: float) -> float:
        """Return the largest excess over a rate of any span that ends now.

        Args:
            rate: Units per second.
            since: Earliest start of the span.
            now: Time in seconds.
        """
        excess = 0.0
        previous = now
        for at, units in self._rows:
            if at > since:
                remaining = max(0.0, excess - rate * max(0.0, at - previous))
                excess = max(0.0, remaining + units)
                previous = at
        return max(0.0, excess - rate * max(0.0, now - previous))

    def find_wait(self, units: float, now: float) -> float:
        """Return the seconds until a number of units have left the window."""
        wait = 0.0
        for at, released in self._rows:
            if units <= 0:
                break
            units -= released
            wait = at + self.seconds - now
        return wait

    def list_ages(self, now: float) -> list[tuple[float, float]]:
        """Return the usage as pairs of age in seconds and units."""
        if not self.sum(now):
            return []
        bucket_seconds = self.seconds / PUBLISHED_BUCKETS
        buckets: dict[int, float] = {}
        for at, units in self._rows:
            index = max(0, int((now - at) / bucket_seconds))
            buckets[index] = buckets.get(index, 0.0) + units
        return [
            (round((index + 0.5) * bucket_seconds, 2), round(units))
            for index, units in buckets.items()
        ]


def sum_recent(rows: Iterable[Charge], since: float) -> float:
    """Return the units since a time.

    Args:
        rows: Usage in order of time, the latest first.
        since: Time in seconds, exclusive.
    """
    total = 0.0
    for at, units in rows:
        if at <= since:
            break
        total += units
    return total
