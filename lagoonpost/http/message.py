"""Plain HTTP messages that server, client and handlers share."""

from typing import NamedTuple

import msgspec

from lagoonpost.tables.address import Address as Address
from lagoonpost.tables.address import parse_address as parse_address

Headers = tuple[tuple[str, str], ...]


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of header ``name`` (lower case), or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


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
