"""The gateways that decide for all on a matter, such as a workspace's quota.

Each matter has one issuer, chosen by hash, so that most decisions on it are
made by one gateway.
"""

from collections.abc import Callable, Collection, Sequence

from lagoonpost.systems.subset import rendezvous_score
from lagoonpost.tables.peer import Member

SILENT_SECONDS = 2.5
"""How long a gateway that did not reply is passed over: the time until its
loss is noticed."""
ISSUERS_ASKED = 2
"""Gateways that are asked for one decision, one after the other."""
ASKED_PER_SECOND = 250.0
"""Requests on one matter that a gateway handles per second, 1% of a core at
40 us each. After a denial, gateways ask no more often."""


class Issuers:
    """Finds the issuer of a matter.

    Args:
        name: Name of this gateway.
        find_issuers: Returns the names of the gateways that may be asked.
        find_peers: Returns the other gateways.
        clock: Returns the time in seconds, suspensions included.
    """

    def __init__(
        self,
        name: str,
        find_issuers: Callable[[], Collection[str]],
        find_peers: Callable[[], Sequence[Member]],
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._find_issuers = find_issuers
        self._find_peers = find_peers
        self._clock = clock
        self._silent_until: dict[str, float] = {}
        self._replied_at: dict[str, float] = {}

    def choose(self, matter: str) -> Member | None:
        """Return the gateway to ask; None if there is none but this one."""
        now = self._clock()
        peers = {peer.name: peer for peer in self._find_peers()}
        names = [
            name
            for name in self._find_issuers()
            if name == self._name
            or (name in peers and self._silent_until.get(name, now) <= now)
        ]
        best = max(
            names,
            key=lambda name: (rendezvous_score(matter, name), name),
            default=self._name,
        )
        return peers.get(best)

    def list_others(self) -> frozenset[str]:
        """Return the names of the other gateways that may decide."""
        peers = {peer.name for peer in self._find_peers()}
        return frozenset(peers.intersection(self._find_issuers()))

    def is_issuer(self) -> bool:
        """Return whether this gateway may decide."""
        return self._name in self._find_issuers()

    def note_replied(self, name: str) -> None:
        """Record that a gateway replied."""
        self._replied_at[name] = self._clock()

    def has_replied(self, name: str, since: float) -> bool:
        """Return whether a gateway replied to any request since a time."""
        return self._replied_at.get(name, since) > since

    def note_silent(self, name: str) -> None:
        """Pass over a gateway that did not reply, for some time."""
        self._silent_until[name] = self._clock() + SILENT_SECONDS
