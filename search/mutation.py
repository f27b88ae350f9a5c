"""Changes of a day, drawn one at a time."""

import math
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from search.day import Day

MAX_MOVE_SECONDS = 4.0
"""Longest move of a trouble, in seconds. Most moves are far shorter: what
breaks a rule by a race is found by tenths and hundredths of a second."""
MIN_MOVE_SECONDS = 0.02
MAX_SCALE_FACTOR = 2.0
MIN_SCALED_VALUE = 0.05
SEED_LIMIT = 1 << 31


class MutatedDay(NamedTuple):
    """A day after a change, and the change in words."""

    day: Day
    description: str


class Mutator:
    """Draws changes of days.

    Args:
        starts: Days that the search begins with; a changed kind is that of
            one of their troubles, so that it fits the site.
        until: Seconds that are played; no trouble begins later.
    """

    def __init__(self, starts: Sequence[Day], until: float) -> None:
        self._until = until
        planned = [
            e for day in starts for e in day.events[: day.planned_count]
        ]
        faults = [e for day in starts for e in day.events[day.planned_count :]]
        self._known = {True: planned, False: faults}

    def mutate(self, rng: Random, day: Day) -> MutatedDay:
        """Return a day with one change, or a pair moved together."""
        places = range(len(day.events))
        # Half of all changes are moves, as times decide races.
        choices = ["time", "time", "time", "pair", "number", "number", "kind"]
        kind = rng.choice([*choices, "seed"]) if places else "seed"
        return _CHANGES[kind](self, rng, day, places)

    def randomize(self, rng: Random, day: Day) -> MutatedDay:
        """Return a day with a new seed and half of its troubles changed."""
        day = self._seed(rng, day, []).day
        for place in range(len(day.events)):
            if rng.random() < 0.5:
                change = rng.choice([Mutator._move, Mutator._scale])
                day = change(self, rng, day, [place]).day
        return MutatedDay(day, "drawn anew")

    def _seed(
        self, rng: Random, day: Day, _places: Sequence[int]
    ) -> MutatedDay:
        seed = rng.randrange(1, SEED_LIMIT)
        return MutatedDay(day._replace(seed=seed), f"seed {seed}")

    def _move(
        self, rng: Random, day: Day, places: Sequence[int]
    ) -> MutatedDay:
        return self._move_all(day, [rng.choice(places)], _draw_move(rng))

    def _pair(
        self, rng: Random, day: Day, places: Sequence[int]
    ) -> MutatedDay:
        pair = rng.sample(places, min(2, len(places)))
        return self._move_all(day, pair, _draw_move(rng))

    def _move_all(
        self, day: Day, places: Sequence[int], by: float
    ) -> MutatedDay:
        words = []
        for place in places:
            trouble = day.events[place]
            before = float(trouble["at"])
            at = round(min(max(before + by, 0.0), self._until), 3)
            day = day.replace_event(place, {**trouble, "at": at})
            words.append(f"{trouble['kind']} at {before:g} to {at:g}")
        return MutatedDay(day, " and ".join(words))

    def _scale(
        self, rng: Random, day: Day, places: Sequence[int]
    ) -> MutatedDay:
        place = rng.choice(places)
        trouble = day.events[place]
        names = [name for name in _NUMBERS if name in trouble]
        if not names:
            return self._move(rng, day, [place])
        name = rng.choice(names)
        value = _NUMBERS[name](rng, float(trouble[name]))
        if isinstance(trouble[name], int):
            value = max(1, round(value))
        what = f"{trouble['kind']} at {trouble['at']:g}: {name} {value:g}"
        return MutatedDay(
            day.replace_event(place, {**trouble, name: value}), what
        )

    def _kind(
        self, rng: Random, day: Day, places: Sequence[int]
    ) -> MutatedDay:
        place = rng.choice(places)
        at = day.events[place]["at"]
        other = rng.choice(self._known[place < day.planned_count])
        what = f"{day.events[place]['kind']} at {at:g} to {other['kind']}"
        return MutatedDay(day.replace_event(place, {**other, "at": at}), what)


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
