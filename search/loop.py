"""Main loop of the search, which runs plays concurrently."""

import time
from collections import deque
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import NamedTuple

from search.player import Play, Player
from search.selection import DaySelector, Trial, TrialResult, is_past_bound


class Limits(NamedTuple):
    """Limits of a search.

    Attributes:
        plays: Maximum number of plays.
        seconds: Seconds after which no play starts.
        jobs: Maximum number of concurrent plays.
        first: Whether to stop after the first play past the bound.
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
    """Return the results of all plays, in the order of the draws.

    Results are recorded in this order, whichever play ends first, and a day is
    drawn only after the result of the trial `jobs` before it is recorded. The
    days therefore depend only on the seed, on `jobs` and on the results.

    Args:
        chooser: Draws the days and records the results.
        player: Plays the days.
        rules: Rules to search for, the main one first.
        limits: Limits of the search.
        report: Called with each result.
    """
    results: list[TrialResult] = []
    pending: deque[tuple[Trial, Future[Play]]] = deque()
    end = time.monotonic() + limits.seconds
    going = True
    with ThreadPoolExecutor(limits.jobs) as pool:
        while True:
            while going and len(pending) < limits.jobs:
                drawn = len(results) + len(pending)
                if drawn >= limits.plays or time.monotonic() > end:
                    going = False
                    break
                trial = chooser.draw()
                future = pool.submit(_play, player, trial)
                pending.append((trial, future))
            if not pending:
                return results
            trial, future = pending.popleft()
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
        # A failed play is a finding and must not end the search.
        return Play({}, died=f"{type(error).__name__}: {error}")
