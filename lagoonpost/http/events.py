"""Reads server-sent events from the parts of a response."""

import re
from collections.abc import AsyncIterator
from typing import NamedTuple


class ServerEvent(NamedTuple):
    """One event; ``kind`` is its ``event`` field, ``message`` if none."""

    id: str
    kind: str
    data: bytes


async def read_events(
    parts: AsyncIterator[bytes],
) -> AsyncIterator[ServerEvent]:
    """Yield the whole events among the parts; comments are left out."""
    rest = b""
    async for part in parts:
        *blocks, rest = (rest + part).split(b"\n\n")
        for block in blocks:
            event = _read_block(block)
            if event.data:
                yield event


def _read_block(block: bytes) -> ServerEvent:
    fields = {b"id": b"", b"event": b"message", b"data": b""}
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        if name in fields:
            fields[name] = value.strip()
    return ServerEvent(
        fields[b"id"].decode(), fields[b"event"].decode(), fields[b"data"]
    )


class RawEvent(NamedTuple):
    """One whole event byte for byte, with its id (empty if it has none)."""

    id: str
    data: bytes


_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Cuts the bytes of a stream into whole events, unchanged.

    A stream may break off in the middle of an event. What was passed on
    can't be taken back, so only whole events leave; the rest stays here.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def remainder(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._rest

    def feed(self, data: bytes) -> list[RawEvent]:
        """Return the events that ``data`` completes."""
        self._rest += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._rest):
            block = self._rest[start : end.end()]
            found = _EVENT_ID.search(block)
            id_ = found.group(1).decode("latin-1").strip() if found else ""
            events.append(RawEvent(id_, block))
            start = end.end()
        self._rest = self._rest[start:]
        return events
