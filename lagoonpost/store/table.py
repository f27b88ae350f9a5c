"""Store over the table service's HTTP interface."""

from collections.abc import Sequence
from typing import Any, TypedDict

import msgspec

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Response
from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Row,
    Unavailable,
    Write,
)

STORE_TIMEOUT_SECONDS = 2.0


class RowObject(TypedDict):
    """A row as the service writes it."""

    key: str
    version: int
    value: Any


class RowsObject(TypedDict):
    """What the service answers to every operation."""

    rows: list[RowObject]


class TableStore:
    """Store that calls one table service.

    Args:
        client: HTTP client.
        address: Where the service listens.
        timeout: Seconds for one operation.
    """

    def __init__(
        self,
        client: Client,
        address: Address,
        timeout: float = STORE_TIMEOUT_SECONDS,
    ) -> None:
        self._client = client
        self._address = address
        self._timeout = timeout

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflict | Unavailable:
        """Apply all ``writes`` if all ``conditions`` hold, or nothing."""
        order = {
            "conditions": [condition._asdict() for condition in conditions],
            "writes": [write._asdict() for write in writes],
        }
        answer = await self._call("transact", order)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status not in (200, 409):
            return Unavailable(f"status {answer.status}")
        rows = _decode_rows(answer)
        if isinstance(rows, Unavailable):
            return rows
        return Committed(rows) if answer.status == 200 else Conflict(rows)

    async def read(self, keys: Sequence[str]) -> tuple[Row, ...] | Unavailable:
        """Return one row for each key, in order."""
        rows = await self._fetch("read", {"keys": list(keys)})
        if not isinstance(rows, Unavailable) and len(rows) != len(keys):
            return Unavailable("not one row for each key")
        return rows

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Return rows with keys that start with ``prefix``, in key order."""
        order = {"prefix": prefix, "after": after, "limit": limit}
        return await self._fetch("scan", order)

    async def _fetch(
        self, operation: str, order: object
    ) -> tuple[Row, ...] | Unavailable:
        answer = await self._call(operation, order)
        if isinstance(answer, Unavailable):
            return answer
        if answer.status != 200:
            return Unavailable(f"status {answer.status}")
        return _decode_rows(answer)

    async def _call(
        self, operation: str, order: object
    ) -> Response | Unavailable:
        body = msgspec.json.encode(order)
        try:
            return await self._client.call(
                self._address,
                "POST",
                f"/v1/{operation}",
                body,
                (("content-type", "application/json"),),
                timeout=self._timeout,
            )
        except CallFailedError as error:
            # A reply lost after a write took effect looks the same as a
            # request lost before it. Only a call that was never sent is
            # reported as without effect; callers settle all others by
            # reading.
            applied = None if error.sent else False
            return Unavailable(str(error), applied)


def _decode_rows(answer: Response) -> tuple[Row, ...] | Unavailable:
    try:
        decoded = msgspec.json.decode(answer.body, type=RowsObject)
    except msgspec.DecodeError as error:
        return Unavailable(f"unreadable reply: {error}")
    return tuple(
        Row(row["key"], row["version"], row["value"])
        for row in decoded["rows"]
    )
