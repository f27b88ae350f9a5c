"""Which runner gets a request.

Pattern of load: several gateways send to the same runners, and reports of
load come late. If each picks the runner that looked least loaded, all pick
the same one until the next report, which then has the longest queue; random
or round robin ignores that requests differ in length.

A runner's load is our own requests there, which we know exactly, plus other
gateways' by the last report, which fades to the mean as it ages. Among
runners with a free slot, a holder of the prompt's prefix goes first within a
bound; otherwise the better of two at random, which keeps gateways from
meeting at one runner and is the better part of what comparing all would give.

A version gets new work by its share: the version that is most behind its
share goes first. A version other than the largest never gets more than its
share plus one request, also when the others are full, so that a bad one
harms no more than was declared.
"""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import NamedTuple

from lagoonpost.systems.affinity import (
    decay_work,
    is_within_work_bound,
    rank_by_hash,
)
from lagoonpost.systems.headroom import moved_limit, protected_limit
from lagoonpost.systems.pool import Pool
from lagoonpost.tables.load import RunnerLoad
from lagoonpost.tables.request import RequestRow

# Halving the counts keeps shares about the last requests, some 500 of them.
MAX_VERSION_COUNT = 1000
MAX_RANKED_RUNNERS = 3


# How many requests a runner with so many slots may have.
Limit = Callable[[int], int]


class Choice(NamedTuple):
    """A chosen runner, why, and over which others."""

    load: RunnerLoad
    reason: str
    over: tuple[str, ...]


def choose_runner(
    pool: Pool,
    request: RequestRow,
    now: float,
    rng: Random,
    moved: str | None,
    protected: bool = False,
) -> Choice | None:
    """Choose the runner for a request.

    Args:
        pool: The service's state.
        request: The request.
        now: Time in seconds.
        rng: Seeded generator.
        moved: For an accepted request that is moved, the version that began
            it (the empty string if none did); None for new work.
        protected: Whether new work may go over the slots a little.

    Returns:
        The choice, or None while no runner has room.
    """
    tried = pool.tried.get(request.id, set())
    limit = _plain_limit
    if moved is not None:
        limit = partial(moved_limit, domains=pool.domains)
    elif protected:
        limit = protected_limit
    for version in _order_versions(pool, moved):
        loads = pool.versions.get(version, [])
        usable = [load for load in loads if load.runner.name not in tried]
        choice = _choose(pool, usable or loads, request, now, rng, limit)
        if choice is not None:
            return choice
    return None


def choose_isolated(
    pool: Pool, request: RequestRow, now: float
) -> Choice | None:
    """Choose a runner for a request that may run beside no other.

    A suspect of crashing runners is run alone, so that a crash convicts it
    and harms no other caller. Its runner is kept free of new work until it is
    idle.

    Returns:
        The choice, or None while the runner still has other requests.
    """
    loads = sorted(pool.loads.values(), key=lambda load: load.runner.name)
    tried = pool.tried.get(request.id, set())
    avoid, turn = pool.isolated[request.id]
    kept = [load for load in loads if load.exclusive == request.id]
    free = [load for load in loads if load.exclusive is None]

    def rank(load: RunnerLoad) -> tuple[bool, bool, bool, int]:
        # A runner that was just lost is the emptiest of all, and a version
        # on which the suspect was lost settles nothing once more. Two
        # suspects on one runner, each sent there by another gateway, would
        # both look guilty of its loss, so they take turns, not the emptiest.
        return (
            load.runner.name in tried,
            load.health.state == "ejected",
            load.runner.version in avoid,
            (loads.index(load) - turn) % len(loads),
        )

    if not kept and not free:
        return None
    load = min(kept or free, key=rank)
    load.exclusive = request.id
    if pool.occupancy(load, now) > 0.5:
        return None
    return Choice(load, "alone", (load.runner.name,))


def count_version(pool: Pool, version: str) -> None:
    """Count a new request for its version's share."""
    pool.sent += 1
    pool.sent_by_version[version] += 1
    if pool.sent_by_version.total() > MAX_VERSION_COUNT:
        for name in pool.sent_by_version:
            pool.sent_by_version[name] //= 2


def _order_versions(pool: Pool, moved: str | None) -> list[str]:
    total = sum(pool.shares.get(name, 0.0) for name in pool.versions)
    if total <= 0:
        return [] if pool.shares else list(pool.versions)
    given = pool.sent_by_version.total() + 1
    behind: dict[str, float] = {}
    for name in pool.versions:
        share = pool.shares.get(name, 0.0) / total
        if share > 0:
            behind[name] = share * given - pool.sent_by_version[name]
    largest = max(behind, key=lambda name: pool.shares[name])
    order = sorted(behind, key=lambda name: -behind[name])
    allowed = [name for name in order if name == largest or behind[name] > 0]
    if moved in behind:
        # A stream that goes on with its own version stays consistent.
        allowed = [moved, *(name for name in allowed if name != moved)]
    return allowed


def _choose(
    pool: Pool,
    loads: list[RunnerLoad],
    request: RequestRow,
    now: float,
    rng: Random,
    limit: Limit,
) -> Choice | None:
    if request.prefix:
        choice = _follow_prefix(pool, loads, request, now, limit)
        if choice is not None:
            return choice
    return _choose_of_two(pool, loads, now, rng, limit)


def _has_room(pool: Pool, load: RunnerLoad, limit: Limit) -> bool:
    if load.exclusive is not None:
        return False
    room = pool.usable(load) - load.own
    if load.health.state == "healthy":
        slots = load.runner.slots
        room += limit(slots) - slots
    return room >= 1


def _follow_prefix(
    pool: Pool,
    loads: list[RunnerLoad],
    request: RequestRow,
    now: float,
    limit: Limit,
) -> Choice | None:
    names = pool.prefixes.rank(request.prefix)
    reason = "prefix"
    if not names:
        names = rank_by_hash(request.prefix, loads)[:MAX_RANKED_RUNNERS]
        reason = "prefix_hash"
    usable = {load.runner.name: load for load in loads}
    ranked = [usable[name] for name in names if name in usable]
    if not ranked:
        return None
    mean = sum(decay_work(load, now) for load in loads) / len(loads)
    for load in ranked:
        work = decay_work(load, now)
        fits = is_within_work_bound(work, mean, pool.rates.mean_cost)
        if fits and _has_room(pool, load, limit):
            return Choice(load, reason, tuple(names))
    return None


def _choose_of_two(
    pool: Pool,
    loads: list[RunnerLoad],
    now: float,
    rng: Random,
    limit: Limit,
) -> Choice | None:
    pair = rng.sample(loads, min(2, len(loads)))
    free = [load for load in pair if _has_room(pool, load, limit)]
    if not free:
        pair = free = [load for load in loads if _has_room(pool, load, limit)]
    if not free:
        return None

    def fill(load: RunnerLoad) -> float:
        return pool.occupancy(load, now) / load.runner.slots

    names = tuple(load.runner.name for load in pair)
    return Choice(min(free, key=fill), "least_loaded", names)


def _plain_limit(slots: int) -> int:
    return slots
