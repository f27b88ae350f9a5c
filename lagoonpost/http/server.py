"""HTTP/1.1 server on h11 and asyncio, with bounded reads and writes."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

import h11

from lagoonpost.http.listener import BACKLOG, open_listener
from lagoonpost.http.message import (
    Address,
    Request,
    Response,
    make_json_response,
)
from lagoonpost.http.responder import (
    ClientDisconnectedError,
    Limits,
    Responder,
)

READ_BYTES = 65536

Handler = Callable[[Request, Responder], Awaitable[None]]


class BadRequestError(Exception):
    """A request could not be read.

    Attributes:
        status: HTTP status of the error response.
        detail: What is wrong with the request.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class _ClientReader(asyncio.StreamReader):
    """A stream reader that reports a disconnect as soon as it happens.

    Attributes:
        disconnected: Whether the client closed its side or the connection
            failed.
        on_disconnect: Called at the disconnect; set while a request is
            handled.
    """

    disconnected = False
    on_disconnect: Callable[[], None] | None = None

    def feed_eof(self) -> None:
        super().feed_eof()
        self._notify_disconnect()

    def set_exception(self, exc: Exception) -> None:
        super().set_exception(exc)
        self._notify_disconnect()

    def _notify_disconnect(self) -> None:
        self.disconnected = True
        if self.on_disconnect is not None:
            self.on_disconnect()


class Server:
    """Listens on one address and passes complete requests to a handler.

    Args:
        handler: Coroutine function that responds to one request.
        limits: Limits per connection and request.
        cancel_on_disconnect: Whether to cancel a handler when its client
            closes the connection.

    Attributes:
        limits: Limits per connection and request. They may be replaced while
            the server runs and then apply to the requests that follow.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Limits | None = None,
        cancel_on_disconnect: bool = False,
    ) -> None:
        self._handler = handler
        self.limits = limits or Limits()
        self._cancel_on_disconnect = cancel_on_disconnect
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._idle: set[asyncio.StreamWriter] = set()
        self._closing = False
        self._leaving = False

    async def start(
        self, address: Address, listener: socket.socket | None = None
    ) -> Address:
        """Listen and return the bound address.

        Args:
            address: Address to listen on.
            listener: Socket that already listens on that address.
        """
        loop = asyncio.get_running_loop()

        def make_protocol() -> asyncio.StreamReaderProtocol:
            reader = _ClientReader(limit=READ_BYTES, loop=loop)
            return asyncio.StreamReaderProtocol(reader, self._serve, loop=loop)

        self._server = await loop.create_server(
            make_protocol,
            sock=listener or open_listener(address),
            backlog=BACKLOG,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def is_closing(self) -> bool:
        """Return whether connections close after their current response."""
        return self._closing or self._leaving

    def leave(self) -> None:
        """Keep serving, but close each connection after its next response."""
        self._leaving = True

    async def drain(self, grace: float) -> None:
        """Stop listening and wait for in-flight requests.

        Args:
            grace: Longest wait in seconds.
        """
        self._closing = True
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._idle):
            writer.close()
        if self._connections:
            await asyncio.wait(self._connections, timeout=grace)

    async def close(self, grace: float) -> None:
        """Drain for ``grace`` seconds, then cancel the remaining requests."""
        await self.drain(grace)
        for task in tuple(self._connections):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        writer.transport.set_write_buffer_limits(high=self.limits.buffer)
        try:
            await self._handle_connection(reader, writer)
        except (ClientDisconnectedError, OSError, h11.LocalProtocolError):
            pass
        except asyncio.CancelledError:
            # `close` cancelled this task. If the exception went on, asyncio
            # would log it as a connection error.
            if not self._closing:
                raise
        finally:
            self._connections.discard(task)
            self._idle.discard(writer)
            writer.close()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.head
        )
        peer = str(writer.get_extra_info("peername"))
        while not self._closing:
            responder = Responder(
                connection, writer, self.limits, self.is_closing
            )
            try:
                request = await self._read_request(
                    connection, reader, writer, peer
                )
            except BadRequestError as error:
                await _send_bad_request(responder, connection, error)
                return
            if request is None:
                return
            if self._cancel_on_disconnect:
                await self._handle_until_disconnect(request, responder, reader)
            else:
                await self._handler(request, responder)
            if not responder.finished:
                # The handler stopped within the response. Closing without
                # the final chunk shows the client that it is incomplete.
                writer.transport.abort()
                return
            if connection.our_state is not h11.DONE:
                return
            if connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _handle_until_disconnect(
        self,
        request: Request,
        responder: Responder,
        reader: asyncio.StreamReader,
    ) -> None:
        """Run the handler and cancel it when its client disconnects.

        Otherwise a runner would keep working on a request that its caller
        has abandoned. The disconnect goes unnoticed if the client has
        pipelined more bytes than the read buffer holds, because reading is
        then paused until the response is sent.
        """
        task = asyncio.current_task()
        assert task is not None and isinstance(reader, _ClientReader)
        if reader.disconnected:
            raise ClientDisconnectedError("the caller closed the connection")
        cancelled = False

        def cancel() -> None:
            nonlocal cancelled
            if not cancelled:
                cancelled = True
                task.cancel()

        reader.on_disconnect = cancel
        try:
            await self._handler(request, responder)
        except asyncio.CancelledError:
            if not cancelled:
                raise
            task.uncancel()
            raise ClientDisconnectedError(
                "the caller closed the connection"
            ) from None
        finally:
            reader.on_disconnect = None

    async def _read_request(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: str,
    ) -> Request | None:
        head: h11.Request | None = None
        body = bytearray()
        idle = self.limits.idle_seconds
        deadline = asyncio.get_running_loop().time() + idle
        self._idle.add(writer)
        while True:
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                raise BadRequestError(status, str(error)) from error
            if event is h11.NEED_DATA:
                started = writer not in self._idle
                data = await _receive(reader, deadline, started)
                if writer in self._idle:
                    self._idle.discard(writer)
                    # The read timeout runs from the first byte of a request
                    # and is not extended by later ones, so that a client
                    # which sends one byte a minute is cut off.
                    loop = asyncio.get_running_loop()
                    deadline = loop.time() + self.limits.read_seconds
                connection.receive_data(data)
            elif isinstance(event, h11.Request):
                self._idle.discard(writer)
                head = event
                _check_length(event, self.limits.body)
                if connection.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    writer.write(connection.send(interim) or b"")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.limits.body:
                    raise BadRequestError(413, "the request body is too large")
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return _make_request(head, bytes(body), peer)
            else:
                return None


async def _receive(
    reader: asyncio.StreamReader, deadline: float, started: bool
) -> bytes:
    try:
        async with asyncio.timeout_at(deadline):
            return await reader.read(READ_BYTES)
    except TimeoutError as error:
        if not started:
            raise ClientDisconnectedError("no request arrived") from error
        raise BadRequestError(408, "the request arrived too slowly") from error


def _check_length(head: h11.Request, limit: int) -> None:
    for name, value in head.headers:
        if name == b"content-length" and int(value) > limit:
            raise BadRequestError(413, "the request body is too large")


def _make_request(head: h11.Request, body: bytes, peer: str) -> Request:
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    )
    try:
        url = urlsplit(head.target.decode("ascii"))
    except ValueError as error:
        raise BadRequestError(
            400, "the request target is not a URL"
        ) from error
    return Request(
        head.method.decode("ascii"),
        url.path,
        url.query,
        headers,
        body,
        peer,
        head.target.decode("ascii"),
    )


async def _send_bad_request(
    responder: Responder, connection: h11.Connection, error: BadRequestError
) -> None:
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    problem = {
        "type": "about:blank",
        "title": "Request not readable",
        "status": error.status,
        "detail": error.detail,
        "execution": "not_run",
    }
    response = make_json_response(
        error.status, problem, (("connection", "close"),)
    )
    headers = (("content-type", "application/problem+json"),)
    await responder.send(
        Response(
            response.status, headers + response.headers[1:], response.body
        )
    )
