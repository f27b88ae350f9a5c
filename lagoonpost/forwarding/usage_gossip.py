"""What gateways tell each other of own rows that the store may lose."""

from collections.abc import Callable

import msgspec

from lagoonpost.tables.fact import Fact

FACT_TTL_SECONDS = 60.0
"""How long the news of what was written into the store is kept."""
KEPT_WINDOWS = 12
"""Usage windows whose report is remembered: a minute of five-second ones."""


class UsageGossip:
    """Rows that were written, by this gateway or another.

    Args:
        name: Name of this gateway.
        publish: Tells the others a fact.
        find_end: Returns the seconds since the epoch in some seconds.
        on_recorded: Told whose use the store has, and its age in seconds.

    Attributes:
        usage: What is reported of usage windows, whoever reports it.
    """

    def __init__(
        self,
        name: str,
        publish: Callable[[Fact], None],
        find_end: Callable[[float], float],
        on_recorded: Callable[[str, float], None],
    ) -> None:
        self._name = name
        self._publish = publish
        self._find_end = find_end
        self._on_recorded = on_recorded
        self.usage: dict[int, dict[str, int]] = {}

    def publish_usage(self, window: int, counts: dict[str, int]) -> None:
        """Tell others what is reported of a window."""
        if window in self.usage:
            return
        self._keep_usage(window, counts)
        body = msgspec.msgpack.encode(counts)
        end = self._find_end(FACT_TTL_SECONDS)
        self._publish(Fact("usage", str(window), 1, body, end))

    def handle_usage(self, fact: Fact) -> None:
        """Take what another gateway reports of a window."""
        counts = msgspec.msgpack.decode(fact.body, type=dict[str, int])
        self._keep_usage(int(fact.key), counts)

    def _keep_usage(self, window: int, counts: dict[str, int]) -> None:
        self.usage[window] = counts
        for old in sorted(self.usage)[:-KEPT_WINDOWS]:
            del self.usage[old]

    def publish_recorded(self, workspace: str, age: float) -> None:
        """Tell others that the store has a workspace's use.

        Args:
            workspace: Its name.
            age: Seconds since the use that it has.
        """
        key = f"{workspace}/{self._name}"
        rank = int(self._find_end(0.0) * 1000)
        body = msgspec.msgpack.encode(age)
        end = self._find_end(FACT_TTL_SECONDS)
        self._publish(Fact("recorded", key, rank, body, end))

    def handle_recorded(self, fact: Fact) -> None:
        """Take that the store has a workspace's use."""
        age = msgspec.msgpack.decode(fact.body, type=float)
        self._on_recorded(fact.key.rpartition("/")[0], age)
