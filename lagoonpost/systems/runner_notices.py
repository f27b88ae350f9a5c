"""Decides by what runners say in answers which of them get requests.

Load pattern: runners leave while the store that would tell of it is away, late
or back from an older copy. Such a runner soon has nothing open and looks the
least loaded, so each gateway that goes by loads and by the store sends its
next requests just there.

- A runner that leaves never takes it back: only a later start under the same
  id serves again. Rows of the store say nothing to the contrary, however new
  they are, as a runner may go on renewing its entry while it leaves. The news
  goes to all gateways.
What was said belongs to one start of the runner, as its answers may be heard
after it has started anew.
"""

from typing import NamedTuple

from lagoonpost.tables.endpoint import Endpoint

DEPARTURE_MEMORY_SECONDS = 3600.0
"""How long a departure is remembered: far longer than a runner that leaves
goes on serving, or than rows and gossip about it may be late."""


class _Departed(NamedTuple):
    """The latest start that a runner has said to leave, and when."""

    born: int
    at: float


class RunnerNotices:
    """Which runners leave."""

    def __init__(self) -> None:
        self._departures: dict[str, _Departed] = {}

    # What runners say

    def note_leaving(self, runner: str, born: int, now: float) -> bool:
        """Record that a runner leaves; return whether this is news.

        Args:
            runner: Id of the runner.
            born: Start of its process in milliseconds since the epoch.
            now: Time in seconds.
        """
        known = self._departures.get(runner)
        if known is not None and known.born >= born:
            return False
        self._departures[runner] = _Departed(born, now)
        return True

    def forget_old(self, now: float) -> None:
        """Drop departures of long ago."""
        oldest = now - DEPARTURE_MEMORY_SECONDS
        self._departures = {
            runner: departed
            for runner, departed in self._departures.items()
            if departed.at > oldest
        }

    # The decision

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether a runner has said that it leaves."""
        departed = self._departures.get(endpoint.id)
        return departed is not None and departed.born >= endpoint.born
