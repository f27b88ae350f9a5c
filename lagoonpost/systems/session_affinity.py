"""Which runner holds a session, and where its memory may be copied from.

Pattern of load: many gateways send the prompts of many sessions, and runners
come and go with droughts. Who holds a session follows from a hash of its last
shared part and the runners, which all gateways know alike, so that nobody is
asked and a runner that comes or goes moves only its own sessions.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.metadata import PromptPart

MIN_COPIED_TOKENS = 1500
"""Shared tokens from which a copy is asked for: it takes some ten milliseconds
however few they are, in which a runner reads some hundreds."""
MAX_RANKINGS = 400
"""Sessions whose order of runners is kept; 64 runners take 1 KB each."""


class _Ranked(NamedTuple):
    candidates: tuple[Endpoint, ...]
    order: list[Endpoint]


class RankingCache:
    """Keeps the orders in which sessions prefer runners.

    Ranking 60 runners by their hashes takes as long as all else that is
    decided for a request, and sessions come again while runners stay.
    """

    def __init__(self) -> None:
        self._ranked: OrderedDict[str, _Ranked] = OrderedDict()

    def rank(
        self, endpoints: tuple[Endpoint, ...], parts: Sequence[PromptPart]
    ) -> list[Endpoint]:
        """Return what `rank_homes` does."""
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

    Rendezvous hashing: all who know the same runners choose alike, and a
    runner that comes or goes moves only its own sessions.

    Returns:
        The home first; nothing if the prompt shares no part.
    """
    if len(parts) < 2:
        return []
    key = parts[-2].id
    return sorted(endpoints, key=lambda each: -_hash(key, each.id))


def find_copy_source(
    order: Iterable[Endpoint], target: Endpoint, parts: Sequence[PromptPart]
) -> Endpoint | None:
    """Return the runner from which a prompt's shared parts may be copied.

    The home before a runner came or went is the next one in the session's
    order, so all who know the same runners find it without being told.

    Args:
        order: Runners in the session's order, also those that leave.
        target: The runner that gets the request; memory serves only runners
            of the same version.
        parts: Parts of the prompt; none if there is no prompt.
    """
    shared = sum(part.tokens for part in parts[:-1])
    if shared < MIN_COPIED_TOKENS:
        return None
    return next(
        (
            each
            for each in order
            if each.id != target.id and each.version == target.version
        ),
        None,
    )


def _hash(key: str, runner: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}/{runner}".encode())
