"""Counts the crashes that speak against each possible cause.

Runners that end together may have been lost together, and all that ran there
ends with them, sound requests as well. A run that was sent after the crash of
another runner shows that its own crash is a different one.
"""

from collections.abc import Callable, Iterable, Sequence
from math import inf
from typing import NamedTuple

from lagoonpost.systems.request_causes import is_content
from lagoonpost.tables.crash import Crash

CRASH_DETECTION_SECONDS = 4.0
"""Time within which a crashed runner is found to be down: by a connection that
it refuses, or by three missed heartbeats."""
SIMULTANEOUS_SECONDS = 0.5
"""Longest time between crashes that may have happened at once."""


class Count(NamedTuple):
    """The crashes under one cause that no sound run has cleared.

    Attributes:
        cause: The cause.
        rank: Its greatest place among the causes of a run; a higher one is
            shared by fewer requests.
        is_new: Whether it is a content of which no sound run is known.
        runners: Runners that ended under it.
        steps: Crashes that can't have happened at once.
        attempts: Attempts that were cut off.
        first: Time of the first crash, in seconds since the epoch.
    """

    cause: str
    rank: int
    is_new: bool
    runners: int
    steps: int
    attempts: frozenset[str]
    first: float

    @property
    def is_content(self) -> bool:
        """Whether the cause is the content of a request, not a part."""
        return is_content(self.cause)

    @property
    def strength(self) -> tuple[int, bool, int, bool]:
        """What tells the more likely cause of crashes from another one."""
        rank = 0 if self.is_content else self.rank
        return self.runners, self.is_content, rank, self.is_new


def count_causes(
    crashes: Iterable[Crash],
    counts: Callable[[Crash, str], bool],
    is_new: Callable[[str], bool],
) -> list[Count]:
    """Return what counts against each cause.

    Args:
        crashes: The runs that were cut off.
        counts: Returns whether no sound run has cleared a cause of a crash.
        is_new: Returns whether no sound run of a content is known.
    """
    ranks: dict[str, int] = {}
    by_cause: dict[str, list[Crash]] = {}
    for crash in crashes:
        for rank, cause in enumerate(crash.causes):
            if counts(crash, cause):
                ranks[cause] = max(rank, ranks.get(cause, 0))
                by_cause.setdefault(cause, []).append(crash)
    return [
        _count(cause, ranks[cause], is_content(cause) and is_new(cause), runs)
        for cause, runs in by_cause.items()
    ]


def _count(cause: str, rank: int, is_new: bool, runs: list[Crash]) -> Count:
    return Count(
        cause,
        rank,
        is_new,
        len({crash.incarnation for crash in runs}),
        count_steps(runs, by_sending=is_new),
        frozenset(crash.attempt for crash in runs),
        min(crash.latest for crash in runs),
    )


def count_steps(crashes: Sequence[Crash], by_sending: bool) -> int:
    """Return the most crashes of which no two can have happened at once.

    Args:
        crashes: Runs that were cut off.
        by_sending: Whether a run shows that its crash is a different one only
            if it was sent after the other. What was sent before may have been
            cut off as a failure domain was lost, one runner after the other.
    """
    count, last = 0, -inf
    for crash in _list_ends(crashes):
        start = crash.earliest - SIMULTANEOUS_SECONDS
        if by_sending and crash.sent is not None:
            start = min(start, crash.sent)
        if start > last:
            count += 1
            last = crash.latest
    return count


def _list_ends(crashes: Sequence[Crash]) -> list[Crash]:
    """Return the first crash of each runner, in order of time.

    A runner ends once, and may close connections for as long as it is down.
    """
    ends: dict[tuple[str, int], Crash] = {}
    for crash in sorted(crashes, key=lambda crash: crash.latest):
        ends.setdefault(crash.incarnation, crash)
    return list(ends.values())


def find_most_likely(counts: Sequence[Count]) -> list[Count]:
    """Return the most likely cause, or several if nothing tells them apart.

    Of causes that are on the same runs each time, one stands for all.
    """
    best = max((count.strength for count in counts), default=None)
    likely = [count for count in counts if count.strength == best]
    if len({count.attempts for count in likely}) == 1:
        return [min(likely, key=lambda count: count.cause)]
    return likely


def drop_explained(crashes: Sequence[Crash], cause: str) -> list[Crash]:
    """Return the runs that were not cut off by the crashes under a cause."""
    ends: dict[tuple[str, int], list[float]] = {}
    for crash in crashes:
        if cause in crash.causes:
            ends.setdefault(crash.incarnation, []).append(crash.latest)
    return [
        crash
        for crash in crashes
        if not any(
            abs(at - crash.latest) <= CRASH_DETECTION_SECONDS
            for at in ends.get(crash.incarnation, ())
        )
    ]
