"""Decides by what runners say in answers which of them get requests.

Load pattern: runners leave, or turn requests away and ask for a rest, while
the store that would tell of it is away, late or back from an older copy. Such
a runner soon has nothing open and looks the least loaded, so each gateway that
goes by loads and by the store sends its next requests just there.

- A runner that leaves never takes it back: only a later start under the same
  id serves again. Rows of the store say nothing to the contrary, however new
  they are, as a runner may go on renewing its entry while it leaves. The news
  goes to all gateways.
- A rest binds the gateway that was turned away, and no other: if all obeyed
  each rest, a runner that turns away one of several hundred requests would
  serve nobody. A later, shorter rest does not end an earlier, longer one.
- A runner that was full when it asked for a rest gets no more requests than
  it has slots for some time after it. Under overload each rest otherwise ends
  with a rush of requests, most of which are turned away and begin the next
  one, and the other runners are overrun meanwhile.

Both belong to one start of the runner, as its answers may be heard after it
has started anew.
"""

import math
from typing import NamedTuple

from lagoonpost.tables.endpoint import Endpoint

UNREADABLE_REST_SECONDS = 1.0
"""Rest of a runner that asks for one of a length that can't be read: such a
runner gets a request a second of each gateway at most."""
MAX_REST_SECONDS = 3600.0
"""Longest rest that is kept. A runner that means a longer one says so again
when it is asked after this."""
FULL_MEMORY_SECONDS = 10.0
"""How long a runner that was full gets no more than its slots. An overload
lasts some ten seconds, and a runner that is still full says so again."""
DEPARTURE_MEMORY_SECONDS = 3600.0
"""How long a departure is remembered: far longer than a runner that leaves
goes on serving, or than rows and gossip about it may be late."""


class _Departed(NamedTuple):
    """The latest start of a runner that has said that it leaves, and when."""

    born: int
    at: float


class _Rest(NamedTuple):
    """A rest.

    Attributes:
        born: Start of the runner as it was known when the request was sent, in
            milliseconds since the epoch.
        told: When the runner asked for it, in milliseconds since the epoch.
        until: Its end, in seconds of the steady clock.
    """

    born: int
    told: float
    until: float


class _Full(NamedTuple):
    """When a runner was last full, in seconds of the steady clock."""

    born: int
    at: float


class RunnerNotices:
    """Which runners leave, and which want no requests from this gateway."""

    def __init__(self) -> None:
        self._departures: dict[str, _Departed] = {}
        self._rests: dict[str, _Rest] = {}
        self._full: dict[str, _Full] = {}

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

    def note_rest(
        self,
        endpoint: Endpoint,
        seconds: float,
        requests: int,
        now: float,
        told: float = 0.0,
    ) -> float:
        """Record that a runner wants no requests from this gateway.

        Args:
            endpoint: The runner.
            seconds: Length of the rest, as read; may be any number or none.
            requests: Its open requests, as far as is known here.
            now: Time in seconds at which the answer was read.
            told: The same in milliseconds since the epoch.

        Returns:
            The seconds for which it now rests.
        """
        if not math.isfinite(seconds):
            seconds = UNREADABLE_REST_SECONDS
        until = now + min(seconds, MAX_REST_SECONDS)
        known = self._rests.get(endpoint.id)
        if known is not None and known.born > endpoint.born:
            return 0.0
        if known is not None and known.born == endpoint.born:
            until = max(until, known.until)
        self._rests[endpoint.id] = _Rest(endpoint.born, told, until)
        if requests >= endpoint.slots:
            self._full[endpoint.id] = _Full(endpoint.born, now)
        return until - now

    def forget_old(self, now: float) -> None:
        """Drop rests that are over, and departures of long ago."""
        oldest = now - DEPARTURE_MEMORY_SECONDS
        self._departures = {
            runner: departed
            for runner, departed in self._departures.items()
            if departed.at > oldest
        }
        self._rests = {
            runner: rest
            for runner, rest in self._rests.items()
            if rest.until > now
        }
        self._full = {
            runner: full
            for runner, full in self._full.items()
            if full.at + FULL_MEMORY_SECONDS > now
        }

    # The decision

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether a runner has said that it leaves."""
        departed = self._departures.get(endpoint.id)
        return departed is not None and departed.born >= endpoint.born

    def has_rests(self) -> bool:
        """Return whether any runner may rest or have been full."""
        return bool(self._rests or self._full)

    def find_rest(self, endpoint: Endpoint, now: float) -> float:
        """Return the seconds for which a runner wants no requests."""
        rest = self._rests.get(endpoint.id)
        # A new start may ask for a rest before its entry is known here.
        if rest is None or max(rest.born, rest.told) < endpoint.born:
            return 0.0
        return max(0.0, rest.until - now)

    def has_room(self, endpoint: Endpoint, requests: int, now: float) -> bool:
        """Return whether a runner is expected to take one more request.

        Args:
            endpoint: The runner.
            requests: Its open requests, as far as is known here.
            now: Time in seconds.
        """
        full = self._full.get(endpoint.id)
        if full is None or full.born != endpoint.born:
            return True
        if now >= full.at + FULL_MEMORY_SECONDS:
            return True
        return requests < endpoint.slots

    def may_send(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a runner may get a request from this gateway.

        Args:
            endpoint: The runner.
            now: Time in seconds.
        """
        return not self.is_leaving(endpoint) and not self.find_rest(
            endpoint, now
        )
