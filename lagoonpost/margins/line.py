"""Log messages from which margins are computed, with the fields used."""

from typing import Any, Generic, NamedTuple, TypeVar

import msgspec


class Message(msgspec.Struct, gc=False):
    """Fields common to all messages.

    Attributes:
        timestamp: Seconds since the epoch, by the host's clock; 0 if the
            line has none.
    """

    timestamp: float = 0.0


class Keepalive(msgspec.Struct, gc=False):
    """How a gateway probes its tunnels.

    Attributes:
        idle: Seconds without a byte until the first probe.
        interval: Seconds between probes.
        probes: Unanswered probes until the other end is gone.
        user_timeout: Seconds without an acknowledgement until then.
    """

    idle: float
    interval: float
    probes: int
    user_timeout: float


class Started(Message, kw_only=True, gc=False):
    """A gateway started.

    Attributes:
        settings: Settings with which it started.
        keepalive: How it probes its tunnels; None in logs without it.
    """

    settings: dict[str, Any]
    keepalive: Keepalive | None = None


class DutyCall(Message, kw_only=True, gc=False):
    """A call that only the holder of the duties' lease may make.

    Attributes:
        outcome: Result of the call.
        fence: Fencing token.
        holder: Gateway that made the call; empty in logs without it.
        sent_at: Time of sending, by the host's clock; None in logs that
            record only the time of the reply and the fence at that time.
        window: Window of a usage report.
        service: Service of an order.
        failure_domain: Failure domain in which an order requests runners.
    """

    outcome: str
    fence: int
    holder: str = ""
    sent_at: float | None = None
    window: int | None = None
    service: str = ""
    failure_domain: str = ""


class LeaseChange(Message, kw_only=True, gc=False):
    """A gateway acquired or lost a lease.

    Attributes:
        lease: Name of the lease.
        holder: Name of the gateway.
        held: Whether the gateway holds the lease after the change.
        fence: Fencing token.
        cause: Reason of the change; empty in logs without it.
    """

    lease: str
    holder: str
    held: bool
    fence: int
    cause: str = ""


class RunnerUpdate(Message, kw_only=True, gc=False):
    """A gateway received a new state of a runner.

    Attributes:
        runner: Id of the runner.
        version: Version of the runner's entry; increases with each update.
        state: "ready", "leaving" or "gone".
        born: Start of its process in milliseconds since the epoch; 0 if it is
            gone, and in logs without it.
    """

    runner: str
    version: int
    state: str
    born: int = 0


class ConfigurationUpdate(Message, kw_only=True, gc=False):
    """A gateway applied a configuration.

    Attributes:
        version: Version of the configuration.
    """

    version: int


class ConfigurationFetch(Message, kw_only=True, gc=False):
    """A gateway asked a peer or the store for a configuration.

    Attributes:
        peer: Name of the peer, or "store".
        outcome: What it answered.
        wanted: Newest version that the gateway had heard of.
        wanted_seconds: Seconds since it first lacked a version.
    """

    peer: str
    outcome: str
    wanted: int
    wanted_seconds: float


class RequestEnd(Message, kw_only=True, gc=False):
    """A request ended.

    Attributes:
        request: Id of the request.
        version: Version of the configuration used to handle the request; 0
            if none.
        steps: Offers to runners, formatted RUNNER:OUTCOME:PREDICTED_SECONDS.
        took: Seconds from arrival to end.
        workspace: Workspace that sent the request.
        units: Units taken from the quota.
        runs: Seconds from arrival until each run began, and its units; empty
            in logs without it.
        quota: Inputs of the quota decision.
        service: Service of the request; empty in logs without it.
    """

    request: str
    version: int
    steps: tuple[str, ...]
    took: float
    workspace: str = ""
    units: float = 0.0
    runs: tuple[tuple[float, float], ...] = ()
    quota: tuple[float, ...] = ()
    service: str = ""


class PartitionChange(Message, kw_only=True, gc=False):
    """A gateway lost its path to the runners, or has it again.

    Attributes:
        partitioned: Whether it has no path after the change.
    """

    partitioned: bool


class BrittleRefusal(Message, kw_only=True, gc=False):
    """A brittle runner turned a request away.

    Attributes:
        runner: Id of the runner.
        threshold: Refusals a second beyond which it falls over.
    """

    runner: str
    threshold: float


class LimitedRequest(Message, kw_only=True, gc=False):
    """A request was sent to a runner that names a limit.

    Attributes:
        runner: Id of the runner.
        rate: Requests a second that it takes from all gateways together.
    """

    runner: str
    rate: float


class Notice(Message, kw_only=True, gc=False):
    """A runner said in an answer that it leaves, or asked for a rest.

    Attributes:
        runner: Id of the runner.
        born: Start of its process in milliseconds since the epoch.
        leaving: Whether it leaves.
        rest: Seconds for which it wants no request from this gateway; None if
            it asked for no rest.
    """

    runner: str
    born: int
    leaving: bool
    rest: float | None = None


class RunnerCrash(Message, kw_only=True, gc=False):
    """A runner is down that cut off a run near its start.

    Attributes:
        runner: Id of the runner.
        causes: What the request may have in common with others.
        crashed: Time of the crash, in seconds since the epoch.
    """

    runner: str
    causes: tuple[str, ...]
    crashed: float


class Conviction(Message, kw_only=True, gc=False):
    """Requests with something in common are sent to no runner any more.

    Attributes:
        cause: What they have in common.
    """

    cause: str


class SilentRunner(Message, kw_only=True, gc=False):
    """A gateway gave up waiting for a runner.

    Attributes:
        runner: Id of the runner.
        seconds: Seconds without a byte.
        stream: Whether the request is one for a stream.
    """

    runner: str
    seconds: float
    stream: bool


class Retry(Message, kw_only=True, gc=False):
    """A gateway decided whether a request is offered once more.

    Attributes:
        service: Service of the request.
        granted: Whether it is offered.
    """

    service: str
    granted: bool


class Dropped(Message, kw_only=True, gc=False):
    """Log lines were dropped because the consumer was too slow.

    Attributes:
        lines: Number of dropped lines.
    """

    lines: int


MESSAGE_TYPES: dict[str, type[Message]] = {
    "lagoonpost:forwarding:started": Started,
    "lagoonpost:duties:usage": DutyCall,
    "lagoonpost:duties:order": DutyCall,
    "lagoonpost:controller:lease": LeaseChange,
    "lagoonpost:belief:runner": RunnerUpdate,
    "lagoonpost:belief:configuration": ConfigurationUpdate,
    "lagoonpost:configuration:fetch": ConfigurationFetch,
    "lagoonpost:forwarding:request": RequestEnd,
    "lagoonpost:forwarding:partitioned": PartitionChange,
    "lagoonpost:forwarding:brittle_refusal": BrittleRefusal,
    "lagoonpost:forwarding:limited_request": LimitedRequest,
    "lagoonpost:forwarding:notice": Notice,
    "lagoonpost:forwarding:runner_crash": RunnerCrash,
    "lagoonpost:forwarding:convicted": Conviction,
    "lagoonpost:forwarding:silent": SilentRunner,
    "lagoonpost:forwarding:retry": Retry,
    "lagoonpost:log:dropped": Dropped,
}
"""Message classes by log message type; other types are ignored."""

M = TypeVar("M", bound=Message)


class Line(NamedTuple, Generic[M]):
    """A log line with its time and origin.

    Attributes:
        at: Seconds since the epoch.
        gateway: Name of the gateway that wrote it.
        message: Decoded message.
    """

    at: float
    gateway: str
    message: M
