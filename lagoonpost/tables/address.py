"""Network addresses of processes."""

from ipaddress import ip_address
from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``, where the host is an IP address.

    An IPv6 address may be enclosed in brackets.

    Args:
        text: The address.

    Returns:
        The parsed address, without brackets.

    Raises:
        ValueError: If the host is not an IP address, or the port is not a
            number from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not port.isdecimal():
        raise ValueError(f"{text!r} is not HOST:PORT")
    ip_address(host)
    if not 1 <= int(port) <= 65535:
        raise ValueError(f"port {port} is not within 1 to 65535")
    return Address(host, int(port))
