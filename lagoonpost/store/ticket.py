"""Commits change tickets in one transaction each and reads them back."""

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

WROTE_NOTHING = "this submission wrote nothing; another one may have"
"""Added to the failure detail if no write of this submission can take effect.

The same ticket may still be in flight at another gateway.
"""


class RetryPolicy(NamedTuple):
    """Retries before a submission is reported as unsettled.

    Attributes:
        tries: Maximum number of attempts, each a read and a write.
            Concurrent submissions cost each other one attempt each; more
            concurrent operators than this are unusual.
        backoff_seconds: Delay before the second attempt in seconds; doubled
            for each later attempt, 1.5 s in total by default.
    """

    tries: int = 5
    backoff_seconds: float = 0.1


class TicketStore:
    """Commits and reads tickets; many gateways may do so concurrently.

    Args:
        store: Table service.
        retry_policy: Number of attempts and the delay between them.
        clock: Returns the time of acceptance in seconds since the Unix
            epoch.
        sleep: Waits for a number of seconds.
    """

    def __init__(
        self,
        store: Store,
        retry_policy: RetryPolicy | None = None,
        clock: Callable[[], float] = time.time,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._retry_policy = retry_policy or RetryPolicy()
        self._clock = clock
        self._sleep = sleep

    async def submit(self, ticket: Ticket, operator: str) -> TicketOutcome:
        """Commit ``ticket`` or return the reason why not.

        Every outcome but `Unsettled` is final. After `Unsettled`, submitting
        the same ticket again at any gateway returns the final outcome.
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
        """Return the accepted ticket with this number, or None."""
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
        return [each for each in records if isinstance(each, TicketRecord)]

    async def _settle(self, ticket: Ticket, operator: str) -> TicketOutcome:
        digest = compute_digest(ticket)
        in_doubt = _InDoubtWrite()
        detail = ""
        for attempt in range(self._retry_policy.tries):
            if attempt:
                await self._sleep(
                    self._retry_policy.backoff_seconds * 2 ** (attempt - 1)
                )
            reading = await read_declaration(self._store, ticket.number)
            if isinstance(reading, ReadConflict):
                detail = "other tickets were accepted concurrently"
                continue
            if isinstance(reading, Unavailable):
                detail = reading.detail
                continue
            in_doubt.resolve(reading.head.version)
            verdict = evaluate_ticket(
                ticket, digest, reading.snapshot, reading.ticket
            )
            if isinstance(verdict, Accepted | Refused):
                return verdict
            detail = await self._commit(
                ticket, digest, operator, reading, verdict, in_doubt
            )
        if not in_doubt.exists:
            detail = f"{detail}; {WROTE_NOTHING}"
        return Unsettled(detail)

    async def _commit(
        self,
        ticket: Ticket,
        digest: str,
        operator: str,
        reading: ConsistentRead,
        verdict: Committable,
        in_doubt: "_InDoubtWrite",
    ) -> str:
        """Write the ticket once and return a detail in case tries run out.

        The next read determines whether the write took effect.
        """
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
                in_doubt.mark(reading.head.version)
                return "the ticket was written but not yet read back"
            case Conflict():
                return "other tickets were accepted concurrently"
            case Unavailable(detail, applied):
                if applied is None:
                    in_doubt.mark(reading.head.version)
                return detail


class _InDoubtWrite:
    """Tracks whether a write of one submission may still take effect.

    The platform may lose the response to an applied write, or apply a write
    late. Without this check, an operator may be told that nothing was written
    although the ticket is accepted a moment later. Every write is conditional
    on the version of the revision row, so no earlier write can take effect
    once that version has grown.
    """

    def __init__(self) -> None:
        self._version: int | None = None

    @property
    def exists(self) -> bool:
        return self._version is not None

    def mark(self, version: int) -> None:
        self._version = version

    def resolve(self, version: int) -> None:
        if self._version is not None and version > self._version:
            self._version = None


def compute_digest(ticket: Ticket) -> str:
    """Return the SHA-256 of a ticket's content, in hex."""
    content = msgspec.json.encode(tuple(ticket), order="deterministic")
    return hashlib.sha256(content).hexdigest()


def _list_conditions(
    ticket: Ticket, reading: ConsistentRead
) -> list[Condition]:
    # The condition on the revision row would suffice. Conditions on the ticket
    # and its objects ensure that rows repaired by hand are not overwritten.
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
