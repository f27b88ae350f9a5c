"""Homes of prompts: the runners that cache the shared parts of a prompt.

Load pattern: the demand for shared parts is uneven. A few are at times asked
for by a quarter of all prompts, which is more than one runner serves, and
others become the most wanted within seconds. With a single home, the prompts
that it can't serve are read whole wherever they go. Runners differ in speed as
well: with as many sessions each, the slow ones fall behind.

The homes of a session are the first of the ranking of `session_affinity`, as
many as its share of the work needs. All gateways rank alike, and each takes
the share from the prompts that it has sent lately, which are a sample of those
of all gateways. If they differ in the number, they still agree on the first
homes. A session passes over a runner in proportion to its slowness, by a hash,
so that a change of its speed moves only a part of its sessions. Runners that
are full or can't be reached are replaced by the next.
"""

import math
from collections.abc import Callable, Iterable, Sequence

import xxhash

from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.metadata import PromptPart

DEMAND_SECONDS = 4.0
"""Time constant with which demand is forgotten, in which a gateway with five
prompts a second sees enough of them to tell a quarter from a tenth."""
MIN_PROMPTS = 1.5
"""Least recent prompts of a session for more than one home."""
HOME_SHARE = 0.25
"""Part of a runner's work that a session may take before it gets another
home. The rest is for the other sessions, and for the prompts that all gateways
send at once as they know each other's late."""
MAX_SESSIONS = 1000
"""Sessions whose demand is kept, of 0.2 KB each."""
FULL_ACCEPTANCE_SLOWNESS = 0.5
"""Slowness up to which a runner is passed over by no session."""


class PromptDemand:
    """Recent demand for the sessions of one service at this gateway."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}
        self._prompts: dict[str, float] = {}
        self._total = 0.0
        self._epoch = 0.0

    def note(self, parts: Sequence[PromptPart], now: float) -> None:
        """Count a prompt that is sent.

        Args:
            parts: Its parts; the last is its own and has to be read.
            now: Time in seconds.
        """
        if not parts:
            return
        # Growing weights for new prompts save the decay of all old ones.
        if now - self._epoch > 10 * DEMAND_SECONDS:
            self._restart(now)
        weight = math.exp((now - self._epoch) / DEMAND_SECONDS)
        self._total += weight * parts[-1].tokens
        if len(parts) < 2:
            return
        key = parts[-2].id
        tokens = self._tokens.get(key, 0.0) + weight * parts[-1].tokens
        self._tokens[key] = tokens
        self._prompts[key] = self._prompts.get(key, 0.0) + weight
        if len(self._tokens) > MAX_SESSIONS:
            self._keep_most_wanted()

    def count_homes(
        self, parts: Sequence[PromptPart], runners: int, now: float
    ) -> int:
        """Return how many runners the prompts of a session need.

        Args:
            parts: Parts of a prompt of the session.
            runners: Number of runners of the service.
            now: Time in seconds.
        """
        key = parts[-2].id
        prompts = self._prompts.get(key, 0.0) * math.exp(
            (self._epoch - now) / DEMAND_SECONDS
        )
        if prompts < MIN_PROMPTS:
            return 1
        # The first prompt says nothing of how many will come.
        share = self._tokens[key] / self._total * (1 - 1 / prompts)
        return max(1, min(runners, math.ceil(share * runners / HOME_SHARE)))

    def _restart(self, now: float) -> None:
        fade = math.exp((self._epoch - now) / DEMAND_SECONDS)
        self._tokens = {key: n * fade for key, n in self._tokens.items()}
        self._prompts = {key: n * fade for key, n in self._prompts.items()}
        self._total *= fade
        self._epoch = now
        self._keep_most_wanted()

    def _keep_most_wanted(self) -> None:
        by_prompts = sorted(self._prompts, key=self._prompts.__getitem__)
        for key in by_prompts[: -MAX_SESSIONS // 2]:
            del self._tokens[key], self._prompts[key]


def find_homes(
    order: Iterable[Endpoint],
    key: str,
    count: int,
    slowness: Callable[[Endpoint], float],
    has_room: Callable[[Endpoint], bool],
) -> list[Endpoint]:
    """Return the homes of a session, the first one first.

    Args:
        order: The runners that may get a prompt, as the session ranks them.
        key: Id of the session's last shared part.
        count: Number of homes.
        slowness: Returns the slowness of a runner.
        has_room: Returns whether a runner has a free slot and a path that
            works.

    Returns:
        At most ``count`` runners with room; the first runner of the order if
        none has room.
    """
    homes: list[Endpoint] = []
    first: Endpoint | None = None
    for runner in order:
        first = first or runner
        if _accepts(key, runner, slowness(runner)) and has_room(runner):
            homes.append(runner)
            if len(homes) >= count:
                break
    return homes or ([first] if first else [])


def _accepts(key: str, runner: Endpoint, slowness: float) -> bool:
    share = FULL_ACCEPTANCE_SLOWNESS / slowness
    if share >= 1.0:
        return True
    drawn = xxhash.xxh3_64_intdigest(f"{runner.id}|{key}".encode())
    return drawn < share * 2**64
