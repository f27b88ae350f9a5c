"""Copies of a running request's KV cache, and outcomes of copying."""

from typing import NamedTuple

from lagoonpost.tables.address import Address


class KvCopy(NamedTuple):
    """Copy of a KV cache from which another runner can resume a request.

    Attributes:
        source: Address of the runner that the cache was copied from.
        handle: Id of the copy, assigned by the source.
    """

    source: Address
    handle: str


class Copied(NamedTuple):
    """The copy is complete as of the end of the call.

    Attributes:
        saved: The copy.
    """

    saved: KvCopy


class PartlyCopied(NamedTuple):
    """The run was stopped, but the target lacks the end of its state.

    Attributes:
        saved: The copy.
    """

    saved: KvCopy


class Busy(NamedTuple):
    """Another call for the same run is in progress at the source."""


class NoRun(NamedTuple):
    """The source does not run the request any more."""


class NoRoom(NamedTuple):
    """The target has no capacity, or the source can't connect to it."""


class Unreached(NamedTuple):
    """The call was not sent.

    Attributes:
        detail: Description of the failure.
    """

    detail: str


class Unanswered(NamedTuple):
    """The call failed, and the request may or may not have been stopped.

    Attributes:
        detail: Description of the failure.
    """

    detail: str


CopyOutcome = (
    Copied | PartlyCopied | NoRun | NoRoom | Busy | Unreached | Unanswered
)
