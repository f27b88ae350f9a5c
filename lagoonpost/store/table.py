"""Client of the table service's HTTP API, implementing `Store`."""

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
from lagoonpost.tables.decoding import UNREADABLE
from lagoonpost.unreadable import log_unreadable

STORE_TIMEOUT_SECONDS = 2.0


class RowObject(TypedDict):
    """A row in the service's JSON format."""

    key: str
    version: int
    value: Any


class RowsObject(TypedDict):
    """JSON body of the service's responses to all operations."""

    rows: list[RowObject]


class TableStore:
    """Store backed by one table service.

    Args:
        client: HTTP client.
        address: Address of the service.
        timeout: Timeout of one operation in seconds.
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
        """Apply all ``writes`` atomically if all ``conditions`` hold."""
        request = {
            "conditions": [condition._asdict() for condition in conditions],
            "writes": [write._asdict() for write in writes],
        }
        response = await self._call("transact", request)
        if isinstance(response, Unavailable):
            return response
        if response.status not in (200, 409):
            return Unavailable(f"status {response.status}")
        rows = _decode_rows(response)
        if isinstance(rows, Unavailable):
            return rows
        return Committed(rows) if response.status == 200 else Conflict(rows)

    async def read(self, keys: Sequence[str]) -> tuple[Row, ...] | Unavailable:
        """Return one row per key, in the order of ``keys``."""
        rows = await self._fetch("read", {"keys": list(keys)})
        if not isinstance(rows, Unavailable) and len(rows) != len(keys):
            return Unavailable("response does not have one row per key")
        return rows

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Return rows whose keys start with ``prefix``, in key order."""
        request = {"prefix": prefix, "after": after, "limit": limit}
        return await self._fetch("scan", request)

    async def _fetch(
        self, operation: str, request: object
    ) -> tuple[Row, ...] | Unavailable:
        response = await self._call(operation, request)
        if isinstance(response, Unavailable):
            return response
        if response.status != 200:
            return Unavailable(f"status {response.status}")
        return _decode_rows(response)

    async def _call(
        self, operation: str, request: object
    ) -> Response | Unavailable:
        body = msgspec.json.encode(request)
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
            # A response lost after a write was applied looks the same as a
            # request lost before that. Only a request that was never sent is
            # reported as not applied; after other failures, callers read
            # the rows to find out.
            applied = None if error.sent else False
            return Unavailable(str(error), applied)


def _decode_rows(response: Response) -> tuple[Row, ...] | Unavailable:
    try:
        decoded = msgspec.json.decode(response.body, type=RowsObject)
    except UNREADABLE as error:
        log_unreadable("store", "answer", error)
        return Unavailable(f"unreadable reply: {error}")
    return tuple(
        Row(row["key"], row["version"], row["value"])
        for row in decoded["rows"]
    )
