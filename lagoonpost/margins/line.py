"""The log lines that margins are read from, with the fields they need."""

from typing import Any, Generic, NamedTuple, TypeVar

import msgspec


class Message(msgspec.Struct, gc=False):
    """What all lines have.

    Attributes:
        timestamp: Seconds since the epoch, by the clock of its host; 0 if
            the line has none.
    """

    timestamp: float = 0.0


class Started(Message, kw_only=True, gc=False):
    """A gateway started.

    Attributes:
        settings: What it was told about itself.
    """

    settings: dict[str, Any]


class DutyCall(Message, kw_only=True, gc=False):
    """A call that only the holder of the duties may make.

    Attributes:
        outcome: What came of it.
        fence: Its fencing number.
        holder: Whose call it was; empty in logs that don't say it.
        sent_at: When it was sent, by the clock of its host; None in logs
            that print when its answer came, and the fence of that moment.
        window: Window of a usage report.
        service: Service of an order.
        failure_domain: Where an order wants runners.
    """

    outcome: str
    fence: int
    holder: str = ""
    sent_at: float | None = None
    window: int | None = None
    service: str = ""
    failure_domain: str = ""


class LeaseChange(Message, kw_only=True, gc=False):
    """A gateway took a lease or no longer holds it.

    Attributes:
        lease: Name of the lease.
        holder: The gateway.
        held: Whether it holds the lease now.
        fence: Fencing number.
        cause: Why it changed; empty in logs that don't say it.
    """

    lease: str
    holder: str
    held: bool
    fence: int
    cause: str = ""


class RunnerUpdate(Message, kw_only=True, gc=False):
    """A gateway learned of a runner.

    Attributes:
        runner: Id of the runner.
        version: Stamp of its entry; the newer is the larger.
        state: "ready", "leaving" or "gone".
    """

    runner: str
    version: int
    state: str


class ConfigurationUpdate(Message, kw_only=True, gc=False):
    """A configuration came in force at a gateway.

    Attributes:
        version: Its version.
    """

    version: int


class RequestEnd(Message, kw_only=True, gc=False):
    """A request ended.

    Attributes:
        request: Its id.
        version: Version of the configuration it was judged by; 0 if none.
        steps: Offers to runners, each as RUNNER:OUTCOME:PREDICTED_SECONDS.
        took: Seconds from its arrival to its end.
        workspace: Whose it was.
        units: Units taken from the quota.
        quota: Inputs of the decision about the quota.
    """

    request: str
    version: int
    steps: tuple[str, ...]
    took: float
    workspace: str = ""
    units: float = 0.0
    quota: tuple[float, ...] = ()


class Dropped(Message, kw_only=True, gc=False):
    """Lines were dropped, as the log's reader was slow.

    Attributes:
        lines: How many.
    """

    lines: int


MESSAGE_TYPES: dict[str, type[Message]] = {
    "lagoonpost:forwarding:started": Started,
    "lagoonpost:duties:usage": DutyCall,
    "lagoonpost:duties:order": DutyCall,
    "lagoonpost:controller:lease": LeaseChange,
    "lagoonpost:belief:runner": RunnerUpdate,
    "lagoonpost:belief:configuration": ConfigurationUpdate,
    "lagoonpost:forwarding:request": RequestEnd,
    "lagoonpost:log:dropped": Dropped,
}
"""Types of messages that margins are read from."""

M = TypeVar("M", bound=Message)


class Line(NamedTuple, Generic[M]):
    """One line of a log.

    Attributes:
        at: Seconds since the epoch.
        gateway: Whose line it is.
        message: What it says.
    """

    at: float
    gateway: str
    message: M
