"""What decoders raise for bytes from outside that can't be read."""

import msgspec

UNREADABLE = (
    msgspec.DecodeError,
    RecursionError,
    ValueError,
    OverflowError,
)
"""A decoder raises ``RecursionError`` for values that are nested too deep, and
a conversion ``ValueError`` or ``OverflowError`` for numbers of odd size."""
