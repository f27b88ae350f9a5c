"""What happens to one booking in the ledger, and what to do about it."""

from typing import NamedTuple

from lagoonpost.tables.ledger import LedgerEntry, RecordedAnswer


class Stored(NamedTuple):
    """The conditional write took effect; the row has this version."""

    version: int


class RowConflict(NamedTuple):
    """The write was refused: the row is like this; 0 and None: absent."""

    version: int
    entry: LedgerEntry | None


class NoReply(NamedTuple):
    """The store gave no answer; ``applied`` False: surely no effect."""

    applied: bool | None


class RunnerChosen(NamedTuple):
    """A runner was chosen."""


class NotRun(NamedTuple):
    """The dispatch surely did not run: ``refused`` so, or ``unreached``."""

    kind: str = "refused"


class NoRunner(NamedTuple):
    """No runner is to be had; answer so."""

    status: int
    reason: str
    retry_after: float | None


class Answered(NamedTuple):
    """The runner answered."""

    answer: RecordedAnswer


class Lost(NamedTuple):
    """The request went out, and no whole answer came back."""

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
    """Write the attempt's row if it has ``version``, after ``delay`` s."""

    version: int
    entry: LedgerEntry
    delay: float = 0.0


class ChooseRunner(NamedTuple):
    """Choose a runner."""


class SendRequest(NamedTuple):
    """Dispatch, if the bound still holds when the bytes leave."""


class Ran(NamedTuple):
    """Answer the caller: this is the runner's answer."""

    answer: RecordedAnswer


class Earlier(NamedTuple):
    """Answer the caller by what the ledger has under this key."""

    entry: LedgerEntry


class Mismatch(NamedTuple):
    """Answer the caller: the key belongs to another request."""


class Refused(NamedTuple):
    """Answer the caller: not run, and why."""

    status: int
    reason: str
    retry_after: float | None


class Unknown(NamedTuple):
    """Answer the caller: it may have run or may run no more."""

    reason: str


Outcome = Ran | Earlier | Mismatch | Refused | Unknown
Action = Put | ChooseRunner | SendRequest | Outcome
