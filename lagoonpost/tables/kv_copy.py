"""What becomes of a run's memory when it is copied to another runner."""

from typing import NamedTuple

from lagoonpost.tables.address import Address


class KvCopy(NamedTuple):
    """Memory of a run that another runner may go on from.

    Attributes:
        source: Runner that the memory was copied from.
        handle: What the source calls it.
    """

    source: Address
    handle: str


class Copied(NamedTuple):
    """The copy is whole, as of the end of the call."""

    saved: KvCopy


class NoRun(NamedTuple):
    """The runner has no such run: it has ended."""


class NoRoom(NamedTuple):
    """The other runner has no room, or can't be reached from the first."""


class Unanswered(NamedTuple):
    """The call failed; whether the run was stopped is not known."""

    detail: str


CopyOutcome = Copied | NoRun | NoRoom | Unanswered
