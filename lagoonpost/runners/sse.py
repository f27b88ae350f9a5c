"""Parser of an engine's server-sent events."""

from typing import NamedTuple

import msgspec

from lagoonpost.http.events import MAX_EVENT_BYTES
from lagoonpost.tables.decoding import UNREADABLE
from lagoonpost.tables.token_usage import TokenUsage

_DATA = b"data:"
_ID = b"id:"
_DONE = b"[DONE]"


class Tokens(NamedTuple):
    """Consecutive tokens of one answer.

    Attributes:
        offset: Number of the answer's tokens before these.
        tokens: The tokens.
    """

    offset: int
    tokens: list[str]


class Closing(NamedTuple):
    """The final event: the answer has ``usage.completion_tokens`` tokens."""

    finish_reason: str
    usage: TokenUsage


class EngineError(NamedTuple):
    """The engine reported an error or violated the protocol."""

    detail: str


StreamEvent = Tokens | Closing | EngineError


class _Delta(msgspec.Struct, gc=False):
    content: str | None = None


class _Choice(msgspec.Struct, gc=False):
    delta: _Delta
    finish_reason: str | None = None


class _Chunk(msgspec.Struct, gc=False):
    choices: tuple[_Choice, ...] = ()
    usage: TokenUsage | None = None
    error: msgspec.Raw | None = None


_decode = msgspec.json.Decoder(_Chunk).decode


class EventReader:
    """Incremental parser of one response.

    Parsing dominates the CPU time of a relayed answer. Therefore consecutive
    tokens of one read are merged into one ``Tokens``, and JSON is decoded
    into typed structs.
    """

    def __init__(self) -> None:
        self._incomplete = bytearray()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events completed by ``data``.

        Args:
            data: Next bytes of the response.
        """
        blocks = self._split(data)
        events: list[StreamEvent] = []
        following = -1
        tokens: list[str] = []
        if len(self._incomplete) > MAX_EVENT_BYTES:
            self._incomplete.clear()
            return [EngineError("event exceeds the size limit")]
        for block in blocks:
            try:
                number, chunk = _read_block(block)
            except UNREADABLE as error:
                events.append(EngineError(str(error)))
                break
            if chunk is None:
                continue
            if number <= 0 or not chunk.choices:
                events.append(_read_final_event(chunk))
                following = -1
                continue
            content = chunk.choices[0].delta.content or ""
            if number == following:
                tokens.append(content)
            else:
                tokens = [content]
                events.append(Tokens(number - 1, tokens))
            following = number + 1
        return events

    def _split(self, data: bytes) -> list[bytes]:
        """Append ``data`` and return the blocks that it completes."""
        incomplete = self._incomplete
        if incomplete:
            # Only the new bytes are searched: an event without an end would
            # otherwise be searched again with each read.
            searched = len(incomplete) - 1
            incomplete += data
            if incomplete.find(b"\n\n", searched) < 0:
                return []
            data = bytes(incomplete)
            incomplete.clear()
        *blocks, rest = data.split(b"\n\n")
        if rest:
            incomplete += rest
        return blocks


def _read_block(block: bytes) -> tuple[int, _Chunk | None]:
    number = 0
    chunk = None
    for line in block.split(b"\n"):
        if line.startswith(_DATA):
            payload = line[5:].strip()
            if payload != _DONE:
                chunk = _decode(payload)
        elif line.startswith(_ID):
            number = int(line[3:])
    return number, chunk


def _read_final_event(chunk: _Chunk) -> StreamEvent:
    if chunk.error is not None:
        return EngineError(bytes(chunk.error).decode(errors="replace"))
    for choice in chunk.choices:
        if choice.finish_reason and chunk.usage is not None:
            return Closing(choice.finish_reason, chunk.usage)
    return EngineError("event is neither a token nor the end of the answer")
