"""Events, actions and outcomes of the booking ledger."""

from typing import NamedTuple

from lagoonpost.tables.ledger import LedgerEntry, RecordedAnswer


class Stored(NamedTuple):
    """The conditional write succeeded and created ``version``."""

    version: int


class RowConflict(NamedTuple):
    """The conditional write failed; holds the current row.

    An absent row has version 0 and entry None.
    """

    version: int
    entry: LedgerEntry | None


class NoReply(NamedTuple):
    """The store did not reply.

    Attributes:
        applied: False if the write certainly had no effect, None if that is
            unknown.
    """

    applied: bool | None


class RunnerChosen(NamedTuple):
    """A runner was selected."""


class NotRun(NamedTuple):
    """The booking was certainly not executed by the chosen runner.

    Attributes:
        kind: ``refused`` by the runner, or ``unreached``.
    """

    kind: str = "refused"


class NoRunner(NamedTuple):
    """No runner is available; holds the answer for the caller."""

    status: int
    reason: str
    retry_after: float | None


class Answered(NamedTuple):
    """The runner returned a complete answer."""

    answer: RecordedAnswer


class Lost(NamedTuple):
    """The request was sent, but no complete answer was received."""

    reason: str


Event = (
    Stored
    | RowConflict
    | NoReply
    | RunnerChosen
    | NotRun
    | NoRunner
    | Answered
    | Lost
)


class Put(NamedTuple):
    """Write the ledger row if its current version is ``version``.

    Attributes:
        version: Expected row version; 0 if absent.
        entry: The entry to write.
        delay: Seconds to wait before the write.
    """

    version: int
    entry: LedgerEntry
    delay: float = 0.0


class ChooseRunner(NamedTuple):
    """Select a runner."""


class SendRequest(NamedTuple):
    """Dispatch the request unless the dispatch timeout has passed.

    The timeout is checked right before the first byte is sent.
    """


class Ran(NamedTuple):
    """Outcome: the booking ran; holds the runner's answer."""

    answer: RecordedAnswer


class Earlier(NamedTuple):
    """Outcome: an earlier request used the key; holds its entry."""

    entry: LedgerEntry


class Mismatch(NamedTuple):
    """Outcome: the key was used for a request with a different digest."""


class Refused(NamedTuple):
    """Outcome: the booking was not executed, with the reason."""

    status: int
    reason: str
    retry_after: float | None


class Unknown(NamedTuple):
    """Outcome: it is unknown whether the booking was executed."""

    reason: str


Outcome = Ran | Earlier | Mismatch | Refused | Unknown
Action = Put | ChooseRunner | SendRequest | Outcome
