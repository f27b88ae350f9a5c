"""Connections to peers that are kept, closed and opened anew."""

import asyncio

from lagoonpost.http.message import Address
from lagoonpost.peers.pool import IDLE_SECONDS, ChannelPool
from lagoonpost.peers.service import GOSSIP
from lagoonpost.systems.packet import Packet


class SilentPeer:
    """Takes connections and bytes, and never answers."""

    def __init__(self):
        self.accepted = 0
        self.open = 0

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return Address(*self._server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        self._server.close()

    async def _accept(self, reader, writer):
        self.accepted += 1
        self.open += 1
        while await reader.read(1024):
            pass
        self.open -= 1
        writer.close()


async def wait_for(holds) -> None:
    for _ in range(1000):
        if holds():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("did not come to hold")


class TestChannelPool:
    def test_silent_connection_is_never_used_again(self):
        """A peer is held dead though it runs.

        The one connection to it went silent, new ones would work, and all
        probes went over the silent one.
        """

        async def play():
            peer = SilentPeer()
            address = await peer.start()
            pool = ChannelPool()
            for _ in range(2):
                call = pool.call(address, GOSSIP, Packet("a"), 0.2)
                assert await call is None
            await wait_for(lambda: (peer.accepted, peer.open) == (2, 0))
            pool.close()
            peer.close()

        asyncio.run(play())

    def test_unused_connection_is_closed(self):
        """The first gateways run out of memory as the fleet grows.

        Each member that starts asks these seeds and keeps the connection.
        """

        async def play():
            now = 0.0
            pool = ChannelPool(clock=lambda: now)
            seed = SilentPeer()
            kept = pool._open(await seed.start())
            await kept.channel.__connect__()
            await wait_for(lambda: seed.open == 1)
            now = IDLE_SECONDS + 1.0
            other = SilentPeer()
            call = pool.call(await other.start(), GOSSIP, Packet("a"), 0.1)
            assert await call is None
            await wait_for(lambda: seed.open == 0)
            pool.close()
            seed.close()
            other.close()

        asyncio.run(play())
