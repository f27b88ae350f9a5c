"""A loopback proxy that harms the connections that go through it."""

import asyncio
from typing import Literal

from lagoonpost.http.message import Address

LinkFault = Literal["none", "delay", "reset", "one_way", "silent", "forgotten"]
"""What happens to connections: bytes come late, all are reset, answers don't
come back, nothing passes in either direction, or those that are open now stay
silent for good while new ones work."""
DELAY_SECONDS = 0.3
"""How late bytes come: 100 times a way between failure domains."""
READ_BYTES = 65536


class _Link:
    """One connection of a caller and its way on."""

    def __init__(
        self, near: asyncio.StreamWriter, far: asyncio.StreamWriter
    ) -> None:
        self.writers = (near, far)
        self.forgotten = False

    def abort(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Passes connections on to one address.

    Attributes:
        target: Where connections lead.
        address: Where it listens, once started.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.address = Address("127.0.0.1", 0)
        self._harm: LinkFault = "none"
        self._links: set[_Link] = set()
        self._changed = asyncio.Event()
        self._closed = False
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=READ_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", int(port))
        return self.address

    def set_fault(self, harm: LinkFault) -> None:
        """Do something else to connections from now on."""
        self._harm = harm
        if harm in ("reset", "forgotten"):
            for link in list(self._links):
                link.forgotten = True
                if harm == "reset":
                    link.abort()
        self._changed.set()
        self._changed = asyncio.Event()

    def close(self) -> None:
        """Stop at once."""
        if self._server is not None:
            self._server.close()
        self._closed = True
        self._changed.set()
        for link in list(self._links):
            link.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._harm == "reset":
            writer.transport.abort()
            return
        try:
            back, there = await asyncio.open_connection(
                self.target.host, self.target.port, limit=READ_BYTES
            )
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, there)
        self._links.add(link)
        try:
            await asyncio.gather(
                self._pump(link, reader, there, outward=True),
                self._pump(link, back, writer, outward=False),
            )
        finally:
            self._links.discard(link)
            link.abort()

    async def _pump(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        outward: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await self._hold(link, outward)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # The other end is gone; so is the whole connection.
            link.abort()

    async def _hold(self, link: _Link, outward: bool) -> None:
        """Wait for as long as nothing may pass."""
        if self._harm == "delay":
            await asyncio.sleep(DELAY_SECONDS)
        while not self._closed and self._is_held(link, outward):
            await self._changed.wait()

    def _is_held(self, link: _Link, outward: bool) -> bool:
        if link.forgotten or self._harm == "silent":
            return True
        return self._harm == "one_way" and not outward
