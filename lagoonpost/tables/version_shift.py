"""An order to move a service's traffic to another version, and its state."""

from typing import Literal, NamedTuple

ShiftPhase = Literal["trial", "all", "complete", "taken_back"]
"""How far a shift is: a few requests go to the new version, all do, the old
runners are no longer needed, or the new ones get nothing."""
SHIFT_PHASES: tuple[ShiftPhase, ...] = (
    "trial",
    "all",
    "complete",
    "taken_back",
)


class ShiftOrder(NamedTuple):
    """What operators ask for.

    Attributes:
        service: Service whose traffic is to move.
        to: Version that is to get all of it.
        seconds: Time from the order in which it should be done.
        number: Number of the order; a higher one replaces it.
    """

    service: str
    to: str
    seconds: float
    number: int


class VersionCounts(NamedTuple):
    """Answers on one route since the order, by version.

    Attributes:
        new: Answers of the new version.
        new_failed: Of these, failures and answers that broke off.
        new_slow: Of these, answers later than the route's target.
        old: Answers of the other versions.
        old_failed: Of these, failures and answers that broke off.
        old_slow: Of these, answers later than the route's target.
    """

    new: int = 0
    new_failed: int = 0
    new_slow: int = 0
    old: int = 0
    old_failed: int = 0
    old_slow: int = 0


def add_counts(one: VersionCounts, other: VersionCounts) -> VersionCounts:
    """Return the sum of two counts."""
    return VersionCounts(*map(sum, zip(one, other, strict=True)))


def subtract_counts(one: VersionCounts, other: VersionCounts) -> VersionCounts:
    """Return what came to one count since another; never below zero.

    A gateway that was restarted counts from zero again.
    """
    pairs = zip(one, other, strict=True)
    return VersionCounts(*(max(0, new - old) for new, old in pairs))
