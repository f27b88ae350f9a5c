"""A socket for UDP datagrams."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from lagoonpost.http.message import Address

MAX_DATAGRAM_BYTES = 60_000
"""Largest datagram that is sent; UDP carries 65,507 bytes over IPv4."""


class DatagramSocket(asyncio.DatagramProtocol):
    """A socket that sends to peers and hands over what comes.

    Args:
        on_datagram: Told each datagram's bytes and its sender.
    """

    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self._on_datagram = on_datagram
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: Address) -> None:
        """Listen on ``address``."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )

    def send(self, body: bytes, targets: Iterable[Address]) -> None:
        """Send the same bytes to some peers; some may not arrive."""
        if self._transport is None or len(body) > MAX_DATAGRAM_BYTES:
            return
        for target in targets:
            self._transport.sendto(body, (target.host, target.port))

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Take one datagram."""
        self._on_datagram(data, Address(*addr[:2]))

    def error_received(self, exc: Exception) -> None:
        """Pass over a peer that has nobody listening: it is restarting."""
