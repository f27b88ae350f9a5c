"""Change tickets, the rows they leave behind and their outcomes."""

from collections.abc import Mapping
from typing import Any, Literal, NamedTuple

ObjectState = Mapping[str, Any]
ABSENT: ObjectState = {"absent": True}


class FieldError(NamedTuple):
    """One thing that is wrong in a ticket.

    Attributes:
        field: Path of the field, such as ``runners.engine-1.slots``.
        message: What is wrong and what is allowed.
        file: File it stands in, if it came from one.
        line: Line in that file, from 1; 0 if not from a file.
    """

    field: str
    message: str
    file: str = ""
    line: int = 0

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}: " if self.file else ""
        return f"{place}{self.field}: {self.message}"


class InvalidTicket(NamedTuple):
    """Everything that is wrong in a ticket; never empty."""

    errors: tuple[FieldError, ...]


class Ticket(NamedTuple):
    """A numbered change.

    Attributes:
        number: Given by the operator, from 1.
        reason: Why the change is made.
        objects: Whole new state by object key (``KIND/NAME``).
    """

    number: int
    reason: str
    objects: Mapping[str, ObjectState]


class TicketRecord(NamedTuple):
    """An accepted ticket as it is stored and sent to peers.

    Attributes:
        number: The operator's number.
        revision: Revision of the declaration that it made.
        digest: SHA-256 of its content, in hex.
        reason: Why the change was made.
        operator: Who handed it in.
        accepted: Time of acceptance in seconds since the epoch.
        objects: Whole new state by object key.
    """

    number: int
    revision: int
    digest: str
    reason: str
    operator: str
    accepted: float
    objects: Mapping[str, ObjectState]


class ObjectRecord(NamedTuple):
    """The state of one object and the ticket that set it."""

    ticket: int
    state: ObjectState


class Snapshot(NamedTuple):
    """All objects as of one revision, also the ones set absent."""

    revision: int
    objects: Mapping[str, ObjectRecord]


class Accepted(NamedTuple):
    """The ticket is committed and was read back."""

    record: TicketRecord


RefusalReason = Literal["number_taken", "stale", "overlaps_move", "invalid"]


class Refused(NamedTuple):
    """The ticket had no effect and this very ticket is not in force."""

    reason: RefusalReason
    detail: str
    errors: tuple[FieldError, ...] = ()


class Unsettled(NamedTuple):
    """The store did not answer; the same ticket again settles it."""

    detail: str


TicketOutcome = Accepted | Refused | Unsettled


class NotRun(NamedTuple):
    """The store did not answer a reading, which changes nothing."""

    detail: str
