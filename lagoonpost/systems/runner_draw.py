"""Draws the few runners that are compared for a request.

Load pattern: many gateways send to the same runners, and each knows the work
of the others only as of their last reports. If every gateway compares all
runners, all choose the same one until the next report: it gets the requests of
all gateways, and then none, although the others had room. The more is known of
the runners, the more gateways agree, and the longer callers wait.

Each gateway compares a few runners drawn at random, so that a runner is
compared for a fixed share of the requests, whatever the reports say. Faster
runners are drawn more often, as the slower ones would get more than they can
serve. A runner without a working path is drawn only if there are too few
others. If all that were drawn are held to be full, a free one is compared too.
Full runners are not left out: in the reports, a few runners seem free at a
time, and all gateways would choose these.

Plain requests take less time than a report, which then says little. They go to
one of the drawn runners at random, in inverse proportion to the predicted
waits, instead of to the one with the least.
"""

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import NamedTuple

from lagoonpost.tables.endpoint import Endpoint

PROMPT_DRAWS = 2
"""Runners that are compared for a prompt, besides its home. With more of them,
more gateways choose the same one."""
PLAIN_DRAWS = 6
"""Runners that are compared for a plain request. They are chosen at random, so
that more of them don't make gateways choose the same one."""
POOL_RUNNERS = 12
"""Runners drawn evenly, among which the faster ones are then preferred. It
limits the time of a decision with thousands of runners."""
MIN_WAIT_SECONDS = 1e-4
"""Least predicted wait that a random choice is weighted by."""


class Room(NamedTuple):
    """What is known of a runner before it is drawn.

    Attributes:
        rank: Order of preference of its path; the lowest goes first.
        weight: Relative frequency with which it is drawn; above 0.
        free: Whether it is held to have a free slot.
    """

    rank: int
    weight: float
    free: bool


class _Drawn(NamedTuple):
    rank: int
    key: float
    number: int
    free: bool


def draw_runners(
    runners: Sequence[Endpoint],
    count: int,
    find_room: Callable[[Endpoint], Room],
    best_rank: int,
    rng: Random,
) -> list[Endpoint]:
    """Draw runners at random, in proportion to their weights.

    Args:
        runners: The runners that may get the request.
        count: Number of runners to draw.
        find_room: Returns the room of a runner.
        best_rank: Rank of a path that works; others are looked for if too
            few of the runners drawn have it.
        rng: Source of random choices.

    Returns:
        At most ``count`` runners, and one more if these are all held to be
        full and another isn't.
    """
    size = len(runners)
    first = rng.sample(range(size), min(POOL_RUNNERS, size))
    drawn = _draw(runners, first, find_room, rng)
    working = [each for each in drawn if each.rank == best_rank]
    if size > len(first) and (
        len(working) < count or not any(each.free for each in working)
    ):
        seen = frozenset(first)
        others = (index for index in range(size) if index not in seen)
        drawn = sorted(drawn + _draw(runners, others, find_room, rng))
    chosen = drawn[:count]
    if not any(each.free for each in chosen):
        chosen += [
            each
            for each in drawn[count:]
            if each.free and each.rank == chosen[0].rank
        ][:1]
    return [runners[each.number] for each in chosen]


def draw_wait(seconds: float, rng: Random) -> float:
    """Return a random time whose mean is the predicted wait.

    The runner with the least of these times is one chosen at random, in
    inverse proportion to the waits.

    Args:
        seconds: Predicted wait.
        rng: Source of random choices.
    """
    return rng.expovariate(1 / max(MIN_WAIT_SECONDS, seconds))


def _draw(
    runners: Sequence[Endpoint],
    indices: Iterable[int],
    find_room: Callable[[Endpoint], Room],
    rng: Random,
) -> list[_Drawn]:
    """Return runners in random order, those with the best paths first.

    Exponentially distributed keys put each runner first in proportion to its
    weight.
    """
    drawn = []
    for index in indices:
        room = find_room(runners[index])
        key = rng.expovariate(room.weight)
        drawn.append(_Drawn(room.rank, key, index, room.free))
    return sorted(drawn)
