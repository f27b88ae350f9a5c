"""Counts the requests that runners began, by workspace and window."""

from collections.abc import Callable

KEPT_WINDOWS = 5
"""Windows that are reported to the others: the present one and those whose
report may still be due, which are two or three and one to be sure."""


class UsageCounter:
    """This gateway's counts.

    Args:
        seconds: Length of a window.
        clock: Seconds since the epoch.
    """

    def __init__(self, seconds: float, clock: Callable[[], float]) -> None:
        self._seconds = seconds
        self._clock = clock
        self.begun: dict[int, dict[str, int]] = {}

    def find_current_window(self) -> int:
        """Return the number of the present window."""
        return int(self._clock() // self._seconds)

    def record_begun(self, workspace: str) -> None:
        """Count one request in the present window."""
        window = self.find_current_window()
        counts = self.begun.get(window)
        if counts is None:
            counts = self.begun[window] = {}
            for old in [w for w in self.begun if w <= window - KEPT_WINDOWS]:
                del self.begun[old]
        counts[workspace] = counts.get(workspace, 0) + 1
