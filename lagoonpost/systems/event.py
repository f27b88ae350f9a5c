"""Events that the gateway's decisions handle and the resulting actions."""

from typing import NamedTuple

from lagoonpost.tables.entity import Declaration
from lagoonpost.tables.load_report import LoadReport
from lagoonpost.tables.request import RequestRow


class Declared(NamedTuple):
    """A newer declaration, or one with new version shares, is in force."""

    declaration: Declaration


class Arrived(NamedTuple):
    """A caller's request passed validation and authentication."""

    request: RequestRow


class Resumed(NamedTuple):
    """A caller resumed an answer that is already running on this runner."""

    request: RequestRow
    runner: str


class Reported(NamedTuple):
    """A runner's load report arrived."""

    report: LoadReport


class CacheEvents(NamedTuple):
    """Prefix blocks that a runner stored or dropped, late and with gaps."""

    runner: str
    stored: tuple[int, ...]
    dropped: tuple[int, ...]


class FirstToken(NamedTuple):
    """The first tokens of an answer arrived from the runner."""

    request_id: str
    runner: str


class Progress(NamedTuple):
    """More tokens of an answer arrived from the runner."""

    request_id: str
    runner: str
    tokens: int


class Finished(NamedTuple):
    """A runner completed its answer to a request."""

    request_id: str
    runner: str
    tokens: int


class AttemptFailed(NamedTuple):
    """An attempt to run a request failed.

    Attributes:
        request_id: Id of the request.
        runner: Name of the runner that failed.
        kind: ``refused`` (busy or does not run it), ``unreached``
            (nothing was sent), ``failed`` (an error answer), ``lost``
            (connection closed), ``silent``.
        retry: Whether to dispatch the request to another runner.
    """

    request_id: str
    runner: str
    kind: str
    retry: bool


class Abandoned(NamedTuple):
    """The caller disconnected, or the request was canceled."""

    request_id: str


class Leaving(NamedTuple):
    """Runners are about to shut down.

    Attributes:
        runners: Names of the runners, such as all those of one host or failure
            domain.
    """

    runners: frozenset[str]


class Quarantined(NamedTuple):
    """The quarantine verdict on a request fingerprint changed.

    Attributes:
        fingerprint: Fingerprint of the request.
        verdict: ``alone``, ``refused``, or ``free`` once neither applies.
        avoid: Versions to avoid while the request runs alone.
    """

    fingerprint: str
    verdict: str
    avoid: frozenset[str] = frozenset()


class GatewaysChanged(NamedTuple):
    """The number of serving gateways changed."""

    gateways: int


class Tick(NamedTuple):
    """Periodic timer event."""


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
    """Send the request to a runner now.

    Attributes:
        request_id: Id of the request.
        runner: Name of the chosen runner.
        version: Version that the runner serves.
        reason: Why this runner was chosen, for the routing log line.
        over: Names of the other candidates, for the routing log line.
    """

    request_id: str
    runner: str
    version: str
    reason: str
    over: tuple[str, ...] = ()


class Refuse(NamedTuple):
    """Refuse the request at once; the caller may retry later.

    Attributes:
        request_id: Id of the request.
        status: HTTP status: 429 over the workspace's share, 503 no capacity,
            422 poison.
        reason: Short machine-readable reason for logs and metrics.
        retry_after: Seconds after which a retry may succeed, or None if it
            never will.
    """

    request_id: str
    status: int
    reason: str
    retry_after: float | None


Action = Dispatch | Refuse
