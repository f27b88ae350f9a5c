"""What the head of an answer shows of whose answer it is."""

from typing import NamedTuple


class AnswerHead(NamedTuple):
    """What the head of an answer shows of whose answer it is.

    Attributes:
        ids: Ids of requests that it repeats.
        signatures: Signatures that it has.
        encoded: Whether its body is encoded, though none was asked for.
        success: Whether its status is one of success.
        refuses: Whether it states that the request has not run.
    """

    ids: frozenset[str]
    signatures: frozenset[str]
    encoded: bool
    success: bool
    refuses: bool


class HealthHead(NamedTuple):
    """What the head of an answer to a health check shows.

    Attributes:
        runners: Ids of runners that it names as its sender.
        misdirected: Whether it states that another runner was meant.
    """

    runners: frozenset[str]
    misdirected: bool
