"""What gateways measured of the runners' speeds."""

from typing import NamedTuple


class SpeedEvidence(NamedTuple):
    """Recent measurements of one runner by one or more gateways.

    Attributes:
        weight: Number of measurements; older ones count less.
        slowness: Weighted mean of the natural logarithm of the time that the
            runner took, relative to its service's mean for the same work.
    """

    weight: float
    slowness: float
