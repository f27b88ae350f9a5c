"""Writes an HTTP/1.1 response with a bounded buffer."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import h11

from lagoonpost.http.message import (
    Headers,
    Response,
    encode_headers,
)

PIECE_BYTES = 64 * 1024
"""Bytes of a response that are copied to the connection's buffer at once."""


class Limits(NamedTuple):
    """Limits on the memory and time that one client may occupy.

    Attributes:
        body: Largest request body in bytes.
        head: Largest request line and headers in bytes.
        head_seconds: Longest time to receive its request line and headers.
        read_seconds: Longest time to receive one complete request.
        idle_seconds: Longest wait for the next request on a connection.
        write_seconds: Longest wait until the client reads what was sent.
        buffer: Unsent bytes beyond which a write waits for the client.
    """

    body: int = 4 * 1024 * 1024
    head: int = 32 * 1024
    head_seconds: float = 20.0
    read_seconds: float = 20.0
    idle_seconds: float = 75.0
    write_seconds: float = 20.0
    buffer: int = 256 * 1024


class ClientDisconnectedError(Exception):
    """The client disconnected or stopped reading during its response."""


class Responder:
    """Writes one response, at once or in chunks.

    Args:
        connection: State of the request and its response.
        writer: Writes to the client.
        limits: Limits of the connection.
        is_closing: Returns whether the connection closes after the response.
        note_unsent: Called with the bytes of the response in the connection's
            buffer and those to be written yet; returns whether there is
            memory for them.

    Attributes:
        bodiless: Whether the request asks for the head only.
        started: Whether the head was sent.
        finished: Whether the end of the response was sent.
    """

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        limits: Limits,
        is_closing: Callable[[], bool] = lambda: False,
        note_unsent: Callable[[int, int], bool] = lambda buffered, kept: True,
    ) -> None:
        self._note_unsent = note_unsent
        self._unsent: tuple[int, int] | None = None
        self._connection = connection
        self._writer = writer
        self._limits = limits
        self._is_closing = is_closing
        self._chunked = False
        self.bodiless = False
        self.started = False
        self.finished = False

    async def send(self, response: Response) -> None:
        """Send a complete response.

        Raises:
            PeerGoneError: If the client has disconnected or reads
                too slowly.
        """
        body = response.body
        length = ("content-length", str(len(body)))
        if self.bodiless:
            body = b""
        # The head and a short body go together: each write is a system call
        # here and an event at the client.
        head = self._make_head(response.status, (*response.headers, length))
        if len(body) > PIECE_BYTES:
            self._writer.write(head)
            head = b""
            body = await self._send_pieces(body)
        parts = head + self._encode(h11.Data(data=body))
        parts += self._encode(h11.EndOfMessage())
        self.finished = True
        await self._write(parts)

    async def _send_pieces(self, body: bytes) -> bytes:
        """Send a large body but for its last piece, which is returned."""
        with memoryview(body) as view:
            for start in range(0, len(body) - PIECE_BYTES, PIECE_BYTES):
                piece = bytes(view[start : start + PIECE_BYTES])
                await self._write(
                    self._encode(h11.Data(data=piece)),
                    len(body) - start - PIECE_BYTES,
                )
            return bytes(
                view[len(body) - (len(body) % PIECE_BYTES or PIECE_BYTES) :]
            )

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body follows in chunks."""
        self._writer.write(self._make_head(status, headers))
        self._chunked = self._connection.their_http_version != b"1.0"
        await self._write(b"")

    async def write(self, data: bytes) -> None:
        """Send one chunk of the body.

        Chunks are framed here instead of by h11, whose event objects cost
        10 us per chunk, a fourteenth of the cost of relaying a token. h11
        still tracks the state of the connection.
        """
        if self.bodiless:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        await self._write(data)

    async def finish(self) -> None:
        """Send the end of a chunked response."""
        end = self._encode(h11.EndOfMessage())
        self.finished = True
        await self._write(end)

    def end(self) -> None:
        """Tell the client that nothing follows the response."""
        if self._writer.can_write_eof() and not self._writer.is_closing():
            self._writer.write_eof()

    def abort(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    def is_disconnected(self) -> bool:
        """Return whether the connection is known to be closed."""
        return self._writer.is_closing()

    def _make_head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        if self._is_closing():
            # The client must not send its next request on a connection that
            # the server closes after this response.
            headers = (*headers, ("connection", "close"))
        return self._encode(
            h11.Response(status_code=status, headers=encode_headers(headers))
        )

    def _encode(self, event: h11.Event) -> bytes:
        return self._connection.send(event) or b""

    async def _write(self, data: bytes, kept: int = 0) -> None:
        """Write bytes, and wait until few enough are unsent.

        Args:
            data: The bytes.
            kept: Bytes of the response that follow.
        """
        if self._writer.is_closing():
            raise ClientDisconnectedError("connection closed")
        self._writer.write(data)
        # Most writes leave nothing unsent, as the one before did.
        buffered = self._writer.transport.get_write_buffer_size()
        if (buffered, kept) != self._unsent:
            self._account(buffered, kept)
        if not buffered:
            return
        try:
            # Without a timeout, a client that never reads would keep its
            # entire response in this process's memory.
            async with asyncio.timeout(self._limits.write_seconds):
                await self._writer.drain()
        except (TimeoutError, OSError) as error:
            self.abort()
            raise ClientDisconnectedError("client stopped reading") from error
        buffered = self._writer.transport.get_write_buffer_size()
        self._account(buffered, kept)

    def _account(self, buffered: int, kept: int) -> None:
        self._unsent = (buffered, kept)
        if not self._note_unsent(buffered, kept):
            self.abort()
            raise ClientDisconnectedError("no memory for unsent bytes")
