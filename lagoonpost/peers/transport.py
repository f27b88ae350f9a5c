"""How gRPC calls between peers are carried."""

from typing import Any, Protocol

from lagoonpost.http.account import ClientAccount
from lagoonpost.http.listener import (
    ACCEPTED_AT_ONCE,
    BACKLOG,
    open_listener,
)
from lagoonpost.http.message import Address
from lagoonpost.peers.bounded_server import BoundedServer
from lagoonpost.peers.codec import MessagePackCodec
from lagoonpost.peers.pool import ChannelPool, Method, call_once
from lagoonpost.peers.service import PeerService


class Transport(Protocol):
    """Carries calls to peers and serves theirs."""

    async def start(self, service: PeerService, address: Address) -> Address:
        """Serve calls, and return the address with its port."""

    async def call(
        self, address: Address, method: Method, request: Any, timeout: float
    ) -> Any | None:
        """Make a small call; return None if it failed or timed out."""

    async def call_apart(
        self, address: Address, method: Method, request: Any, timeout: float
    ) -> Any | None:
        """Make a call whose body may be large, so that no other call waits.

        Returns:
            The reply; None if the call failed or timed out.
        """

    def close_calls(self) -> None:
        """Close connections to peers."""

    async def close(self) -> None:
        """Stop serving."""


class GrpcTransport:
    """Carries calls by grpclib.

    Args:
        codec: Codec of requests and replies.
        account: Accounts for what connections from peers hold.

    Attributes:
        pool: Connections for small calls.
    """

    def __init__(
        self, codec: MessagePackCodec, account: ClientAccount | None = None
    ) -> None:
        self._codec = codec
        self._account = account or ClientAccount()
        self.pool = ChannelPool(codec=codec)
        self._server: BoundedServer

    async def start(self, service: PeerService, address: Address) -> Address:
        """Listen at an address; port 0 selects a free port."""
        listener = open_listener(address)
        host, port = listener.getsockname()[:2]
        # grpclib binds a server to the loop in which it is constructed.
        self._server = BoundedServer(
            self._account, [service], codec=self._codec
        )
        await self._server.start(sock=listener, backlog=ACCEPTED_AT_ONCE)
        # The server has set the backlog to what it accepts at once.
        listener.listen(BACKLOG)
        return Address(host, port)

    async def call(
        self, address: Address, method: Method, request: Any, timeout: float
    ) -> Any | None:
        """Call a peer over a pooled channel."""
        return await self.pool.call(address, method, request, timeout)

    async def call_apart(
        self, address: Address, method: Method, request: Any, timeout: float
    ) -> Any | None:
        """Call a peer over a dedicated connection."""
        return await call_once(address, method, request, timeout, self._codec)

    def close_calls(self) -> None:
        """Close the pooled channels."""
        self.pool.close()

    async def close(self) -> None:
        """Stop listening."""
        self._server.close()
        await self._server.wait_closed()
