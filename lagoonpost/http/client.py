"""HTTP/1.1 client on h11 and asyncio, with a pool of idle connections.

Load pattern: a server in trouble may send bytes that are no answer, without
end and as fast as they are read, in a head, between chunks, in a body or after
an answer. Without limits the caller's memory fills, and reading them leaves no
time for other requests. Therefore each part of an answer is bounded, so is
what all unfinished answers of a client keep together, and reading pauses for
other tasks.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from types import TracebackType
from typing import Any, NamedTuple

import h11

from lagoonpost.http.buffer_budget import BufferBudget
from lagoonpost.http.message import (
    Address,
    Headers,
    Response,
    encode_headers,
    find_header,
)
from lagoonpost.http.running_time import limit_running_time
from lagoonpost.http.upload import (
    RESET_WATCH_SECONDS,
    UNWATCHED_BYTES,
    UploadReporter,
    find_upload,
)
from lagoonpost.tables.answer_end import UploadState

READ_BYTES = 65536
PIECE_BYTES = 64 * 1024
"""Bytes of a request's body that are copied to a connection's buffer at
once."""
CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_TIMEOUT_SECONDS = 5.0
SENDING_BYTES = 2 * PIECE_BYTES
"""Most bytes of a request's body in the buffer of a connection."""
MAX_IDLE_PER_ADDRESS = 32
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_BUFFERED_BYTES = 2 * MAX_BODY_BYTES
"""Bytes kept of all unfinished answers of one client together."""
MAX_INTERIM_RESPONSES = 16
"""Interim responses (1xx) before an answer; servers send one or two."""
MAX_FRAMING_BYTES = 64 * 1024
"""Bytes of a body that are not its content, beyond ``MAX_FRAMING_RATIO``
bytes for each byte of content: sizes and extensions of chunks, trailers."""
MAX_FRAMING_RATIO = 0.5
"""A chunk takes five bytes or a little more besides its content, and a token
with its frame some hundred. Chunks of a byte each would take a hundred times
the processor time."""
EVENTS_PER_TURN = 64
"""Parts of an answer after which other tasks get their turn: parsing them
takes a millisecond or so, and data that has already arrived is read without
waiting."""
PROGRESS_BYTES = 64 * 1024
"""Bytes of a body that count as progress, where progress is required."""
MAX_DETAIL_CHARS = 200
"""Longest description of an error: h11 quotes the line that is at fault."""
MAX_STATUS = 599
"""Highest status of HTTP (RFC 9110, section 15). Beyond it, a server in
trouble has sent other bytes in its place."""
_FRAMING = ("content-length", "transfer-encoding")
_BODYLESS = (204, 304)
_TOO_LONG = 431
"""Status that h11 gives for a head or a chunk's size line without an end."""


class CallFailedError(Exception):
    """A call failed before its complete response arrived.

    Attributes:
        sent: Whether the server may have received any part of the request.
            If False, the server cannot have executed the call, so that a
            retry is safe.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail[:MAX_DETAIL_CHARS])
        self.sent = sent


class EndlessAnswerError(CallFailedError):
    """The server sent more bytes than any valid answer has.

    Args:
        detail: Which part of the answer is too long.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(detail, sent=True)


class _ConnectionReader(asyncio.StreamReader):
    """A reader that notices bytes that nothing has asked for.

    Attributes:
        on_unasked: Called instead of keeping bytes that arrive, or None to
            keep them.
        unread: Bytes that arrived and were not read.
    """

    def __init__(self) -> None:
        super().__init__(limit=READ_BYTES)
        self.on_unasked: Callable[[], None] | None = None
        self.unread = 0

    def feed_data(self, data: Any) -> None:
        """Take bytes that arrived on the connection."""
        if self.on_unasked is not None:
            self.on_unasked()
            return
        self.unread += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return the next bytes, or none at the end of the connection."""
        data = await super().read(n)
        self.unread -= len(data)
        return data


class Socket(NamedTuple):
    """Both directions of one TCP connection.

    Attributes:
        reader: Reads what arrives.
        writer: Writes what is sent.
        reporter: Tells what became of a request if another process passes it
            on; None if the connection leads to the server itself.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    reporter: UploadReporter | None = None


class _IdleSocket(NamedTuple):
    """A pooled connection and the loop time at which it became idle."""

    socket: Socket
    idle_since: float


class Stream:
    """A response that is read in chunks as it arrives.

    Attributes:
        status: HTTP status; 0 until the head is received.
        headers: Response headers with names in lower case.
        complete: Whether the body was read to its end. Only then can the
            connection be reused.
        received: Bytes received, those of the framing included.
        content: Bytes of the body read, without its framing.
        longest_wait: Longest time until the next bytes, in seconds.
    """

    def __init__(
        self,
        client: "Client",
        address: Address,
        socket: Socket,
        connection: h11.Connection,
        reusable: bool = True,
        size: int = 0,
        sending: "asyncio.Task[bool] | None" = None,
    ) -> None:
        self._reusable = reusable
        self._size = size
        self._sending = sending
        self._client = client
        self._address = address
        self._socket = socket
        self._connection = connection
        self.status = 0
        self.headers: Headers = ()
        self.complete = False
        self.received = 0
        self.content = 0
        self.longest_wait = 0.0
        self._body_start = 0
        self._held = 0
        self._events = 0

    async def receive_head(self) -> None:
        """Read the status and headers of the response.

        Raises:
            CallFailedError: If the connection closes or the server violates
                HTTP.
        """
        event = await self._next_event()
        interim = 0
        while isinstance(event, h11.InformationalResponse):
            interim += 1
            if interim > MAX_INTERIM_RESPONSES:
                raise EndlessAnswerError(
                    f"more than {MAX_INTERIM_RESPONSES} interim responses"
                )
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise CallFailedError(
                "connection closed before the response", sent=True
            )
        try:
            self.status, self.headers = decode_head(event)
        except h11.RemoteProtocolError as error:
            raise CallFailedError(str(error), sent=True) from error
        self._body_start = self.received

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection marks the body's end.

        A server that crashes may end the connection in the same way.
        """
        return ends_with_connection(self.status, self.headers)

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        Raises:
            CallFailedError: If the connection closes before the end of the
                body.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                self.content += len(event.data)
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
                return
            else:
                raise CallFailedError(
                    "connection closed within the response body", sent=True
                )

    async def read(
        self, limit: int = MAX_BODY_BYTES, pause: float | None = None
    ) -> Response:
        """Read the complete body.

        Args:
            limit: Largest accepted body in bytes.
            pause: Longest time for the next ``PROGRESS_BYTES`` bytes of the
                body, or for its end, in seconds; None for no limit.

        Raises:
            CallFailedError: If the body is longer than ``limit``, if too much
                is kept of all answers, or if the connection closes before the
                body's end.
            TimeoutError: If the body arrives too slowly.
        """
        too_large = f"the response body is larger than {limit} bytes"
        if int(find_header(self.headers, "content-length") or 0) > limit:
            raise EndlessAnswerError(too_large)
        body = bytearray()
        progress = PROGRESS_BYTES
        async with asyncio.timeout(pause) as timer:
            async for part in self.parts():
                body += part
                if len(body) > limit:
                    raise EndlessAnswerError(too_large)
                self.hold(len(body))
                if pause is not None and len(body) >= progress:
                    progress = len(body) + PROGRESS_BYTES
                    timer.reschedule(asyncio.get_running_loop().time() + pause)
        return Response(self.status, self.headers, bytes(body))

    async def find_upload(
        self, patience: float = RESET_WATCH_SECONDS
    ) -> UploadState:
        """Return whether the server has read the request it answered.

        To be asked after the end of a response that ends with its connection.
        Until then, and until the stream is closed, the rest of the request is
        sent.

        Args:
            patience: Longest wait for a reset, in seconds, once the server's
                kernel has taken the request.
        """
        if self._size <= UNWATCHED_BYTES:
            return UploadState.READ
        written: asyncio.Future[bool]
        if self._sending is not None:
            written = self._sending
        else:
            written = asyncio.get_running_loop().create_future()
            written.set_result(True)
        find = self._socket.reporter or find_upload
        return await find(self._socket.writer, written, patience)

    def hold(self, size: int) -> None:
        """Account for the bytes of the answer that the caller keeps.

        Args:
            size: Bytes kept now, until the stream is closed.

        Raises:
            CallFailedError: If too much is kept of all answers.
        """
        if not self._client.budget.resize(self._held, size):
            raise EndlessAnswerError(
                f"no memory for {size} bytes of an unfinished response"
            )
        self._held = size

    def close(self) -> None:
        """Return a reusable connection to the pool and abort any other."""
        self._client.budget.resize(self._held, 0)
        self._held = 0
        if self._sending is not None and not self._sending.done():
            self._sending.cancel()
            self._socket.writer.transport.abort()
            return
        # A connection with an unfinished response is never reused: the rest
        # of that response would be read as the response to another request.
        # Nor is one with bytes after the response, for the same reason.
        if self._has_excess():
            self._socket.writer.transport.abort()
        elif not self._reusable and self.complete:
            self._socket.writer.close()
        elif self.complete and self._connection.our_state is h11.DONE:
            try:
                self._connection.start_next_cycle()
            except h11.LocalProtocolError:
                self._socket.writer.close()
                return
            self._client._release(self._address, self._socket)
        else:
            self._socket.writer.transport.abort()

    def _has_excess(self) -> bool:
        """Return whether the server sent more than its response."""
        reader = self._socket.reader
        unread = isinstance(reader, _ConnectionReader) and reader.unread
        return bool(unread or self._connection.trailing_data[0])

    async def __aenter__(self) -> "Stream":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        self._events += 1
        if self._events % EVENTS_PER_TURN == 0:
            await asyncio.sleep(0)
        try:
            while True:
                event = self._connection.next_event()
                if event is not h11.NEED_DATA:
                    return event  # type: ignore[return-value]
                self._check_framing()
                data = await self._read()
                self.received += len(data)
                self._connection.receive_data(data)
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == _TOO_LONG:
                raise EndlessAnswerError(str(error)) from error
            raise CallFailedError(str(error), sent=True) from error
        except OSError as error:
            raise CallFailedError(str(error), sent=True) from error

    async def _read(self) -> bytes:
        now = asyncio.get_running_loop().time
        began = now()
        data = await self._socket.reader.read(READ_BYTES)
        self.longest_wait = max(self.longest_wait, now() - began)
        return data

    def _check_framing(self) -> None:
        if not self._body_start:
            return
        framing = self.received - self._body_start - self.content
        if framing > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self.content:
            raise EndlessAnswerError(
                f"{framing} bytes of framing for {self.content} of content"
            )


class Client:
    """Calls servers by address and pools idle connections.

    Args:
        idle_seconds: Seconds for which an idle connection may be reused.
        max_buffered: Bytes kept of all unfinished answers together.

    Attributes:
        budget: What is kept of unfinished answers.
    """

    def __init__(
        self,
        idle_seconds: float = IDLE_TIMEOUT_SECONDS,
        max_buffered: int = MAX_BUFFERED_BYTES,
    ) -> None:
        self.budget = BufferBudget(max_buffered)
        self._idle: dict[Address, list[_IdleSocket]] = {}
        self._idle_seconds = idle_seconds

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Headers = (),
        *,
        timeout: float,
        fresh: bool = False,
        may_send: Callable[[], bool] | None = None,
        on_bare_end: Callable[["Stream"], Awaitable[None]] | None = None,
    ) -> Response:
        """Send a request and return its complete response.

        Args:
            address: Address of the server.
            method: HTTP method.
            target: Path and query.
            body: Request body.
            headers: Request headers other than ``content-length``. A
                ``host`` header overrides the address.
            timeout: Seconds for the entire call, connecting included.
            fresh: Whether to open a new connection. The server or a
                middlebox may have dropped a pooled connection, which shows
                only after sending. With a new connection, a failure to
                connect proves that nothing was sent.
            may_send: Checked right before the first byte is sent. If it
                returns False, the call fails with ``sent=False``.
            on_bare_end: Called before the connection is closed if only its end
                has ended the response.

        Raises:
            CallFailedError: If no complete response arrives in time.
        """
        sent = False
        try:
            async with asyncio.timeout(timeout):
                stream = await self.open(
                    address,
                    method,
                    target,
                    body,
                    headers,
                    fresh=fresh,
                    may_send=may_send,
                )
                sent = True
                async with stream:
                    await stream.receive_head()
                    response = await stream.read()
                    if on_bare_end is not None and stream.ends_with_connection:
                        await on_bare_end(stream)
                    return response
        except TimeoutError as error:
            self._drop_idle(address)
            detail = f"no answer within {timeout:g} s"
            raise CallFailedError(detail, sent=sent) from error
        except CallFailedError:
            self._drop_idle(address)
            raise

    async def open(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Headers = (),
        *,
        fresh: bool = False,
        may_send: Callable[[], bool] | None = None,
        connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> Stream:
        """Send a request and return its response without waiting for it.

        Args:
            address: Address of the server.
            method: HTTP method.
            target: Path and query.
            body: Request body.
            headers: Request headers other than ``content-length``. A
                ``host`` header overrides the address.
            fresh: Whether to open a new connection; see ``call``.
            may_send: Checked right before the first byte is sent. If it
                returns False, the call fails with ``sent=False``.
            connect_seconds: Seconds for opening a connection.

        Raises:
            CallFailedError: If the connection cannot be opened, or if
                ``may_send`` returns False.
        """
        socket = None if fresh else self._take_idle(address)
        if socket is None:
            socket = await self.connect(address, connect_seconds)
        # Connecting may have taken long, or the process may have been
        # suspended meanwhile, so the check follows it.
        if may_send is not None and not may_send():
            socket.writer.close()
            raise CallFailedError("sending was no longer allowed", sent=False)
        return self.send(socket, address, method, target, body, headers)

    def send(
        self,
        socket: Socket,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Headers = (),
        *,
        reusable: bool = True,
    ) -> Stream:
        """Send a request on an open connection.

        Args:
            socket: The connection.
            address: Address of the server.
            method: HTTP method.
            target: Path and query.
            body: Request body.
            headers: Request headers other than ``content-length``. A
                ``host`` header overrides the address.
            reusable: Whether to keep the connection for other requests.
        """
        connection = h11.Connection(h11.CLIENT)
        host = find_header(headers, "host") or str(address)
        head = h11.Request(
            method=method,
            target=target,
            headers=encode_headers(
                (
                    ("host", host),
                    ("content-length", str(len(body))),
                    *(field for field in headers if field[0] != "host"),
                )
            ),
        )
        data = connection.send(head) or b""
        # The body is passed on without copies, which would take as much
        # memory again until the server has read them.
        connection.send_with_data_passthrough(h11.Data(data=body))
        connection.send(h11.EndOfMessage())
        if len(body) <= PIECE_BYTES:
            socket.writer.write(data + body)
            return Stream(
                self, address, socket, connection, reusable, len(body)
            )
        socket.writer.write(data)
        sending = asyncio.create_task(_send_pieces(socket.writer, body))
        return Stream(
            self, address, socket, connection, reusable, len(body), sending
        )

    async def connect(self, address: Address, seconds: float) -> Socket:
        """Open a connection.

        Args:
            address: Address of the server.
            seconds: Longest time for opening it.

        Raises:
            CallFailedError: If the connection cannot be opened.
        """
        try:
            async with limit_running_time(seconds):
                reader = _ConnectionReader()
                (
                    transport,
                    protocol,
                ) = await asyncio.get_running_loop().create_connection(
                    lambda: asyncio.StreamReaderProtocol(reader),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            detail = f"cannot connect to {address}: {_describe(error)}"
            raise CallFailedError(detail, sent=False) from error
        writer = asyncio.StreamWriter(
            transport, protocol, reader, asyncio.get_running_loop()
        )
        return Socket(reader, writer)

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self._drop_idle(address)

    def _drop_idle(self, address: Address) -> None:
        """Close the idle connections to an address.

        A network fault can silence all open connections at once while new
        ones work. After a call without a response, every pooled connection
        that stays would cost another timeout.
        """
        for entry in self._idle.pop(address, []):
            entry.socket.writer.close()

    def _take_idle(self, address: Address) -> Socket | None:
        idle = self._idle.get(address, [])
        now = asyncio.get_running_loop().time()
        while idle:
            entry = idle.pop()
            writer = entry.socket.writer
            young = now - entry.idle_since < self._idle_seconds
            if young and not (
                writer.is_closing() or entry.socket.reader.at_eof()
            ):
                _expect_bytes(entry.socket)
                return entry.socket
            writer.close()
        return None

    def _release(self, address: Address, socket: Socket) -> None:
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            socket.writer.close()
            return
        now = asyncio.get_running_loop().time()
        idle.append(_IdleSocket(socket, now))
        if isinstance(socket.reader, _ConnectionReader):
            # An answer that nothing has asked for would be taken for that to
            # the next request.
            socket.reader.on_unasked = socket.writer.transport.abort


def ends_with_connection(status: int, headers: Headers) -> bool:
    """Return whether only the end of the connection ends a response."""
    if status in _BODYLESS:
        return False
    return not any(name in _FRAMING for name, _ in headers)


def decode_head(event: h11.Response) -> tuple[int, Headers]:
    """Return the status and headers of a response.

    Raises:
        h11.RemoteProtocolError: If its status is none of HTTP. h11 checks no
            more than that it has three digits.
    """
    if event.status_code > MAX_STATUS:
        raise h11.RemoteProtocolError(f"illegal status {event.status_code}")
    return event.status_code, tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in event.headers
    )


async def _send_pieces(writer: asyncio.StreamWriter, body: bytes) -> bool:
    """Send a large body as fast as the server reads it.

    Returns:
        Whether it was sent to its end. A server that ends the connection
        shows that in the response, too, unless its side has ended before.
    """
    with memoryview(body) as view:
        for start in range(0, len(body), PIECE_BYTES):
            try:
                writer.write(bytes(view[start : start + PIECE_BYTES]))
                await writer.drain()
            except OSError:
                return False
    return True


def _expect_bytes(socket: Socket) -> None:
    if isinstance(socket.reader, _ConnectionReader):
        socket.reader.on_unasked = None


def _describe(error: OSError | TimeoutError) -> str:
    if isinstance(error, TimeoutError):
        return "no answer"
    return error.strerror or type(error).__name__
