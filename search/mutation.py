"""Random mutations of days."""

import math
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from search.day import Day

MAX_MOVE_SECONDS = 4.0
"""Longest move of an event. Most moves are far shorter, since races show up
at differences of tenths and hundredths of a second."""
MIN_MOVE_SECONDS = 0.02
MAX_SCALE_FACTOR = 2.0
MIN_SCALED_VALUE = 0.05
SEED_LIMIT = 1 << 31


class MutatedDay(NamedTuple):
    """A day after a mutation, and a description of the mutation."""

    day: Day
    description: str


class Mutator:
    """Mutates days.

    Args:
        starts: Initial days of the search. An event changes its kind only to
            that of one of their events, so that it fits the site.
        until: Seconds to play; no event begins later.
    """

    def __init__(self, starts: Sequence[Day], until: float) -> None:
        self._until = until
        planned = [
            e for day in starts for e in day.events[: day.planned_count]
        ]
        faults = [e for day in starts for e in day.events[day.planned_count :]]
        self._known_events = {True: planned, False: faults}

    def mutate(self, rng: Random, day: Day) -> MutatedDay:
        """Return a day with one event or its seed changed.

        A pair of events may be moved together instead.
        """
        indices = range(len(day.events))
        # Half of all mutations move events, as their times decide races.
        choices = ["time", "time", "time", "pair", "number", "number", "kind"]
        kind = rng.choice([*choices, "seed"]) if indices else "seed"
        return _CHANGES[kind](self, rng, day, indices)

    def randomize(self, rng: Random, day: Day) -> MutatedDay:
        """Return a day with a new seed and about half its events changed."""
        day = self._seed(rng, day, []).day
        for index in range(len(day.events)):
            if rng.random() < 0.5:
                change = rng.choice([Mutator._move, Mutator._scale])
                day = change(self, rng, day, [index]).day
        return MutatedDay(day, "drawn anew")

    def _seed(
        self, rng: Random, day: Day, _indices: Sequence[int]
    ) -> MutatedDay:
        seed = rng.randrange(1, SEED_LIMIT)
        return MutatedDay(day._replace(seed=seed), f"seed {seed}")

    def _move(
        self, rng: Random, day: Day, indices: Sequence[int]
    ) -> MutatedDay:
        return self._move_all(day, [rng.choice(indices)], _draw_move(rng))

    def _pair(
        self, rng: Random, day: Day, indices: Sequence[int]
    ) -> MutatedDay:
        pair = rng.sample(indices, min(2, len(indices)))
        return self._move_all(day, pair, _draw_move(rng))

    def _move_all(
        self, day: Day, indices: Sequence[int], by: float
    ) -> MutatedDay:
        words = []
        for index in indices:
            event = day.events[index]
            old = float(event["at"])
            at = round(min(max(old + by, 0.0), self._until), 3)
            day = day.replace_event(index, {**event, "at": at})
            words.append(f"{event['kind']} at {old:g} to {at:g}")
        return MutatedDay(day, " and ".join(words))

    def _scale(
        self, rng: Random, day: Day, indices: Sequence[int]
    ) -> MutatedDay:
        index = rng.choice(indices)
        event = day.events[index]
        names = [name for name in _NUMBERS if name in event]
        if not names:
            return self._move(rng, day, [index])
        name = rng.choice(names)
        value = _NUMBERS[name](rng, float(event[name]))
        if isinstance(event[name], int):
            value = max(1, round(value))
        description = f"{event['kind']} at {event['at']:g}: {name} {value:g}"
        return MutatedDay(
            day.replace_event(index, {**event, name: value}), description
        )

    def _kind(
        self, rng: Random, day: Day, indices: Sequence[int]
    ) -> MutatedDay:
        index = rng.choice(indices)
        at = day.events[index]["at"]
        other = rng.choice(self._known_events[index < day.planned_count])
        description = (
            f"{day.events[index]['kind']} at {at:g} to {other['kind']}"
        )
        return MutatedDay(
            day.replace_event(index, {**other, "at": at}), description
        )


_Change = Callable[[Mutator, Random, Day, Sequence[int]], MutatedDay]
_CHANGES: dict[str, _Change] = {
    "time": Mutator._move,
    "pair": Mutator._pair,
    "number": Mutator._scale,
    "kind": Mutator._kind,
    "seed": Mutator._seed,
}


def _scale_number(rng: Random, value: float) -> float:
    factor = math.pow(MAX_SCALE_FACTOR, rng.uniform(-1, 1))
    return max(MIN_SCALED_VALUE, round(value * factor, 3))


def _move_share(rng: Random, value: float) -> float:
    return round(min(max(value + rng.uniform(-0.3, 0.3), 0.05), 1.0), 3)


def _step_count(rng: Random, value: float) -> float:
    return max(1, value + rng.choice((-1, 1)))


_NUMBERS: dict[str, Callable[[Random, float], float]] = {
    "for_s": _scale_number,
    "gap_s": _scale_number,
    "x": _scale_number,
    "share": _move_share,
    "count": _step_count,
}


def _draw_move(rng: Random) -> float:
    size = MIN_MOVE_SECONDS * math.pow(
        MAX_MOVE_SECONDS / MIN_MOVE_SECONDS, rng.random()
    )
    return rng.choice((-size, size))
