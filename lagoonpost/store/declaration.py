"""Row format of the tickets and declared objects, and functions to read it."""

from collections.abc import Sequence
from typing import Any, NamedTuple, TypedDict

from lagoonpost.store.store import Row, Store, Unavailable
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.tables.ticket import (
    ObjectRecord,
    Snapshot,
    TicketRecord,
)
from lagoonpost.unreadable import read_row

REVISION_KEY = "revision"
OBJECT_PREFIX = "object/"
TICKET_PREFIX = "ticket/"
RECENT_TICKETS = 64
"""Maximum number of ticket numbers kept in the revision row.

A watcher that lags by at most this many revisions reads only the missing
tickets instead of all objects. At 4,700 tickets a day this covers 20 minutes.
"""
SCAN_PAGE_ROWS = 1000


class ReadConflict(NamedTuple):
    """A ticket was committed while the declaration was being read."""


class Head(NamedTuple):
    """Content of the revision row.

    Attributes:
        revision: Number of accepted tickets.
        recent: Numbers of the latest accepted tickets, newest first, at most
            ``RECENT_TICKETS``.
        version: Row version, for use in write conditions.
    """

    revision: int
    recent: tuple[int, ...]
    version: int


class ConsistentRead(NamedTuple):
    """Result of a consistent read of all declared objects.

    Attributes:
        head: Content of the revision row.
        snapshot: All declared objects.
        versions: Row versions by object key.
        ticket: The requested ticket, or None if it is not stored.
        unreadable: Keys of objects that are missing in the snapshot, as their
            rows can't be read.
    """

    head: Head
    snapshot: Snapshot
    versions: dict[str, int]
    ticket: TicketRecord | None
    unreadable: tuple[str, ...] = ()


class _HeadValue(TypedDict):
    revision: int
    recent: list[int]


class _ObjectValue(TypedDict):
    ticket: int
    state: dict[str, Any]


class _TicketValue(TypedDict):
    number: int
    revision: int
    digest: str
    reason: str
    operator: str
    accepted: float
    objects: dict[str, dict[str, Any]]


def make_ticket_key(number: int) -> str:
    """Return the row key of a ticket."""
    return f"{TICKET_PREFIX}{number:08d}"


def parse_head(row: Row) -> Head | Unavailable:
    """Parse the revision row; an absent row means revision 0.

    Without the row nothing tells whether what is read is consistent or new, so
    the store counts as unavailable if it can't be read.
    """
    if row.version == 0:
        return Head(0, (), 0)
    value = read_row(row.key, row.value, _HeadValue)
    if isinstance(value, Unreadable):
        return _refuse(row, value)
    return Head(value["revision"], tuple(value["recent"]), row.version)


def _refuse(row: Row, value: Unreadable) -> Unavailable:
    detail = f"row {row.key!r} can't be read: {value.reason}"
    return Unavailable(detail, applied=False)


def format_next_head(head: Head, number: int) -> dict[str, Any]:
    """Return the revision row's value after ticket ``number`` is accepted."""
    recent = [number, *head.recent][:RECENT_TICKETS]
    return {"revision": head.revision + 1, "recent": recent}


def parse_ticket_row(row: Row) -> TicketRecord | Unavailable | None:
    """Parse a ticket row.

    Returns:
        The ticket; None if the row is absent; `Unavailable` if it can't be
        read, as the ticket may be any that was accepted.
    """
    if row.version == 0:
        return None
    value = read_row(row.key, row.value, _TicketValue)
    if isinstance(value, Unreadable):
        return _refuse(row, value)
    return parse_record(value)


def parse_record(value: Any) -> TicketRecord:
    """Build a ticket record from the built-in types used in rows and RPCs."""
    fields = {name: value[name] for name in TicketRecord._fields}
    return TicketRecord(**fields)


def format_record(record: TicketRecord) -> dict[str, Any]:
    """Convert a ticket record to built-in types."""
    return record._asdict()


def format_snapshot(snapshot: Snapshot) -> dict[str, Any]:
    """Convert a snapshot to built-in types, to send it to peers."""
    objects = {
        key: [record.ticket, record.state]
        for key, record in snapshot.objects.items()
    }
    return {"revision": snapshot.revision, "objects": objects}


def parse_snapshot(value: Any) -> Snapshot:
    """Build a snapshot from built-in types."""
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
    """Read tickets by number; absent tickets are returned as None."""
    rows = await store.read([make_ticket_key(number) for number in numbers])
    if isinstance(rows, Unavailable):
        return rows
    tickets: list[TicketRecord | None] = []
    for row in rows:
        ticket = parse_ticket_row(row)
        if isinstance(ticket, Unavailable):
            return ticket
        tickets.append(ticket)
    return tickets


async def read_declaration(
    store: Store, number: int = 0
) -> ConsistentRead | ReadConflict | Unavailable:
    """Read all objects and ticket ``number`` consistently.

    A scan takes several calls, and a ticket may commit between them. The scan
    would then return only some of the ticket's objects, and the gateway would
    refuse a valid later ticket. Every ticket changes the revision row, so an
    unchanged row version before and after the scan proves that the scan is
    consistent.

    Args:
        store: Table service.
        number: Number of a ticket to read along with the objects.

    Returns:
        The objects, `ReadConflict` if a ticket was committed during the scan,
        or `Unavailable` if the store does not answer.
    """
    head = await read_head(store)
    if isinstance(head, Unavailable):
        return head
    rows = await _scan_objects(store)
    if isinstance(rows, Unavailable):
        return rows
    final_rows = await store.read([REVISION_KEY, make_ticket_key(number)])
    if isinstance(final_rows, Unavailable):
        return final_rows
    if final_rows[0].version != head.version:
        return ReadConflict()
    ticket = parse_ticket_row(final_rows[1])
    if isinstance(ticket, Unavailable):
        return ticket
    objects: dict[str, ObjectRecord] = {}
    unreadable = []
    for row in rows:
        key = row.key.removeprefix(OBJECT_PREFIX)
        value = read_row(row.key, row.value, _ObjectValue)
        if isinstance(value, Unreadable):
            unreadable.append(key)
        else:
            objects[key] = ObjectRecord(value["ticket"], value["state"])
    versions = {
        row.key.removeprefix(OBJECT_PREFIX): row.version for row in rows
    }
    snapshot = Snapshot(head.revision, objects)
    return ConsistentRead(head, snapshot, versions, ticket, tuple(unreadable))


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
