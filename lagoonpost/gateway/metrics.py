"""Counters and timings over statsd, and the same counts for status."""

from collections import Counter

import statsd

from lagoonpost.http.message import Address

PREFIX = "lagoonpost.gateway"


class Metrics:
    """Counts what a gateway did; sends to statsd when an address is set."""

    def __init__(self, address: Address | None = None) -> None:
        self.counts: Counter[str] = Counter()
        self._client = (
            statsd.StatsClient(address.host, address.port, prefix=PREFIX)
            if address
            else None
        )

    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to the counter ``name``."""
        self.counts[name] += value
        if self._client is not None:
            self._client.incr(name, value)

    def time(self, name: str, seconds: float) -> None:
        """Record a duration under ``name``, sent in milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)
