"""Bounded pool of gRPC channels to peers."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, NamedTuple

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lagoonpost.http.message import Address
from lagoonpost.peers.codec import MessagePackCodec

# A member calls 3 neighbours, a bridge 5; the rest is for the helpers of
# indirect probes and for neighbours that have just changed.
MAX_POOLED_CHANNELS = 8
# Neighbours are called at least every five seconds, so that a channel unused
# for this long no longer serves a neighbour.
IDLE_SECONDS = 15.0

_CODEC = MessagePackCodec()
_FAILURES = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)


class Method(NamedTuple):
    """A gRPC method: its path and the types of its request and reply."""

    path: str
    request_type: Any
    reply_type: Any


class _PooledChannel:
    """A pooled channel, its in-flight calls and the time of its last use."""

    def __init__(self, address: Address, codec: CodecBase) -> None:
        self.address = address
        self.channel = Channel(address.host, address.port, codec=codec)
        self.in_flight = 0
        self.last_used = 0.0


class ChannelPool:
    """Keeps a bounded number of channels; evicts the least recently used.

    Args:
        limit: Maximum number of idle and busy channels; busy ones are not
            evicted.
        clock: Returns the time in seconds.
        codec: Codec of requests and replies.
    """

    def __init__(
        self,
        limit: int = MAX_POOLED_CHANNELS,
        clock: Callable[[], float] = time.monotonic,
        codec: CodecBase = _CODEC,
    ) -> None:
        self._codec = codec
        self._limit = limit
        self._clock = clock
        self._channels: OrderedDict[Address, _PooledChannel] = OrderedDict()

    async def call(
        self, address: Address, method: Method, request: Any, timeout: float
    ) -> Any | None:
        """Call a peer over a pooled channel.

        Args:
            address: Address of the peer.
            method: Method to call.
            request: Request message.
            timeout: Seconds to wait for the reply.

        Returns:
            The reply, or None if the call failed or timed out.
        """
        pooled = self._open(address)
        pooled.in_flight += 1
        try:
            reply = await _call(pooled.channel, method, request, timeout)
        finally:
            pooled.in_flight -= 1
        if reply is None:
            # A middlebox may have dropped the connection's state: calls on
            # it time out while new connections work. Therefore a channel is
            # never reused after a failed call.
            self._discard(pooled)
        self._close_idle()
        return reply

    def _open(self, address: Address) -> _PooledChannel:
        pooled = self._channels.get(address)
        if pooled is None:
            pooled = self._channels[address] = _PooledChannel(
                address, self._codec
            )
        self._channels.move_to_end(address)
        pooled.last_used = self._clock()
        return pooled

    def _discard(self, pooled: _PooledChannel) -> None:
        if self._channels.get(pooled.address) is pooled:
            del self._channels[pooled.address]
        pooled.channel.close()

    def _close_idle(self) -> None:
        # Every starting member connects to the few seeds. Without an idle
        # timeout, the seeds would hold one connection per member.
        oldest = self._clock() - IDLE_SECONDS
        for pooled in list(self._channels.values()):
            excess = len(self._channels) > self._limit
            if not pooled.in_flight and (excess or pooled.last_used < oldest):
                self._discard(pooled)

    def close(self) -> None:
        """Close all channels."""
        for pooled in self._channels.values():
            pooled.channel.close()
        self._channels.clear()


async def call_once(
    address: Address,
    method: Method,
    request: Any,
    timeout: float,
    codec: CodecBase = _CODEC,
) -> Any | None:
    """Call a peer over a dedicated connection.

    Used for large bodies, so that they do not delay probes.

    Args:
        address: Address of the peer.
        method: Method to call.
        request: Request message.
        timeout: Seconds to wait for the reply.
        codec: Codec of the request and the reply.

    Returns:
        The reply, or None if the call failed or timed out.
    """
    channel = Channel(address.host, address.port, codec=codec)
    try:
        return await _call(channel, method, request, timeout)
    finally:
        channel.close()


async def _call(
    channel: Channel, method: Method, request: Any, timeout: float
) -> Any | None:
    call: UnaryUnaryMethod[Any, Any] = UnaryUnaryMethod(
        channel, method.path, method.request_type, method.reply_type
    )
    try:
        async with asyncio.timeout(timeout):
            return await call(request)
    except _FAILURES:
        return None
