"""HTTP/1.1 server on h11 and asyncio, with bounded reads and writes."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

import h11

from lagoonpost.http.account import ClientAccount
from lagoonpost.http.decoding_limiter import DecodingLimiter
from lagoonpost.http.listener import (
    ACCEPTED_AT_ONCE,
    BACKLOG,
    open_listener,
)
from lagoonpost.http.message import (
    Address,
    Headers,
    Request,
    Response,
    make_json_response,
)
from lagoonpost.http.request_reader import (
    READ_BYTES,
    ClientReader,
    Rejected,
    RequestReader,
)
from lagoonpost.http.responder import (
    ClientDisconnectedError,
    Limits,
    Responder,
)
from lagoonpost.tables.holding import Holding

DISCARD_SECONDS = 2.0
DISCARD_BYTES = 4 * 1024 * 1024
"""Bounds for discarding what a client sends after its request was rejected."""
_MAY_RESPOND = (h11.IDLE, h11.SEND_RESPONSE)

Handler = Callable[[Request, Responder], Awaitable[None]]


class _ClientProtocol(asyncio.StreamReaderProtocol):
    """The protocol of a connection that has to find room in an account.

    Args:
        account: Accounts for what connections hold.
        serve: Serves the connection.
        loop: The event loop.
    """

    def __init__(
        self,
        account: ClientAccount,
        serve: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
        ],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._account = account
        super().__init__(ClientReader(loop), serve, loop=loop)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        if self._account.open(transport) is None:
            transport.abort()
        else:
            super().connection_made(transport)


class Server:
    """Listens on one address and passes complete requests to a handler.

    Args:
        handler: Coroutine function that responds to one request.
        limits: Limits per connection and request.
        cancel_on_disconnect: Whether to cancel a handler when its client
            closes the connection.
        account: Accounts for what connections hold; servers may share it.

    Attributes:
        limits: Limits per connection and request. They may be replaced while
            the server runs and then apply to the requests that follow.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Limits | None = None,
        cancel_on_disconnect: bool = False,
        account: ClientAccount | None = None,
    ) -> None:
        self._handler = handler
        self._account = account or ClientAccount()
        self._limiter = DecodingLimiter()
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
        listener = listener or open_listener(address)
        self._server = await loop.create_server(
            lambda: _ClientProtocol(self._account, self._serve, loop),
            sock=listener,
            backlog=ACCEPTED_AT_ONCE,
        )
        # The server has set the backlog to what it accepts at once.
        listener.listen(BACKLOG)
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
        holding = self._account.find(writer.transport)
        assert task is not None and isinstance(reader, ClientReader)
        self._connections.add(task)
        writer.transport.set_write_buffer_limits(high=self.limits.buffer)
        try:
            with suppress(
                ClientDisconnectedError, OSError, h11.LocalProtocolError
            ):
                await self._handle_connection(reader, writer, holding)
            await self._flush(writer)
        except asyncio.CancelledError:
            # `close` cancelled this task. If the exception went on, asyncio
            # would log it as a connection error.
            if not self._closing:
                raise
        finally:
            self._connections.discard(task)
            self._idle.discard(writer)
            self._account.close(holding)
            # A cycle would keep what the connection holds for a while.
            reader.forget_callbacks()
            writer.close()

    async def _handle_connection(
        self,
        reader: ClientReader,
        writer: asyncio.StreamWriter,
        holding: Holding,
    ) -> None:
        requests = RequestReader(
            reader, writer, self._account, holding, self._limiter, self._idle
        )
        while not self._closing:
            requests.begin(self.limits)
            responder = Responder(
                requests.connection,
                writer,
                self.limits,
                self.is_closing,
                partial(self._account.note_unsent, holding),
            )
            if not await self._handle_request(requests, responder, reader):
                return
            if not requests.may_continue():
                return
            self._account.resize(holding, "body", 0)
            self._account.enter(holding, "idle")
            if requests.has_more():
                # A client that sends ahead must not keep others waiting.
                await asyncio.sleep(0)

    async def _flush(self, writer: asyncio.StreamWriter) -> None:
        """Close a connection once its client has taken all, in limited time.

        Until then it stays in the account.
        """
        if not writer.transport.get_write_buffer_size():
            return
        writer.close()
        try:
            async with asyncio.timeout(self.limits.write_seconds):
                await writer.wait_closed()
        except (TimeoutError, OSError):
            writer.transport.abort()

    async def _handle_request(
        self,
        requests: RequestReader,
        responder: Responder,
        reader: ClientReader,
    ) -> bool:
        """Answer the next request, and return whether others may follow.

        The request must not outlive this call, as the connection may idle.
        """
        request = await requests.read()
        if request is None:
            return False
        responder.bodiless = not requests.wants_body
        if isinstance(request, Rejected):
            if requests.connection.our_state in _MAY_RESPOND:
                await responder.send(_make_rejection(request))
                await _discard(reader, responder)
            return False
        if self._cancel_on_disconnect:
            await self._handle_until_disconnect(request, responder, reader)
        else:
            await self._handler(request, responder)
        if not responder.finished:
            # The handler stopped within the response. Closing without the
            # final chunk shows the client that it is incomplete.
            responder.abort()
        return responder.finished

    async def _handle_until_disconnect(
        self,
        request: Request,
        responder: Responder,
        reader: ClientReader,
    ) -> None:
        """Run the handler and cancel it when its client disconnects.

        Otherwise a runner would keep working on a request that its caller
        has abandoned. The disconnect goes unnoticed if the client has
        pipelined more bytes than the read buffer holds, because reading is
        then paused until the response is sent.
        """
        task = asyncio.current_task()
        assert task is not None
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


async def _discard(reader: ClientReader, responder: Responder) -> None:
    """Discard what a client still sends after a response, for some time.

    A connection that is closed with unread bytes is reset, and the client may
    lose the response (RFC 9112, section 9.6).
    """
    responder.end()
    discarded = 0
    with suppress(TimeoutError):
        async with asyncio.timeout(DISCARD_SECONDS):
            while discarded < DISCARD_BYTES:
                data = await reader.read(READ_BYTES)
                if not data:
                    return
                discarded += len(data)
            # It may still read the response while it can't send any more.
            await asyncio.sleep(DISCARD_SECONDS)


def _make_rejection(reason: Rejected) -> Response:
    problem = {
        "type": "about:blank",
        "title": "Request not readable",
        "status": reason.status,
        "detail": reason.detail,
        "execution": "not_run",
    }
    headers: Headers = (("connection", "close"),)
    if reason.retry_after is not None:
        headers += (("retry-after", f"{reason.retry_after:g}"),)
    response = make_json_response(reason.status, problem, headers)
    content_type = (("content-type", "application/problem+json"),)
    return response._replace(headers=content_type + response.headers[1:])
