"""The platform's table service as the product needs it."""

import asyncio
from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol


class Row(NamedTuple):
    """A stored row; ``version`` is 0 for an absent one and then grows."""

    key: str
    version: int
    value: Any = None


class Condition(NamedTuple):
    """The row ``key`` must have exactly this version; 0 is absent."""

    key: str
    version: int


class Write(NamedTuple):
    """Set row ``key`` to a JSON value; None deletes it."""

    key: str
    value: Any


class Committed(NamedTuple):
    """The transaction took effect; ``rows`` are the written ones."""

    rows: tuple[Row, ...]


class Conflict(NamedTuple):
    """A condition failed, nothing was written; ``rows`` are as they are."""

    rows: tuple[Row, ...]


class Unavailable(NamedTuple):
    """The service did not answer.

    ``applied`` is False when the call surely had no effect, and None when a
    write may have taken effect with its reply lost.
    """

    detail: str
    applied: bool | None = None


class Store(Protocol):
    """Transactions, reads and scans; outcomes are values."""

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflict | Unavailable:
        """Apply all ``writes`` if all ``conditions`` hold, or nothing."""

    async def read(self, keys: Sequence[str]) -> tuple[Row, ...] | Unavailable:
        """Return one row for each key, in order."""

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Return rows with keys that start with ``prefix``, in key order.

        Args:
            prefix: What keys start with.
            after: Return only keys greater than this one.
            limit: Most rows to return.
        """


MIN_RETRY_SECONDS = 0.25
"""Least time between failing calls: four a second from each gateway."""


async def pause_after_failure(call_seconds: float) -> None:
    """Wait before the store is called again.

    Args:
        spent: Seconds that the failed call took, which count as waited.
    """
    await asyncio.sleep(max(0.0, MIN_RETRY_SECONDS - call_seconds))
