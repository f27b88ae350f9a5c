"""Prefix affinity: which runners cache a prefix, and when to prefer them.

Load pattern: workspaces whose requests share long prompts, a few of which
make up most of the load. Random routing makes every runner prefill every
prompt again; always routing to the runner that caches the prefix makes one
runner hot while the others idle.

The gateway records where it sent each prefix block and corrects this by cache
events where a runner reports them. An unknown prefix goes to the first runner
by rendezvous hashing of its first block, so that gateways agree without
communicating. A runner that caches the prefix is skipped while its recent
work exceeds ``MAX_WORK_RATIO`` times the mean. The runner chosen instead then
caches the prefix as well, so a hot prefix spreads over as many runners as its
load needs.

Thresholds: ``MAX_WORK_RATIO`` is 1.2 so that work measured over a window
stays within 1.25 of the mean. Work decays over ``WORK_DECAY_SECONDS``:
shorter than the 10 s over which a lost cache is rebuilt, longer than a single
request. ``SLACK_REQUESTS`` = 1 request above the bound is allowed, because at
light load a single request exceeds 1.2 times the mean; with 2, five gateways
together reached 1.27. ``MAX_BLOCKS`` limits memory: 20,000 blocks take about
4 MB, and the least recently used are evicted first.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from lagoonpost.systems.subset import rendezvous_score
from lagoonpost.tables.load import RunnerLoad
from lagoonpost.tables.request import RequestRow

MAX_WORK_RATIO = 1.2
WORK_DECAY_SECONDS = 8.0
SLACK_REQUESTS = 1.0
MAX_BLOCKS = 20_000
MAX_HOLDERS = 4


@dataclass(slots=True)
class PrefixTable:
    """Maps each prefix block to the runners that likely cache it.

    Attributes:
        holders: Runner names by block, the most recent last; the least
            recently used block first.
    """

    holders: OrderedDict[int, tuple[str, ...]] = field(
        default_factory=OrderedDict
    )

    def store(self, runner: str, blocks: Iterable[int]) -> None:
        """Record that a runner caches these blocks."""
        for block in blocks:
            names = self.holders.get(block, ())
            remaining = tuple(name for name in names if name != runner)
            self.holders[block] = (*remaining, runner)[-MAX_HOLDERS:]
            self.holders.move_to_end(block)
        while len(self.holders) > MAX_BLOCKS:
            self.holders.popitem(last=False)

    def drop(self, runner: str, blocks: Iterable[int]) -> None:
        """Record that a runner no longer caches these blocks."""
        for block in blocks:
            names = self.holders.get(block)
            if names is None:
                continue
            remaining = tuple(name for name in names if name != runner)
            if remaining:
                self.holders[block] = remaining
            else:
                del self.holders[block]

    def count_missing(self, runner: str, request: RequestRow) -> int:
        """Return the prompt tokens that a runner likely has to prefill.

        At least one token is always prefilled.
        """
        if not request.prefix:
            return max(1, request.prompt_tokens)
        cached_blocks = 0
        for block in request.prefix:
            if runner not in self.holders.get(block, ()):
                break
            cached_blocks += 1
        missing_share = 1.0 - cached_blocks / len(request.prefix)
        return max(1, round(request.prompt_tokens * missing_share))

    def rank(self, prefix: tuple[int, ...]) -> list[str]:
        """Return the runners that likely cache a prefix, best match first."""
        ranked: dict[str, None] = {}
        for block in reversed(prefix):
            for name in reversed(self.holders.get(block, ())):
                ranked[name] = None
            if len(ranked) >= MAX_HOLDERS:
                break
        return list(ranked)


def rank_by_hash(
    prefix: tuple[int, ...], loads: Iterable[RunnerLoad]
) -> list[str]:
    """Rank runners by rendezvous hash for a prefix without known caches."""
    key = str(prefix[0])
    names = [load.runner.name for load in loads]
    return sorted(
        names, key=lambda name: rendezvous_score(key, name), reverse=True
    )


def decay_work(load: RunnerLoad, now: float) -> float:
    """Decay a runner's assigned work to the current time.

    Returns:
        The decayed work in tokens.
    """
    age = now - load.assigned_at
    if age > 0:
        load.assigned *= math.exp(-age / WORK_DECAY_SECONDS)
        load.assigned_at = now
    return load.assigned


def is_within_work_bound(work: float, mean: float, cost: float) -> bool:
    """Return whether a runner that caches a prefix may take more work.

    Args:
        work: Recent work of the runner in tokens.
        mean: Mean recent work of all candidate runners in tokens.
        cost: Mean cost of a request in tokens.
    """
    return work <= MAX_WORK_RATIO * mean + SLACK_REQUESTS * cost
