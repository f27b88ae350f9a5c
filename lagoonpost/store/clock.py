"""Clock for bounds that must hold across pauses of a process or host."""

import time


def read_clock() -> float:
    """Return seconds of a monotonic clock that runs while a host sleeps.

    ``time.monotonic`` stands still while a host is suspended, so a lease or
    a bound on a dispatch would seem fresh when the host is resumed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RemoteClock:
    """The steady clock of another host, as its answers tell it."""

    def __init__(self) -> None:
        self._ahead: float | None = None

    def note(self, seconds: float) -> None:
        """Take the time that an answer names."""
        self._ahead = seconds - read_clock()

    def estimate_now(self) -> float | None:
        """Return its seconds now; None if it has not told any."""
        return None if self._ahead is None else self._ahead + read_clock()
