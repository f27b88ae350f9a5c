"""Events that a relayed answer handles and the resulting actions."""

from typing import Literal, NamedTuple

from lagoonpost.tables.entity import Runner
from lagoonpost.tables.token_usage import TokenUsage

FailureKind = Literal["refused", "failed", "lost", "silent", "leaving"]
Execution = Literal["not_run", "ran", "unknown"]


class Placed(NamedTuple):
    """The placement chose a runner for the next attempt."""

    runner: Runner


class Attached(NamedTuple):
    """The runner already runs the request; resume its stream."""

    runner: Runner


class NotPlaced(NamedTuple):
    """The placement found no runner."""

    reason: str
    retry_after: float | None


class Opened(NamedTuple):
    """The runner started to answer on a new connection."""

    attempt: int


class Arrived(NamedTuple):
    """Tokens arrived.

    Attributes:
        attempt: Number of the attempt.
        offset: Number of tokens of the answer before these.
        tokens: The tokens.
    """

    attempt: int
    offset: int
    tokens: list[str]


class Closed(NamedTuple):
    """The closing event of the stream arrived."""

    attempt: int
    finish_reason: str
    usage: TokenUsage


class Interrupted(NamedTuple):
    """The connection was closed, by the peer or because it was silent."""

    attempt: int
    silent: bool


class AttemptFailed(NamedTuple):
    """The attempt failed: the runner refused, failed or was lost."""

    attempt: int
    kind: FailureKind
    execution: Execution


class Rejected(NamedTuple):
    """The runner rejected the request as invalid, as any other would."""

    attempt: int
    status: int


class Leaving(NamedTuple):
    """The runner shuts down at ``deadline``.

    Attributes:
        attempt: Number of the attempt.
        deadline: Time at which the runner shuts down.
        expected_end: Time at which the answer is expected to finish.
    """

    attempt: int
    deadline: float
    expected_end: float


class Exported(NamedTuple):
    """The export of the KV cache ended, complete or not."""

    attempt: int


class Expired(NamedTuple):
    """The answer is aborted for a reason unrelated to its runner."""

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
    """Start the attempt with the prompt and the tokens so far."""

    attempt: int
    runner: Runner


class Probe(NamedTuple):
    """Resume after the first ``after`` tokens over a new connection."""

    attempt: int
    runner: Runner
    after: int


class Cancel(NamedTuple):
    """Cancel the request at a runner; its answer is no longer read."""

    runner: Runner


class Export(NamedTuple):
    """Move the KV cache; ``Exported`` follows before the deadline."""

    attempt: int
    source: Runner
    target: Runner
    deadline: float


class Emit(NamedTuple):
    """Send tokens to the caller."""

    offset: int
    tokens: list[str]


class Finish(NamedTuple):
    """End the answer as complete."""

    finish_reason: str
    usage: TokenUsage


class Fail(NamedTuple):
    """Abort the answer at once."""

    execution: Execution
    reason: str
    retry_after: float | None


Action = Place | Open | Probe | Cancel | Export | Emit | Finish | Fail
