"""Splits response bodies into server-sent events."""

import re
from collections.abc import AsyncIterator
from typing import NamedTuple


class ServerEvent(NamedTuple):
    """A parsed event.

    Attributes:
        id: The ``id`` field; empty if absent.
        kind: The ``event`` field; ``message`` if absent.
        data: The ``data`` field.
    """

    id: str
    kind: str
    data: bytes


async def read_events(
    parts: AsyncIterator[bytes],
) -> AsyncIterator[ServerEvent]:
    """Yield the complete events of a body, without comments.

    Args:
        parts: Chunks of the body; an event may span several.
    """
    pending = b""
    async for part in parts:
        *blocks, pending = (pending + part).split(b"\n\n")
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
    """A complete event, byte for byte.

    Attributes:
        id: The ``id`` field; empty if absent.
        data: All bytes of the event, with the blank line that ends it.
    """

    id: str
    data: bytes


_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Splits a byte stream into complete events without changing them.

    A stream may break off within an event, and bytes that were forwarded
    cannot be recalled. Therefore only complete events are returned, and the
    incomplete one is buffered.
    """

    def __init__(self) -> None:
        self._pending = b""

    @property
    def remainder(self) -> bytes:
        """Buffered bytes of the incomplete event."""
        return self._pending

    def feed(self, data: bytes) -> list[RawEvent]:
        """Append ``data`` and return the events that it completes."""
        self._pending += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._pending):
            block = self._pending[start : end.end()]
            found = _EVENT_ID.search(block)
            id_ = found.group(1).decode("latin-1").strip() if found else ""
            events.append(RawEvent(id_, block))
            start = end.end()
        self._pending = self._pending[start:]
        return events
