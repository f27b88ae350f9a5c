"""Counts the requests that runners began, by workspace and window."""

from collections.abc import Callable

KEPT_WINDOWS = 5
"""Windows that are reported to peers: the current one, the two or three whose
usage report may still be due, and one as a margin."""


class UsageCounter:
    """Counts of requests begun through this gateway, by usage window.

    Args:
        seconds: Length of a window.
        clock: Returns seconds since the epoch.

    Attributes:
        begun: Number of begun requests by workspace, by window.
    """

    def __init__(self, seconds: float, clock: Callable[[], float]) -> None:
        self._seconds = seconds
        self._clock = clock
        self.begun: dict[int, dict[str, int]] = {}

    def find_current_window(self) -> int:
        """Return the number of the current window."""
        return int(self._clock() // self._seconds)

    def record_begun(self, workspace: str) -> None:
        """Count one request in the current window."""
        window = self.find_current_window()
        counts = self.begun.get(window)
        if counts is None:
            counts = self.begun[window] = {}
            for old in [w for w in self.begun if w <= window - KEPT_WINDOWS]:
                del self.begun[old]
        counts[workspace] = counts.get(workspace, 0) + 1
