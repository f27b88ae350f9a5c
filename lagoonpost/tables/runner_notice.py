"""What a runner says of itself in the head of an answer."""

from typing import NamedTuple

from lagoonpost.tables.stated_limits import NO_LIMITS, StatedLimits


class RunnerNotice(NamedTuple):
    """What a runner says of itself in the head of an answer.

    Attributes:
        refused: Whether it has turned the request away, as not run.
        leaving: Whether it is about to leave and takes no new requests.
        rest: Seconds for which it wants no request from the gateway that it
            answers; not a number if they can't be read, None if it doesn't
            ask for a rest.
        limits: Limits that it names.
    """

    refused: bool = False
    leaving: bool = False
    rest: float | None = None
    limits: StatedLimits = NO_LIMITS


NO_NOTICE = RunnerNotice()


class Departure(NamedTuple):
    """The news that a runner leaves, for other gateways.

    Attributes:
        runner: Id of the runner.
        born: Start of the runner's process in milliseconds since the epoch.
    """

    runner: str
    born: int
