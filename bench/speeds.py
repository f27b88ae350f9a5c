"""Compares ways to learn the speeds of runners: `python -m bench.speeds`.

Played runners have speeds of 0.6, 1 and 1.6 and loads that come and go. Their
steps grow with the batch, and samples vary by 15 in 100. Printed is the mean
error of the speeds after some seconds with ten samples a runner and second,
how one runner is seen whose steps take 2.5 times as long from 6 to 12 s, and
the capacity of runners that slow down from half of their slots on. In "pauses"
a seventh of the runners takes 2.5 times as long, redrawn each 0.6 s.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Sequence
from random import Random
from statistics import mean
from typing import Protocol

import click

from lagoonpost.http.message import Address
from lagoonpost.systems.runner_speeds import RunnerSpeeds
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.runner_speed import Measure

RUNNERS = 36
SLOTS = 24
SPEEDS = (0.6, 1.0, 1.6)
SAMPLES_PER_SECOND = 10.0
STEP_SECONDS = 0.05
SEEDS = 10
FADE_SECONDS = 5.0


class Learner(Protocol):
    """A way to learn the runners' speeds."""

    def note(self, runner: int, took: float, load: int, now: float) -> None:
        """Record the time of a sample with so many requests at the runner."""

    def slowness(self, runner: int, now: float) -> float:
        """Return the time relative to the mean of all."""

    def capacity(self, runner: int, now: float) -> int:
        """Return the requests at once that the runner takes well."""


class Model:
    """The product's."""

    def __init__(self) -> None:
        address = Address("127.0.0.1", 1)
        self._runners = [
            Endpoint(f"chat-{n}", "chat", address, "a", "v1", SLOTS)
            for n in range(RUNNERS)
        ]
        self._speeds = RunnerSpeeds()

    def note(self, runner: int, took: float, load: int, now: float) -> None:
        """Record a sample."""
        self._speeds.note_runners(self._runners, now)
        self._speeds.note_sample(
            self._runners[runner], Measure.EVENT_GAP, took, load, now
        )

    def slowness(self, runner: int, now: float) -> float:
        """Return the slowness."""
        return self._speeds.slowness(self._runners[runner].id, now)

    def capacity(self, runner: int, now: float) -> int:
        """Return the capacity."""
        return self._speeds.capacity(self._runners[runner].id, SLOTS, now)


class FadingMean:
    """Fading means of the logarithms; the load is not known."""

    def __init__(self) -> None:
        self._sums = [(0.0, 0.0, 0.0)] * RUNNERS

    def note(self, runner: int, took: float, load: int, now: float) -> None:
        """Record a sample."""
        weight, average, at = self._sums[runner]
        weight = weight * math.exp((at - now) / FADE_SECONDS) + 1
        average += (math.log(took) - average) / weight
        self._sums[runner] = weight, average, now

    def slowness(self, runner: int, now: float) -> float:
        """Return the slowness."""
        known = [average for weight, average, _ in self._sums if weight]
        weight, average, _ = self._sums[runner]
        part = weight / (weight + 1)
        return math.exp((average - mean(known)) * part) if weight else 1.0

    def capacity(self, runner: int, now: float) -> int:
        """Return the slots."""
        return SLOTS


class FittedLine:
    """A fading line of the time over the load for each runner."""

    def __init__(self) -> None:
        self._sums = [[0.0] * 5 for _ in range(RUNNERS)]
        self._at = [0.0] * RUNNERS

    def note(self, runner: int, took: float, load: int, now: float) -> None:
        """Record a sample."""
        kept = math.exp((self._at[runner] - now) / FADE_SECONDS)
        self._at[runner] = now
        sample = (1, load, took, load * load, load * took)
        self._sums[runner] = [
            kept * before + value
            for before, value in zip(self._sums[runner], sample, strict=True)
        ]

    def _predict(self, runner: int, load: float) -> float:
        count, x, y, xx, xy = self._sums[runner]
        if not count:
            return 1.0
        # As if one sample was two requests off, against division by 0.
        slope = (xy - x * y / count) / (xx - x * x / count + 4)
        return max(1e-4, y / count + slope * (load - x / count))

    def slowness(self, runner: int, now: float) -> float:
        """Return the slowness at half of the slots."""
        times = [self._predict(other, SLOTS / 2) for other in range(RUNNERS)]
        return math.exp(math.log(times[runner]) - mean(map(math.log, times)))

    def capacity(self, runner: int, now: float) -> int:
        """Return the load at which the time is twice that at two requests."""
        least = self._predict(runner, 2)
        loads = range(2, SLOTS)
        return next(
            (n for n in loads if self._predict(runner, n) > 2 * least), SLOTS
        )


class Gradient:
    """A limit that follows the least time over the time now."""

    def __init__(self) -> None:
        self._least = [math.inf] * RUNNERS
        self._limits = [float(SLOTS)] * RUNNERS

    def note(self, runner: int, took: float, load: int, now: float) -> None:
        """Record a sample; the least time rises slowly."""
        least = min(took, self._least[runner] * 1.002)
        self._least[runner] = least
        limit = self._limits[runner]
        if load > limit / 2:
            gradient = max(0.5, min(1.0, 1.5 * least / took))
            wanted = 0.8 * limit + 0.2 * (limit * gradient + math.sqrt(limit))
            self._limits[runner] = max(1.0, min(float(SLOTS), wanted))

    def slowness(self, runner: int, now: float) -> float:
        """Return the slowness of the least time."""
        known = [math.log(x) for x in self._least if x < math.inf]
        least = self._least[runner]
        return math.exp(math.log(least) - mean(known)) if known else 1.0

    def capacity(self, runner: int, now: float) -> int:
        """Return the limit."""
        return int(self._limits[runner])


WAYS: Sequence[Callable[[], Learner]] = (
    Model,
    FadingMean,
    FittedLine,
    Gradient,
)
Seen = dict[float, tuple[float, float]]


def play(
    learner: Learner,
    seed: int,
    seconds: float,
    pauses: bool = False,
    changes: bool = False,
    knees: int = 0,
) -> Seen:
    """Return the mean error and the first runner's slowness over its first.

    Args:
        learner: The way to learn.
        seed: Seed of the random choices.
        seconds: How long to play.
        pauses: Whether runners pause.
        changes: Whether the first runner turns slow from 6 to 12 s.
        knees: Number of runners that slow down from half of their slots on.
    """
    rng = Random(seed)
    center = mean(map(math.log, SPEEDS))
    true = [SPEEDS[n % len(SPEEDS)] for n in range(RUNNERS)]
    loads = [(rng.uniform(2, 14), rng.uniform(0, 6)) for _ in true]
    slowed: set[int] = set()
    seen: Seen = {}
    steps = round(seconds / STEP_SECONDS)
    for step in range(1, steps + 1):
        now = step * STEP_SECONDS
        if pauses and step % 12 == 1:
            slowed = {n for n in range(RUNNERS) if rng.random() < 1 / 7}
        for runner, (middle, phase) in enumerate(loads):
            if rng.random() > SAMPLES_PER_SECOND * STEP_SECONDS:
                continue
            swing = 12 if knees else middle
            load = round(middle + swing * math.sin(1.1 * now + phase))
            load = max(1, min(SLOTS, load))
            took = true[runner] * (3.41 + 0.097 * load) * 0.007
            took *= math.exp(rng.gauss(0, 0.15))
            took *= 2.5 if runner in slowed else 1.0
            took *= 2.5 if changes and not runner and 6 <= now < 12 else 1.0
            if runner < knees:
                took *= 1 + max(0, load - SLOTS // 2) / 6
            learner.note(runner, took, load, now)
        if step % 10 == 0:
            errors = [
                abs(math.log(learner.slowness(n, now)) - math.log(t) + center)
                for n, t in enumerate(true)
            ]
            first = learner.slowness(0, now) / true[0] * math.exp(center)
            seen[round(now, 1)] = mean(errors), first
    return seen


@click.command()
def main() -> None:
    """Print a table of the ways."""
    for way in WAYS:
        for name, pauses in (("steady", False), ("pauses", True)):
            errors = defaultdict(list)
            firsts = defaultdict(list)
            for seed in range(SEEDS):
                for now, (error, _) in play(way(), seed, 10, pauses).items():
                    errors[now].append(error)
                seen = play(way(), seed, 18, pauses, changes=True)
                for now, (_, first) in seen.items():
                    firsts[now].append(first)
            told = [f"{mean(errors[t]):.3f}" for t in (1.0, 2.0, 4.0, 10.0)]
            click.echo(f"{way.__name__} {name}: error {' '.join(told)}")
            told = [
                f"{t}: {mean(firsts[t]):.2f}"
                for t in (6.0, 7.0, 8.0, 9.0, 12.0, 13.0, 14.0, 15.0, 18.0)
            ]
            click.echo(f"  changed runner {' '.join(told)}")
        learner = way()
        play(learner, 1, 30, True, knees=4)
        found = [learner.capacity(n, 30.0) for n in range(RUNNERS)]
        click.echo(
            f"  capacity with knee {found[:4]}, least of others "
            f"{min(found[4:])}, mean {mean(found[4:]):.1f}"
        )


if __name__ == "__main__":
    main()
