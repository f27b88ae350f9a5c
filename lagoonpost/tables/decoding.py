"""Decoding of bytes from outside that may be unreadable."""

from typing import TypeVar

import msgspec

UNREADABLE = (
    msgspec.DecodeError,
    RecursionError,
    ValueError,
    OverflowError,
)
"""What decoders raise. Values that are nested too deep raise
``RecursionError``, numbers of odd size ``ValueError`` or ``OverflowError``."""
_T = TypeVar("_T")


def read_json(body: bytes, type_: type[_T]) -> _T | None:
    """Return the value in a JSON document; None if it can't be read."""
    try:
        return msgspec.json.decode(body, type=type_)
    except UNREADABLE:
        return None
