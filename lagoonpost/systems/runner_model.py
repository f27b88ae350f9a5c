"""Models of the times that runners take, relative to their service.

The logarithm of a measured time is modelled as a sum: what the service takes
at low load, how this grows with the load, how the runner's growth differs from
its service's, and the runner's own speed. Measurements far from the expected
count as if they were nearer, so neither one slow answer nor one gateway's
false report moves a runner far. If most of the recent ones lie on one side,
the runner has changed, and the earlier ones are dropped.
"""

import math
from itertools import accumulate
from typing import NamedTuple

from lagoonpost.tables.runner_speed import Measure

EVIDENCE_SECONDS = 4.0
"""Time constant with which measurements of a speed lose weight."""
PRIOR_WEIGHT = 1.0
"""Measurements that the assumption counts for that a runner is as fast as its
service's mean. As the measurements lose weight, an avoided runner is held to
be nearer to the mean and is tried again."""
MAX_DEVIATION = 0.25
"""Largest deviation of a measurement from the expected time that counts in
full, as a logarithm: a factor of 1.3."""
MIN_BASE_GAIN = 0.005
"""Least weight of a measurement in its service's mean time."""
FIRST_DEVIATION = 0.7
"""What this bound is wider by for a runner without measurements."""
RECENT_SECONDS = 1.0
"""Time constant of the measurements that show whether a runner changed."""
CHANGE_DEVIATION, MAX_CHANGE = 0.2, 1.0
"""Deviation of a measurement, as a logarithm, from which it speaks for a
change, and the largest change that is followed at once."""
CHANGE_SHARE = 0.6
"""Part of the recent measurements that must speak for a change. If all of them
do, this takes a second: a pause of half a second, as for a collection of
garbage, is over by then, and two false reporters in five are too few."""
RECENT_SAMPLES = 5.0
"""The same for a runner with few requests, in measurements."""
FIRST_RECENT_WEIGHT = 3.0
"""Measurements that are assumed to be as expected at first and after a change,
so that the next two cannot show another one."""
MAX_SPEED = math.log(8.0)
"""Bound of a runner's speed, as a logarithm. With a larger one, a gateway that
alone reports on a runner, and falsely, could keep it from all requests."""
KNOTS = 4
"""Parts of the range of loads, from none to all slots taken."""
NEW_LOAD = 0.25
"""Load above a runner's mean, as a part of its slots, from which a deviation
is ascribed to the load alone. At a steady load it is ascribed to the speed."""
KNEE_GAIN = 0.2
"""Weight of a measurement at a new load in the runner's growth."""
MIN_LEARNED_WEIGHT = 5.0
"""Measurements of a runner's speed before deviations are ascribed to the
load."""
SLOPE_SECONDS = 60.0
"""Time constant with which measurements of a service's growth with the load
lose weight."""
SLOPE_PRIOR = 0.5
"""Spread of loads, as a sum of squares, that the assumption counts for that
times do not grow with the load: that of some ten measurements."""
KNEE_SECONDS = 60.0
"""Time constant with which a runner's own growth is forgotten. A runner that
is kept below its knee shows no measurements above it, so after this time it
is tried there again."""
KNEE_PAUSE_SECONDS = 1.0
"""Pause between the steps in which it is forgotten."""
MIN_CAPACITY, CAPACITY_STEP = 25, 5
"""Least capacity and its steps, in percent of the slots."""
KNEE_TOLERANCE = 0.02
"""Part of the highest throughput that may be given up for fewer requests at
once."""
_HARMLESS_SLOPE, _HARMLESS_KNEE = 0.9, 0.1
"""Growth with the load below which each request more gets more work done."""


class Estimate(NamedTuple):
    """An estimate of a runner's speed.

    Attributes:
        weight: Number of measurements behind it as of ``at``.
        mean: Logarithm of the time relative to the service's mean, at the
            load.
        capacity: Requests at once that the runner takes well, in percent of
            its slots.
        at: Time of the newest measurement, in seconds.
        load: Mean load of the measurements, as a part of the slots; 0 if
            ``mean`` holds for any load.
    """

    weight: float = 0.0
    mean: float = 0.0
    capacity: int = 100
    at: float = -math.inf
    load: float = 0.0

    def fade(self, now: float) -> float:
        """Return the weight that is left."""
        if not self.weight:
            return 0.0
        age = max(0.0, now - self.at)
        return self.weight * math.exp(-age / EVIDENCE_SECONDS)


class ServiceModel:
    """Expected times of one measure at one service.

    The slope is found by least squares over each runner's own loads. Between
    runners, the loads differ because the speeds do.

    Attributes:
        base: Logarithm of the mean time at low load.
    """

    def __init__(self, base: float) -> None:
        self.base = base
        self._samples = 0
        self._product = 0.0
        self._square = 0.0
        self._at = -math.inf

    @property
    def slope(self) -> float:
        """How much the logarithm grows from no load to all slots taken."""
        return max(0.0, self._product / (self._square + SLOPE_PRIOR))

    def note_growth(self, load: float, change: float, now: float) -> None:
        """Record by how much a time changed with the load.

        Args:
            load: Difference of the load from the runner's mean load.
            change: Difference of the logarithm of the time.
            now: Time in seconds.
        """
        kept = math.exp(min(0.0, self._at - now) / SLOPE_SECONDS)
        self._at = now
        self._product = kept * self._product + load * change
        self._square = kept * self._square + load * load

    def note_deviation(self, deviation: float, samples: int) -> None:
        """Update the mean time from measurements that deviated from it."""
        self._samples += samples
        gain = max(MIN_BASE_GAIN, 1 / self._samples)
        self.base += min(1.0, gain * samples) * deviation


class _Recent:
    """The recent deviations of a runner, which show whether it changed."""

    def __init__(self) -> None:
        self.weight = FIRST_RECENT_WEIGHT
        self._mean = 0.0
        self._side = 0.0
        self._at = -math.inf

    @property
    def change(self) -> float:
        """Deviation of those that speak for a change."""
        change = self._mean / max(CHANGE_SHARE, abs(self._side))
        return min(MAX_CHANGE, max(-MAX_CHANGE, change))

    def note(self, deviation: float, samples: int, now: float) -> bool:
        """Record a deviation, and return whether the runner has changed."""
        side = 0.0
        if abs(deviation) > CHANGE_DEVIATION:
            side = math.copysign(1.0, deviation)
        deviation = min(MAX_CHANGE, max(-MAX_CHANGE, deviation))
        faded = max(0.0, now - self._at) / RECENT_SECONDS
        faded = min(faded, samples / RECENT_SAMPLES)
        self._at = now
        self.weight = self.weight * math.exp(-faded) + samples
        gain = samples / self.weight
        self._mean += gain * (deviation - self._mean)
        self._side += gain * (side - self._side)
        # One more measurement is assumed to speak against it.
        share = abs(self._side) * self.weight / (self.weight + 1)
        return share >= CHANGE_SHARE


class RunnerModel:
    """Model of one incarnation of a runner.

    Attributes:
        own: Estimate from the measurements that were learned here.
        measure: What was timed last.
    """

    def __init__(self) -> None:
        self.own = Estimate()
        self.measure = Measure.EVENT_GAP
        self._recent = _Recent()
        self._knee = [0.0] * (KNOTS + 1)
        self._knee_at = -math.inf

    def learn(
        self,
        service: ServiceModel,
        measure: Measure,
        logarithm: float,
        load: float,
        samples: int,
        now: float,
    ) -> None:
        """Update both models from measurements at one load.

        Args:
            service: Model of the measure at the runner's service.
            measure: What was timed.
            logarithm: Mean logarithm of the seconds.
            load: Requests at the runner, as a part of its slots.
            samples: Number of measurements.
            now: Time in seconds.
        """
        self.measure = measure
        self._forget_knee(now)
        own, weight = self.own, self.own.fade(now)
        distance = load - own.load if weight else 0.0
        grown = service.slope * distance
        expected = (
            service.base + own.mean + grown + _interpolate(self._knee, load)
        )
        deviation = logarithm - expected
        new_load = 0.0
        if weight >= MIN_LEARNED_WEIGHT:
            new_load = min(1.0, max(0.0, distance / NEW_LOAD))
        if new_load < 1.0 and self._recent.note(deviation, samples, now):
            # What was measured before the change is void.
            self.own = own._replace(
                weight=min(weight, self._recent.weight),
                mean=own.mean + self._recent.change,
                at=now,
            )
            self._recent = _Recent()
            return
        bound = MAX_DEVIATION + FIRST_DEVIATION / (1 + weight)
        deviation = min(bound, max(-bound, deviation))
        if weight:
            service.note_growth(distance, grown + deviation, now)
        service.note_deviation(deviation, samples)
        gain = samples / (weight + samples)
        mean = own.mean + gain * (grown + (1 - new_load) * deviation)
        self.own = own._replace(
            weight=weight + samples,
            mean=min(MAX_SPEED, max(-MAX_SPEED, mean)),
            load=own.load + gain * (load - own.load),
            at=now,
        )
        if new_load:
            change = KNEE_GAIN * new_load * samples * deviation
            _add_at(self._knee, load, change)

    def shift(self, change: float) -> None:
        """Add to the logarithm of the relative time."""
        self.own = self.own._replace(mean=self.own.mean + change)

    def update_capacity(self, slope: float) -> None:
        """Find the load from which more requests get no more work done.

        Args:
            slope: The service's growth with the load.
        """
        capacity = 100
        if slope >= _HARMLESS_SLOPE or max(self._knee) >= _HARMLESS_KNEE:
            capacity = self._find_capacity(slope)
        if capacity != self.own.capacity:
            self.own = self.own._replace(capacity=capacity)

    def _find_capacity(self, slope: float) -> int:
        # Knots above the loads seen so far still have their first value.
        growth = list(accumulate(self._knee, max))
        rates: dict[int, float] = {}
        for percent in range(MIN_CAPACITY, 101, CAPACITY_STEP):
            load = percent / 100
            grown = slope * load + _interpolate(growth, load)
            rates[percent] = load / math.exp(grown)
        enough = (1 - KNEE_TOLERANCE) * max(rates.values())
        return min(p for p, rate in rates.items() if rate >= enough)

    def _forget_knee(self, now: float) -> None:
        age = now - self._knee_at
        if age < KNEE_PAUSE_SECONDS:
            return
        self._knee_at = now
        kept = math.exp(-age / KNEE_SECONDS)
        self._knee = [value * kept for value in self._knee]


def _interpolate(values: list[float], load: float) -> float:
    """Return the value of a piecewise linear function at a load, 0 to 1."""
    index = min(KNOTS - 1, int(load * KNOTS))
    part = load * KNOTS - index
    return values[index] * (1 - part) + values[index + 1] * part


def _add_at(values: list[float], load: float, change: float) -> None:
    """Change the knots beside a load; the first stays 0, none falls below."""
    index = min(KNOTS - 1, int(load * KNOTS))
    part = load * KNOTS - index
    for knot, share in ((index, 1 - part), (index + 1, part)):
        if knot:
            values[knot] = max(0.0, values[knot] + share * change)
