"""HTTP interface for operators: tickets and the declaration in force."""

import time
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import parse_qs

import msgspec

from lagoonpost.declarations.content import MAX_TICKET_NUMBER, parse_ticket
from lagoonpost.http.message import (
    Headers,
    Request,
    Response,
    make_json_response,
)
from lagoonpost.store.declaration import format_record
from lagoonpost.store.store import Unavailable
from lagoonpost.store.ticket import TicketStore
from lagoonpost.store.watch import DeclarationWatch
from lagoonpost.systems.ticket import find_unreachable_deadlines
from lagoonpost.tables.decoding import UNREADABLE
from lagoonpost.tables.ticket import (
    Accepted,
    FieldError,
    InvalidTicket,
    NotRun,
    Refused,
    TicketOutcome,
    TicketRecord,
    Unsettled,
)

TICKETS_PATH = "/v1/tickets"
DECLARATION_PATH = "/v1/declaration"
RETRY_SECONDS = 2
"""Retry delay after a store failure: covers one poll and one retry here."""
MAX_PAGE_SIZE = 100
_STATUS = {
    "number_taken": 409,
    "stale": 409,
    "overlaps_move": 409,
    "invalid": 422,
}


class TicketHandlers:
    """Handles requests of operators, whose key was checked before.

    Args:
        intake: Commits tickets to the store.
        watch: Holds the declaration in force on this gateway.
        publish: Announces an accepted ticket to peers without waiting.
        clock: Returns the time in seconds since the epoch.
    """

    def __init__(
        self,
        intake: TicketStore,
        watch: DeclarationWatch,
        publish: Callable[[TicketRecord], None],
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._intake = intake
        self._watch = watch
        self._publish = publish
        self._clock = clock

    async def handle(self, request: Request, operator: str) -> Response:
        """Answer a request for a ticket or declaration path."""
        if request.path == DECLARATION_PATH and request.method == "GET":
            return self.show_declaration(request)
        if request.path == TICKETS_PATH and request.method == "POST":
            return await self.submit(request, operator)
        if request.path == TICKETS_PATH and request.method == "GET":
            return await self.show_history(request)
        number = request.path.removeprefix(TICKETS_PATH + "/")
        if request.method == "GET" and _is_number(number):
            return await self.show_ticket(int(number))
        return _make_problem(404, "not_found", "no such resource", "not_run")

    async def submit(self, request: Request, operator: str) -> Response:
        """POST /v1/tickets: submit a ticket."""
        try:
            content = msgspec.json.decode(request.body)
        except UNREADABLE as error:
            return _make_problem(400, "not_json", str(error), "not_run")
        ticket = parse_ticket(content)
        if isinstance(ticket, InvalidTicket):
            invalid = Refused("invalid", "not a ticket", ticket.errors)
            return _make_response(invalid)
        outcome = await self._intake.submit(ticket, operator)
        if isinstance(outcome, Accepted):
            self._watch.apply_ticket(outcome.record)
            self._publish(outcome.record)
            near = find_unreachable_deadlines(ticket, self._clock())
            return _make_accepted(outcome.record, near)
        return _make_response(outcome)

    async def show_ticket(self, number: int) -> Response:
        """GET /v1/tickets/N: return one accepted ticket."""
        record = await self._intake.find(number)
        if isinstance(record, Unavailable):
            return _make_response(NotRun(record.detail))
        if record is None:
            detail = f"no ticket {number} was accepted"
            return _make_problem(404, "not_found", detail, "not_run")
        return make_json_response(200, format_record(record))

    async def show_history(self, request: Request) -> Response:
        """GET /v1/tickets?after=N&limit=M: list accepted tickets in order."""
        query = parse_qs(request.query)
        after = query.get("after", ["0"])[0]
        limit = query.get("limit", [str(MAX_PAGE_SIZE)])[0]
        if not _is_number(after) or not _is_number(limit):
            detail = "after and limit are whole numbers"
            return _make_problem(400, "bad_query", detail, "not_run")
        count = max(1, min(int(limit), MAX_PAGE_SIZE))
        records = await self._intake.list_tickets(int(after), count)
        if isinstance(records, Unavailable):
            return _make_response(NotRun(records.detail))
        tickets = [format_record(record) for record in records]
        return make_json_response(200, {"tickets": tickets})

    def show_declaration(self, request: Request) -> Response:
        """GET /v1/declaration: show what is in force; ?objects=1 in full."""
        snapshot = self._watch.snapshot
        body: dict[str, Any] = {
            "revision": snapshot.revision,
            "current": self._watch.is_current(),
        }
        if "objects" in parse_qs(request.query):
            body["objects"] = {
                key: {"ticket": record.ticket, "state": record.state}
                for key, record in snapshot.objects.items()
            }
        return make_json_response(200, body)


def _is_number(text: str) -> bool:
    plain = text.isascii() and text.isdecimal() and len(text) <= 8
    return plain and int(text) <= MAX_TICKET_NUMBER


def _make_accepted(
    record: TicketRecord, near: Sequence[FieldError]
) -> Response:
    body = format_record(record)
    del body["objects"]
    warnings = [str(fault) for fault in near]
    return make_json_response(
        200, {"outcome": "accepted", **body, "warnings": warnings}
    )


def _make_response(outcome: TicketOutcome | NotRun) -> Response:
    match outcome:
        case Accepted(record):
            return _make_accepted(record, ())
        case Refused(reason, detail, faults):
            shown = [fault._asdict() for fault in faults]
            status = _STATUS[reason]
            return _make_problem(
                status, reason, detail, "not_run", faults=shown
            )
        case NotRun(detail):
            return _make_problem(503, "store_down", detail, "not_run")
        case Unsettled(detail):
            return _make_problem(503, "store_down", detail, "unknown")


def _make_problem(
    status: int, reason: str, detail: str, execution: str, **more: object
) -> Response:
    body = {
        "type": "about:blank",
        "title": reason,
        "status": status,
        "detail": detail,
        "execution": execution,
        **more,
    }
    headers: Headers = (("content-type", "application/problem+json"),)
    if status == 503:
        headers += (("retry-after", str(RETRY_SECONDS)),)
    return Response(status, headers, msgspec.json.encode(body))
