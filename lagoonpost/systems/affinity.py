"""Which runner holds a request's prefix, and how far to follow it.

Pattern of load: workspaces whose requests share long prompts, a few of which
take most of the load. Routed at random, each runner prefills each prompt
again; routed always to the holder, one popular prefix makes one runner hot
while the others idle.

We remember where we sent each prefix block, corrected by cache events where
those come. An unknown prefix goes to the first runner by rendezvous hashing
of its first block, so that gateways agree without telling each other. A
holder is passed over while it has had more than ``BOUND`` times the mean
work; the runner that takes its place becomes a holder as well, so that a hot
prefix has as many holders as its load needs.

Thresholds: ``BOUND`` is 1.2 so that what is measured over a window stays
within 1.25 of the mean. Work is averaged over ``WINDOW`` seconds: shorter
than the 10 s over which a lost cache is rebuilt, longer than single requests.
``SLACK`` = 1 request above the bound is let pass, because at light load one
request alone is more than 1.2 times the mean; with 2, five gateways together
reached 1.27. Memory is bounded by
``BLOCKS``: 20,000 blocks take about 4 MB, the oldest use goes first.
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
    """Runners that likely hold each prefix block, newest last."""

    holders: OrderedDict[int, tuple[str, ...]] = field(
        default_factory=OrderedDict
    )

    def store(self, runner: str, blocks: Iterable[int]) -> None:
        """Note that a runner holds these blocks."""
        for block in blocks:
            names = self.holders.get(block, ())
            rest = tuple(name for name in names if name != runner)
            self.holders[block] = (*rest, runner)[-MAX_HOLDERS:]
            self.holders.move_to_end(block)
        while len(self.holders) > MAX_BLOCKS:
            self.holders.popitem(last=False)

    def drop(self, runner: str, blocks: Iterable[int]) -> None:
        """Note that a runner no longer holds these blocks."""
        for block in blocks:
            names = self.holders.get(block)
            if names is None:
                continue
            rest = tuple(name for name in names if name != runner)
            if rest:
                self.holders[block] = rest
            else:
                del self.holders[block]

    def count_missing(self, runner: str, request: RequestRow) -> int:
        """Return the prompt tokens that a runner likely has to prefill.

        At least one token is always prefilled.
        """
        if not request.prefix:
            return max(1, request.prompt_tokens)
        held = 0
        for block in request.prefix:
            if runner not in self.holders.get(block, ()):
                break
            held += 1
        part = 1.0 - held / len(request.prefix)
        return max(1, round(request.prompt_tokens * part))

    def rank(self, prefix: tuple[int, ...]) -> list[str]:
        """Return likely holders, of the longest match first."""
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
    """Rank runners for a prefix that none is known to hold."""
    key = str(prefix[0])
    names = [load.runner.name for load in loads]
    return sorted(
        names, key=lambda name: rendezvous_score(key, name), reverse=True
    )


def decay_work(load: RunnerLoad, now: float) -> float:
    """Bring a runner's assigned work up to date and return it in tokens."""
    age = now - load.assigned_at
    if age > 0:
        load.assigned *= math.exp(-age / WORK_DECAY_SECONDS)
        load.assigned_at = now
    return load.assigned


def is_within_work_bound(work: float, mean: float, cost: float) -> bool:
    """Return whether a holder may take more of the work.

    Args:
        work: Its recent work in tokens.
        mean: Mean recent work of the runners in tokens.
        cost: Mean cost of a request in tokens.
    """
    return work <= MAX_WORK_RATIO * mean + SLACK_REQUESTS * cost
