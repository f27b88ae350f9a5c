"""Clocks for time limits that must hold across process and host pauses."""

import time


def read_clock() -> float:
    """Return the seconds of a monotonic clock that includes suspend time.

    ``time.monotonic`` stops while a host is suspended, so an expired lease or
    dispatch deadline would still look valid after the host resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RemoteClock:
    """Estimate of another host's monotonic clock from its responses."""

    def __init__(self) -> None:
        self._offset: float | None = None

    def note(self, seconds: float) -> None:
        """Update the clock offset from the time in a response.

        Args:
            seconds: Remote time in seconds.
        """
        self._offset = seconds - read_clock()

    def estimate_now(self) -> float | None:
        """Return the estimated remote time in seconds, or None if unknown."""
        return None if self._offset is None else self._offset + read_clock()
