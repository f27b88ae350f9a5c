"""Sends one HTTP/1.1 response with bounded buffering."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import h11

from lagoonpost.http.message import Headers, Response


class Limits(NamedTuple):
    """Bounds that keep one caller from holding memory or a connection.

    Attributes:
        body: Largest request body in bytes.
        head: Largest request line and headers in bytes.
        read_seconds: Longest time to receive one whole request.
        idle_seconds: Longest wait for the next request on a connection.
        write_seconds: Longest time the peer may leave sent bytes unread.
        buffer: Unread bytes after which a write waits for the peer.
    """

    body: int = 4 * 1024 * 1024
    head: int = 32 * 1024
    read_seconds: float = 20.0
    idle_seconds: float = 75.0
    write_seconds: float = 20.0
    buffer: int = 256 * 1024


class ClientDisconnectedError(Exception):
    """The peer closed or stopped reading before its response was sent."""


class Responder:
    """Sends one response, whole or in parts, with bounded buffering."""

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        limits: Limits,
        is_closing: Callable[[], bool] = lambda: False,
    ) -> None:
        self._connection = connection
        self._writer = writer
        self._limits = limits
        self._is_closing = is_closing
        self._chunked = False
        self.started = False
        self.finished = False

    async def send(self, response: Response) -> None:
        """Send a whole response.

        Raises:
            PeerGoneError: If the peer is gone or reads too slowly.
        """
        length = ("content-length", str(len(response.body)))
        self._head(response.status, (*response.headers, length))
        parts = self._encode(h11.Data(data=response.body))
        parts += self._encode(h11.EndOfMessage())
        self.finished = True
        await self._write(parts)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body follows in parts."""
        self._head(status, headers)
        self._chunked = self._connection.their_http_version != b"1.0"
        await self._write(b"")

    async def write(self, data: bytes) -> None:
        """Send one part of the body.

        The parts of a stream are framed here and not by h11, whose event
        objects take 10 us a part, a fourteenth of what relaying a token
        costs; chunk framing is two lines. h11 still owns the state of the
        connection.
        """
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        await self._write(data)

    async def finish(self) -> None:
        """Send the end of a response that was sent in parts."""
        end = self._encode(h11.EndOfMessage())
        self.finished = True
        await self._write(end)

    def is_disconnected(self) -> bool:
        """Tell whether the connection to the peer is known to be lost."""
        return self._writer.is_closing()

    def _head(self, status: int, headers: Headers) -> None:
        self.started = True
        if self._is_closing():
            # The caller must not send its next request on a connection
            # that is closed after this answer.
            headers = (*headers, ("connection", "close"))
        self._writer.write(
            self._encode(
                h11.Response(status_code=status, headers=list(headers))
            )
        )

    def _encode(self, event: h11.Event) -> bytes:
        return self._connection.send(event) or b""

    async def _write(self, data: bytes) -> None:
        if self._writer.is_closing():
            raise ClientDisconnectedError("connection closed")
        self._writer.write(data)
        if self._writer.transport.get_write_buffer_size() == 0:
            return
        try:
            # A caller that never reads would otherwise hold its whole
            # answer in our memory; it shows as a drain that never ends.
            async with asyncio.timeout(self._limits.write_seconds):
                await self._writer.drain()
        except (TimeoutError, OSError) as error:
            self._writer.transport.abort()
            raise ClientDisconnectedError("peer stopped reading") from error
