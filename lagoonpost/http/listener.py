"""Opens listening sockets before the process is ready to serve.

This answers the load after a power failure, when all hosts restart at once
and every caller retries. The interpreter takes some tenths of a second to
import the server. Connections made meanwhile wait in the backlog; without a
listening socket they would be refused, and each would cost its caller a retry.
"""

import socket
from collections.abc import Iterable

from lagoonpost.tables.address import Address

BACKLOG = 512
"""Connections that may wait to be accepted. It covers one second at 500 new
connections per second, which is more than one gateway is meant to receive."""
ACCEPTED_AT_ONCE = 32
"""Connections accepted before any of them is checked: each takes a descriptor
until then."""
RECEIVE_BUFFER_BYTES = 32 * 1024
"""Bytes that the kernel keeps of a connection that is not read; a buffer that
grows by itself would take megabytes. Linux doubles the value for itself."""


def open_listener(address: Address) -> socket.socket:
    """Return a non-blocking socket that listens on ``address``.

    Raises:
        OSError: If the address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit it.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES // 2
        )
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def open_listeners(
    addresses: Iterable[Address | None],
) -> dict[Address, socket.socket]:
    """Listen on every address that can be bound, and skip the others.

    The server of a skipped address binds it later and reports the error.
    """
    listeners = {}
    for address in addresses:
        if address is None:
            continue
        try:
            listeners[address] = open_listener(address)
        except OSError:
            continue
    return listeners
