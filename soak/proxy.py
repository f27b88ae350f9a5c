"""A loopback TCP proxy that injects link faults."""

import asyncio
from typing import Literal

from lagoonpost.http.message import Address

LinkFault = Literal[
    "none", "delay", "reset", "one_way", "silent", "forgotten", "endless"
]
"""Faults of the proxied connections:

- delay: bytes arrive late
- reset: all connections are reset
- one_way: bytes from the target are held back
- silent: bytes in both directions are held back
- forgotten: connections open now stay silent for good, new ones work
- endless: bytes without end follow what the target sends
"""
DELAY_SECONDS = 0.3
"""Added delay: 100 times the latency between failure domains."""
READ_BYTES = 65536
FILLER = b" " * READ_BYTES
FILLER_PAUSE_SECONDS = 0.01
"""Pause between filling bytes: 6.5 MB a second for each connection."""


class _Link:
    """A client connection and its connection to the target."""

    def __init__(
        self, client: asyncio.StreamWriter, target: asyncio.StreamWriter
    ) -> None:
        self.writers = (client, target)
        self.forgotten = False

    def abort(self) -> None:
        """Reset both connections."""
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Forwards connections to one address.

    Attributes:
        target: Address to which connections are forwarded.
        address: Address on which the proxy listens, once started.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.address = Address("127.0.0.1", 0)
        self._fault: LinkFault = "none"
        self._links: set[_Link] = set()
        self._changed = asyncio.Event()
        self._closed = False
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=READ_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", int(port))
        return self.address

    def set_fault(self, fault: LinkFault) -> None:
        """Apply a fault to open and new connections, in place of any other."""
        self._fault = fault
        if fault in ("reset", "forgotten"):
            for link in list(self._links):
                link.forgotten = True
                if fault == "reset":
                    link.abort()
        self._changed.set()
        self._changed = asyncio.Event()

    def close(self) -> None:
        """Stop and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._closed = True
        self._changed.set()
        for link in list(self._links):
            link.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault == "reset":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target.host, self.target.port, limit=READ_BYTES
            )
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, target_writer)
        self._links.add(link)
        try:
            await asyncio.gather(
                self._copy_bytes(link, reader, target_writer, outward=True),
                self._copy_bytes(link, target_reader, writer, outward=False),
            )
        finally:
            self._links.discard(link)
            link.abort()

    async def _copy_bytes(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        outward: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await self._wait_until_passable(link, outward)
                writer.write(data)
                await writer.drain()
                if not outward:
                    await self._send_filler(writer)
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # One side has closed its connection: close the other as well.
            link.abort()

    async def _send_filler(self, writer: asyncio.StreamWriter) -> None:
        """Send bytes without end while the fault lasts."""
        while self._fault == "endless" and not self._closed:
            writer.write(FILLER)
            await writer.drain()
            await asyncio.sleep(FILLER_PAUSE_SECONDS)

    async def _wait_until_passable(self, link: _Link, outward: bool) -> None:
        """Wait while the fault delays or blocks this direction."""
        if self._fault == "delay":
            await asyncio.sleep(DELAY_SECONDS)
        while not self._closed and self._is_blocked(link, outward):
            await self._changed.wait()

    def _is_blocked(self, link: _Link, outward: bool) -> bool:
        if link.forgotten or self._fault == "silent":
            return True
        return self._fault == "one_way" and not outward
