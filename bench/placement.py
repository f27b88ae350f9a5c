"""Measures the time to choose a runner by the number of runners.

Run: python -m bench.placement
"""

import time
from random import Random

import click

from lagoonpost.systems.placement import Placement, PlacementRequest
from lagoonpost.systems.reach import DIRECT_PATH
from lagoonpost.tables.address import Address
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.metadata import PromptPart
from lagoonpost.tables.scheduling import NO_PARTS, Scheduling

COUNTS = (9, 70, 2800)
CHOICES = 20_000
"""Runner evaluations per count, so that all counts take similar time."""
PROMPT = PlacementRequest(
    "chat",
    9000,
    (PromptPart("a", 2500), PromptPart("b", 3700), PromptPart("c", 2800)),
    True,
)


def measure(count: int, parts: Scheduling = NO_PARTS) -> float:
    """Return the seconds per choice among ``count`` runners."""
    runners = [
        Endpoint(f"i-{n}", "chat", Address("10.0.0.1", 80), "a", "v1", 16)
        for n in range(count)
    ]
    placement, rng = Placement(), Random(1)
    placement.scheduling = parts
    paths = dict.fromkeys((runner.id for runner in runners), DIRECT_PATH)
    rounds = max(3, CHOICES // count)
    started = time.perf_counter()
    for number in range(rounds):
        placement.choose(runners, PROMPT, float(number), rng, paths=paths)
    return (time.perf_counter() - started) / rounds


def main() -> None:
    """Print the time per choice and its ratio to the smallest count."""
    base = measure(COUNTS[0])
    for count in COUNTS:
        seconds = measure(count)
        drawn = measure(count, Scheduling(draws=True))
        click.echo(
            f"{count} runners: {seconds * 1e6:.0f} us, {seconds / base:.1f} x,"
            f" with draws {drawn / seconds:.2f} of it"
        )


if __name__ == "__main__":
    main()
