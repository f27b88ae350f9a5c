"""gRPC server whose connections and unfinished messages are bounded.

Load pattern: anyone who reaches the port can open connections, or announce a
message of gigabytes; grpclib keeps all of it until the message is complete.
"""

import asyncio
from typing import Any, cast

from grpclib.protocol import H2Protocol
from grpclib.server import Server

from lagoonpost.http.account import ClientAccount
from lagoonpost.tables.holding import Holding

MAX_UNFINISHED_BYTES = 8 * 1024 * 1024
"""Bytes of a connection while a call is open: twice the largest request that
is handed over."""


class _BoundedProtocol(H2Protocol):
    """A connection that is closed if it makes the process hold too much."""

    def __init__(self, account: ClientAccount, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._account = account
        self._holding: Holding | None = None
        self._received = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._holding = self._account.open(self._transport)
        if self._holding is None:
            self._transport.abort()
        else:
            super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        if self._holding is None or self._transport.is_closing():
            return
        if not self.processor.streams and self.connection.streams_succeeded:
            # A peer has called before. Its next call may wait for news.
            self._account.enter(self._holding, "handled")
            self._received = 0
        self._received += len(data)
        fits = self._account.resize(self._holding, "body", self._received)
        if not fits or self._received > MAX_UNFINISHED_BYTES:
            self._transport.abort()
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        if self._holding is not None:
            self._account.close(self._holding)
            super().connection_lost(exc)
            # The streams become part of cycles with the errors that end them,
            # which would keep what they have received for a while.
            for stream in self.processor.streams.values():
                stream.buffer.unacked_size()
                stream.buffer._acked.clear()


class BoundedServer(Server):
    """A server whose connections share an account.

    Args:
        account: Accounts for what connections hold.
        arguments: Arguments of grpclib's server.
        options: Further arguments of it.
    """

    # Without this, ten closed connections would keep what they have received.
    __gc_interval__ = 1

    def __init__(
        self, account: ClientAccount, *arguments: Any, **options: Any
    ) -> None:
        super().__init__(*arguments, **options)
        self._account = account

    def _protocol_factory(self) -> H2Protocol:
        plain = super()._protocol_factory()
        return _BoundedProtocol(
            self._account, plain.handler, plain.config, plain.h2_config
        )
