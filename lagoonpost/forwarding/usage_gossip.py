"""Gossips usage rows that gateways write and the store may lose.

A store that is restored from an older copy lacks the newest rows. Gateways
that remember them from gossip repeat the same usage counts instead of counting
again and billing a different number.
"""

from collections.abc import Callable

import msgspec

from lagoonpost.tables.decoding import Unreadable
from lagoonpost.tables.fact import Fact
from lagoonpost.unreadable import log_unreadable, read_fact

FACT_TTL_SECONDS = 60.0
"""How long a fact about a written row is kept."""
KEPT_WINDOWS = 12
"""Usage windows whose counts are kept: one minute of 5 s windows."""


class UsageGossip:
    """Publishes and receives facts about usage rows in the store.

    Args:
        name: Name of this gateway.
        publish: Gossips a fact to the other gateways.
        find_end: Returns the epoch time a number of seconds from now.
        on_recorded: Called with a workspace whose quota use the store has
            recorded, and the age of that use in seconds.

    Attributes:
        usage: Reported counts by workspace, by usage window, from any
            gateway.
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
        """Publish the counts that are reported for a window."""
        if window in self.usage:
            return
        self._keep_usage(window, counts)
        body = msgspec.msgpack.encode(counts)
        end = self._find_end(FACT_TTL_SECONDS)
        self._publish(Fact("usage", str(window), 1, body, end))

    def handle_usage(self, fact: Fact) -> None:
        """Handle the counts that another gateway reports for a window."""
        counts = read_fact(fact, dict[str, int])
        if isinstance(counts, Unreadable):
            return
        try:
            window = int(fact.key)
        except ValueError as error:
            log_unreadable("fact", fact.id, error)
            return
        self._keep_usage(window, counts)

    def _keep_usage(self, window: int, counts: dict[str, int]) -> None:
        self.usage[window] = counts
        for old in sorted(self.usage)[:-KEPT_WINDOWS]:
            del self.usage[old]

    def publish_recorded(self, workspace: str, age: float) -> None:
        """Publish that the store has recorded a workspace's quota use.

        Args:
            workspace: Name of the workspace.
            age: Age of the recorded use in seconds.
        """
        key = f"{workspace}/{self._name}"
        rank = int(self._find_end(0.0) * 1000)
        body = msgspec.msgpack.encode(age)
        end = self._find_end(FACT_TTL_SECONDS)
        self._publish(Fact("recorded", key, rank, body, end))

    def handle_recorded(self, fact: Fact) -> None:
        """Handle that the store has recorded a workspace's quota use."""
        age = read_fact(fact, float)
        if isinstance(age, Unreadable):
            return
        self._on_recorded(fact.key.rpartition("/")[0], age)
