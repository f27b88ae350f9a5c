"""Issues permits for requests to a runner at the rate that it bears."""

from typing import NamedTuple

MIN_RATE = 0.25
"""Least requests a second to a runner that takes none: only its answers tell
when it takes requests again."""
UNUSED_PERMITS = 1
"""Permits that are kept for later while no request needs one."""
RESERVED_PERMITS = 5
"""Permits that are issued ahead to requests that wait."""


class Granted(NamedTuple):
    """A request may be sent after ``wait`` seconds."""

    wait: float


class Denied(NamedTuple):
    """No request may be sent in time; one could be in ``wait`` seconds."""

    wait: float


def find_longest_reservation(rate: float, longest: float) -> float:
    """Return the seconds for which a request may wait for its permit.

    Args:
        rate: Requests a second to the runner.
        longest: Seconds for which the request may wait at most.
    """
    return min(longest, (RESERVED_PERMITS - 1) / max(MIN_RATE, rate))


class PermitIssuer:
    """Spaces the requests to each runner evenly.

    This is the generic cell rate algorithm: it keeps the time from which the
    next permit is due, which may lie ahead by the permits that are reserved.
    """

    def __init__(self) -> None:
        self._due: dict[str, float] = {}

    def issue(
        self, runner: str, rate: float, longest: float, now: float
    ) -> Granted | Denied:
        """Issue the next permit for a runner, if it is due in time.

        Args:
            runner: Id of the runner.
            rate: Requests a second.
            longest: Seconds for which the request may wait.
            now: Time in seconds.
        """
        pause = 1.0 / rate
        due = self._due.get(runner, now)
        due = max(due, now - UNUSED_PERMITS * pause)
        # Permits that were spaced by a lower limit are due sooner now.
        due = min(due, now + RESERVED_PERMITS * pause)
        wait = max(0.0, due - now)
        if wait > find_longest_reservation(rate, longest):
            return Denied(wait)
        self._due[runner] = due + pause
        return Granted(wait)

    def knows(self, runner: str) -> bool:
        """Return whether a permit for a runner was issued or delayed."""
        return runner in self._due

    def delay(self, runner: str, until: float) -> None:
        """Issue the next permit for a runner at a time or later."""
        self._due[runner] = until

    def forget(self, runner: str) -> None:
        """Forget a runner that is gone."""
        self._due.pop(runner, None)
