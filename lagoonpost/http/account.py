"""Accounts for what clients' connections hold, and closes some if needed."""

import asyncio
import resource
import time
from collections.abc import Callable

import eliot

from lagoonpost.systems.holdings import (
    NO_CHANGE,
    UNBOUNDED,
    HoldingBounds,
    Holdings,
    Part,
    Room,
)
from lagoonpost.tables.holding import Holding, Stage

MAX_DESCRIPTORS = 65536
"""Descriptors that are planned for where the process has no limit."""
LOG_SECONDS = 1.0
"""Shortest pause between two log lines: there may be thousands of events."""


def read_descriptor_limit() -> int:
    """Return how many descriptors this process may open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return min(limit, MAX_DESCRIPTORS) if limit > 0 else MAX_DESCRIPTORS


class ClientAccount:
    """What all connections of clients hold, at one or several servers.

    Args:
        bounds: Bounds over all connections.
        clock: Returns the time in seconds.

    Attributes:
        closed: Number of connections closed for others.
        refused: Number of connections and requests refused.
    """

    def __init__(
        self,
        bounds: HoldingBounds = UNBOUNDED,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._holdings = Holdings(bounds, self._measure)
        self._clock = clock
        self._transports: dict[Holding, asyncio.WriteTransport] = {}
        self._by_transport: dict[asyncio.WriteTransport, Holding] = {}
        self._on_closed: dict[Holding, Callable[[], None]] = {}
        self._logged = -LOG_SECONDS
        self.closed = 0
        self.refused = 0

    @property
    def memory(self) -> int:
        """Bytes that all connections take."""
        return self._holdings.memory

    @property
    def descriptors(self) -> int:
        """Descriptors that all connections take."""
        return self._holdings.descriptors

    def open(self, transport: asyncio.WriteTransport) -> Holding | None:
        """Add a connection; None if it has to be closed at once."""
        holding, room = self._holdings.add(self._clock())
        self._transports[holding] = transport
        self._by_transport[transport] = holding
        if self._apply(room):
            return holding
        self.close(holding)
        return None

    def find(self, transport: asyncio.WriteTransport) -> Holding:
        """Return the connection of a transport.

        One that was closed for others since then is not accounted for.
        """
        return self._by_transport.get(transport) or Holding(self._clock())

    def watch(self, holding: Holding, on_closed: Callable[[], None]) -> None:
        """Set what is called when a connection is closed for others.

        Its task runs only some turns of the loop later; until then it would
        keep its content in memory.
        """
        self._on_closed[holding] = on_closed

    def close(self, holding: Holding) -> None:
        """Remove a connection that is closed."""
        self._holdings.remove(holding)
        self._forget(holding)

    def _forget(self, holding: Holding) -> asyncio.WriteTransport | None:
        self._on_closed.pop(holding, None)
        transport = self._transports.pop(holding, None)
        if transport is not None:
            del self._by_transport[transport]
        return transport

    def enter(self, holding: Holding, stage: Stage) -> bool:
        """Move a connection to a stage, and return whether there is room."""
        room = self._holdings.enter(holding, stage, self._clock())
        return room is NO_CHANGE or self._apply(room)

    def note_arrived(self, holding: Holding, size: int) -> None:
        """Record that bytes of a request have arrived."""
        self._holdings.note_arrived(holding, size, self._clock())

    def resize(self, holding: Holding, part: Part, size: int) -> bool:
        """Change the size of a part, and return whether there is room."""
        room = self._holdings.resize(holding, part, size, self._clock())
        return room is NO_CHANGE or self._apply(room)

    def note_unsent(self, holding: Holding, buffered: int, kept: int) -> bool:
        """Change the size of an answer that the client hasn't taken.

        Args:
            holding: The connection.
            buffered: Bytes in the connection's buffer.
            kept: Bytes of the answer that are to be written yet.

        Returns:
            Whether there is room.
        """
        holding.kept = kept
        return self.resize(holding, "unsent", buffered + kept)

    def _measure(self, holding: Holding) -> int:
        return self._transports[holding].get_write_buffer_size()

    def has_room(self, size: int) -> bool:
        """Return whether a request of ``size`` bytes could be held now."""
        if self._holdings.has_room(size, self._clock()):
            return True
        return self._apply(Room(fits=False))

    def _apply(self, room: Room) -> bool:
        for holding in room.closed:
            self.closed += 1
            on_closed = self._on_closed.get(holding)
            if on_closed is not None:
                on_closed()
            transport = self._forget(holding)
            if transport is not None:
                transport.abort()
        self.refused += not room.fits
        if room.closed or not room.fits:
            self._log()
        return room.fits

    def _log(self) -> None:
        now = self._clock()
        if now < self._logged + LOG_SECONDS:
            return
        self._logged = now
        eliot.log_message(
            message_type="lagoonpost:clients:bounded",
            closed=self.closed,
            refused=self.refused,
            memory=self.memory,
            descriptors=self.descriptors,
        )
