"""Session affinity: the runner that caches a session, and sources of copies.

Load pattern: many gateways send the prompts of many sessions, and runners
join and leave as spot capacity comes and goes. The home of a session follows
from rendezvous hashing of its last shared part and the runners. All gateways
compute it alike, so that no lookup is needed, and a runner that joins or
leaves moves only its own sessions.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.metadata import PromptPart

MIN_COPIED_TOKENS = 1500
"""Fewest shared tokens for which a copy is requested. A copy takes some ten
milliseconds whatever its size, in which a runner prefills some hundreds of
tokens."""
MAX_RANKINGS = 400
"""Sessions whose ranking is cached; with 64 runners each takes 1 KB."""


class _Ranked(NamedTuple):
    candidates: tuple[Endpoint, ...]
    order: list[Endpoint]


class RankingCache:
    """LRU cache of the runners' ranking for each session.

    Ranking 60 runners by hash takes as long as all other decisions for a
    request, and sessions return while the set of runners is unchanged.
    """

    def __init__(self) -> None:
        self._ranked: OrderedDict[str, _Ranked] = OrderedDict()

    def rank(
        self, endpoints: tuple[Endpoint, ...], parts: Sequence[PromptPart]
    ) -> list[Endpoint]:
        """Return the cached or new result of `rank_by_session`."""
        if len(parts) < 2:
            return []
        key = parts[-2].id
        ranked = self._ranked.get(key)
        if ranked is None or ranked.candidates != endpoints:
            order = rank_by_session(endpoints, parts)
            ranked = self._ranked[key] = _Ranked(endpoints, order)
        self._ranked.move_to_end(key)
        if len(self._ranked) > MAX_RANKINGS:
            self._ranked.popitem(last=False)
        return ranked.order


def rank_by_session(
    endpoints: Sequence[Endpoint], parts: Sequence[PromptPart]
) -> list[Endpoint]:
    """Return the runners in the order in which a session prefers them.

    Rendezvous hashing gives the same order on all gateways that know the
    same runners, and a runner that joins or leaves moves only its own
    sessions.

    Returns:
        The runners, the home first; empty if the prompt has no shared part.
    """
    if len(parts) < 2:
        return []
    key = parts[-2].id
    return sorted(endpoints, key=lambda endpoint: -_hash(key, endpoint.id))


def find_copy_source(
    order: Iterable[Endpoint], target: Endpoint, parts: Sequence[PromptPart]
) -> Endpoint | None:
    """Return the runner from which a prompt's shared parts may be copied.

    If the home changed because a runner joined or left, the previous home is
    the next runner in the session's order, so every gateway that knows the
    same runners finds it without communication.

    Args:
        order: Runners in the session's order, including those that are
            shutting down.
        target: The runner that gets the request. Cached state can only be
            copied between runners of the same version.
        parts: Parts of the prompt; empty if there is no prompt.

    Returns:
        The runner; None if there is none or a copy is not worthwhile.
    """
    shared = sum(part.tokens for part in parts[:-1])
    if shared < MIN_COPIED_TOKENS:
        return None
    return next(
        (
            runner
            for runner in order
            if runner.id != target.id and runner.version == target.version
        ),
        None,
    )


def _hash(key: str, runner: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{runner}".encode())
