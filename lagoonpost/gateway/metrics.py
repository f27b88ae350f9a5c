"""Sends counters and timings to statsd and keeps counts for the status."""

from collections import Counter

import statsd

from lagoonpost.http.message import Address

PREFIX = "lagoonpost.gateway"


class Metrics:
    """Counters and timings of one gateway.

    Args:
        address: Address of the statsd server, or None to send nothing.

    Attributes:
        counts: Counter values by name, for the status page.
    """

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
        """Record a duration in seconds; statsd gets it in milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)
