"""UDP socket for messages between peers."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from lagoonpost.http.message import Address

MAX_DATAGRAM_BYTES = 60_000
"""Largest datagram to send; UDP over IPv4 carries up to 65,507 bytes."""


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends datagrams to peers and passes received ones to a callback.

    Args:
        on_datagram: Called with the bytes and the sender of each datagram.
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
        """Send the same bytes to several peers, without delivery guarantee.

        Does nothing before ``start`` or if ``body`` exceeds
        ``MAX_DATAGRAM_BYTES``.
        """
        if self._transport is None or len(body) > MAX_DATAGRAM_BYTES:
            return
        for target in targets:
            self._transport.sendto(body, (target.host, target.port))

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Pass a received datagram to the callback."""
        self._on_datagram(data, Address(*addr[:2]))

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as a closed port: the peer may be restarting."""
