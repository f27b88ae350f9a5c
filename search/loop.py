"""The search itself: plays in parallel, and what came of them."""

import time
from collections import deque
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import NamedTuple

from search.player import Play, Player
from search.selection import DaySelector, Trial, TrialResult, is_past_bound


class Limits(NamedTuple):
    """When a search stops.

    Attributes:
        plays: Plays at most.
        seconds: Seconds after which none begins.
        jobs: Plays at once.
        first: Whether no play begins after one beyond the first bound.
    """

    plays: int
    seconds: float = float("inf")
    jobs: int = 1
    first: bool = False


def search(
    chooser: DaySelector,
    player: Player,
    rules: Sequence[str],
    limits: Limits,
    report: Callable[[TrialResult], None] = lambda _: None,
) -> list[TrialResult]:
    """Return all plays in the order in which their days were drawn.

    Plays are told to the chooser in this order, whichever ends first, and a
    day is drawn once the one `jobs` before it is told. So the days depend on
    the seed, on `jobs` and on the results alone.
    """
    results: list[TrialResult] = []
    under_way: deque[tuple[Trial, Future[Play]]] = deque()
    end = time.monotonic() + limits.seconds
    going = True
    with ThreadPoolExecutor(limits.jobs) as pool:
        while True:
            while going and len(under_way) < limits.jobs:
                drawn = len(results) + len(under_way)
                if drawn >= limits.plays or time.monotonic() > end:
                    going = False
                    break
                trial = chooser.draw()
                future = pool.submit(_play, player, trial)
                under_way.append((trial, future))
            if not under_way:
                return results
            trial, future = under_way.popleft()
            played = TrialResult(trial, future.result())
            chooser.record(played)
            results.append(played)
            report(played)
            if limits.first and is_past_bound(played.play, rules):
                going = False


def _play(player: Player, trial: Trial) -> Play:
    try:
        return player.play(trial.number, trial.day)
    except Exception as error:
        # A play that can't be played is a finding, never the search's end.
        return Play({}, died=f"{type(error).__name__}: {error}")
