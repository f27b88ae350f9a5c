"""What callers saw, and which disturbances there were, by the steady clock."""

from typing import Literal, NamedTuple

CallKind = Literal["book", "check", "draft", "reply"]
CALL_KINDS: tuple[CallKind, ...] = ("book", "check", "draft", "reply")
AT_MOST_ONCE_KINDS: frozenset[CallKind] = frozenset(("book", "reply"))
"""Kinds that may run once at most."""


class Attempt(NamedTuple):
    """One attempt of a caller.

    Attributes:
        id: Its id.
        kind: What was asked for.
        gateway: Number of the gateway.
        run: Which of the gateway's processes was there when it was sent.
        sent: When it was sent.
        ended: When its answer was whole, or broke off.
        status: Status of the answer; 0 if there was none.
        whole: Whether the answer ended as it should.
        wrong: What is wrong with a whole answer, or empty.
        due: When its caller stops waiting.
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
    """Whether a route was there at one process of a gateway.

    Attributes:
        gateway: Number of the gateway.
        run: Which of its processes.
        at: When it was asked.
        version: Version of the configuration that added the route; the next
            one drops it.
        found: Whether the route led somewhere.
    """

    gateway: int
    run: int
    at: float
    version: int
    found: bool


class Change(NamedTuple):
    """A configuration that was acknowledged at a time."""

    version: int
    at: float


class Span(NamedTuple):
    """One disturbance.

    Attributes:
        what: Which kind.
        whom: Name of what was disturbed.
        begin: When it began.
        end: When it was over.
    """

    what: str
    whom: str
    begin: float
    end: float


class Drain(NamedTuple):
    """A runner whose leaving was acknowledged at a time."""

    runner: str
    at: float


class Finding(NamedTuple):
    """A promise that did not hold."""

    promise: str
    detail: str
