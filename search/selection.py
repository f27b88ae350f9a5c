"""Which day is played next, and which days are gone on from."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from search.day import Day
from search.mutation import Mutator
from search.player import Play

MAX_KEPT = 5
"""Days that the search goes on from."""
INITIAL_DRAWS = 6
"""Days that are drawn before the search goes on from any."""
RESTART_SHARE = 0.2
"""Share of the days after these that are drawn anew all the same, so that
the search doesn't stay where nothing nearer is to be had."""
MAX_DISTANCE = 5.0
"""Distance, in bounds, of what didn't occur. A day on which it did, however
far from its bound, is nearer."""


class Trial(NamedTuple):
    """A day that was drawn.

    Attributes:
        number: From 1, in the order in which they were drawn.
        parent: Number of the day that it was made from; 0 if drawn anew.
        change: How it was made, in words.
        day: The day.
    """

    number: int
    parent: int
    change: str
    day: Day


class TrialResult(NamedTuple):
    """A trial and its play."""

    trial: Trial
    play: Play


def sum_distances(play: Play, rules: Sequence[str]) -> float:
    """Return how far a play stayed from its bounds, all rules together.

    The sum lets a rule that is near tell of one that didn't occur: a lease
    that comes back soon, of calls that might.
    """
    return sum(
        min(MAX_DISTANCE, MAX_DISTANCE if each is None else each)
        for each in (play.distances.get(rule) for rule in rules)
    )


def is_past_bound(play: Play, rules: Sequence[str]) -> bool:
    """Tell whether a play broke a rule, or went beyond the first bound."""
    distance = play.distances.get(rules[0])
    return bool(play.broken) or (distance is not None and distance < 0)


class DaySelector:
    """Draws the days of a search.

    Args:
        starts: Days that it begins with.
        rules: Rules whose distances lead, the one that matters most first.
        mutator: Makes days of days.
        seed: What all is drawn from.
        even: Draw each day anew, whatever was seen.
    """

    def __init__(
        self,
        starts: Sequence[Day],
        rules: Sequence[str],
        mutator: Mutator,
        seed: int,
        even: bool = False,
    ) -> None:
        self._starts = starts
        self._rules = rules
        self._mutator = mutator
        self._rng = Random(seed)
        self._even = even
        self._drawn = 0
        self.kept: list[TrialResult] = []

    def draw(self) -> Trial:
        """Return the next day to play."""
        self._drawn += 1
        # Drawn in both ways, so that both begin with the same days.
        anew = self._rng.random() < RESTART_SHARE
        if self._even or anew or self._drawn <= INITIAL_DRAWS or not self.kept:
            start = self._rng.choice(self._starts)
            changed = self._mutator.randomize(self._rng, start)
            return Trial(self._drawn, 0, changed.description, changed.day)
        # The nearer of two, so that the best ones are changed most often.
        ranks = range(len(self.kept))
        rank = min(self._rng.choice(ranks), self._rng.choice(ranks))
        parent = self.kept[rank].trial
        changed = self._mutator.mutate(self._rng, parent.day)
        return Trial(
            self._drawn, parent.number, changed.description, changed.day
        )

    def record(self, played: TrialResult) -> None:
        """Take note of a play; called in the order of the trials."""
        if played.play.died:
            return
        self.kept.append(played)
        self.kept.sort(key=lambda each: sum_distances(each.play, self._rules))
        del self.kept[MAX_KEPT:]
