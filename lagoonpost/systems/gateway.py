"""The gateway's entry point for decisions: events in, actions out."""

from collections.abc import Callable
from random import Random
from typing import Any

from lagoonpost.systems.admission import admit
from lagoonpost.systems.attempt import (
    fail_attempt,
    record_completion,
    record_first_part,
)
from lagoonpost.systems.dispatch import (
    attach_running,
    dispatch_waiting,
    forget_request,
    refuse_late,
    remove_flight,
)
from lagoonpost.systems.ejection import compare_pace, eject_slow
from lagoonpost.systems.event import (
    Abandoned,
    Action,
    Arrived,
    AttemptFailed,
    CacheEvents,
    Declared,
    Event,
    Finished,
    FirstToken,
    GatewaysChanged,
    Leaving,
    Progress,
    Quarantined,
    Refuse,
    Reported,
    Resumed,
    Tick,
)
from lagoonpost.systems.gateway_tables import GatewayTables
from lagoonpost.systems.isolation import (
    POISON_STATUS,
    apply_quarantine,
    apply_verdict,
    dispatch_all,
    isolate,
)
from lagoonpost.systems.pool import Pool, initial_quota
from lagoonpost.systems.subset import choose_subset
from lagoonpost.tables.entity import Runner
from lagoonpost.tables.load import RunnerLoad

NO_CAPACITY_STATUS = 503


def decide(
    tables: GatewayTables, event: Event, now: float, rng: Random
) -> list[Action]:
    """Update ``tables`` with ``event`` and return the resulting actions.

    Args:
        tables: State of the gateway; changed in place.
        event: The event to handle.
        now: Time of the event in seconds of a monotonic clock.
        rng: Seeded generator; the same seed and events give the same actions.

    Returns:
        Actions in the order in which to carry them out.
    """
    actions = _HANDLERS[type(event)](tables, event, now, rng)
    for action in actions:
        if isinstance(action, Refuse):
            tables.requests.pop(action.request_id, None)
    return actions


def _declare(
    tables: GatewayTables, event: Declared, now: float, rng: Random
) -> list[Action]:
    if event.declaration.revision < tables.declaration.revision:
        return []
    tables.declaration = event.declaration
    for service in event.declaration.services:
        pool = tables.pools.setdefault(service.name, Pool(service))
        pool.service = service
        pool.routes = {route.path: route for route in service.routes}
        pool.shares = {
            version.name: version.share
            for version in event.declaration.versions
            if version.service == service.name
        }
        weights = {
            workspace.name: workspace.weight
            for workspace in event.declaration.workspaces
        }
        for queue in pool.queues.values():
            queue.weights = weights
    tables.leaving &= {runner.name for runner in event.declaration.runners}
    _place_runners(tables)
    for pool in tables.pools.values():
        domains = {load.runner.failure_domain for load in pool.loads.values()}
        pool.domains = len(domains)
    return dispatch_all(tables, now, rng)


def _place_runners(tables: GatewayTables) -> None:
    """Rebuild each service's runner tables, keeping known loads."""
    wanted: dict[str, dict[str, list[Runner]]] = {}
    for runner in tables.declaration.runners:
        if runner.name not in tables.leaving:
            versions = wanted.setdefault(runner.service, {})
            versions.setdefault(runner.version, []).append(runner)
    for name, pool in tables.pools.items():
        known = pool.loads
        pool.loads = {}
        pool.versions = {}
        for version, runners in wanted.get(name, {}).items():
            pool.versions[version] = []
            for runner in choose_subset(tables.name, runners, tables.gateways):
                load = known.get(runner.name) or RunnerLoad(runner)
                load.runner = runner
                if not load.reported:
                    load.quota = initial_quota(runner, tables.gateways)
                pool.loads[runner.name] = load
                pool.versions[version].append(load)
        pool.update_totals()


def _update_gateways(
    tables: GatewayTables, event: GatewaysChanged, now: float, rng: Random
) -> list[Action]:
    tables.gateways = event.gateways
    _place_runners(tables)
    return dispatch_all(tables, now, rng)


def _leave(
    tables: GatewayTables, event: Leaving, now: float, rng: Random
) -> list[Action]:
    tables.leaving |= event.runners
    affected = [
        pool
        for pool in tables.pools.values()
        if not event.runners.isdisjoint(pool.loads)
    ]
    if affected:
        # Other runners replace the leaving ones in this gateway's subset.
        _place_runners(tables)
    actions: list[Action] = []
    for pool in affected:
        actions += refuse_late(pool, now, rng)
    return actions


def _arrive(
    tables: GatewayTables, event: Arrived, now: float, rng: Random
) -> list[Action]:
    request = event.request
    if tables.verdicts.get(request.fingerprint) == "refused":
        return [Refuse(request.id, POISON_STATUS, "poison", None)]
    pool = tables.pools.get(request.service)
    if pool is None:
        return [Refuse(request.id, NO_CAPACITY_STATUS, "no_runner", 1.0)]
    if tables.verdicts.get(request.fingerprint) == "alone":
        tables.requests[request.id] = request
        isolate(tables, pool, request, now)
        return dispatch_waiting(pool, now, rng)
    entry = admit(pool, request, now, rng)
    if isinstance(entry, Refuse):
        return [entry]
    tables.requests[request.id] = request
    pool.queues[request.request_class].push(entry)
    return dispatch_waiting(pool, now, rng)


def _resume(
    tables: GatewayTables, event: Resumed, now: float, rng: Random
) -> list[Action]:
    pool = tables.pools.get(event.request.service)
    if pool is None:
        return []
    tables.requests[event.request.id] = event.request
    load = pool.loads.get(event.runner)
    # Requests at a runner outside this gateway's subset are not counted.
    if load is not None:
        attach_running(pool, event.request, load, now)
    return []


def _report(
    tables: GatewayTables, event: Reported, now: float, rng: Random
) -> list[Action]:
    for pool in tables.pools.values():
        if event.report.runner in pool.loads:
            pool.take_report(event.report, now, rng)
            return dispatch_waiting(pool, now, rng)
    return []


def _update_cache(
    tables: GatewayTables, event: CacheEvents, now: float, rng: Random
) -> list[Action]:
    for pool in tables.pools.values():
        if event.runner in pool.loads:
            pool.prefixes.store(event.runner, event.stored)
            pool.prefixes.drop(event.runner, event.dropped)
    return []


def _begin(
    tables: GatewayTables, event: FirstToken, now: float, rng: Random
) -> list[Action]:
    pool = _find_pool(tables, event.request_id)
    if pool is not None:
        record_first_part(pool, event, now)
    return []


def _finish(
    tables: GatewayTables, event: Finished, now: float, rng: Random
) -> list[Action]:
    pool = _find_pool(tables, event.request_id)
    if pool is None:
        return []
    record_completion(pool, tables.requests.pop(event.request_id), event, now)
    return dispatch_waiting(pool, now, rng)


def _fail(
    tables: GatewayTables, event: AttemptFailed, now: float, rng: Random
) -> list[Action]:
    pool = _find_pool(tables, event.request_id)
    if pool is None:
        return []
    request = tables.requests[event.request_id]
    if not event.retry:
        del tables.requests[event.request_id]
    refusals = fail_attempt(pool, request, event, now, rng)
    if event.retry and not refusals:
        refusals = apply_verdict(tables, pool, request, now)
    return [*refusals, *dispatch_waiting(pool, now, rng)]


def _abandon(
    tables: GatewayTables, event: Abandoned, now: float, rng: Random
) -> list[Action]:
    request = tables.requests.pop(event.request_id, None)
    if request is None:
        return []
    pool = tables.pools[request.service]
    remove_flight(pool, request.id, now)
    forget_request(pool, request.id)
    return dispatch_waiting(pool, now, rng)


def _tick(
    tables: GatewayTables, event: Tick, now: float, rng: Random
) -> list[Action]:
    actions: list[Action] = []
    for pool in tables.pools.values():
        compare_pace(pool, now)
        if eject_slow(pool, now):
            actions += refuse_late(pool, now, rng)
        actions += dispatch_waiting(pool, now, rng)
    return actions


def _progress(
    tables: GatewayTables, event: Progress, now: float, rng: Random
) -> list[Action]:
    pool = _find_pool(tables, event.request_id)
    load = pool.loads.get(event.runner) if pool else None
    if load is not None:
        load.tokens += event.tokens
    return []


def _find_pool(tables: GatewayTables, request_id: str) -> Pool | None:
    # The caller may have disconnected just before, so an event of an unknown
    # request is not an error.
    request = tables.requests.get(request_id)
    return tables.pools[request.service] if request else None


_Handler = Callable[[GatewayTables, Any, float, Random], list[Action]]
_HANDLERS: dict[type[Event], _Handler] = {
    Declared: _declare,
    GatewaysChanged: _update_gateways,
    Leaving: _leave,
    Arrived: _arrive,
    Resumed: _resume,
    Reported: _report,
    CacheEvents: _update_cache,
    FirstToken: _begin,
    Progress: _progress,
    Finished: _finish,
    AttemptFailed: _fail,
    Abandoned: _abandon,
    Quarantined: apply_quarantine,
    Tick: _tick,
}
