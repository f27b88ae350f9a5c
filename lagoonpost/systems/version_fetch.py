"""Whom to ask for a configuration that this gateway knows it lacks.

Load pattern: a new version is announced to all gateways within a tenth of a
second, and all but the store's readers then need its body, tens to hundreds
of kilobytes. If each asked peers at random, most of the peers would not have
it yet; if all asked the readers, these would send it to every gateway over
one link. So each gateway first asks the peer that announced the version to
it. That peer is certainly reachable, and as each announces to a few others,
each sends the body a few times at most.

A peer that was reachable a moment ago may be gone, and count as alive for
seconds, or its link may be full. Therefore another peer is asked after
``HEDGE_SECONDS``, without giving up what is under way, and after
``SOURCE_SECONDS`` the store itself, whatever the peers do.
"""

import math
from collections.abc import Callable, Collection
from typing import NamedTuple

FEED_SECONDS = 0.15
"""Time for which a gateway that reads the store waits for its own feed."""
HEDGE_SECONDS = 0.25
"""Time after which another peer is asked as well."""
SOURCE_SECONDS = 0.5
"""Time after which the store is read, once a version is known to be wanted.
Without faults the last gateway has a version before that."""
SOURCE_PAUSE_SECONDS = 0.7
"""Time between two reads of the store."""
MAX_QUESTIONS = 4
"""Largest number of peers that are asked at the same time."""
QUESTION_PAUSE_SECONDS = 0.05
"""Shortest time between two questions to peers that fail at once."""
PATIENCE_SECONDS = 2.0
"""Time after which questions become rarer, in proportion to the time since
then: a version may be lost with its only gateway and the store's copy."""
MAX_SLOWDOWN = 40.0
"""Largest factor by which they become rarer: a read of the store in half a
minute."""
UNHELPFUL_SECONDS = 0.5
"""Time for which a peer that did not have the version is not asked again."""


class AskPeer(NamedTuple):
    """Fetch the configuration from a peer."""

    peer: str


class AskStore(NamedTuple):
    """Read the configuration from the store."""


class Wait(NamedTuple):
    """Do nothing until ``until``, unless something happens before."""

    until: float


Step = AskPeer | AskStore | Wait
ChoosePeer = Callable[[Collection[str]], str | None]
"""Returns the name of a peer that is none of the given ones, or None."""


class VersionFetch:
    """The versions that are wanted, and the questions under way.

    Attributes:
        wanted: Newest version heard of; 0 if none was.
    """

    def __init__(self) -> None:
        self.wanted = 0
        self._in_force = 0
        self._heard: dict[int, float] = {}
        self._announcers: dict[str, int] = {}
        self._questions: dict[str, float] = {}
        self._unhelpful: dict[str, float] = {}
        self._asks_store = False
        self._store_asked = -math.inf
        self._peer_asked = -math.inf

    # Events

    def note_version(self, version: int, member: str, now: float) -> bool:
        """Note that a member knows of a version.

        Returns:
            Whether the version is newer than all heard of.
        """
        if version <= self._in_force:
            return False
        if self._announcers.get(member, 0) < version:
            self._announcers[member] = version
        if version <= self.wanted:
            return False
        self.wanted = version
        self._heard[version] = now
        return True

    def note_in_force(self, version: int) -> None:
        """Note that a version has come into force."""
        self._in_force = max(version, self._in_force)
        for older in [v for v in self._heard if v <= self._in_force]:
            del self._heard[older]
        for name in [
            name
            for name, known in self._announcers.items()
            if known <= self._in_force
        ]:
            del self._announcers[name]
        self._unhelpful.clear()

    def note_peer_ended(self, peer: str, now: float) -> None:
        """Note that a question to a peer has ended."""
        self._questions.pop(peer, None)
        self._unhelpful[peer] = now + UNHELPFUL_SECONDS

    def note_store_ended(self) -> None:
        """Note that a read of the store has ended."""
        self._asks_store = False

    # Decision

    def find_wanted_seconds(self, now: float) -> float:
        """Return for how long a version has been wanted, 0 if none is."""
        return now - min(self._heard.values(), default=now)

    def decide(
        self, now: float, reads_store: bool, choose_peer: ChoosePeer
    ) -> Step | None:
        """Return the next step, or None while no version is wanted.

        A question is noted as asked when it is returned.

        Args:
            now: Current time in seconds.
            reads_store: Whether this gateway follows the store itself.
            choose_peer: Chooses a peer if none is left that announced the
                version.
        """
        if not self._heard:
            return None
        since = min(self._heard.values())
        slowdown = max(1.0, (now - since) / PATIENCE_SECONDS)
        slowdown = min(slowdown, MAX_SLOWDOWN)
        times = [self._find_peer_time(since, slowdown, reads_store)]
        if times[0] <= now:
            peer = self._find_announcer(now) or choose_peer(
                self._list_excluded(now)
            )
            if peer is not None:
                self._questions[peer] = self._peer_asked = now
                return AskPeer(peer)
            times = [now + HEDGE_SECONDS]
        if not self._asks_store:
            times.append(
                max(
                    since + SOURCE_SECONDS,
                    self._store_asked + slowdown * SOURCE_PAUSE_SECONDS,
                )
            )
            if times[-1] <= now:
                self._asks_store = True
                self._store_asked = now
                return AskStore()
        return Wait(min(times))

    def _find_peer_time(
        self, since: float, slowdown: float, reads_store: bool
    ) -> float:
        """Return when a peer is to be asked."""
        if len(self._questions) >= MAX_QUESTIONS:
            return math.inf
        first = since + FEED_SECONDS if reads_store else since
        pause = HEDGE_SECONDS if self._questions else QUESTION_PAUSE_SECONDS
        return max(first, self._peer_asked + slowdown * pause)

    def _list_excluded(self, now: float) -> set[str]:
        """Return the peers that are asked, or were in vain a moment ago."""
        unhelpful = {n for n, end in self._unhelpful.items() if end > now}
        return unhelpful | self._questions.keys()

    def _find_announcer(self, now: float) -> str | None:
        """Return the first that announced the newest version."""
        excluded = self._list_excluded(now)
        for name, version in self._announcers.items():
            if version == self.wanted and name not in excluded:
                return name
        return None
