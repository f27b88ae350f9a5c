"""Reads server-sent events from the parts of a response."""

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
