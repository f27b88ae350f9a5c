"""Event streams of the stand-in engine, with faults applied."""

import asyncio

from lagoonpost.http.responder import ClientDisconnectedError, Responder
from lagoonpost_standins.engine_batch import Answer
from lagoonpost_standins.engine_fault import Faults

LATE_EVENT_POSITION = 8
EVENT_STREAM = (
    ("content-type", "text/event-stream"),
    ("cache-control", "no-store"),
)


class _Connection:
    """One connection of an answer and the faults that affect it."""

    def __init__(self, *, first: bool) -> None:
        self.first = first
        self.sent = 0
        self.cut = False
        self.silent = False


class EventSender:
    """Sends the events of answers to the connections that read them."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._connections: set[_Connection] = set()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and apply them to open connections."""
        self.faults = faults
        for connection in self._connections:
            connection.cut |= faults.cut_now
            connection.silent |= faults.silence_now

    async def send(
        self, responder: Responder, answer: Answer, start: int, *, first: bool
    ) -> None:
        """Send an answer's events from index ``start``.

        Args:
            responder: Connection to write to.
            answer: Answer whose events are sent.
            start: Index of the first event to send.
            first: Whether this is the answer's first connection; some
                faults affect no other.
        """
        connection = _Connection(first=first)
        self._connections.add(connection)
        answer.readers += 1
        try:
            await responder.start(200, EVENT_STREAM)
            await self._send_events(responder, answer, start, connection)
        finally:
            self._connections.discard(connection)
            answer.readers -= 1
            answer.unread_since = asyncio.get_running_loop().time()

    async def _send_events(
        self,
        responder: Responder,
        answer: Answer,
        position: int,
        connection: _Connection,
    ) -> None:
        while True:
            grown = answer.new_events
            events = answer.events[position:]
            events = self._apply_limits(events, position, connection)
            if connection.cut:
                raise ClientDisconnectedError("cut by a fault")
            if events and not connection.silent:
                data = self._apply_event_faults(events, answer, position)
                await responder.write(b"".join(data))
                position += len(events)
                continue
            if answer.ended and not connection.silent:
                await responder.finish()
                return
            await grown.wait()

    def _apply_limits(
        self, events: list[bytes], position: int, connection: _Connection
    ) -> list[bytes]:
        """Send up to the fault's token, then cut or silence.

        Only an answer's first connection is affected.
        """
        if not connection.first:
            return events
        for limit, name in (
            (self.faults.cut_after, "cut"),
            (self.faults.silence_after, "silent"),
        ):
            if limit is None:
                continue
            if position >= limit:
                setattr(connection, name, True)
            events = events[: max(0, limit - position)]
        return events

    def _apply_event_faults(
        self, events: list[bytes], answer: Answer, position: int
    ) -> list[bytes]:
        if self.faults.reorder:
            pairs = [events[n : n + 2] for n in range(0, len(events), 2)]
            events = [event for pair in pairs for event in reversed(pair)]
        if self.faults.duplicate:
            events = [event for event in events for _ in (0, 1)]
        if self.faults.late and position > LATE_EVENT_POSITION:
            events = [answer.events[0], *events]
        return events
