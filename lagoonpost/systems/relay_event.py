"""Events that a relayed answer takes and the actions that it gives."""

from typing import Literal, NamedTuple

from lagoonpost.tables.answer import Usage
from lagoonpost.tables.entity import Runner

FailureKind = Literal["refused", "failed", "lost", "silent", "leaving"]
Execution = Literal["not_run", "ran", "unknown"]


class Placed(NamedTuple):
    """The placement chose a runner for the next attempt."""

    runner: Runner


class Attached(NamedTuple):
    """The runner already has the answer; read it from there."""

    runner: Runner


class NotPlaced(NamedTuple):
    """The placement has no runner left."""

    reason: str
    retry_after: float | None


class Opened(NamedTuple):
    """The runner began to answer on a new connection."""

    attempt: int


class Arrived(NamedTuple):
    """Tokens came; ``offset`` tokens of the answer go before them."""

    attempt: int
    offset: int
    tokens: list[str]


class Closed(NamedTuple):
    """The closing event came."""

    attempt: int
    finish_reason: str
    usage: Usage


class Interrupted(NamedTuple):
    """The connection ended, or was closed for its silence."""

    attempt: int
    silent: bool


class AttemptFailed(NamedTuple):
    """The attempt is over: the runner refused, failed or is lost."""

    attempt: int
    kind: FailureKind
    execution: Execution


class Rejected(NamedTuple):
    """The runner found the request itself at fault, as others would."""

    attempt: int
    status: int


class Leaving(NamedTuple):
    """The runner will go at ``deadline``."""

    attempt: int
    deadline: float
    expected_end: float


class Exported(NamedTuple):
    """The export of the KV cache ended, whole or not."""

    attempt: int


class Expired(NamedTuple):
    """The answer is given up for a reason outside of its runner."""

    reason: str = "deadline"
    retry_after: float | None = 1.0


Event = (
    Placed
    | Attached
    | NotPlaced
    | Opened
    | Arrived
    | Closed
    | Interrupted
    | AttemptFailed
    | Rejected
    | Leaving
    | Exported
    | Expired
)


class Place(NamedTuple):
    """Ask the placement for another runner."""

    failed: Runner
    kind: FailureKind


class Open(NamedTuple):
    """Start the attempt: prompt plus the tokens so far."""

    attempt: int
    runner: Runner


class Probe(NamedTuple):
    """Resume behind ``after`` tokens over a new connection."""

    attempt: int
    runner: Runner
    after: int


class Cancel(NamedTuple):
    """Tell a runner to drop the answer; nobody reads it there any more."""

    runner: Runner


class Export(NamedTuple):
    """Move the KV cache; ``Exported`` follows before the deadline."""

    attempt: int
    source: Runner
    target: Runner
    deadline: float


class Emit(NamedTuple):
    """Give tokens to the caller."""

    offset: int
    tokens: list[str]


class Finish(NamedTuple):
    """The answer is whole."""

    finish_reason: str
    usage: Usage


class Fail(NamedTuple):
    """Give the answer up, at once."""

    execution: Execution
    reason: str
    retry_after: float | None


Action = Place | Open | Probe | Cancel | Export | Emit | Finish | Fail
