"""Takes change tickets: one transaction each, settled by reading back."""

import asyncio
import hashlib
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import eliot
import msgspec

from lagoonpost.store.declaration import (
    OBJECT_PREFIX,
    REVISION_KEY,
    TICKET_PREFIX,
    ConsistentRead,
    ReadConflict,
    format_next_head,
    format_record,
    make_ticket_key,
    parse_ticket_row,
    read_declaration,
    read_tickets,
)
from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Store,
    Unavailable,
    Write,
)
from lagoonpost.systems.ticket import Committable, evaluate_ticket
from lagoonpost.tables.ticket import (
    Accepted,
    Refused,
    Ticket,
    TicketOutcome,
    TicketRecord,
    Unsettled,
)

WROTE_NOTHING = "this hand-in wrote nothing; another one may have"
"""Said with the cause where no write of this hand-in can take effect. It
can't be told here whether the ticket is under way at another gateway."""


class RetryPolicy(NamedTuple):
    """How long to try before the operator is told to come back.

    Attributes:
        tries: Readings and writes of the store. Racing operators cost one
            another a try each; more than this many at once is no habit.
        pause: Seconds before the second try; doubled for each later one,
            so that all tries together wait 1.5 s by default.
    """

    tries: int = 5
    backoff_seconds: float = 0.1


class TicketStore:
    """Takes tickets on one gateway; any number may work side by side."""

    def __init__(
        self,
        store: Store,
        retry_policy: RetryPolicy | None = None,
        clock: Callable[[], float] = time.time,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._patience = retry_policy or RetryPolicy()
        self._clock = clock
        self._sleep = sleep

    async def submit(self, ticket: Ticket, operator: str) -> TicketOutcome:
        """Commit ``ticket`` or say why not.

        The outcome is final but for `Unsettled`: then the same ticket,
        handed in again at any gateway, gets the one answer.
        """
        outcome = await self._settle(ticket, operator)
        eliot.log_message(
            message_type="lagoonpost:gateway:ticket",
            number=ticket.number,
            operator=operator,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", ""),
            detail=getattr(outcome, "detail", ""),
        )
        return outcome

    async def find(self, number: int) -> TicketRecord | Unavailable | None:
        """Return an accepted ticket."""
        found = await read_tickets(self._store, [number])
        return found if isinstance(found, Unavailable) else found[0]

    async def list_tickets(
        self, after: int, limit: int
    ) -> list[TicketRecord] | Unavailable:
        """Return accepted tickets with numbers above ``after``, in order."""
        rows = await self._store.scan(
            TICKET_PREFIX, make_ticket_key(after), limit
        )
        if isinstance(rows, Unavailable):
            return rows
        records = map(parse_ticket_row, rows)
        return [record for record in records if record is not None]

    async def _settle(self, ticket: Ticket, operator: str) -> TicketOutcome:
        digest = compute_digest(ticket)
        doubt = _Doubt()
        detail = ""
        for turn in range(self._patience.tries):
            if turn:
                await self._sleep(
                    self._patience.backoff_seconds * 2 ** (turn - 1)
                )
            reading = await read_declaration(self._store, ticket.number)
            if isinstance(reading, ReadConflict):
                detail = "other tickets were accepted meanwhile"
                continue
            if isinstance(reading, Unavailable):
                detail = reading.detail
                continue
            doubt.clear(reading.head.version)
            verdict = evaluate_ticket(
                ticket, digest, reading.snapshot, reading.ticket
            )
            if isinstance(verdict, Accepted | Refused):
                return verdict
            detail = await self._commit(
                ticket, digest, operator, reading, verdict, doubt
            )
        if not doubt.stands:
            detail = f"{detail}; {WROTE_NOTHING}"
        return Unsettled(detail)

    async def _commit(
        self,
        ticket: Ticket,
        digest: str,
        operator: str,
        reading: ConsistentRead,
        verdict: Committable,
        doubt: "_Doubt",
    ) -> str:
        """Write once; the next reading tells whether it took effect."""
        record = TicketRecord(
            number=ticket.number,
            revision=verdict.snapshot.revision,
            digest=digest,
            reason=ticket.reason,
            operator=operator,
            accepted=self._clock(),
            objects=ticket.objects,
        )
        outcome = await self._store.transact(
            _list_conditions(ticket, reading), _list_writes(record, reading)
        )
        match outcome:
            case Committed():
                doubt.raise_at(reading.head.version)
                return "the ticket was written but not yet read back"
            case Conflict():
                return "other tickets were accepted meanwhile"
            case Unavailable(detail, applied):
                if applied is None:
                    doubt.raise_at(reading.head.version)
                return detail


class _Doubt:
    """Whether a write of one hand-in may still take effect.

    The platform may lose a reply after the write took effect, or deliver a
    write late. It shows as an absent ticket that is accepted a moment after
    the operator was told that nothing was written. Every write is conditional
    on the revision row's version, so that once this has grown no earlier
    write can take effect any more.
    """

    def __init__(self) -> None:
        self._version: int | None = None

    @property
    def stands(self) -> bool:
        return self._version is not None

    def raise_at(self, version: int) -> None:
        self._version = version

    def clear(self, version: int) -> None:
        if self._version is not None and version > self._version:
            self._version = None


def compute_digest(ticket: Ticket) -> str:
    """Return the SHA-256 of a ticket's content, in hex."""
    content = msgspec.json.encode(tuple(ticket), order="deterministic")
    return hashlib.sha256(content).hexdigest()


def _list_conditions(
    ticket: Ticket, reading: ConsistentRead
) -> list[Condition]:
    # The revision row alone would do. The ticket and its objects are named
    # as well, so that a row repaired by hand is not overwritten unseen.
    return [
        Condition(REVISION_KEY, reading.head.version),
        Condition(make_ticket_key(ticket.number), 0),
        *(
            Condition(OBJECT_PREFIX + key, reading.versions.get(key, 0))
            for key in ticket.objects
        ),
    ]


def _list_writes(record: TicketRecord, reading: ConsistentRead) -> list[Write]:
    return [
        Write(REVISION_KEY, format_next_head(reading.head, record.number)),
        Write(make_ticket_key(record.number), format_record(record)),
        *(
            Write(
                OBJECT_PREFIX + key,
                {"ticket": record.number, "state": state},
            )
            for key, state in record.objects.items()
        ),
    ]
