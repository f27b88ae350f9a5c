"""Orders to shift a service's traffic to another version, and their state."""

from typing import Literal, NamedTuple

ShiftPhase = Literal["trial", "all", "complete", "taken_back"]
"""Progress of a shift. ``trial``: a few requests go to the new version.
``all``: all requests do. ``complete``: the old runners are no longer needed.
``taken_back``: the shift was rolled back, and no requests go to the new
version."""
SHIFT_PHASES: tuple[ShiftPhase, ...] = (
    "trial",
    "all",
    "complete",
    "taken_back",
)


class ShiftOrder(NamedTuple):
    """Order of an operator to shift a service's traffic.

    Attributes:
        service: Name of the service.
        to: Version that receives all traffic after the shift.
        seconds: Time from the order within which the shift should complete.
        number: Number of the order; a higher number replaces a lower one.
    """

    service: str
    to: str
    seconds: float
    number: int


class VersionCounts(NamedTuple):
    """Responses on one route since the order was placed.

    Attributes:
        new: Responses of the new version.
        new_failed: Responses of the new version that failed or were cut off.
        new_slow: Responses of the new version that missed the route's
            latency target.
        old: Responses of all other versions.
        old_failed: Responses of other versions that failed or were cut off.
        old_slow: Responses of other versions that missed the route's latency
            target.
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
    """Return the increase from ``other`` to ``one``, field by field.

    A decrease counts as 0, because a restarted gateway counts from zero
    again.

    Args:
        one: Later counts.
        other: Earlier counts.
    """
    pairs = zip(one, other, strict=True)
    return VersionCounts(*(max(0, new - old) for new, old in pairs))
