"""Listens before the process can serve, so that callers wait a moment.

Pattern of load: all hosts come back at once after a loss of power, and every
caller tries again. The interpreter needs some tenths of a second to load what
serves them; a caller that is refused meanwhile has used up a try.
"""

import socket
from collections.abc import Iterable

from lagoonpost.tables.address import Address

BACKLOG = 512
"""Connections that may wait to be taken: a second of new ones at 500 a
second, which no single gateway is meant to get."""


def open_listener(address: Address) -> socket.socket:
    """Return a socket that listens.

    Raises:
        OSError: If that can't be done.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
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
    """Listen at all addresses at which that can be done.

    The others are left to whoever serves there, and reports what is wrong.
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
