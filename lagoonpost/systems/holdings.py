"""Bounds what all clients' connections together make a process hold.

Load pattern: many clients at once send large bodies and stop just short of
their end, send requests ahead, don't read their answers, or open connections
and send nothing. Each stays within its own limits, and all of them together
take more memory and descriptors than the host has. Refusing whoever comes last
would refuse ordinary callers as soon as such clients have filled the bound.

Therefore connections that make no progress are closed first, in the order of
their last progress, and only then is the newest one refused. Large requests
and answers may take `LARGE_SHARE` of the memory, so that small ones find room
whatever the large ones do.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import Literal, NamedTuple

from lagoonpost.tables.holding import Holding, Stage

CONNECTION_BYTES = 8 * 1024
"""Memory of a connection and its objects without any content."""
SMALL_BYTES = 128 * 1024
"""Largest content that counts as small: a request's body of half of it, and
the copy that is sent on. Nearly all requests are smaller."""
LARGE_SHARE = 0.75
"""Share of the memory that large contents may take together."""
STALL_SECONDS = 0.5
"""Time without progress after which a connection that has sent a part of its
request, or has not taken a part of its answer, may be closed for others. Round
trips and lost packets take less."""
YOUNG_SECONDS = 0.05
"""Time without progress after which a connection may be closed where many
others come: an ordinary request arrives as a whole right after its connection
was opened. Those of one turn of the loop must not close each other unread."""
REFUSED_SHARE = 0.125
"""Share of the connections on which bytes are discarded after a response."""
PROGRESS_BYTES = 4 * 1024
"""Bytes of a body that count as progress, so that one byte at a time doesn't
keep a connection open."""

Part = Literal["body", "ahead", "unsent"]


class HoldingBounds(NamedTuple):
    """Bounds over all connections.

    Attributes:
        memory: Bytes that they may take together.
        connections: Descriptors that they may take together.
        for_request: Further descriptors of a request that is handled, such as
            the connection to its runner.
    """

    memory: int
    connections: int
    for_request: int = 1


UNBOUNDED = HoldingBounds(1 << 62, 1 << 62)


class Room(NamedTuple):
    """How room was made for a change.

    Attributes:
        closed: Connections that were removed and have to be closed.
        fits: Whether there is room now. Otherwise the connection that changed
            has to be refused.
    """

    closed: tuple[Holding, ...] = ()
    fits: bool = True


NO_CHANGE = Room()


class Holdings:
    """All connections of clients, and what is to be closed when.

    Args:
        bounds: Bounds over all connections.
        measure: Returns the bytes in a connection's buffer, which shrink
            without notice as its client takes them.

    Attributes:
        bounds: Bounds over all connections.
        memory: Bytes that all connections take.
        large: Bytes of those contents that are not small.
        descriptors: Descriptors that all connections take.
    """

    def __init__(
        self,
        bounds: HoldingBounds = UNBOUNDED,
        measure: Callable[[Holding], int] = lambda holding: holding.unsent,
    ) -> None:
        self.bounds = bounds
        self._measure = measure
        self.memory = 0
        self.large = 0
        self.descriptors = 0
        # Each is in the order of the last progress, as it changes by moves to
        # the end.
        self._stages: dict[Stage, OrderedDict[Holding, None]] = {
            "opening": OrderedDict(),
            "idle": OrderedDict(),
            "reading": OrderedDict(),
            "handled": OrderedDict(),
            "refused": OrderedDict(),
        }
        self._unsent: OrderedDict[Holding, None] = OrderedDict()
        self._ahead: OrderedDict[Holding, None] = OrderedDict()

    def __len__(self) -> int:
        return sum(map(len, self._stages.values()))

    def add(self, now: float) -> tuple[Holding, Room]:
        """Add a new connection.

        Args:
            now: Current time in seconds.
        """
        holding = Holding(now)
        self._stages["opening"][holding] = None
        self.memory += CONNECTION_BYTES
        self.descriptors += 1
        return holding, self._make_room(holding, now)

    def remove(self, holding: Holding) -> None:
        """Remove a connection that is closed; nothing if it was removed."""
        stage = self._stages[holding.stage]
        if holding not in stage:
            return
        if holding.size:
            self._change(holding, "body", 0)
            self._change(holding, "ahead", 0)
            self._change(holding, "unsent", 0)
        del stage[holding]
        self._unsent.pop(holding, None)
        self._ahead.pop(holding, None)
        self.memory -= CONNECTION_BYTES
        self.descriptors -= self._count_descriptors(holding.stage)

    def enter(self, holding: Holding, stage: Stage, now: float) -> Room:
        """Move a connection to a stage.

        Args:
            holding: The connection.
            stage: Its stage from now on.
            now: Current time in seconds.
        """
        left = self._stages[holding.stage]
        if holding not in left:
            return NO_CHANGE
        del left[holding]
        if "handled" in (stage, holding.stage):
            self.descriptors += self._count_descriptors(stage)
            self.descriptors -= self._count_descriptors(holding.stage)
        holding.stage, holding.since = stage, now
        holding.arrived = 0
        self._stages[stage][holding] = None
        if stage == "handled":
            return self._make_room(holding, now)
        if stage != "refused":
            return NO_CHANGE
        refused = self._stages["refused"]
        if len(refused) <= REFUSED_SHARE * self.bounds.connections:
            return NO_CHANGE
        oldest = next(iter(refused))
        self.remove(oldest)
        return Room((oldest,))

    def note_arrived(self, holding: Holding, size: int, now: float) -> None:
        """Record that bytes of a connection's request have arrived."""
        holding.arrived += size
        stage = self._stages[holding.stage]
        if holding.arrived >= PROGRESS_BYTES and holding in stage:
            holding.arrived, holding.since = 0, now
            stage.move_to_end(holding)

    def resize(
        self, holding: Holding, part: Part, size: int, now: float
    ) -> Room:
        """Change what a connection makes the process hold.

        Args:
            holding: The connection.
            part: Which part changes.
            size: Bytes of that part from now on.
            now: Current time in seconds.
        """
        before: int = getattr(holding, part)
        if size == before or holding not in self._stages[holding.stage]:
            return NO_CHANGE
        self._change(holding, part, size)
        if part == "unsent":
            self._note_unsent(holding, before, now)
        elif part == "ahead":
            self._mark(self._ahead, holding, size > 0)
        return self._make_room(holding, now) if size > before else NO_CHANGE

    def has_room(self, size: int, now: float) -> bool:
        """Return whether a request of ``size`` bytes could be held now.

        Args:
            size: Announced size of its body in bytes.
            now: Current time in seconds.
        """
        if size <= SMALL_BYTES:
            return True
        self._measure_unsent(now)
        stalled = sum(
            each.size for each in self._list_stalled(now) if _is_large(each)
        )
        taken = self.large - stalled
        return taken <= 0 or taken + size <= self._large_limit

    @property
    def _large_limit(self) -> float:
        return LARGE_SHARE * self.bounds.memory

    def _count_descriptors(self, stage: Stage) -> int:
        return 1 + (stage == "handled") * self.bounds.for_request

    def _change(self, holding: Holding, part: Part, size: int) -> None:
        growth = size - getattr(holding, part)
        before = holding.size
        setattr(holding, part, size)
        self.memory += growth
        if before > SMALL_BYTES:
            self.large -= before
        if before + growth > SMALL_BYTES:
            self.large += before + growth

    def _measure_unsent(self, now: float) -> None:
        """Note what clients have taken since their answers were written."""
        for holding in tuple(self._unsent):
            before = holding.unsent
            size = min(before, self._measure(holding) + holding.kept)
            if size < before:
                self._change(holding, "unsent", size)
                self._note_unsent(holding, before, now)

    def _note_unsent(self, holding: Holding, before: int, now: float) -> None:
        if not before or holding.unsent < before:
            holding.unsent_since = now
            self._unsent.pop(holding, None)
        self._mark(self._unsent, holding, holding.unsent > 0)

    @staticmethod
    def _mark(
        table: OrderedDict[Holding, None], holding: Holding, present: bool
    ) -> None:
        if present:
            table.setdefault(holding)
        else:
            table.pop(holding, None)

    def _make_room(self, newest: Holding, now: float) -> Room:
        """Remove other connections until all bounds hold, or none is left."""
        bounds = self.bounds
        if (
            self.memory <= bounds.memory
            and self.descriptors <= bounds.connections
            and self.large <= self._large_limit
        ):
            return NO_CHANGE
        if self._exceeds_large(newest) or self._exceeds():
            self._measure_unsent(now)
        closed: list[Holding] = []
        while True:
            if self._exceeds_large(newest):
                victim = self._find_large(newest, now)
            elif self._exceeds():
                victim = self._find_any(newest, now)
            else:
                return Room(tuple(closed))
            if victim is None:
                return Room(tuple(closed), fits=False)
            self.remove(victim)
            closed.append(victim)

    def _exceeds(self) -> bool:
        # A single large content may be larger than the share of all.
        excess = max(0.0, self.large - self._large_limit)
        return (
            self.memory - excess > self.bounds.memory
            or self.descriptors > self.bounds.connections
        ) and len(self) > 1

    def _exceeds_large(self, newest: Holding) -> bool:
        """Return whether large contents exceed their share.

        A single one is allowed whatever its size, as it is within the limits
        of a request.
        """
        return (
            _is_large(newest)
            and self.large > self._large_limit
            and self.large > newest.size
        )

    def _find_large(self, newest: Holding, now: float) -> Holding | None:
        large = (
            each
            for each in self._list_stalled(now)
            if each is not newest and _is_large(each)
        )
        return next(large, None)

    def _find_any(self, newest: Holding, now: float) -> Holding | None:
        others = (
            each for each in self._list_closable(now) if each is not newest
        )
        return next(others, None)

    def _list_closable(self, now: float) -> Iterator[Holding]:
        """Yield the connections that may be closed, in order."""
        yield from self._list_stalled(now)
        yield from self._list_older("opening", now - YOUNG_SECONDS)
        yield from self._stages["idle"]
        for each in self._ahead:
            if each.stage == "handled":
                yield each
        yield from self._list_older("reading", now - YOUNG_SECONDS)

    def _list_stalled(self, now: float) -> Iterator[Holding]:
        """Yield the connections that keep others waiting, oldest first."""
        yield from self._stages["refused"]
        yield from self._list_older("reading", now - STALL_SECONDS)
        for each in self._unsent:
            if each.unsent_since > now - STALL_SECONDS:
                break
            yield each

    def _list_older(self, stage: Stage, since: float) -> Iterator[Holding]:
        """Yield the connections of a stage without progress since a time."""
        for each in self._stages[stage]:
            if each.since > since:
                break
            yield each


def _is_large(holding: Holding) -> bool:
    return holding.size > SMALL_BYTES
