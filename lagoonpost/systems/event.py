"""Events that a gateway's decisions take and the actions they give."""

from typing import NamedTuple

from lagoonpost.tables.entity import Declaration
from lagoonpost.tables.report import LoadReport
from lagoonpost.tables.request import RequestRow


class Declared(NamedTuple):
    """A newer declaration is in force."""

    declaration: Declaration


class Arrived(NamedTuple):
    """A caller's request passed the checks of form and key."""

    request: RequestRow


class Resumed(NamedTuple):
    """A caller came back for an answer that this runner already holds."""

    request: RequestRow
    runner: str


class Reported(NamedTuple):
    """A load report came in."""

    report: LoadReport


class CacheEvents(NamedTuple):
    """Prefix blocks a runner stored or dropped, late and with gaps."""

    runner: str
    stored: tuple[int, ...]
    dropped: tuple[int, ...]


class FirstToken(NamedTuple):
    """The first part of an answer arrived from the runner."""

    request_id: str
    runner: str


class Progress(NamedTuple):
    """More tokens of an answer arrived from the runner."""

    request_id: str
    runner: str
    tokens: int


class Finished(NamedTuple):
    """A request left its runner with its whole answer."""

    request_id: str
    runner: str
    tokens: int


class AttemptFailed(NamedTuple):
    """A runner failed under a request, which asks for another runner.

    Attributes:
        request_id: The request.
        runner: The runner that failed.
        kind: ``refused`` (busy or not running it), ``unreached`` (nothing
            was sent), ``failed`` (an error answer), ``lost`` (connection
            cut), ``silent``.
        retry: Whether the request wants another runner.
    """

    request_id: str
    runner: str
    kind: str
    retry: bool


class Abandoned(NamedTuple):
    """The caller is gone, or the request was given up."""

    request_id: str


class Leaving(NamedTuple):
    """A runner, or all runners of a host or failure domain, will go."""

    runners: frozenset[str]


class Quarantined(NamedTuple):
    """A fingerprint was given a verdict.

    Attributes:
        fingerprint: Of the request.
        verdict: ``alone``, ``refused``, or ``free`` when it is neither
            any more.
        avoid: Versions to avoid while it is run alone.
    """

    fingerprint: str
    verdict: str
    avoid: frozenset[str] = frozenset()


class GatewaysChanged(NamedTuple):
    """The number of gateways that are serving changed."""

    gateways: int


class Tick(NamedTuple):
    """Time passed."""


Event = (
    Declared
    | Arrived
    | Resumed
    | Reported
    | CacheEvents
    | FirstToken
    | Progress
    | Finished
    | AttemptFailed
    | Abandoned
    | Leaving
    | Quarantined
    | GatewaysChanged
    | Tick
)


class Dispatch(NamedTuple):
    """Send the request to this runner now.

    ``over`` names the candidates and ``reason`` says why this one, for the
    routing log line.
    """

    request_id: str
    runner: str
    version: str
    reason: str
    over: tuple[str, ...] = ()


class Refuse(NamedTuple):
    """Answer now that the request is not run; come back after a while.

    Attributes:
        request_id: The request.
        status: HTTP status: 429 over share, 503 no capacity, 422 poison.
        reason: Short machine word for logs and metrics.
        retry_after: Seconds until coming back helps, or None if it won't.
    """

    request_id: str
    status: int
    reason: str
    retry_after: float | None


Action = Dispatch | Refuse
