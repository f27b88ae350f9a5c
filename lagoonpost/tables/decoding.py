"""Decoding of bytes from outside that may be unreadable."""

from typing import Any, TypeVar

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


class Unreadable(msgspec.Struct, frozen=True):
    """Stands for a value that can't be decoded.

    Not a tuple, so that no conversion takes it for a row's value.

    Attributes:
        reason: What the decoder reports.
    """

    reason: str


def read_json(body: bytes, type_: type[_T]) -> _T | None:
    """Return the value in a JSON document; None if it can't be read."""
    try:
        return msgspec.json.decode(body, type=type_)
    except UNREADABLE:
        return None


def decode_json(body: bytes) -> Any:
    """Return the value in a JSON document, or `Unreadable`."""
    try:
        return msgspec.json.decode(body)
    except UNREADABLE as error:
        return Unreadable(str(error))


def decode_msgpack(body: bytes, type_: Any) -> Any:
    """Return the value of a type in a MessagePack body, or `Unreadable`."""
    try:
        return msgspec.msgpack.decode(body, type=type_)
    except UNREADABLE as error:
        return Unreadable(str(error))


def convert_value(value: Any, type_: Any) -> Any:
    """Convert the value of a store row to a type.

    Returns:
        The converted value; `Unreadable` if it doesn't match the type, or if
        it is unreadable already.
    """
    if isinstance(value, Unreadable):
        return value
    try:
        return msgspec.convert(value, type_)
    except UNREADABLE as error:
        return Unreadable(str(error))
