"""Change tickets, their stored records and their outcomes."""

from collections.abc import Mapping
from typing import Any, Literal, NamedTuple

ObjectState = Mapping[str, Any]
ABSENT: ObjectState = {"absent": True}


class FieldError(NamedTuple):
    """Validation error in one field of a ticket.

    Attributes:
        field: Path of the field, such as ``runners.engine-1.slots``.
        message: Description of the error and of the allowed values.
        file: Path of the ticket's file; empty if it was not read from one.
        line: Line number in the file, from 1; 0 if not read from a file.
    """

    field: str
    message: str
    file: str = ""
    line: int = 0

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}: " if self.file else ""
        return f"{location}{self.field}: {self.message}"


class InvalidTicket(NamedTuple):
    """Validation errors of a ticket that could not be parsed.

    Attributes:
        errors: All errors found; never empty.
    """

    errors: tuple[FieldError, ...]


class Ticket(NamedTuple):
    """Numbered change of declared objects.

    Attributes:
        number: Number assigned by the operator, from 1.
        reason: Reason for the change.
        objects: Complete new state by object key (``KIND/NAME``).
    """

    number: int
    reason: str
    objects: Mapping[str, ObjectState]


class TicketRecord(NamedTuple):
    """Accepted ticket as stored and sent to peers.

    Attributes:
        number: Number assigned by the operator.
        revision: Revision of the declaration that the ticket created.
        digest: SHA-256 of the ticket's content, in hex.
        reason: Reason for the change.
        operator: Name of the operator that submitted the ticket.
        accepted: Time of acceptance, in seconds since the epoch.
        objects: Complete new state by object key.
    """

    number: int
    revision: int
    digest: str
    reason: str
    operator: str
    accepted: float
    objects: Mapping[str, ObjectState]


class ObjectRecord(NamedTuple):
    """Stored state of an object.

    Attributes:
        ticket: Number of the ticket that set the state.
        state: State of the object; ``ABSENT`` if it was removed.
    """

    ticket: int
    state: ObjectState


class Snapshot(NamedTuple):
    """All objects as of one revision.

    Attributes:
        revision: Revision of the declaration.
        objects: Records by object key, removed objects included.
    """

    revision: int
    objects: Mapping[str, ObjectRecord]


class Accepted(NamedTuple):
    """The ticket is committed and was read back.

    Attributes:
        record: The stored record.
    """

    record: TicketRecord


RefusalReason = Literal["number_taken", "stale", "overlaps_move", "invalid"]


class Refused(NamedTuple):
    """The ticket was rejected and had no effect.

    Attributes:
        reason: Reason code.
        detail: Description of the reason.
        errors: Validation errors, if there are any.
    """

    reason: RefusalReason
    detail: str
    errors: tuple[FieldError, ...] = ()


class Unsettled(NamedTuple):
    """The store did not answer, so the ticket may have been committed.

    Submitting the same ticket again is safe and determines the outcome.

    Attributes:
        detail: Description of the failure.
    """

    detail: str


TicketOutcome = Accepted | Refused | Unsettled


class NotRun(NamedTuple):
    """The store did not answer a read request, which has no effect.

    Attributes:
        detail: Description of the failure.
    """

    detail: str
