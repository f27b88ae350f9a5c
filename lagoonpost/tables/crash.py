"""Evidence on what crashes runners, and the verdicts that follow from it."""

from typing import Annotated, NamedTuple

from msgspec import Meta

MAX_VERDICTS = 100
"""Most verdicts on one cause that count; each lasts longer than the last."""


class Crash(NamedTuple):
    """Evidence of a crash: a run that it cut off near its start.

    Attributes:
        runner: Id of the runner.
        attempt: Id of the caller's attempt.
        causes: What the request may have in common with other requests, from
            the most to the least widely shared.
        earliest: First time at which the crash may have happened, in seconds
            since the epoch.
        latest: Last such time; the same if the runner closed the connection.
        sent: Time at which the run was sent; None if it is unknown.
        born: Start of the runner's process in milliseconds since the epoch.
    """

    runner: str
    attempt: str
    causes: tuple[str, ...]
    earliest: float
    latest: float
    sent: float | None = None
    born: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """What names one run of the runner's process, which ends once."""
        return self.runner, self.born


class Soundness(NamedTuple):
    """A run that went on well after its first byte.

    Attributes:
        cause: What its request may have in common with others.
        began: Time of the first byte, in seconds since the epoch.
    """

    cause: str
    began: float


class Verdict(NamedTuple):
    """A cause whose requests are not sent to runners.

    Attributes:
        cause: What the requests have in common.
        since: Time of the first crash that counted, in seconds since the
            epoch.
        met: Last time at which such a request was refused, to within some
            minutes.
        number: How often the cause was convicted.
    """

    cause: str
    since: float
    met: float
    number: Annotated[int, Meta(ge=1, le=MAX_VERDICTS)] = 1
