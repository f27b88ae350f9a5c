"""What is known of how a runner's answer ended."""

from enum import Enum
from typing import NamedTuple


class StopState(Enum):
    """What is known of an order to stop a run for its move.

    Attributes:
        NONE: No order has reached the runner.
        DECLINED: The runner goes on with the run, or had ended it before.
        UNKNOWN: The runner may have stopped the run.
        STOPPED: The runner has stopped the run.
    """

    NONE = "none"
    DECLINED = "declined"
    UNKNOWN = "unknown"
    STOPPED = "stopped"


class UploadState(Enum):
    """What is known of a request after the answer to it ended.

    Attributes:
        UNKNOWN: Nothing; it was not asked for.
        READ: The runner has read it, as far as its connection shows.
        UNFINISHED: The runner stopped reading it, and did not end the
            connection.
        RESET: The runner ended the connection before it had read it.
    """

    UNKNOWN = "unknown"
    READ = "read"
    UNFINISHED = "unfinished"
    RESET = "reset"


class RunnerState(Enum):
    """What is known of a runner after one of its answers ended.

    Attributes:
        UNKNOWN: Nothing; it was not asked.
        UP: It answered a health check, or keeps one waiting.
        LEAVING: It accepts no connections, and has announced that it leaves.
        DOWN: It answers no health check, or another process does.
    """

    UNKNOWN = "unknown"
    UP = "up"
    LEAVING = "leaving"
    DOWN = "down"


class EndEvidence(NamedTuple):
    """Evidence of how an answer ended.

    Attributes:
        ended: Whether an end arrived; otherwise the connection was reset or
            silent, or what arrived is no answer.
        framed: Whether a length or chunks mark the end, so that it is not the
            end of the connection.
        repeatable: Whether the request may run more than once.
        late: Whether it came when the runner stops work by itself, as the
            deadline is over by its clock.
        stop: What became of an order to stop the run.
        upload: State of the request after the end.
        runner: State of the runner after the end.
    """

    ended: bool
    framed: bool
    repeatable: bool = False
    late: bool = False
    stop: StopState = StopState.NONE
    upload: UploadState = UploadState.UNKNOWN
    runner: RunnerState = RunnerState.UNKNOWN
