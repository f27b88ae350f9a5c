"""Stand-in for the users' metadata store: rows, transactions and feeds."""

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
RowId = tuple[str, str, str]
MAX_SNAPSHOTS = 500
"""Copies that the store may come back from, one for each transaction."""


class StoredRow(NamedTuple):
    """A row, or that it was deleted (``value`` is None)."""

    version: int
    value: str | None


class RowStore:
    """Rows in memory with their history.

    Attributes:
        outage: How calls fail: "lost" carries writes out and does not
            answer, the others do nothing.
        refused: Address prefixes of hosts that are turned away, all if
            empty; for an outage that only some hosts see.
        calls: Number of calls so far.
        version: Newest version.
        era: What answers name as the era; it rises with each return.
    """

    def __init__(self) -> None:
        self.outage: Outage = "none"
        self.refused: tuple[str, ...] = ()
        self.calls = 0
        self.version = 0
        self.era: int | str = 0
        self._past: list[tuple[float, int, dict[RowId, StoredRow]]] = []
        self._rows: dict[RowId, StoredRow] = {}
        self._forgotten = 0
        self._changed = asyncio.Condition()

    # What tests do directly, as operator and runners would

    async def put(self, table: str, key: str, value: Any) -> int:
        """Write a row as JSON, or as it is if it is bytes."""
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        await self._apply([((table, "", key), base64.b64encode(raw).decode())])
        return self.version

    async def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        await self._apply([((table, "", key), None)])

    def get(self, table: str, key: str) -> Any:
        """Return a row's value; None if there is none."""
        row = self._rows.get((table, "", key))
        if row is None or row.value is None:
            return None
        return msgspec.json.decode(base64.b64decode(row.value))

    def list_keys(self, table: str) -> list[str]:
        """Return the keys of a table's rows."""
        return [
            place[2]
            for place, row in self._rows.items()
            if place[0] == table and row.value is not None
        ]

    def compact_history(self) -> None:
        """Answer feeds that began before now with the loss of history."""
        self._forgotten = self.version

    async def roll_back(self, seconds: float) -> None:
        """Come back from a copy that is some seconds old.

        What was written since is gone, its versions are given out again,
        and feeds from one that the copy does not have get no answer.
        """
        oldest = read_seconds() - seconds
        async with self._changed:
            kept = [each for each in self._past if each[0] <= oldest]
            self.version, rows = kept[-1][1:] if kept else (0, {})
            self._rows = dict(rows)
            self._past = kept
            self.era = int(self.era) + 1
            self._changed.notify_all()

    # Calls

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one call; return without answering to cut it off."""
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
        expected = [(_place(row), row["ver"]) for row in call["expected_rev"]]
        held = [self._version_of(place) for place, _ in expected]
        if held != [version for _, version in expected]:
            rows = [
                self._show(place)
                for place, _ in expected
                if self._version_of(place)
            ]
            return self._reply(412, {"rows": rows})
        changes = [(_place(row), row["value"]) for row in call["writes"]]
        changes += [(_place(row), None) for row in call["deletes"]]
        await self._apply(changes)
        return self._reply(200, {})

    def _read(self, query: dict[str, str]) -> Response:
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to", "\U0010ffff")
        limit = int(query.get("limit", 500))
        places = sorted(
            place
            for place, row in self._rows.items()
            if place[:2] == (table, part)
            and first <= place[2] < last
            and row.value is not None
        )
        rows = [self._show(place) for place in places[:limit]]
        more = len(places) > limit
        return self._reply(200, {"rows": rows, "has_more": more})

    async def _feed(self, query: dict[str, str]) -> Response:
        table, after = query["table"], int(query["after"])
        if not self._forgotten <= after <= self.version:
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
        if after < self._forgotten or era != self.era:
            return Response(410, self._name_era())
        rows = [
            self._show(place) for place in self._find_changed(table, after)
        ]
        return self._reply(200, {"rows": rows})

    def _find_changed(self, table: str, after: int) -> list[RowId]:
        changed = [
            (row.version, place)
            for place, row in self._rows.items()
            if place[0] == table and row.version > after
        ]
        return [place for _, place in sorted(changed)]

    async def _apply(self, changes: list[tuple[RowId, str | None]]) -> None:
        async with self._changed:
            self.version += 1
            for place, value in changes:
                self._rows[place] = StoredRow(self.version, value)
            self._past.append((read_seconds(), self.version, dict(self._rows)))
            del self._past[:-MAX_SNAPSHOTS]
            self._changed.notify_all()

    def _version_of(self, place: RowId) -> int:
        row = self._rows.get(place)
        return row.version if row and row.value is not None else 0

    def _show(self, place: RowId) -> dict[str, Any]:
        table, part, key = place
        version, value = self._rows[place]
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
    """Return the store's steady clock."""
    return asyncio.get_running_loop().time()


def _place(row: dict[str, Any]) -> RowId:
    return str(row["table"]), str(row.get("part", "")), str(row["key"])
