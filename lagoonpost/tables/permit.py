"""Messages by which gateways share what a runner bears."""

from typing import Literal, NamedTuple

from lagoonpost.tables.stated_limits import StatedLimits


class Statement(NamedTuple):
    """What a runner said last, as far as a gateway knows.

    Attributes:
        runner: Id of the runner.
        service: Service of the runner.
        born: Start of the runner's process in milliseconds since the epoch.
        limits: The limits that it named.
        age: Seconds since a gateway received that answer.
    """

    runner: str
    service: str
    born: int
    limits: StatedLimits
    age: float


class PermitRequest(NamedTuple):
    """Asks when the next request may be sent to a runner.

    Attributes:
        number: Assigned by the asking gateway.
        runner: Id of the runner.
        rate: Requests a second that the runner bears while it is cold; None
            if it isn't cold.
        longest: Seconds for which the request may wait.
        statement: What the runner said last; None if it said nothing.
    """

    number: int
    runner: str
    rate: float | None
    longest: float
    statement: Statement | None


PermitOutcome = Literal["granted", "denied", "not_issuer"]


class PermitReply(NamedTuple):
    """The reply to the ``PermitRequest`` with the same number.

    Attributes:
        number: Number of the request.
        outcome: Whether a request may be sent; ``not_issuer`` if the replying
            gateway doesn't issue permits for this runner.
        wait: Seconds until the request may be sent, or, if denied, until it
            could be sent at the earliest.
        statement: What the runner said last; None if it said nothing.
    """

    number: int
    outcome: PermitOutcome
    wait: float
    statement: Statement | None


class PermitClaim(NamedTuple):
    """Tells other gateways that one issues the permits for a runner.

    Attributes:
        runner: Id of the runner.
        issuer: Name of the gateway that issues them.
    """

    runner: str
    issuer: str


class LimitNews(NamedTuple):
    """Tells other gateways what runners said last."""

    statements: tuple[Statement, ...]
