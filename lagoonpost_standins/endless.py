"""Answers that never end, as a runner in trouble sends them."""

import asyncio
from typing import NamedTuple

CHUNK_BYTES = 65536
"""Bytes written at once."""
TRICKLE_SECONDS = 0.1
"""Pause between the bytes of a slow answer."""
_CHUNKED = b"transfer-encoding: chunked\r\n"
_EVENTS = b"content-type: text/event-stream\r\n"


class EndlessAnswer(NamedTuple):
    """Bytes of an answer without an end.

    Attributes:
        fields: Header lines of a complete head; None if the head itself does
            not end.
        start: Bytes after the head, or instead of it.
        repeated: Bytes that follow again and again.
    """

    fields: bytes | None
    start: bytes
    repeated: bytes

    def make_start(self, fields: bytes) -> bytes:
        """Return the first bytes, with more header lines in the head."""
        if self.fields is None:
            return self.start
        return b"HTTP/1.1 200 OK\r\n%b%b\r\n%b" % (
            fields,
            self.fields,
            self.start,
        )


ENDLESS_HEADS = {
    "status_line": EndlessAnswer(None, b"HTTP/1.1 200 ", b"a"),
    "header": EndlessAnswer(None, b"HTTP/1.1 200 OK\r\nx: ", b"a"),
    "headers": EndlessAnswer(None, b"HTTP/1.1 200 OK\r\n", b"x: a\r\n"),
    "interim": EndlessAnswer(None, b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
}
ENDLESS_BODIES = {
    "length": EndlessAnswer(b"content-length: %d\r\n" % 10**15, b"", b"a"),
    "connection": EndlessAnswer(b"", b"", b"a"),
    "chunk": EndlessAnswer(_CHUNKED, b"fffffffffffff\r\n", b"a"),
    "chunks": EndlessAnswer(_CHUNKED, b"", b"1\r\na\r\n"),
    "extension": EndlessAnswer(_CHUNKED, b"1;", b"a"),
    "extensions": EndlessAnswer(
        _CHUNKED, b"", b"1;%b\r\na\r\n" % (b"a" * 9000)
    ),
    "trailers": EndlessAnswer(_CHUNKED, b"1\r\na\r\n0\r\n", b"x: a\r\n"),
}
ENDLESS_STREAMS = {
    "event": EndlessAnswer(_EVENTS, b"id: 1\ndata: ", b"a"),
    "event_in_chunks": EndlessAnswer(
        _EVENTS + _CHUNKED,
        b"9\r\nid: 1\ndat\r\n",
        b"c8\r\n%b\r\n" % (b"a" * 200),
    ),
    "comments": EndlessAnswer(_EVENTS, b"", b": a\n\n"),
    "blank_lines": EndlessAnswer(_EVENTS, b"", b"\n"),
    "no_events": EndlessAnswer(_EVENTS, b"", b"these bytes are no event\n\n"),
}
ENDLESS_ANSWERS = ENDLESS_HEADS | ENDLESS_BODIES | ENDLESS_STREAMS


async def send_endless(
    writer: asyncio.StreamWriter,
    answer: EndlessAnswer,
    fields: bytes = b"",
    slow: bool = False,
) -> None:
    """Send an answer until the connection is closed.

    Args:
        writer: The connection.
        answer: What to send.
        fields: Further header lines, if the head is complete.
        slow: Whether to send a byte at a time, with pauses.
    """
    repeated = answer.repeated
    block = repeated * max(1, CHUNK_BYTES // len(repeated))
    number = 0
    writer.write(answer.make_start(fields))
    while not writer.is_closing():
        if slow:
            at = number % len(repeated)
            writer.write(repeated[at : at + 1])
            number += 1
            await asyncio.sleep(TRICKLE_SECONDS)
        else:
            writer.write(block)
        try:
            await writer.drain()
        except OSError:
            return
        await asyncio.sleep(0)
