"""The rows in which the platform's tables hold tickets and objects."""

from collections.abc import Sequence
from typing import Any, NamedTuple

from lagoonpost.store.store import Row, Store, Unavailable
from lagoonpost.tables.ticket import (
    ObjectRecord,
    Snapshot,
    TicketRecord,
)

REVISION_KEY = "revision"
OBJECT_PREFIX = "object/"
TICKET_PREFIX = "ticket/"
RECENT_TICKETS = 64
"""Ticket numbers kept in the revision row.

A watcher that is at most this many revisions behind reads just those
tickets: at 4,700 a day that is 20 minutes.
"""
SCAN_PAGE_ROWS = 1000


class ReadConflict(NamedTuple):
    """The declaration changed while it was being read."""


class Head(NamedTuple):
    """The revision row.

    Attributes:
        revision: Number of tickets accepted so far.
        recent: Their numbers, newest first, at most ``RECENT``.
        version: Version of the row, for conditions.
    """

    revision: int
    recent: tuple[int, ...]
    version: int


class ConsistentRead(NamedTuple):
    """One consistent reading of all objects.

    Attributes:
        head: The revision row.
        snapshot: All objects.
        versions: Versions of the object rows by object key.
        held: The ticket asked for, if it is stored.
    """

    head: Head
    snapshot: Snapshot
    versions: dict[str, int]
    ticket: TicketRecord | None


def make_ticket_key(number: int) -> str:
    """Return the row key of a ticket."""
    return f"{TICKET_PREFIX}{number:08d}"


def parse_head(row: Row) -> Head:
    """Read the revision row; absent means that nothing is declared."""
    if row.version == 0:
        return Head(0, (), 0)
    recent = tuple(row.value["recent"])
    return Head(row.value["revision"], recent, row.version)


def format_next_head(head: Head, number: int) -> dict[str, Any]:
    """Return the value that follows ``head`` once ``number`` is accepted."""
    recent = [number, *head.recent][:RECENT_TICKETS]
    return {"revision": head.revision + 1, "recent": recent}


def parse_ticket_row(row: Row) -> TicketRecord | None:
    """Read a ticket row; None if it is absent."""
    return None if row.version == 0 else parse_record(row.value)


def parse_record(value: Any) -> TicketRecord:
    """Read a ticket record from plain data, as rows and peers have it."""
    fields = {name: value[name] for name in TicketRecord._fields}
    return TicketRecord(**fields)


def format_record(record: TicketRecord) -> dict[str, Any]:
    """Return ``record`` as plain data."""
    return record._asdict()


def format_snapshot(snapshot: Snapshot) -> dict[str, Any]:
    """Return ``snapshot`` as plain data, for peers."""
    objects = {
        key: [record.ticket, record.state]
        for key, record in snapshot.objects.items()
    }
    return {"revision": snapshot.revision, "objects": objects}


def parse_snapshot(value: Any) -> Snapshot:
    """Read a snapshot from plain data."""
    objects = {
        key: ObjectRecord(ticket, state)
        for key, (ticket, state) in value["objects"].items()
    }
    return Snapshot(value["revision"], objects)


async def read_head(store: Store) -> Head | Unavailable:
    """Read the revision row."""
    rows = await store.read([REVISION_KEY])
    return rows if isinstance(rows, Unavailable) else parse_head(rows[0])


async def read_tickets(
    store: Store, numbers: Sequence[int]
) -> list[TicketRecord | None] | Unavailable:
    """Read tickets by number; None for each that is absent."""
    rows = await store.read([make_ticket_key(number) for number in numbers])
    if isinstance(rows, Unavailable):
        return rows
    return [parse_ticket_row(row) for row in rows]


async def read_declaration(
    store: Store, number: int = 0
) -> ConsistentRead | ReadConflict | Unavailable:
    """Read all objects, and ticket ``number``, as of one moment.

    A scan takes several calls, and a ticket may commit between them. Half
    of its objects would then be seen without the other half, and a ticket
    that fits what is declared would be refused. Every ticket changes the
    revision row, so equal rows before and after the scan prove that nothing
    changed between.
    """
    head = await read_head(store)
    if isinstance(head, Unavailable):
        return head
    rows = await _scan_objects(store)
    if isinstance(rows, Unavailable):
        return rows
    ends = await store.read([REVISION_KEY, make_ticket_key(number)])
    if isinstance(ends, Unavailable):
        return ends
    if ends[0].version != head.version:
        return ReadConflict()
    objects, versions = {}, {}
    for row in rows:
        key = row.key.removeprefix(OBJECT_PREFIX)
        objects[key] = ObjectRecord(row.value["ticket"], row.value["state"])
        versions[key] = row.version
    snapshot = Snapshot(head.revision, objects)
    return ConsistentRead(head, snapshot, versions, parse_ticket_row(ends[1]))


async def _scan_objects(store: Store) -> list[Row] | Unavailable:
    rows: list[Row] = []
    while True:
        after = rows[-1].key if rows else ""
        page = await store.scan(OBJECT_PREFIX, after, SCAN_PAGE_ROWS)
        if isinstance(page, Unavailable):
            return page
        rows += page
        if len(page) < SCAN_PAGE_ROWS:
            return rows
