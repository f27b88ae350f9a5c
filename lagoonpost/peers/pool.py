"""Connections to peers: few, reused, and closed once one goes silent."""

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
# Neighbours are called every five seconds at the least.
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
    """One gRPC method: path, and types of request and reply."""

    path: str
    request_type: Any
    reply_type: Any


class _PooledChannel:
    """A kept channel, its calls under way and when it was last used."""

    def __init__(self, address: Address, codec: CodecBase) -> None:
        self.address = address
        self.channel = Channel(address.host, address.port, codec=codec)
        self.in_flight = 0
        self.last_used = 0.0


class ChannelPool:
    """A bounded number of channels, least recently used closed first."""

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
        """Call a peer over a kept connection.

        Returns:
            The reply, or None if none came in ``timeout`` seconds.
        """
        kept = self._open(address)
        kept.in_flight += 1
        try:
            reply = await _call(kept.channel, method, request, timeout)
        finally:
            kept.in_flight -= 1
        if reply is None:
            # Something between the ends may have lost track of the
            # connection: calls on it time out while new connections work.
            # It is never used again after an unanswered call.
            self._discard(kept)
        self._close_idle()
        return reply

    def _open(self, address: Address) -> _PooledChannel:
        kept = self._channels.get(address)
        if kept is None:
            kept = self._channels[address] = _PooledChannel(
                address, self._codec
            )
        self._channels.move_to_end(address)
        kept.last_used = self._clock()
        return kept

    def _discard(self, kept: _PooledChannel) -> None:
        if self._channels.get(kept.address) is kept:
            del self._channels[kept.address]
        kept.channel.close()

    def _close_idle(self) -> None:
        # Without an end for unused channels, all who start would keep
        # theirs to the few seeds, which then hold one for each member.
        oldest = self._clock() - IDLE_SECONDS
        for kept in list(self._channels.values()):
            excess = len(self._channels) > self._limit
            if not kept.in_flight and (excess or kept.last_used < oldest):
                self._discard(kept)

    def close(self) -> None:
        """Close all channels."""
        for kept in self._channels.values():
            kept.channel.close()
        self._channels.clear()


async def call_once(
    address: Address,
    method: Method,
    request: Any,
    timeout: float,
    codec: CodecBase = _CODEC,
) -> Any | None:
    """Call a peer over a connection of its own.

    Large bodies go this way, so that no probe waits behind one.

    Returns:
        The reply, or None if none came in ``timeout`` seconds.
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
