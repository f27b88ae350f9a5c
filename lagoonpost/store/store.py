"""Interface of a transactional key-value store, and its result types."""

import asyncio
from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol

from lagoonpost.tables.decoding import Unreadable, decode_json


class Row(NamedTuple):
    """A row; ``version`` is 0 if it is absent and grows with each write.

    The value is `Unreadable` if it can't be decoded.
    """

    key: str
    version: int
    value: Any = None


class Condition(NamedTuple):
    """Requires row ``key`` to have this version; 0 means absent."""

    key: str
    version: int


class Write(NamedTuple):
    """Sets row ``key`` to a JSON value; None deletes the row."""

    key: str
    value: Any


def make_row(key: str, version: int, body: bytes | None) -> Row:
    """Return a row from its JSON body; None stands for a deleted row.

    No gateway writes null, and a row without a value would count as absent, so
    null can't be read either.
    """
    if body is None:
        return Row(key, version)
    value = decode_json(body)
    if value is None:
        value = Unreadable("the value is null")
    return Row(key, version, value)


class Committed(NamedTuple):
    """The transaction was applied; ``rows`` holds the written rows."""

    rows: tuple[Row, ...]


class Conflict(NamedTuple):
    """A condition failed and nothing was written.

    Attributes:
        rows: Current rows of all conditions.
    """

    rows: tuple[Row, ...]


class Unavailable(NamedTuple):
    """The call failed.

    Attributes:
        detail: Reason of the failure.
        applied: False if the call certainly had no effect; None if a write
            may have taken effect although its response was lost.
    """

    detail: str
    applied: bool | None = None


def sort_rows(
    conditions: Sequence[Condition], rows: Sequence[Row]
) -> tuple[Row, ...]:
    """Return one row per condition, in their order."""
    found = {row.key: row for row in rows}
    return tuple(found.get(each.key, Row(each.key, 0)) for each in conditions)


class Store(Protocol):
    """Transactional key-value store; failures are returned, not raised."""

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflict | Unavailable:
        """Apply all ``writes`` atomically if all ``conditions`` hold."""

    async def read(self, keys: Sequence[str]) -> tuple[Row, ...] | Unavailable:
        """Return one row per key, in the order of ``keys``."""

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Return rows whose keys start with ``prefix``, in key order.

        Args:
            prefix: Prefix of the keys.
            after: Return only keys greater than this one.
            limit: Maximum number of rows to return.
        """


MIN_RETRY_SECONDS = 0.25
"""Minimum interval between failing calls: four per second and gateway."""


async def pause_after_failure(call_seconds: float) -> None:
    """Wait until the store may be called again after a failed call.

    Args:
        call_seconds: Duration of the failed call, counted as part of the
            pause.
    """
    await asyncio.sleep(max(0.0, MIN_RETRY_SECONDS - call_seconds))
