"""Stand-in for the metadata store: rows, transactions and watch feeds."""

import asyncio
import base64
from typing import Any, Literal, NamedTuple
from urllib.parse import parse_qsl

import msgspec

from lagoonpost.http.message import (
    Headers,
    Request,
    Response,
    make_json_response,
)
from lagoonpost.http.responder import Responder

Outage = Literal["none", "busy", "silent", "reset", "lost"]
"""Outages: 503 answers, no answers, closed connections, or writes that are
applied without an answer."""
RowId = tuple[str, str, str]
"""Table, partition and key of a row."""
MAX_SNAPSHOTS = 500
"""Snapshots kept for `RowStore.roll_back`, one per transaction."""


class StoredRow(NamedTuple):
    """A row; ``value`` is None if it was deleted."""

    version: int
    value: str | None


class RowStore:
    """Versioned rows in memory with snapshots of earlier states.

    Attributes:
        outage: How calls fail: "lost" applies writes without answering
            them, the others apply nothing.
        refused: Address prefixes of the hosts that the outage affects;
            empty if it affects all hosts.
        calls: Number of calls so far.
        version: Newest version.
        era: Era sent with each answer; incremented by each roll-back.
    """

    def __init__(self) -> None:
        self.outage: Outage = "none"
        self.refused: tuple[str, ...] = ()
        self.calls = 0
        self.version = 0
        self.era: int | str = 0
        self._snapshots: list[tuple[float, int, dict[RowId, StoredRow]]] = []
        self._rows: dict[RowId, StoredRow] = {}
        self._compacted = 0
        self._changed = asyncio.Condition()

    # Direct access for tests, in place of operators and runners

    async def put(self, table: str, key: str, value: Any) -> int:
        """Write a row, encoded as JSON unless ``value`` is bytes.

        Returns:
            The version of the write.
        """
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        await self._apply([((table, "", key), base64.b64encode(raw).decode())])
        return self.version

    async def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        await self._apply([((table, "", key), None)])

    def get(self, table: str, key: str) -> Any:
        """Return a row's decoded value, or None if there is no row."""
        row = self._rows.get((table, "", key))
        if row is None or row.value is None:
            return None
        return msgspec.json.decode(base64.b64decode(row.value))

    def list_keys(self, table: str) -> list[str]:
        """Return the keys of a table's existing rows."""
        return [
            row_id[2]
            for row_id, row in self._rows.items()
            if row_id[0] == table and row.value is not None
        ]

    def compact_history(self) -> None:
        """Drop the history; feeds from older versions are answered 410."""
        self._compacted = self.version

    async def roll_back(self, seconds: float) -> None:
        """Restore the state of some seconds ago, as from a backup.

        Later writes are lost and their versions are assigned again. Feeds
        from a version newer than the backup are answered 410.
        """
        restore_at = read_seconds() - seconds
        async with self._changed:
            kept = [s for s in self._snapshots if s[0] <= restore_at]
            self.version, rows = kept[-1][1:] if kept else (0, {})
            self._rows = dict(rows)
            self._snapshots = kept
            self.era = int(self.era) + 1
            self._changed.notify_all()

    # Calls

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one call; a return without an answer disconnects."""
        self.calls += 1
        outage = self._find_outage(request)
        if outage == "silent":
            await asyncio.sleep(3600)
        if outage == "reset":
            return
        if outage == "busy":
            await responder.send(Response(503))
            return
        answer = await self._answer(request)
        if outage == "lost" and request.method == "POST":
            return
        await responder.send(answer)

    def _find_outage(self, request: Request) -> Outage:
        if self.refused and not request.peer.startswith(self.refused):
            return "none"
        return self.outage

    async def _answer(self, request: Request) -> Response:
        query = dict(parse_qsl(request.query))
        if request.path == "/v1/rows-tx":
            return await self._transact(msgspec.json.decode(request.body))
        if request.path == "/v1/rows-get":
            return self._read(query)
        if request.path == "/v1/rows-feed":
            return await self._feed(query)
        return Response(404)

    async def _transact(self, call: dict[str, Any]) -> Response:
        expected = [
            (_find_row_id(row), row["ver"]) for row in call["expected_rev"]
        ]
        current = [self._version_of(row_id) for row_id, _ in expected]
        if current != [version for _, version in expected]:
            rows = [
                self._show(row_id)
                for row_id, _ in expected
                if self._version_of(row_id)
            ]
            return self._reply(412, {"rows": rows})
        changes = [(_find_row_id(row), row["value"]) for row in call["writes"]]
        changes += [(_find_row_id(row), None) for row in call["deletes"]]
        await self._apply(changes)
        return self._reply(200, {})

    def _read(self, query: dict[str, str]) -> Response:
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to", "\U0010ffff")
        limit = int(query.get("limit", 500))
        row_ids = sorted(
            row_id
            for row_id, row in self._rows.items()
            if row_id[:2] == (table, part)
            and first <= row_id[2] < last
            and row.value is not None
        )
        rows = [self._show(row_id) for row_id in row_ids[:limit]]
        more = len(row_ids) > limit
        return self._reply(200, {"rows": rows, "has_more": more})

    async def _feed(self, query: dict[str, str]) -> Response:
        table, after = query["table"], int(query["after"])
        if not self._compacted <= after <= self.version:
            return Response(410, self._name_era())
        era = self.era
        wait = int(query.get("wait_ms", 0)) / 1000
        async with self._changed:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait_for(
                        lambda: (
                            self.era != era
                            or bool(self._find_changed(table, after))
                        )
                    )
            except TimeoutError:
                pass
        if after < self._compacted or era != self.era:
            return Response(410, self._name_era())
        rows = [
            self._show(row_id) for row_id in self._find_changed(table, after)
        ]
        return self._reply(200, {"rows": rows})

    def _find_changed(self, table: str, after: int) -> list[RowId]:
        changed = [
            (row.version, row_id)
            for row_id, row in self._rows.items()
            if row_id[0] == table and row.version > after
        ]
        return [row_id for _, row_id in sorted(changed)]

    async def _apply(self, changes: list[tuple[RowId, str | None]]) -> None:
        async with self._changed:
            self.version += 1
            for row_id, value in changes:
                self._rows[row_id] = StoredRow(self.version, value)
            self._snapshots.append(
                (read_seconds(), self.version, dict(self._rows))
            )
            del self._snapshots[:-MAX_SNAPSHOTS]
            self._changed.notify_all()

    def _version_of(self, row_id: RowId) -> int:
        row = self._rows.get(row_id)
        return row.version if row and row.value is not None else 0

    def _show(self, row_id: RowId) -> dict[str, Any]:
        table, part, key = row_id
        version, value = self._rows[row_id]
        row = {"table": table, "part": part, "key": key, "ver": version}
        return row | ({"deleted": True} if value is None else {"value": value})

    def _reply(self, status: int, value: dict[str, Any]) -> Response:
        whole = {
            **value,
            "ver": self.version,
            "now_ms": int(read_seconds() * 1000),
        }
        return make_json_response(status, whole, self._name_era())

    def _name_era(self) -> Headers:
        return (("store-era", str(self.era)),)


def read_seconds() -> float:
    """Return the time of the store's monotonic clock."""
    return asyncio.get_running_loop().time()


def _find_row_id(row: dict[str, Any]) -> RowId:
    return str(row["table"]), str(row.get("part", "")), str(row["key"])
