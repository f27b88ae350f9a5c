"""Selection of the days to play and of the days to mutate further."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from search.day import Day
from search.mutation import Mutator
from search.player import Play

MAX_KEPT = 5
"""Number of closest days kept for mutation."""
INITIAL_DRAWS = 6
"""Days drawn from the initial days before any mutation of a kept day."""
RESTART_SHARE = 0.2
"""Share of later days that are still drawn from the initial days, so that the
search leaves local minima."""
MAX_DISTANCE = 5.0
"""Distance, in multiples of the bound, of a rule without a case. A day with a
case is never farther away."""


class Trial(NamedTuple):
    """A day to play.

    Attributes:
        number: Number of the trial, from 1 in the order of the draws.
        parent: Number of the trial whose day was mutated; 0 if the day was
            drawn from the initial days.
        change: Description of the mutation.
        day: The day.
    """

    number: int
    parent: int
    change: str
    day: Day


class TrialResult(NamedTuple):
    """A trial and the result of its play."""

    trial: Trial
    play: Play


def sum_distances(play: Play, rules: Sequence[str]) -> float:
    """Return the sum of a play's distances to the bounds of the rules.

    The sum guides the search towards a rule without a case by a related one:
    a lease that returns early is a step towards calls that come too early.
    """
    return sum(
        min(MAX_DISTANCE, MAX_DISTANCE if distance is None else distance)
        for distance in (play.distances.get(rule) for rule in rules)
    )


def is_past_bound(play: Play, rules: Sequence[str]) -> bool:
    """Return whether a play broke a rule or passed the first rule's bound."""
    distance = play.distances.get(rules[0])
    return bool(play.broken) or (distance is not None and distance < 0)


class DaySelector:
    """Draws the days of a search, close to the best days so far.

    Args:
        starts: Initial days.
        rules: Rules whose distances guide the search, the main one first.
        mutator: Mutates days.
        seed: Seed of all draws.
        even: Draw each day from the initial days, whatever the results.

    Attributes:
        kept: Results with the smallest distances, closest first.
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
        # Also drawn with `even`, so that both modes begin with the same days.
        restart = self._rng.random() < RESTART_SHARE
        if (
            self._even
            or restart
            or self._drawn <= INITIAL_DRAWS
            or not self.kept
        ):
            start = self._rng.choice(self._starts)
            changed = self._mutator.randomize(self._rng, start)
            return Trial(self._drawn, 0, changed.description, changed.day)
        # The closer of two random days, to mutate the best ones most often.
        ranks = range(len(self.kept))
        rank = min(self._rng.choice(ranks), self._rng.choice(ranks))
        parent = self.kept[rank].trial
        changed = self._mutator.mutate(self._rng, parent.day)
        return Trial(
            self._drawn, parent.number, changed.description, changed.day
        )

    def record(self, played: TrialResult) -> None:
        """Add a result; must be called in the order of the trials."""
        if played.play.died:
            return
        self.kept.append(played)
        self.kept.sort(key=lambda kept: sum_distances(kept.play, self._rules))
        del self.kept[MAX_KEPT:]
