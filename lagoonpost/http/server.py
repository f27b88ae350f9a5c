"""HTTP/1.1 server: h11 state, asyncio streams, bounded reads and writes."""

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
    """A request that cannot be read; carries the response to send."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class _CallerReader(asyncio.StreamReader):
    """Reads a caller's bytes, and tells at once when it has gone.

    Attributes:
        gone: Whether nothing more can come.
        on_gone: Called when that is so, while a request is handled.
    """

    gone = False
    on_gone: Callable[[], None] | None = None

    def feed_eof(self) -> None:
        super().feed_eof()
        self._tell_gone()

    def set_exception(self, exc: Exception) -> None:
        super().set_exception(exc)
        self._tell_gone()

    def _tell_gone(self) -> None:
        self.gone = True
        if self.on_gone is not None:
            self.on_gone()


class Server:
    """Listens on one address and hands whole requests to a handler.

    Args:
        handler: Answers a request.
        limits: Bounds; may be replaced while running.
        cancel_when_gone: Whether a handler is cancelled once its caller
            has closed the connection.

    Attributes:
        limits: Bounds of what is received from now on.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Limits | None = None,
        cancel_on_disconnect: bool = False,
    ) -> None:
        self._handler = handler
        self.limits = limits or Limits()
        self._cancel_when_gone = cancel_on_disconnect
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
            address: Where to listen.
            listener: Socket that listens there already.
        """
        loop = asyncio.get_running_loop()

        def make_protocol() -> asyncio.StreamReaderProtocol:
            reader = _CallerReader(limit=READ_BYTES, loop=loop)
            return asyncio.StreamReaderProtocol(reader, self._serve, loop=loop)

        self._server = await loop.create_server(
            make_protocol,
            sock=listener or open_listener(address),
            backlog=BACKLOG,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def is_closing(self) -> bool:
        """Tell whether connections end after their present answer."""
        return self._closing or self._leaving

    def leave(self) -> None:
        """Go on serving, but end each connection after its next answer."""
        self._leaving = True

    async def drain(self, grace: float) -> None:
        """Stop listening and wait up to ``grace`` s for open requests."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._idle):
            writer.close()
        if self._connections:
            await asyncio.wait(self._connections, timeout=grace)

    async def close(self, grace: float) -> None:
        """Drain, then cancel what is left."""
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
            await self._converse(reader, writer)
        except (ClientDisconnectedError, OSError, h11.LocalProtocolError):
            pass
        except asyncio.CancelledError:
            # Cancelled by `close`; asyncio's own callback would log it as an
            # error of the connection.
            if not self._closing:
                raise
        finally:
            self._connections.discard(task)
            self._idle.discard(writer)
            writer.close()

    async def _converse(
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
                request = await self._read(connection, reader, writer, peer)
            except BadRequestError as error:
                await _refuse(responder, connection, error)
                return
            if request is None:
                return
            if self._cancel_when_gone:
                await self._handle_watched(request, responder, reader)
            else:
                await self._handler(request, responder)
            if not responder.finished:
                # The handler gave up in mid-answer. Closing without the
                # last chunk is how the caller learns that it is not whole.
                writer.transport.abort()
                return
            if connection.our_state is not h11.DONE:
                return
            if connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _handle_watched(
        self,
        request: Request,
        responder: Responder,
        reader: asyncio.StreamReader,
    ) -> None:
        """Run the handler, and cancel it once its caller has gone.

        Without this a caller that gave up would keep its runner at work
        for nobody. A peer that sends more than a buffer full ahead is not
        read until it is answered, and its end is not seen either.
        """
        task = asyncio.current_task()
        assert task is not None and isinstance(reader, _CallerReader)
        if reader.gone:
            raise ClientDisconnectedError("the caller closed the connection")
        cancelled = False

        def cancel() -> None:
            nonlocal cancelled
            if not cancelled:
                cancelled = True
                task.cancel()

        reader.on_gone = cancel
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
            reader.on_gone = None

    async def _read(
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
                    # The clock of a request starts with its first byte, so
                    # that a caller who sends a byte a minute is cut off.
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
                    raise BadRequestError(413, "the body is too large")
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
            raise ClientDisconnectedError("no request came") from error
        raise BadRequestError(408, "the request came too slowly") from error


def _check_length(head: h11.Request, limit: int) -> None:
    for name, value in head.headers:
        if name == b"content-length" and int(value) > limit:
            raise BadRequestError(413, "the body is too large")


def _make_request(head: h11.Request, body: bytes, peer: str) -> Request:
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    )
    try:
        url = urlsplit(head.target.decode("ascii"))
    except ValueError as error:
        raise BadRequestError(400, "the target is not a URL") from error
    return Request(
        head.method.decode("ascii"),
        url.path,
        url.query,
        headers,
        body,
        peer,
        head.target.decode("ascii"),
    )


async def _refuse(
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
