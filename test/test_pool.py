"""Tests of lagoonpost.peers.pool: reuse and closing of channels."""

import asyncio

from lagoonpost.http.message import Address
from lagoonpost.peers.pool import IDLE_SECONDS, ChannelPool
from lagoonpost.peers.service import GOSSIP
from lagoonpost.systems.packet import Packet


class SilentPeer:
    """Accepts connections and reads, but never replies."""

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


async def wait_for(condition) -> None:
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("condition not met within 10 s")


class TestChannelPool:
    def test_silent_connection_is_never_used_again(self):
        """Guards against declaring a running peer dead.

        The pooled connection went silent while new ones would work, and all
        probes used the silent one.
        """

        async def run():
            peer = SilentPeer()
            address = await peer.start()
            pool = ChannelPool()
            for _ in range(2):
                call = pool.call(address, GOSSIP, Packet("a"), 0.2)
                assert await call is None
            await wait_for(lambda: (peer.accepted, peer.open) == (2, 0))
            pool.close()
            peer.close()

        asyncio.run(run())

    def test_unused_connection_is_closed(self):
        """Guards against seeds that run out of memory as the fleet grows.

        Every starting member connects to the seeds and must close the
        connection when idle.
        """

        async def run():
            now = 0.0
            pool = ChannelPool(clock=lambda: now)
            seed = SilentPeer()
            pooled = pool._open(await seed.start())
            await pooled.channel.__connect__()
            await wait_for(lambda: seed.open == 1)
            now = IDLE_SECONDS + 1.0
            other = SilentPeer()
            call = pool.call(await other.start(), GOSSIP, Packet("a"), 0.1)
            assert await call is None
            await wait_for(lambda: seed.open == 0)
            pool.close()
            seed.close()
            other.close()

        asyncio.run(run())
