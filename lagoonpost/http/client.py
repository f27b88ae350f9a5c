"""HTTP/1.1 client on h11 and asyncio, with a pool of idle connections."""

import asyncio
from collections.abc import AsyncIterator, Callable
from types import TracebackType
from typing import NamedTuple

import h11

from lagoonpost.http.message import (
    Address,
    Headers,
    Response,
    find_header,
)

READ_BYTES = 65536
CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_TIMEOUT_SECONDS = 5.0
MAX_IDLE_PER_ADDRESS = 32
MAX_BODY_BYTES = 64 * 1024 * 1024
_FRAMING = ("content-length", "transfer-encoding")
_BODYLESS = (204, 304)


class CallFailedError(Exception):
    """A call failed before its complete response arrived.

    Attributes:
        sent: Whether the server may have received any part of the request.
            If False, the server cannot have executed the call, so that a
            retry is safe.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class Socket(NamedTuple):
    """Both directions of one TCP connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


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
    """

    def __init__(
        self,
        client: "Client",
        address: Address,
        socket: Socket,
        connection: h11.Connection,
        reusable: bool = True,
    ) -> None:
        self._reusable = reusable
        self._client = client
        self._address = address
        self._socket = socket
        self._connection = connection
        self.status = 0
        self.headers: Headers = ()
        self.complete = False

    async def receive_head(self) -> None:
        """Read the status and headers of the response.

        Raises:
            CallFailedError: If the connection closes or the server violates
                HTTP.
        """
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise CallFailedError(
                "connection closed before the response", sent=True
            )
        self.status = event.status_code
        self.headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers
        )
        self._client.on_head(self._address, self.status, self.headers)

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection marks the body's end.

        A server that crashes may end the connection in the same way.
        """
        if self.status in _BODYLESS:
            return False
        return not any(name in _FRAMING for name, _ in self.headers)

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        Raises:
            CallFailedError: If the connection closes before the end of the
                body.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
                return
            else:
                raise CallFailedError(
                    "connection closed within the response body", sent=True
                )

    async def read(self, limit: int = MAX_BODY_BYTES) -> Response:
        """Read the complete body.

        Args:
            limit: Largest accepted body in bytes.

        Raises:
            CallFailedError: If the body is longer than ``limit``, or if the
                connection closes before its end.
        """
        body = bytearray()
        async for part in self.parts():
            body += part
            if len(body) > limit:
                raise CallFailedError(
                    "the response body is too large", sent=True
                )
        return Response(self.status, self.headers, bytes(body))

    def close(self) -> None:
        """Return a reusable connection to the pool and abort any other."""
        # A connection with an unfinished response is never reused: the rest
        # of that response would be read as the response to another request.
        if not self._reusable and self.complete:
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
        try:
            while True:
                event = self._connection.next_event()
                if event is not h11.NEED_DATA:
                    return event  # type: ignore[return-value]
                data = await self._socket.reader.read(READ_BYTES)
                self._connection.receive_data(data)
        except (OSError, h11.RemoteProtocolError) as error:
            raise CallFailedError(str(error), sent=True) from error


class Client:
    """Calls servers by address and pools idle connections.

    Args:
        idle_seconds: Seconds for which an idle connection may be reused.

    Attributes:
        on_head: Called with the address, status and headers of each response
            as soon as its head is read.
    """

    def __init__(self, idle_seconds: float = IDLE_TIMEOUT_SECONDS) -> None:
        self.on_head: Callable[[Address, int, Headers], None]
        self.on_head = lambda address, status, headers: None
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
                    return await stream.read()
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
            headers=[
                ("host", host),
                ("content-length", str(len(body))),
                *(field for field in headers if field[0] != "host"),
            ],
        )
        data = connection.send(head) or b""
        data += connection.send(h11.Data(data=body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        socket.writer.write(data)
        return Stream(self, address, socket, connection, reusable)

    async def connect(self, address: Address, seconds: float) -> Socket:
        """Open a connection.

        Args:
            address: Address of the server.
            seconds: Longest time for opening it.

        Raises:
            CallFailedError: If the connection cannot be opened.
        """
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port, limit=READ_BYTES
                )
        except (OSError, TimeoutError) as error:
            detail = f"cannot connect to {address}: {_describe(error)}"
            raise CallFailedError(detail, sent=False) from error
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


def _describe(error: OSError | TimeoutError) -> str:
    if isinstance(error, TimeoutError):
        return "no answer"
    return error.strerror or type(error).__name__
