"""Records of a soak run; all times are seconds of the monotonic clock."""

from typing import Literal, NamedTuple

CallKind = Literal["book", "check", "draft", "reply"]
CALL_KINDS: tuple[CallKind, ...] = ("book", "check", "draft", "reply")
AT_MOST_ONCE_KINDS: frozenset[CallKind] = frozenset(("book", "reply"))
"""Kinds of calls that must run at most once."""


class Attempt(NamedTuple):
    """One attempt of a caller.

    Attributes:
        id: Attempt id.
        kind: Kind of the call.
        gateway: Index of the gateway, from 0.
        run: Number of the gateway's process at the time of sending, from 1.
        sent: Time of sending.
        ended: Time at which the answer was complete or broke off.
        status: Status of the answer; 0 if there was none.
        whole: Whether the answer is complete.
        wrong: Description of unexpected content; empty if there is none.
        due: Deadline.
    """

    id: str
    kind: CallKind
    gateway: int
    run: int
    sent: float
    ended: float
    status: int
    whole: bool
    wrong: str
    due: float


class Probe(NamedTuple):
    """Whether a gateway process served the route of a configuration.

    Attributes:
        gateway: Index of the gateway, from 0.
        run: Number of the gateway's process, from 1.
        at: Time of the request.
        version: Configuration that added the route; the next one removes it.
        found: Whether the gateway served the route.
    """

    gateway: int
    run: int
    at: float
    version: int
    found: bool


class Change(NamedTuple):
    """A configuration and the time at which the store acknowledged it."""

    version: int
    at: float


class Span(NamedTuple):
    """One injected fault.

    Attributes:
        what: Kind of fault, a key of ``soak.faults.FAULT_ACTIONS``.
        whom: Name of the affected gateway or runner, or several of them;
            ``half`` for half of the gateways, ``store`` or
            ``configuration``; empty if none.
        begin: Start time.
        end: End time.
    """

    what: str
    whom: str
    begin: float
    end: float


class Drain(NamedTuple):
    """A draining runner and when the store acknowledged the drain."""

    runner: str
    at: float


class Falls(NamedTuple):
    """A time in which the runners of a service were brittle.

    Attributes:
        service: Name of the service.
        begin: Start time.
        end: End time.
        number: How often a runner fell over.
    """

    service: str
    begin: float
    end: float
    number: int


class LimitTime(NamedTuple):
    """A time in which one runner named a limit.

    Attributes:
        runner: Id of the runner.
        begin: Start time.
        end: End time.
        rate: Requests a second that it named.
    """

    runner: str
    begin: float
    end: float
    rate: float


class DepartureTime(NamedTuple):
    """A time in which a runner said in its answers that it leaves.

    Attributes:
        runner: Id of the runner.
        begin: Start time.
        end: When the runner ended.
    """

    runner: str
    begin: float
    end: float


class CrashTime(NamedTuple):
    """A time in which a part of prompts crashed runners.

    Attributes:
        part: Id of the part.
        begin: Start time.
        end: End time.
    """

    part: str
    begin: float
    end: float


class RepeatTime(NamedTuple):
    """A time in which one request crashed runners again and again.

    Attributes:
        path: Path of the request.
        begin: Start time.
        end: End time.
    """

    path: str
    begin: float
    end: float


class Finding(NamedTuple):
    """A violation of a promise."""

    promise: str
    detail: str
