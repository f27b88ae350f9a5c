"""Which controller works on which shard of the controllers' work.

Pattern of load: all work under one lease is one process's work, and stands
still for a lease's length when that process dies. Split over shards by
rendezvous hashing, a death stops only the dead one's shards and moves no
others.

Thresholds: the list of live controllers may be wrong, so each contender
waits one lease longer for each one ranked before it, and a shard whose
preferred controller never comes still has a holder. Only the first four by
rank contend: each contender reads the row 696 times an hour (bench/store),
and 320 controllers that all contend for 17 shards would read 1,050 rows a
second, half of what the store has for everything. Four that are dead and
still listed delay a shard until membership drops them, some 9 s. A holder
that is not the preferred one hands over after ``STAY`` seconds, four leases,
so that a flapping list costs at most one short gap a minute.
"""

from collections.abc import Collection
from typing import NamedTuple

from lagoonpost.systems.subset import rendezvous_score

MIN_HOLD_SECONDS = 60.0
MAX_CONTENDER_RANK = 3


class Claim(NamedTuple):
    """Whether a controller wants a shard, and how long it lets others go."""

    wanted: bool
    delay: float


def rank_controller(shard: str, name: str, live: Collection[str]) -> int:
    """Return how many live controllers are preferred for ``shard``."""
    own = rendezvous_score(shard, name)
    return sum(
        rendezvous_score(shard, each) > own for each in live if each != name
    )


def choose_claim(
    rank: int, held_seconds: float | None, duration: float
) -> Claim:
    """Decide whether to take, keep or hand over a shard.

    Args:
        rank: Number of live controllers that are preferred.
        held: Seconds for which it has been held, or None.
        duration: Length of a lease, in seconds.
    """
    if held_seconds is not None:
        return Claim(rank == 0 or held_seconds < MIN_HOLD_SECONDS, 0.0)
    if rank > MAX_CONTENDER_RANK:
        return Claim(False, 0.0)
    return Claim(True, rank * duration)
