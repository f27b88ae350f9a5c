"""What a runner says in its answers that it bears."""

from typing import NamedTuple


class StatedLimits(NamedTuple):
    """Limits that a runner names for itself in an answer.

    Attributes:
        rate: Requests a second that it takes from all gateways together;
            None for any number.
        refusals: Refusals a second beyond which it falls over; None if it
            stands any number.
    """

    rate: float | None = None
    refusals: float | None = None


NO_LIMITS = StatedLimits()
