"""Client of the platform's metadata store: transactions, reads and feeds."""

import base64
from collections.abc import Sequence
from typing import Annotated, Any, NamedTuple
from urllib.parse import urlencode

import msgspec

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Response
from lagoonpost.store.clock import RemoteClock
from lagoonpost.store.era import EraTracker
from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Row,
    Unavailable,
    Write,
    make_row,
    sort_rows,
)
from lagoonpost.tables import stamp
from lagoonpost.tables.control_traffic import ControlTraffic
from lagoonpost.tables.decoding import UNREADABLE
from lagoonpost.unreadable import log_unreadable

# All rows of lagoonpost are in one table; the key prefix names their kind.
OWN_TABLE = "lagoonpost"
CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
ENDPOINT_TABLE = "servers"
STATUS_TABLE = "status"
ERA_HEADER = "store-era"
STORE_TIMEOUT_SECONDS = 1.0
"""Timeout of a call: 250 times the store's usual response time."""
FEED_TIMEOUT_MARGIN_SECONDS = 1.0
"""Timeout of a feed call beyond its requested long-poll duration."""
PAGE_ROWS = 500
"""Maximum number of rows that the store returns in one response."""


class FeedRow(NamedTuple):
    """A row of a table or its feed; ``value`` is None if it was deleted.

    ``version`` is a stamp, made of era and row version.
    """

    key: str
    version: int
    value: bytes | None


class Page(NamedTuple):
    """Rows, and the stamp up to which they are complete."""

    rows: tuple[FeedRow, ...]
    version: int


class HistoryLost(NamedTuple):
    """The feed no longer contains the changes since the given version."""


_Version = Annotated[int, msgspec.Meta(ge=0, lt=1 << stamp.VERSION_BITS)]


class _WireRow(msgspec.Struct):
    key: str
    ver: _Version
    value: str | None = None
    deleted: bool = False
    part: str = ""


class _WireRows(msgspec.Struct):
    rows: list[_WireRow] = []
    ver: _Version = 0
    now_ms: int | None = None
    has_more: bool = False


class StoreReply(NamedTuple):
    """Response of the store with its rows, if any, and its era."""

    status: int
    page: _WireRows
    era: int


_decode_rows = msgspec.json.Decoder(_WireRows).decode


class PlatformStore:
    """Client for the rows of lagoonpost and the tables of other writers.

    Args:
        client: HTTP client.
        address: Address of the store.
        traffic: Counts messages and bytes by the kind of rows.
    """

    def __init__(
        self,
        client: Client,
        address: Address,
        traffic: ControlTraffic | None = None,
    ) -> None:
        self._client = client
        self._address = address
        self._traffic = traffic or ControlTraffic()
        self.clock = RemoteClock()
        self.eras = EraTracker()

    def _decode(self, response: Response) -> _WireRows:
        if response.status not in (200, 412):
            return _WireRows()
        page = _decode_rows(response.body)
        if page.now_ms is not None:
            self.clock.note(page.now_ms / 1000)
        return page

    # Rows of lagoonpost

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflict | Unavailable:
        """Apply all ``writes`` atomically if all ``conditions`` hold."""
        outcome = await self._transact(
            [{**_place(each.key), "ver": each.version} for each in conditions],
            [
                {**_place(each.key), "value": _encode(each.value)}
                for each in writes
                if each.value is not None
            ],
            [_place(each.key) for each in writes if each.value is None],
        )
        match outcome:
            case Conflict(rows):
                return Conflict(sort_rows(conditions, rows))
            case Committed((row, *_)):
                return Committed(
                    tuple(
                        Row(each.key, row.version, each.value)
                        for each in writes
                    )
                )
        return outcome

    async def _transact(
        self,
        expected: list[dict[str, Any]],
        writes: list[dict[str, str]],
        deletes: Sequence[dict[str, str]] = (),
    ) -> Committed | Conflict | Unavailable:
        """Apply a transaction; the row in `Committed` has only a version."""
        eras = {stamp.find_era(row["ver"]) for row in expected if row["ver"]}
        body = {
            "expected_rev": [
                {**row, "ver": stamp.expect_version(row["ver"], self.eras.era)}
                for row in expected
            ],
            "writes": writes,
            "deletes": deletes,
        }
        reply = await self._call(
            "POST",
            "/v1/rows-tx",
            msgspec.json.encode(body),
            purpose=_name_write([*writes, *deletes]),
        )
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == 412:
            rows = (_parse_feed_row(row, reply.era) for row in reply.page.rows)
            return Conflict(tuple(make_row(*row) for row in rows))
        if reply.status != 200:
            return Unavailable(f"status {reply.status}", applied=False)
        if any(era < reply.era for era in eras):
            return Unavailable("conditions of an earlier era", applied=None)
        return Committed(
            (Row("", stamp.make_stamp(reply.era, reply.page.ver)),)
        )

    async def read(self, keys: Sequence[str]) -> tuple[Row, ...] | Unavailable:
        """Return one row per key, in the order of ``keys``."""
        rows: list[Row] = []
        for key in keys:
            page = await self.read_table(OWN_TABLE, key, key + "\0")
            if isinstance(page, Unavailable):
                return page
            found = [make_row(*row) for row in page.rows]
            rows.append(found[0] if found else Row(key, 0))
        return tuple(rows)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Return rows whose keys start with ``prefix``, in key order."""
        first = max(prefix, after + "\0" if after else "")
        last = prefix + "\U0010ffff"
        page = await self.read_table(OWN_TABLE, first, last)
        if isinstance(page, Unavailable):
            return page
        return tuple(make_row(*row) for row in page.rows)[:limit]

    # Status rows for operators

    async def read_status(self, key: str) -> FeedRow | Unavailable:
        """Return a status row; its version is 0 if it is absent."""
        page = await self.read_table(STATUS_TABLE, key, key + "\0")
        if isinstance(page, Unavailable):
            return page
        return page.rows[0] if page.rows else FeedRow(key, 0, None)

    async def write_status(
        self, key: str, version: int, value: dict[str, str]
    ) -> Committed | Conflict | Unavailable:
        """Write a status row if its version is still ``version``."""
        address = {"table": STATUS_TABLE, "part": "", "key": key}
        return await self._transact(
            [{**address, "ver": version}],
            [{**address, "value": _encode(value)}],
        )

    # Tables of other writers

    async def read_table(
        self, table: str, first: str = "", last: str = ""
    ) -> Page | Unavailable:
        """Return the rows with keys from ``first`` to below ``last``."""
        rows: list[FeedRow] = []
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            query.update({"from": first} if first else {})
            query.update({"to": last} if last else {})
            reply = await self._call(
                "GET",
                f"/v1/rows-get?{urlencode(query)}",
                purpose=f"read {_name_table(table, first)}",
            )
            if isinstance(reply, Unavailable):
                return reply
            if reply.status != 200:
                return Unavailable(f"status {reply.status}", applied=False)
            page = reply.page
            if rows and stamp.find_era(rows[0].version) != reply.era:
                return Unavailable("era changed mid-scan", applied=False)
            rows.extend(_parse_feed_row(row, reply.era) for row in page.rows)
            if not page.has_more or not page.rows:
                return Page(tuple(rows), stamp.make_stamp(reply.era, page.ver))
            first = page.rows[-1].key + "\0"

    async def follow_table(
        self, table: str, after: int, wait: float
    ) -> Page | HistoryLost | Unavailable:
        """Return the rows that changed after a version (long poll).

        Args:
            table: Name of the table.
            after: Stamp up to which the caller has all changes.
            wait: Seconds for which the store may delay the response while
                there is no change.
        """
        era = stamp.find_era(after)
        if era != self.eras.era:
            return HistoryLost()
        query = urlencode(
            {
                "table": table,
                "after": stamp.find_version(after),
                "wait_ms": int(wait * 1000),
            }
        )
        reply = await self._call(
            "GET",
            f"/v1/rows-feed?{query}",
            timeout=wait + FEED_TIMEOUT_MARGIN_SECONDS,
            purpose=f"follow {_name_table(table)}",
        )
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == 410:
            return HistoryLost()
        if reply.status != 200:
            return Unavailable(f"status {reply.status}", applied=False)
        if reply.era != era:
            # Changes up to this version in the other era are missing.
            return HistoryLost()
        rows = tuple(_parse_feed_row(row, era) for row in reply.page.rows)
        return Page(rows, stamp.make_stamp(era, reply.page.ver))

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout: float = STORE_TIMEOUT_SECONDS,
        *,
        purpose: str,
    ) -> StoreReply | Unavailable:
        self._traffic.note(purpose, "sent", len(target) + len(body))
        known = self.eras.era
        try:
            response = await self._client.call(
                self._address,
                method,
                target,
                body,
                (("content-type", "application/json"),) if body else (),
                timeout=timeout,
            )
        except CallFailedError as error:
            applied = None if error.sent else False
            return Unavailable(str(error), applied=applied)
        self._traffic.note(purpose, "received", len(response.body))
        era = self.eras.check_reply(response.header(ERA_HEADER), known)
        if era is None:
            return Unavailable("stale response from an earlier era")
        try:
            return StoreReply(response.status, self._decode(response), era)
        except UNREADABLE as error:
            log_unreadable("store", purpose, error)
            return Unavailable(f"unreadable response: {error}")


_TABLE_NAMES = {
    CONFIGURATION_TABLE: "operator",
    ENDPOINT_TABLE: "endpoints",
    STATUS_TABLE: "status",
}


def parse_evacuated_domain(key: str) -> str | None:
    """Return the failure domain of an operators' order to evacuate one."""
    prefix, _, domain = key.partition("/")
    return domain if prefix == "evacuate" else None


def _name_table(table: str, key: str = "") -> str:
    """Return the name of a kind of rows in the metrics."""
    return _TABLE_NAMES.get(table) or key.partition("/")[0]


def _name_write(places: Sequence[dict[str, str]]) -> str:
    first = places[0]
    return f"write {_name_table(first['table'], first['key'])}"


def _place(key: str) -> dict[str, str]:
    return {"table": OWN_TABLE, "part": "", "key": key}


def _encode(value: Any) -> str:
    return base64.b64encode(msgspec.json.encode(value)).decode()


def _parse_feed_row(row: _WireRow, era: int) -> FeedRow:
    version = stamp.make_stamp(era, row.ver)
    if row.deleted or row.value is None:
        return FeedRow(row.key, version, None)
    try:
        value = base64.b64decode(row.value, validate=True)
    except ValueError:
        # Other writers may store any text; the table's decoder reports it.
        value = row.value.encode()
    return FeedRow(row.key, version, value)
