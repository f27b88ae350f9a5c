"""Cold starts: which runners bear only a few requests a second for now.

A runner that has just started, or that was emptied, is slow for some seconds
and crashes at more requests than its service says that a cold runner bears. It
says in its entry for how long it stays cold.
"""

import math


class ColdStarts:
    """The runners that are cold, or may be."""

    def __init__(self) -> None:
        self._cold_until: dict[str, float] = {}
        self._returning_until: dict[str, float] = {}

    def note_entry(self, runner: str, seconds: float, now: float) -> bool:
        """Record for how long a runner says that it stays cold.

        Returns:
            Whether the runner has turned cold or warm.
        """
        before = self._cold_until.pop(runner, None)
        if seconds > 0:
            self._cold_until[runner] = now + seconds
        return (before is not None) != (seconds > 0)

    def note_return(self, runner: str, seconds: float, now: float) -> None:
        """Assume that a runner is cold, until its entry could tell.

        A runner that gets requests again after an evacuation may have turned
        cold since its last entry.
        """
        self._returning_until[runner] = now + seconds

    def forget(self, runner: str) -> None:
        """Forget a runner that is gone."""
        self._cold_until.pop(runner, None)
        self._returning_until.pop(runner, None)

    def is_cold(self, runner: str, now: float) -> bool:
        """Return whether a runner is cold, or may be."""
        return now < max(
            self._cold_until.get(runner, -math.inf),
            self._returning_until.get(runner, -math.inf),
        )
