"""Dispatches waiting requests to runners while slots are free."""

from random import Random

from lagoonpost.systems.admission import update_wait_bias
from lagoonpost.systems.affinity import decay_work
from lagoonpost.systems.backoff import add_jitter
from lagoonpost.systems.cost import count_tokens
from lagoonpost.systems.ejection import find_probe, schedule_next_probe
from lagoonpost.systems.event import Action, Dispatch, Refuse
from lagoonpost.systems.headroom import is_protected, protected_headroom
from lagoonpost.systems.pool import Moved, Pool
from lagoonpost.systems.queueing import (
    CLASSES,
    SHORT_CLASSES,
    FairQueue,
    QueuedRequest,
    order_classes,
)
from lagoonpost.systems.routing import (
    Choice,
    choose_isolated,
    choose_runner,
    count_version,
)
from lagoonpost.tables.load import InFlightRequest, RunnerLoad
from lagoonpost.tables.request import RequestRow

# Limits the work per event; the rest is dispatched at the next event or tick.
MAX_DISPATCHED = 64


def dispatch_waiting(pool: Pool, now: float, rng: Random) -> list[Action]:
    """Dispatch waiting requests: moved ones first, then by fair queue.

    Args:
        pool: The service's state; changed in place.
        now: Time in seconds.
        rng: Seeded generator.

    Returns:
        Dispatches, and refusals of requests that cannot meet their deadline.
    """
    actions = expire(pool, now, rng)
    actions += _dispatch_moved(pool, now, rng)
    for _ in range(MAX_DISPATCHED):
        entry = _next_entry(pool, now)
        if entry is None:
            break
        protected = is_protected(pool, entry.request, entry.start)
        choice = _choose(pool, entry.request, now, rng, protected)
        if choice is None:
            break
        queue = pool.queues[entry.request.request_class]
        queue.remove(entry.request.id)
        queue.serve(entry)
        update_wait_bias(pool, entry, now)
        pool.budget.earn()
        count_version(pool, choice.load.runner.version)
        actions.append(_send(pool, entry.request, choice, now))
    return actions


def expire(pool: Pool, now: float, rng: Random) -> list[Action]:
    """Refuse requests that can no longer meet their deadline.

    Only a request that never ran is refused because of load. An accepted
    request that waits for another runner is refused at its route's timeout.
    """
    actions: list[Action] = []
    for queue in pool.queues.values():
        for entry in queue.pop_expired(now):
            actions.append(_refuse_queued(pool, queue, entry, now, rng))
    for moved in list(pool.moved.values()):
        reason = _find_timeout_reason(pool, moved, now)
        if reason:
            forget_request(pool, moved.request.id)
            delay = add_jitter(1.0, rng)
            actions.append(Refuse(moved.request.id, 503, reason, delay))
    return actions


def refuse_late(pool: Pool, now: float, rng: Random) -> list[Action]:
    """Refuse queued requests that a loss of capacity made late."""
    actions: list[Action] = []
    for class_name in CLASSES:
        queue = pool.queues[class_name]
        ahead = 0.0
        if class_name not in SHORT_CLASSES:
            ahead = sum(
                sum(pool.queues[s].backlog.values()) for s in SHORT_CLASSES
            )
        for entry in sorted(queue.waiting.values(), key=lambda e: e.start):
            route = pool.routes.get(entry.request.route)
            if now + ahead / pool.drain_rate(route) > entry.latest_dispatch:
                actions.append(_refuse_queued(pool, queue, entry, now, rng))
            else:
                ahead += entry.cost
    return actions


def remove_flight(
    pool: Pool, request_id: str, now: float
) -> InFlightRequest | None:
    """Remove a request from its runner's counts and return its flight."""
    flight = pool.flights.pop(request_id, None)
    if flight is None:
        return None
    pool.drafts -= flight.request_class == "draft"
    remaining = pool.tokens_in_flight.get(flight.workspace, 0.0) - flight.cost
    if remaining > 1e-6:
        pool.tokens_in_flight[flight.workspace] = remaining
    else:
        pool.tokens_in_flight.pop(flight.workspace, None)
    load = pool.loads.get(flight.runner)
    # The requests of a removed runner are no longer in the total.
    if load is not None and load.remove(request_id, now):
        pool.own -= 1
    return flight


def forget_request(pool: Pool, request_id: str) -> None:
    """Drop the state of a request that is no longer at a runner."""
    pool.tried.pop(request_id, None)
    cancel_wait(pool, request_id)


def cancel_wait(pool: Pool, request_id: str) -> None:
    """Remove a request from all queues but keep its tried runners.

    Without the tried runners, a request that did not cause the crash would
    be sent back to the runner that was just lost.
    """
    pool.moved.pop(request_id, None)
    release_exclusive(pool, request_id)
    for queue in pool.queues.values():
        queue.remove(request_id)


def release_exclusive(pool: Pool, request_id: str) -> None:
    """Return the runner reserved for a suspect request to general use."""
    if pool.isolated.pop(request_id, None) is None:
        return
    for load in pool.loads.values():
        if load.exclusive == request_id:
            load.exclusive = None


def _next_entry(pool: Pool, now: float) -> QueuedRequest | None:
    free = pool.free
    if free < 1 and _has_due_probe(pool, now):
        free = 1.0
    if free < 1 - protected_headroom(pool):
        return None
    for name in order_classes(pool.queues, pool.drafts, pool.own):
        entry = pool.queues[name].head()
        if entry is not None and (
            free >= 1 or is_protected(pool, entry.request, entry.start)
        ):
            return entry
    return None


def _has_due_probe(pool: Pool, now: float) -> bool:
    return any(
        find_probe(pool, loads, set(), now) for loads in pool.versions.values()
    )


def _choose(
    pool: Pool, request: RequestRow, now: float, rng: Random, protected: bool
) -> Choice | None:
    if request.repeatable:
        tried = pool.tried.get(request.id, set())
        for version, loads in pool.versions.items():
            load = find_probe(pool, loads, tried, now)
            if load is not None and pool.shares.get(version, 1.0) > 0:
                schedule_next_probe(pool, load.health, now)
                return Choice(load, "probe", (load.runner.name,))
    return choose_runner(pool, request, now, rng, None, protected)


def _choose_moved(
    pool: Pool, moved: Moved, now: float, rng: Random
) -> Choice | None:
    if moved.request.id in pool.isolated:
        return choose_isolated(pool, moved.request, now)
    return choose_runner(pool, moved.request, now, rng, moved.version)


def _dispatch_moved(pool: Pool, now: float, rng: Random) -> list[Action]:
    actions: list[Action] = []
    for moved in list(pool.moved.values()):
        if moved.ready > now:
            continue
        choice = _choose_moved(pool, moved, now, rng)
        if choice is None:
            continue
        del pool.moved[moved.request.id]
        actions.append(_send(pool, moved.request, choice, now))
        if len(actions) >= MAX_DISPATCHED:
            break
    return actions


def _send(
    pool: Pool, request: RequestRow, choice: Choice, now: float
) -> Dispatch:
    load = choice.load
    name = load.runner.name
    cost = count_tokens(request)
    prefill = pool.prefixes.count_missing(name, request)
    expected = pool.rates.first_seconds(prefill)
    if pool.service.kind == "plain":
        route = pool.routes.get(request.route)
        expected = pool.rates.slot_seconds(cost, route)
    _add_flight(pool, request, load, prefill, expected, now)
    pool.prefixes.store(name, request.prefix)
    return Dispatch(
        request.id, name, load.runner.version, choice.reason, choice.over
    )


def attach_running(
    pool: Pool, request: RequestRow, load: RunnerLoad, now: float
) -> None:
    """Count a request that already runs, for a caller that reconnected."""
    _add_flight(pool, request, load, 0, 0.0, now)
    # The first part was sent long ago and is no measure of the runner's
    # current latency.
    pool.flights[request.id] = pool.flights[request.id]._replace(
        first_part_at=now
    )
    load.awaiting.pop(request.id, None)


def _add_flight(
    pool: Pool,
    request: RequestRow,
    load: RunnerLoad,
    prefill: int,
    expected: float,
    now: float,
) -> None:
    cost = count_tokens(request)
    pool.flights[request.id] = InFlightRequest(
        load.runner.name,
        load.runner.version,
        request.workspace,
        request.request_class,
        cost,
        prefill,
        expected,
        now,
    )
    load.add(request.id, now)
    decay_work(load, now)
    load.assigned += cost
    pool.own += 1
    pool.drafts += request.request_class == "draft"
    pool.tokens_in_flight[request.workspace] = (
        pool.tokens_in_flight.get(request.workspace, 0.0) + cost
    )


def _refuse_queued(
    pool: Pool, queue: FairQueue, entry: QueuedRequest, now: float, rng: Random
) -> Refuse:
    request = entry.request
    queue.remove(request.id)
    pool.tried.pop(request.id, None)
    ahead = queue.tokens_ahead(request.workspace)
    drain = pool.drain_rate(pool.routes.get(request.route))
    delay = pool.promises.add(entry.cost, ahead, drain, now)
    return Refuse(request.id, 503, "late", add_jitter(delay, rng))


def _find_timeout_reason(pool: Pool, moved: Moved, now: float) -> str | None:
    request = moved.request
    if not moved.accepted:
        return "late" if now > request.deadline else None
    route = pool.routes.get(request.route)
    timeout = route.timeout if route else 30.0
    return "timeout" if now > request.arrived + timeout else None
