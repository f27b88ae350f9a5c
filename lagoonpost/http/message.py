"""Plain HTTP messages that server, client and handlers share."""

from ipaddress import ip_address
from typing import NamedTuple

import msgspec

Headers = tuple[tuple[str, str], ...]


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of header ``name`` (lower case), or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


class Address(NamedTuple):
    """An IP address and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``, where the host is an IP address.

    Raises:
        ValueError: If it is none, or the port is not 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not port.isdecimal():
        raise ValueError(f"{text!r} is not HOST:PORT")
    ip_address(host)
    if not 1 <= int(port) <= 65535:
        raise ValueError(f"port {port} is not within 1 to 65535")
    return Address(host, int(port))


class Request(NamedTuple):
    """A request whose whole body has been read.

    Attributes:
        method: Method.
        path: Path of the target.
        query: Query of the target.
        headers: Headers with names in lower case.
        body: Body.
        peer: Address of the sender.
        target: Path and query byte for byte, for those who pass it on.
    """

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    peer: str
    target: str = ""

    def header(self, name: str) -> str | None:
        """Return the first value of header ``name`` (lower case)."""
        return find_header(self.headers, name)


class Response(NamedTuple):
    """A response whose whole body is at hand."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the first value of header ``name`` (lower case)."""
        return find_header(self.headers, name)


def make_json_response(
    status: int, value: object, headers: Headers = ()
) -> Response:
    """Return ``value`` encoded as a JSON response."""
    body = msgspec.json.encode(value)
    content_type = ("content-type", "application/json")
    return Response(status, (content_type, *headers), body)
