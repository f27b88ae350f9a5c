"""Paths to runners: directly, or through another gateway.

Load pattern: some gateways, at times most of a failure domain, lose the path
to many or all runners for seconds, while callers, the store and the other
gateways still reach them. Callers keep their list of gateways and their open
connections for longer than that, so these gateways have to serve on. Their
requests go through other gateways, which open the connections to runners for
them.

A gateway can't tell from one failed connection whether the runner is down or
the path to it. As long as another runner is reached directly, requests go
there, and a peer is asked in the background whether it reaches the first one.
Several different runners that fail in a row mean that the gateway is
partitioned: all requests then go through peers, without waiting for a
connection timeout per runner. Lost direct paths are probed without a request
until one works again.

The peers are drawn at random for each connection. A gateway that refuses is
left out for a while, so the load of a partitioned domain is spread evenly over
all gateways that have a path, however many there are, and none is assigned
from afar.
"""

import math
from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple, Protocol, TypeVar

MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
"""First and longest backoff after a failure. A crashed runner returns after
some seconds, and each attempt may cost one caller a connection timeout."""
PARTITION_RUNNERS = 2
"""Different runners that fail in a row before a gateway counts as partitioned.
A single one is mostly a runner that has crashed."""
PROBE_SECONDS = 0.5
"""Pause between probes of further runners while a gateway is partitioned, in
case that it is not and the failed runners are down."""
MAX_PEERS_PER_CONNECTION = 4
"""Limit for the peers asked for one connection: with a third of the gateways
partitioned and none of them known yet, all four refuse in one of 80 cases."""

DIRECT_RANK, UNTESTED_RANK, LOST_RANK = 0, 1, 2


class Path(NamedTuple):
    """The best known path to a runner.

    Attributes:
        indirect: Whether it leads through another gateway.
        rank: Order of preference: 0 if the path works, 1 if it is untested
            and 2 if it has just failed.
    """

    indirect: bool
    rank: int


DIRECT_PATH = Path(False, DIRECT_RANK)


class Backoff:
    """Exponential backoff after failures in a row.

    Attributes:
        failed: Whether the last attempt failed.
    """

    def __init__(self) -> None:
        self.failed = False
        self._until = -math.inf
        self._seconds = 0.0

    def note_failure(self, now: float) -> None:
        """Start to back off, twice as long as the last time."""
        doubled = max(MIN_BACKOFF_SECONDS, 2 * self._seconds)
        self._seconds = min(MAX_BACKOFF_SECONDS, doubled)
        self._until = now + self._seconds
        self.failed = True

    def note_success(self) -> None:
        """Stop backing off and start anew at the next failure."""
        self.__init__()  # type: ignore[misc]

    def end(self) -> None:
        """Allow an attempt at once; another failure backs off for longer."""
        self._until = -math.inf

    def is_active(self, now: float) -> bool:
        """Return whether no attempt is to be made yet."""
        return now < self._until


class _Runner:
    """What is known of the paths to one runner.

    Attributes:
        direct: Direct connections.
        indirect: Connections through peers.
        silence: Answers that did not come although it was connected.
        proven: Whether the last connection through a peer was opened.
    """

    def __init__(self) -> None:
        self.direct = Backoff()
        self.indirect = Backoff()
        self.silence = Backoff()
        self.proven = False


class Reach:
    """What one gateway knows of its paths to the runners."""

    def __init__(self) -> None:
        self._runners: dict[str, _Runner] = {}
        self._failed_in_a_row: set[str] = set()
        self._next_probe = -math.inf

    @property
    def partitioned(self) -> bool:
        """Whether direct connections to all runners are assumed to fail."""
        return len(self._failed_in_a_row) >= PARTITION_RUNNERS

    def _find(self, runner: str) -> _Runner:
        found = self._runners.get(runner)
        if found is None:
            found = self._runners[runner] = _Runner()
        return found

    def note_direct(self, runner: str, connected: bool, now: float) -> None:
        """Record the outcome of a direct connection attempt."""
        if not connected:
            self._failed_in_a_row.add(runner)
            self._find(runner).direct.note_failure(now)
            return
        was_partitioned = self.partitioned
        self._failed_in_a_row.clear()
        if runner in self._runners:
            self._runners[runner].direct.note_success()
            self._forget_sound(runner)
        if was_partitioned:
            # The other paths have most likely returned with this one.
            for other in self._runners.values():
                other.direct.end()

    def note_indirect(self, runner: str, connected: bool, now: float) -> None:
        """Record the outcome of a connection attempt through peers."""
        found = self._find(runner)
        found.proven = connected
        if connected:
            found.indirect.note_success()
        else:
            found.indirect.note_failure(now)

    def note_silent(self, runner: str, now: float) -> None:
        """Record that a connected runner did not answer in time."""
        self._find(runner).silence.note_failure(now)

    def note_answered(self, runner: str) -> None:
        """Record that a runner answered."""
        if runner in self._runners:
            self._runners[runner].silence.note_success()
            self._forget_sound(runner)

    def _forget_sound(self, runner: str) -> None:
        """Drop a runner that is reached directly and answers."""
        found = self._runners[runner]
        if not found.direct.failed and not found.silence.failed:
            del self._runners[runner]

    def has_failures(self) -> bool:
        """Return whether any path failed since it last worked."""
        return bool(self._runners)

    def is_unreached(self, runner: str, now: float) -> bool:
        """Return whether a runner was recently not reached directly."""
        found = self._runners.get(runner)
        return found is not None and found.direct.is_active(now)

    def is_lost(self, runner: str, now: float) -> bool:
        """Return whether a runner was recently not reached, or was silent."""
        found = self._runners.get(runner)
        return found is not None and (
            found.direct.is_active(now) or found.silence.is_active(now)
        )

    def find_path(self, runner: str, has_peers: bool, now: float) -> Path:
        """Return the path on which to send a request to a runner.

        Args:
            runner: Id of the runner.
            has_peers: Whether there are peers to go through.
            now: Time in seconds.
        """
        found = self._runners.get(runner) or _Runner()
        rank = LOST_RANK if found.silence.is_active(now) else DIRECT_RANK
        lost = found.direct.is_active(now)
        # Only probes test a direct path that a peer can stand in for.
        replaced = found.direct.failed and found.proven and has_peers
        if not self.partitioned and not lost and not replaced:
            return Path(False, rank)
        if has_peers and not found.indirect.is_active(now):
            untested = DIRECT_RANK if found.proven else UNTESTED_RANK
            return Path(True, max(rank, untested))
        return Path(False, LOST_RANK if lost else max(rank, UNTESTED_RANK))

    def is_proven(self, runner: str) -> bool:
        """Return whether a peer was found to reach a runner."""
        found = self._runners.get(runner)
        return found is not None and found.proven

    def is_down(self, runner: str, now: float) -> bool:
        """Return whether peers were found not to reach a runner either."""
        found = self._runners.get(runner)
        return found is not None and found.indirect.is_active(now)

    def list_probes(
        self, known: Sequence[str], now: float, rng: Random
    ) -> list[str]:
        """Return the runners to which a direct connection is to be tried.

        Args:
            known: Ids of the runners that exist.
            now: Time in seconds.
            rng: Source of random choices.
        """
        due = [
            runner
            for runner in known
            if (found := self._runners.get(runner)) is not None
            and found.direct.failed
            and not found.direct.is_active(now)
            and (found.proven or self.partitioned)
        ]
        if self.partitioned and now >= self._next_probe:
            self._next_probe = now + PROBE_SECONDS
            others = [id_ for id_ in known if id_ not in self._failed_in_a_row]
            if others:
                due.append(rng.choice(others))
        return due

    def forget_missing(self, known: Iterable[str]) -> None:
        """Drop what is known of runners that no longer exist."""
        kept = frozenset(known)
        self._failed_in_a_row &= kept
        for runner in [key for key in self._runners if key not in kept]:
            del self._runners[runner]


class Peer(Protocol):
    """A gateway through which connections to runners may be opened."""

    @property
    def name(self) -> str:
        """Unique name of the gateway."""
        ...


Member = TypeVar("Member", bound=Peer)


class PeerChoice:
    """Chooses the gateways through which to connect to a runner."""

    def __init__(self) -> None:
        self._backoffs: dict[str, Backoff] = {}

    def choose(
        self, members: Iterable[Member], now: float, rng: Random
    ) -> list[Member]:
        """Return the gateways to ask, in this order.

        Args:
            members: The other gateways.
            now: Time in seconds.
            rng: Source of random choices.
        """
        usable = [member for member in members if self._is_usable(member, now)]
        return rng.sample(usable, min(MAX_PEERS_PER_CONNECTION, len(usable)))

    def has_any(self, members: Iterable[Member], now: float) -> bool:
        """Return whether there is a gateway to ask."""
        return any(self._is_usable(member, now) for member in members)

    def _is_usable(self, member: Peer, now: float) -> bool:
        backoff = self._backoffs.get(member.name)
        return backoff is None or not backoff.is_active(now)

    def note(self, name: str, served: bool, now: float) -> None:
        """Record whether a gateway could open connections at all."""
        if not served:
            self._backoffs.setdefault(name, Backoff()).note_failure(now)
        else:
            self._backoffs.pop(name, None)
