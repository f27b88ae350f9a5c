"""Assignment of controller work to controllers, shard by shard.

Load pattern: work under a single lease runs in one process and stops for the
duration of a lease when that process dies. With shards assigned by rendezvous
hashing, the death of a controller stops only its own shards, and no other
shard moves.

Thresholds: the list of live controllers may be wrong. Each contender
therefore waits one lease duration for each controller ranked above it, and a
shard whose preferred controller is unavailable still finds a holder. Only the
four top-ranked controllers contend. Each contender reads the row 696 times an
hour (bench/store), so 320 controllers contending for 17 shards would read
1,050 rows per second, half of the store's total capacity. If all four are
dead but still listed, the shard has no holder until membership drops them,
about 9 s. A holder that is not preferred hands the shard over after
``MIN_HOLD_SECONDS``, four lease durations, so that a flapping member list
causes at most one short gap per minute.
"""

from collections.abc import Collection
from typing import NamedTuple

from lagoonpost.systems.subset import rendezvous_score

MIN_HOLD_SECONDS = 60.0
MAX_CONTENDER_RANK = 3


class Claim(NamedTuple):
    """Decision of a controller about one shard.

    Attributes:
        wanted: Whether the controller wants to hold the shard's lease.
        delay: Seconds to wait for preferred controllers before acquiring it.
    """

    wanted: bool
    delay: float


def rank_controller(shard: str, name: str, live: Collection[str]) -> int:
    """Return the number of live controllers preferred over ``name``.

    Args:
        shard: Name of the shard.
        name: Name of the controller to rank.
        live: Names of the live controllers.
    """
    own = rendezvous_score(shard, name)
    return sum(
        rendezvous_score(shard, other) > own for other in live if other != name
    )


def choose_claim(
    rank: int, held_seconds: float | None, duration: float
) -> Claim:
    """Decide whether to acquire, keep or hand over a shard.

    Args:
        rank: Number of live controllers preferred over this one.
        held_seconds: How long this controller has held the shard, in
            seconds, or None.
        duration: Lease duration, in seconds.
    """
    if held_seconds is not None:
        return Claim(rank == 0 or held_seconds < MIN_HOLD_SECONDS, 0.0)
    if rank > MAX_CONTENDER_RANK:
        return Claim(False, 0.0)
    return Claim(True, rank * duration)
