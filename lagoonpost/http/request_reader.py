"""Reads requests from one client's connection, within all bounds."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple
from urllib.parse import urlsplit

import h11

from lagoonpost.http.account import ClientAccount
from lagoonpost.http.body import BodyBuffer
from lagoonpost.http.chunks import ChunkDecoder, ChunkError
from lagoonpost.http.client import SENDING_BYTES
from lagoonpost.http.decoding_limiter import DecodingLimiter
from lagoonpost.http.listener import RECEIVE_BUFFER_BYTES
from lagoonpost.http.message import Request
from lagoonpost.http.responder import ClientDisconnectedError, Limits
from lagoonpost.tables.holding import Holding

READ_BYTES = 16 * 1024
"""Bytes read at once; a connection buffers twice as many."""
FREE_BYTES = 4 * 1024
"""Content that is not accounted for, as a connection's own size covers it."""
FREE_FRAMING_BYTES = 4 * 1024
FREE_FRAMING_RATIO = 0.5
"""Framing of a chunked body that takes no place in the decoding limiter, in
bytes and for each byte of content. Chunks of 16 bytes or more have less."""
RETRY_SECONDS = 1.0
"""Time after which a client that was refused for lack of memory may return:
some stalled connections can be closed by then."""
_BODY_TOO_LARGE = "the request body is too large"
_TOO_LONG = 431


class Rejected(NamedTuple):
    """Why a request was not read.

    Attributes:
        status: HTTP status of the error response.
        detail: What is wrong with the request, or what is short.
        retry_after: Seconds after which it may be sent again, or None.
    """

    status: int
    detail: str
    retry_after: float | None = None


NO_MEMORY = Rejected(503, "too much is held for other requests", RETRY_SECONDS)
NO_DESCRIPTOR = Rejected(
    503, "too many requests are being handled", RETRY_SECONDS
)
NO_PLACE = Rejected(
    503, "too many bodies in small chunks are being read", RETRY_SECONDS
)


class _RejectedError(Exception):
    """Ends the reading of a request."""

    def __init__(self, reason: Rejected) -> None:
        super().__init__(reason.detail)
        self.reason = reason


def _reject(status: int, detail: str) -> _RejectedError:
    return _RejectedError(Rejected(status, detail))


def _ignore(size: int) -> None:
    """Do nothing."""


class ClientReader(asyncio.StreamReader):
    """A stream reader that reports disconnects and what is unread.

    Attributes:
        disconnected: Whether the client closed its side or the connection
            failed.
        on_disconnect: Called at the disconnect; set while a request is
            handled.
        on_unread: Called with the number of unread bytes as it changes.
        unread: Bytes received and not read.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(limit=READ_BYTES, loop=loop)
        self.disconnected = False
        self.on_disconnect: Callable[[], None] | None = None
        self.on_unread: Callable[[int], None] = _ignore
        self.unread = 0

    def forget_callbacks(self) -> None:
        """Call nothing any more."""
        self.on_disconnect = None
        self.on_unread = _ignore

    def feed_data(self, data: Any) -> None:
        """Take bytes that arrived on the connection."""
        super().feed_data(data)
        self.unread += len(data)
        self.on_unread(self.unread)

    async def read(self, n: int = -1) -> bytes:
        """Return the next bytes, or none at the end of the connection."""
        data = await super().read(n)
        if data:
            self.unread -= len(data)
            self.on_unread(self.unread)
        return data

    def feed_eof(self) -> None:
        """Note that the client closed its side."""
        super().feed_eof()
        self._notify_disconnect()

    def set_exception(self, exc: Exception) -> None:
        """Note that the connection failed."""
        super().set_exception(exc)
        self._notify_disconnect()

    def _notify_disconnect(self) -> None:
        self.disconnected = True
        if self.on_disconnect is not None:
            self.on_disconnect()


class RequestReader:
    """Reads the requests of one connection, one after the other.

    Args:
        reader: What arrives on the connection.
        writer: Sends interim responses.
        account: Accounts for what all connections hold.
        holding: This connection in the account.
        limiter: Decodes bodies in small chunks.
        idle: Connections on which no part of a request has arrived.

    Attributes:
        connection: State of the request and its response.
        wants_body: Whether the last request asks for a body, and not for the
            head of its answer only.
    """

    def __init__(
        self,
        reader: ClientReader,
        writer: asyncio.StreamWriter,
        account: ClientAccount,
        holding: Holding,
        limiter: DecodingLimiter,
        idle: set[asyncio.StreamWriter],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._account = account
        self._holding = holding
        self._limiter = limiter
        self._idle = idle
        self._peer = str(writer.get_extra_info("peername"))
        self._limits = Limits()
        self._deadline = 0.0
        self._head_deadline: float | None = None
        self._decoder: ChunkDecoder | None = None
        self._body = BodyBuffer()
        self._overflow = False
        self._closed = False
        self._reported = 0
        self.connection: h11.Connection
        self.wants_body = True
        reader.on_unread = self._note_unread
        account.watch(holding, self._drop)

    def begin(self, limits: Limits) -> None:
        """Prepare for the next request.

        Args:
            limits: Limits that apply to it.
        """
        self._limits = limits
        self.wants_body = True
        if self._decoder is not None or not hasattr(self, "connection"):
            self.connection = h11.Connection(
                h11.SERVER, max_incomplete_event_size=limits.head
            )
            if self._decoder is not None and self._decoder.rest:
                self.connection.receive_data(self._decoder.rest)
            self._decoder = None
        else:
            self.connection.start_next_cycle()
        now = asyncio.get_running_loop().time()
        self._deadline = now + limits.idle_seconds
        self._head_deadline = None
        self._idle.add(self._writer)

    def may_continue(self) -> bool:
        """Return whether another request may follow the last response."""
        if self.connection.our_state is not h11.DONE:
            return False
        if self._decoder is not None:
            return self._decoder.finished
        return self.connection.their_state is h11.DONE

    def has_more(self) -> bool:
        """Return whether a part of the next request has arrived."""
        if self._reader.unread:
            return True
        if self._decoder is not None:
            return bool(self._decoder.rest)
        return bool(self.connection.trailing_data[0])

    async def read(self) -> Request | Rejected | None:
        """Return the next request; None if none comes.

        Raises:
            ClientDisconnectedError: If no request arrives in time.
        """
        try:
            return await self._read()
        except _RejectedError as error:
            reason = error.reason
        # The error's traceback would keep the body in memory.
        self._account.resize(self._holding, "body", 0)
        self._account.enter(self._holding, "refused")
        return reason

    async def _read(self) -> Request | None:
        head = await self._read_head()
        self._idle.discard(self._writer)
        self._head_deadline = None
        if head is None:
            return None
        self._account.enter(self._holding, "reading")
        self.wants_body = head.method != b"HEAD"
        length = _find_length(head)
        if length > self._limits.body:
            raise _reject(413, _BODY_TOO_LARGE)
        if not self._account.has_room(length):
            raise _RejectedError(NO_MEMORY)
        if self.connection.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self.connection.send(interim) or b"")
        read = self._read_chunks if _is_chunked(head) else self._read_plain
        request = _make_request(head, await read(), self._peer)
        size = len(request.body)
        # Sending it on copies the part that its runner has not taken yet.
        if size > FREE_BYTES and not self._account.resize(
            self._holding, "body", size + min(size, SENDING_BYTES)
        ):
            raise _RejectedError(NO_MEMORY)
        if not self._account.enter(self._holding, "handled"):
            raise _RejectedError(NO_DESCRIPTOR)
        return request

    async def _read_head(self) -> h11.Request | None:
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            self.connection.receive_data(await self._receive())

    async def _read_plain(self) -> bytes:
        body = self._body = BodyBuffer()
        try:
            while True:
                event = self._next_event()
                if event is h11.NEED_DATA:
                    self.connection.receive_data(await self._receive())
                elif isinstance(event, h11.Data):
                    body.append(event.data)
                    self._hold(body.size)
                else:
                    return body.join()
        finally:
            body.clear()

    async def _read_chunks(self) -> bytes:
        decoder = self._decoder = ChunkDecoder(self._limits.head)
        self._body = decoder.body
        data, _ = self.connection.trailing_data
        now = asyncio.get_running_loop().time
        try:
            while True:
                await self._decode(decoder, data, now())
                if decoder.finished:
                    return decoder.body.join()
                self._limiter.wait(decoder, now())
                data = await self._receive()
                if not data:
                    raise _reject(400, "the client ended within a body")
        finally:
            self._limiter.leave(decoder)
            decoder.body.clear()

    async def _decode(
        self, decoder: ChunkDecoder, data: bytes, now: float
    ) -> None:
        feed = partial(decoder.feed, data, self._limits.body)
        try:
            if not self._is_dense(decoder):
                feed()
            elif self._limiter.join(decoder, now):
                await self._limiter.run(feed)
                self._check_closed()
            else:
                raise _RejectedError(NO_PLACE)
        except ChunkError as error:
            status = _TOO_LONG if error.too_long else 400
            raise _reject(status, str(error)) from None
        self._hold(decoder.body.size)

    @staticmethod
    def _is_dense(decoder: ChunkDecoder) -> bool:
        free = FREE_FRAMING_BYTES + FREE_FRAMING_RATIO * decoder.body.size
        return decoder.framing > free

    def _hold(self, size: int) -> None:
        """Account for the body.

        Args:
            size: Bytes of it that have arrived.
        """
        if size > self._limits.body:
            raise _reject(413, _BODY_TOO_LARGE)
        if size > FREE_BYTES and not self._account.resize(
            self._holding, "body", size
        ):
            raise _RejectedError(NO_MEMORY)

    def _next_event(self) -> Any:
        try:
            return self.connection.next_event()
        except h11.RemoteProtocolError as error:
            raise _reject(error.error_status_hint, str(error)) from None

    async def _receive(self) -> bytes:
        deadline = self._deadline
        if self._head_deadline is not None:
            deadline = min(deadline, self._head_deadline)
        started = self._writer not in self._idle
        try:
            async with asyncio.timeout_at(deadline):
                data = await self._reader.read(READ_BYTES)
        except TimeoutError as error:
            if not started:
                raise ClientDisconnectedError("no request arrived") from error
            raise _reject(408, "the request arrived too slowly") from None
        self._check_closed()
        if self._overflow:
            raise _RejectedError(NO_MEMORY)
        if not started and data:
            self._note_started()
        self._account.note_arrived(self._holding, len(data))
        return data

    def _check_closed(self) -> None:
        if self._closed:
            raise ClientDisconnectedError("closed for other connections")

    def _drop(self) -> None:
        """Release the part of a body that has arrived.

        What follows must not be taken for a whole request.
        """
        self._closed = True
        self._body.clear()

    def _note_started(self) -> None:
        self._idle.discard(self._writer)
        if self._holding.stage == "idle":
            self._account.enter(self._holding, "reading")
        # The read timeout runs from the first byte of a request and is not
        # extended by later ones, so that a client which sends one byte a
        # minute is cut off.
        now = asyncio.get_running_loop().time()
        self._deadline = now + self._limits.read_seconds
        self._head_deadline = now + self._limits.head_seconds

    def _note_unread(self, unread: int) -> None:
        size = unread if unread > FREE_BYTES else 0
        if unread > 2 * READ_BYTES:
            # Reading is paused, and the kernel's buffer fills as well.
            size += RECEIVE_BUFFER_BYTES
        if size == self._reported:
            return
        self._reported = size
        if self._account.resize(self._holding, "ahead", size):
            return
        if self._holding.stage == "handled":
            self._writer.transport.abort()
        self._overflow = True


def _find_length(head: h11.Request) -> int:
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


def _is_chunked(head: h11.Request) -> bool:
    return any(name == b"transfer-encoding" for name, _ in head.headers)


def _make_request(head: h11.Request, body: bytes, peer: str) -> Request:
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    )
    try:
        url = urlsplit(head.target.decode("ascii"))
    except ValueError:
        raise _reject(400, "the request target is not a URL") from None
    return Request(
        head.method.decode("ascii"),
        url.path,
        url.query,
        headers,
        body,
        peer,
        head.target.decode("ascii"),
    )
