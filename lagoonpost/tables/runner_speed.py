"""What gateways measured of the runners' speeds."""

from enum import IntEnum
from typing import NamedTuple


class Measure(IntEnum):
    """What was timed."""

    EVENT_GAP = 0
    """Time between two events of a stream."""
    PROMPT_TOKEN = 1
    """Prefill time per token of a prompt that found no other in prefill."""
    PLAIN_CALL = 2
    """Time of a plain call that found a free slot."""


class SpeedSamples(NamedTuple):
    """One gateway's new measurements of a runner.

    Attributes:
        measure: What was timed, as a `Measure`.
        samples: Number of measurements.
        pace: Mean of the natural logarithm of the seconds, in hundredths.
        load: Mean of the requests at the runner, in percent of its slots.
    """

    measure: int
    samples: int
    pace: int
    load: int


class SpeedEvidence(NamedTuple):
    """What all gateways together know of a runner.

    Attributes:
        weight: Number of measurements; older ones count less.
        slowness: Time that the runner takes relative to the mean of its
            service, in percent.
        capacity: Requests at once up to which it keeps its pace, in percent
            of its slots.
    """

    weight: int
    slowness: int
    capacity: int
