"""Connections to peers: few, reused, and closed once one goes silent."""

import asyncio
from collections import OrderedDict
from typing import Any, NamedTuple

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lagoonpost.http.message import Address
from lagoonpost.peers.codec import MessagePackCodec

# A member calls 3 neighbours, a bridge 5; the rest is for the helpers of
# indirect probes and for neighbours that have just changed.
POOL_CHANNELS = 8

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


class ChannelPool:
    """A bounded number of channels, least recently used closed first."""

    def __init__(self, limit: int = POOL_CHANNELS) -> None:
        self._limit = limit
        self._channels: OrderedDict[Address, Channel] = OrderedDict()
        self._busy: dict[Channel, int] = {}

    async def call(
        self, address: Address, method: Method, request: Any, timeout: float
    ) -> Any | None:
        """Call a peer over a kept connection.

        Returns:
            The reply, or None if none came in ``timeout`` seconds.
        """
        channel = self._open(address)
        self._busy[channel] = self._busy.get(channel, 0) + 1
        try:
            reply = await _call(channel, method, request, timeout)
        finally:
            self._release(channel)
        if reply is None:
            # Something between the ends may have lost track of the
            # connection: calls on it time out while new connections work.
            # It is never used again after an unanswered call.
            self._discard(address, channel)
        self._shrink()
        return reply

    def _open(self, address: Address) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = Channel(address.host, address.port, codec=_CODEC)
            self._channels[address] = channel
        self._channels.move_to_end(address)
        return channel

    def _release(self, channel: Channel) -> None:
        self._busy[channel] -= 1
        if not self._busy[channel]:
            del self._busy[channel]

    def _discard(self, address: Address, channel: Channel) -> None:
        if self._channels.get(address) is channel:
            del self._channels[address]
        channel.close()

    def _shrink(self) -> None:
        excess = len(self._channels) - self._limit
        for address, channel in list(self._channels.items()):
            if excess <= 0:
                return
            if channel not in self._busy:
                self._discard(address, channel)
                excess -= 1

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()


async def call_once(
    address: Address, method: Method, request: Any, timeout: float
) -> Any | None:
    """Call a peer over a connection of its own.

    Large bodies go this way, so that no probe waits behind one.

    Returns:
        The reply, or None if none came in ``timeout`` seconds.
    """
    channel = Channel(address.host, address.port, codec=_CODEC)
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
