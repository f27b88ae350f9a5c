"""Logs what could not be read and was dropped, and reads rows and facts."""

from typing import Any

import eliot

from lagoonpost.tables.decoding import (
    Unreadable,
    convert_value,
    decode_msgpack,
)
from lagoonpost.tables.fact import Fact


def log_unreadable(source: str, key: str, reason: object) -> None:
    """Log that a message, row or answer was dropped.

    Args:
        source: Kind of the source, such as "row" or "fact".
        key: What names the message within its source.
        reason: Why it can't be read.
    """
    eliot.log_message(
        message_type="lagoonpost:unreadable",
        source=source,
        key=key,
        reason=str(reason),
    )


def read_row(key: str, value: Any, type_: Any) -> Any:
    """Convert a store row's value; log it if that fails.

    Returns:
        The converted value, or `Unreadable`.
    """
    converted = convert_value(value, type_)
    if isinstance(converted, Unreadable):
        log_unreadable("row", key, converted.reason)
    return converted


def read_fact(fact: Fact, type_: Any) -> Any:
    """Decode the body of another gateway's fact; log it if that fails.

    Returns:
        The decoded body, or `Unreadable`.
    """
    decoded = decode_msgpack(fact.body, type_)
    if isinstance(decoded, Unreadable):
        log_unreadable("fact", fact.id, decoded.reason)
    return decoded
