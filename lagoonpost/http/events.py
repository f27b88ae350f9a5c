"""Splits response bodies into server-sent events.

Load pattern: a server in trouble may send an event that never ends, or blocks
of lines without events. The time to split them must not grow with what is
kept, so no byte is searched twice, and what is kept is bounded.
"""

import re
from collections.abc import AsyncIterator
from typing import NamedTuple

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event with the comments before it; a token with its frame takes a
few hundred bytes."""


class EventSizeError(ValueError):
    """An event does not end within ``MAX_EVENT_BYTES``."""


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

    Raises:
        EventSizeError: If an event does not end.
    """
    splitter = EventSplitter()
    async for part in parts:
        for raw in splitter.feed(part):
            event = _read_block(raw.data[raw.start :])
            if event.data:
                yield event
        if splitter.is_oversized:
            raise EventSizeError(f"event of more than {MAX_EVENT_BYTES} bytes")


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
        data: All bytes of the event, with the blank line that ends it and
            the comments before it.
        start: Bytes of the comments before it.
    """

    id: str
    data: bytes
    start: int = 0


_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_DATA = re.compile(rb"(?m)^data:")
_EVENT_ID = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Splits a byte stream into complete events without changing them.

    A stream may break off within an event, and bytes that were forwarded
    cannot be recalled. Therefore only complete events are returned, and the
    incomplete one is buffered. Comments and blank lines are kept until the
    next event, as a server that sends nothing else answers nothing.
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        self._block = 0

    @property
    def size(self) -> int:
        """Buffered bytes."""
        return len(self._pending)

    @property
    def is_oversized(self) -> bool:
        """Whether more bytes than the largest event has came without one."""
        return len(self._pending) > MAX_EVENT_BYTES

    @property
    def remainder(self) -> bytes:
        """Buffered bytes of the incomplete event."""
        return bytes(self._pending[self._block :])

    @property
    def comments(self) -> bytes:
        """Complete comments that no event has followed yet."""
        return bytes(self._pending[: self._block])

    def feed(self, data: bytes) -> list[RawEvent]:
        """Append ``data`` and return the events that it completes."""
        pending = self._pending
        # The end of an event has up to four bytes, three of which may have
        # been here before.
        searched = max(self._block, len(pending) - 3)
        pending += data
        events = []
        start = 0
        while (end := _EVENT_END.search(pending, searched)) is not None:
            searched = end.end()
            found = _EVENT_ID.search(pending, self._block, searched)
            if found or _EVENT_DATA.search(pending, self._block, searched):
                id_ = found.group(1).decode("latin-1").strip() if found else ""
                event = bytes(pending[start:searched])
                events.append(RawEvent(id_, event, self._block - start))
                start = searched
            self._block = searched
        del pending[:start]
        self._block -= start
        return events
