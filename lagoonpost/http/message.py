"""HTTP requests and responses shared by server, client and handlers."""

import math
from typing import NamedTuple

import msgspec

from lagoonpost.tables.address import Address as Address
from lagoonpost.tables.address import parse_address as parse_address

Headers = tuple[tuple[str, str], ...]


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None if it is absent.

    Args:
        headers: Headers with names in lower case.
        name: Name of the header in lower case.
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def list_values(headers: Headers, name: str) -> frozenset[str]:
    """Return the different values of a header, without empty ones."""
    return frozenset(value for key, value in headers if key == name and value)


def read_number(text: str) -> float:
    """Return the number in a header's value; not a number if it has none."""
    try:
        return float(text)
    except ValueError:
        return math.nan


class Request(NamedTuple):
    """A request whose body has been read completely.

    Attributes:
        method: HTTP method.
        path: Path of the request target.
        query: Query string of the request target, without ``?``.
        headers: Headers with names in lower case.
        body: Request body.
        peer: Socket address of the client.
        target: Request target exactly as received, for proxies that forward
            it unchanged.
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
    """A response with its complete body."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the first value of header ``name`` (lower case)."""
        return find_header(self.headers, name)


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the bytes of headers, as they were received.

    Received values are decoded byte by byte. Own values may have other
    characters, such as a name from the configuration.
    """
    return [
        (name.encode("latin-1"), _encode_value(value))
        for name, value in headers
    ]


def _encode_value(value: str) -> bytes:
    try:
        return value.encode("latin-1")
    except UnicodeEncodeError:
        return value.encode()


def make_json_response(
    status: int, value: object, headers: Headers = ()
) -> Response:
    """Return a response whose body is ``value`` encoded as JSON."""
    body = msgspec.json.encode(value)
    content_type = ("content-type", "application/json")
    return Response(status, (content_type, *headers), body)
