"""Routing: chooses the runner for a request.

Load pattern: several gateways send to the same runners, and load reports are
delayed. If each gateway picks the runner that looked least loaded, all pick
the same one until the next report, which then has the longest queue. Random
and round-robin routing ignore that requests differ in length.

A runner's load is the number of this gateway's requests there, which is
exact, plus the other gateways' requests by the last report, which decays to
the mean as it ages. Among runners with a free slot, one that caches the
prompt's prefix is preferred within a bound on its work. Otherwise the less
loaded of two random runners is chosen, which avoids that gateways converge on
one runner and gives most of the benefit of comparing all.

New work is divided between versions by their shares: the version furthest
below its share goes first. A version other than the one with the largest
share never gets more than its share plus one request, even when the runners
of the others are full, so that a bad version affects no more requests than
declared.
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

# Counts are halved here, so that shares refer to the last 500 or so requests.
MAX_VERSION_COUNT = 1000
MAX_RANKED_RUNNERS = 3

# Maps a runner's slots to the limit of its requests.
Limit = Callable[[int], int]


class Choice(NamedTuple):
    """A chosen runner.

    Attributes:
        load: Load of the runner.
        reason: Why it was chosen, for the log.
        over: Names of the runners that were compared, for the log.
    """

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
            the answer, or the empty string if none did; None for new work.
        protected: Whether new work may slightly exceed the slots.

    Returns:
        The choice, or None while no runner has room.
    """
    tried = pool.tried.get(request.id, set())
    limit = _slot_limit
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
    """Choose a runner for a request that must run alone.

    A request suspected of crashing runners runs alone, so that a crash proves
    it to be the cause and affects no other request. The chosen runner is
    reserved and gets no new work until it is idle.

    Returns:
        The choice, or None while the runner still has other requests.
    """
    loads = sorted(pool.loads.values(), key=lambda load: load.runner.name)
    tried = pool.tried.get(request.id, set())
    avoid, turn = pool.isolated[request.id]
    reserved = [load for load in loads if load.exclusive == request.id]
    free = [load for load in loads if load.exclusive is None]

    def rank(load: RunnerLoad) -> tuple[bool, bool, bool, int]:
        # Load is no criterion: a runner that was just lost has the least.
        # Another loss on a version where the request was already lost proves
        # nothing new. Two suspects sent to one runner by different gateways
        # would both appear to cause its loss, so the position among the
        # suspects selects the runner.
        return (
            load.runner.name in tried,
            load.health.state == "ejected",
            load.runner.version in avoid,
            (loads.index(load) - turn) % len(loads),
        )

    if not reserved and not free:
        return None
    load = min(reserved or free, key=rank)
    load.exclusive = request.id
    if pool.occupancy(load, now) > 0.5:
        return None
    return Choice(load, "alone", (load.runner.name,))


def count_version(pool: Pool, version: str) -> None:
    """Count a new request towards its version's share."""
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
    deficits: dict[str, float] = {}
    for name in pool.versions:
        share = pool.shares.get(name, 0.0) / total
        if share > 0:
            deficits[name] = share * given - pool.sent_by_version[name]
    largest = max(deficits, key=lambda name: pool.shares[name])
    order = sorted(deficits, key=lambda name: -deficits[name])
    allowed = [name for name in order if name == largest or deficits[name] > 0]
    if moved in deficits:
        # A stream stays consistent if the version that began it continues.
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
    return _choose_less_loaded(pool, loads, now, rng, limit)


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


def _choose_less_loaded(
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


def _slot_limit(slots: int) -> int:
    return slots
