"""HTTP/1.1 client: h11 state, asyncio streams, a small idle pool."""

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


class CallFailedError(Exception):
    """A call ended without its whole response.

    Attributes:
        sent: False only if no byte of the request can have reached the
            server, so that the call surely did not run.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class _Socket(NamedTuple):
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class _Idle(NamedTuple):
    socket: _Socket
    since: float


class Stream:
    """One response that arrives in parts; closed unless read to its end."""

    def __init__(
        self,
        client: "Client",
        address: Address,
        socket: _Socket,
        connection: h11.Connection,
    ) -> None:
        self._client = client
        self._address = address
        self._socket = socket
        self._connection = connection
        self.status = 0
        self.headers: Headers = ()
        self.complete = False

    async def receive_head(self) -> None:
        """Read up to the response's head.

        Raises:
            CallFailedError: If the connection ends or breaks HTTP.
        """
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise CallFailedError("connection closed", sent=True)
        self.status = event.status_code
        self.headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers
        )

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body's parts as they arrive.

        Raises:
            CallFailedError: If the connection ends before the body does.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
                return
            else:
                raise CallFailedError("the body was cut off", sent=True)

    async def read(self, limit: int = MAX_BODY_BYTES) -> Response:
        """Read the whole body."""
        body = bytearray()
        async for part in self.parts():
            body += part
            if len(body) > limit:
                raise CallFailedError("the body is too large", sent=True)
        return Response(self.status, self.headers, bytes(body))

    def close(self) -> None:
        """Give the connection back if it is clean, or close it."""
        # A connection with an unanswered call is never reused: its late
        # answer would be read as the answer to somebody else's request.
        if self.complete and self._connection.our_state is h11.DONE:
            try:
                self._connection.start_next_cycle()
            except h11.LocalProtocolError:
                self._socket.writer.close()
                return
            self._client._keep(self._address, self._socket)
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
    """Calls servers by address and keeps a few idle connections."""

    def __init__(self, idle_seconds: float = IDLE_TIMEOUT_SECONDS) -> None:
        self._idle: dict[Address, list[_Idle]] = {}
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
        """Call and return the whole response.

        Args:
            address: Where to connect.
            method: HTTP method.
            target: Path and query.
            body: Request body.
            headers: Request headers besides host and length.
            timeout: Seconds for the whole call.
            fresh: Use a new connection. An idle one may have been closed
                or forgotten on the way, which shows only after sending;
                with a new one, failing to connect means not sent.
            may_send: Asked right before the first byte leaves; if it says
                no, the call fails as not sent.

        Raises:
            CallFailedError: If no whole response came in time.
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
        """Send a request and return its response before its head came.

        A host header in ``headers`` goes before the address.
        """
        socket = None if fresh else self._take(address)
        if socket is None:
            socket = await _connect(address, connect_seconds)
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
        # Connecting may have taken long, or the process was frozen in it.
        if may_send is not None and not may_send():
            socket.writer.close()
            raise CallFailedError("too late to send", sent=False)
        socket.writer.write(data)
        return Stream(self, address, socket, connection)

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self._drop_idle(address)

    def _drop_idle(self, address: Address) -> None:
        """Close the idle connections to an address.

        Connections can go silent all at once while new ones work. After a
        call without an answer, each one kept would cost one more timeout.
        """
        for entry in self._idle.pop(address, []):
            entry.socket.writer.close()

    def _take(self, address: Address) -> _Socket | None:
        idle = self._idle.get(address, [])
        now = asyncio.get_running_loop().time()
        while idle:
            entry = idle.pop()
            writer = entry.socket.writer
            young = now - entry.since < self._idle_seconds
            if young and not (
                writer.is_closing() or entry.socket.reader.at_eof()
            ):
                return entry.socket
            writer.close()
        return None

    def _keep(self, address: Address, socket: _Socket) -> None:
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            socket.writer.close()
            return
        now = asyncio.get_running_loop().time()
        idle.append(_Idle(socket, now))


async def _connect(address: Address, seconds: float) -> _Socket:
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(
                address.host, address.port, limit=READ_BYTES
            )
    except (OSError, TimeoutError) as error:
        detail = f"cannot connect to {address}"
        raise CallFailedError(detail, sent=False) from error
    return _Socket(reader, writer)
