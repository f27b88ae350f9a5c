"""Clock for bounds that must hold across pauses of a process or host."""

import time


def read_clock() -> float:
    """Return seconds of a monotonic clock that runs while a host sleeps.

    ``time.monotonic`` stands still while a host is suspended, so a lease or
    a bound on a dispatch would seem fresh when the host is resumed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
