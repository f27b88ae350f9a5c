"""Runs suspect requests alone and refuses convicted ones.

Load pattern: a few requests that may crash their runners among many that do
not, over several gateways. A poison request that shares its runner takes the
others down as well, and two suspects that two gateways send to the same runner
cannot be distinguished.

A suspect waits ``GOSSIP_SECONDS`` for the evidence of other gateways and then
gets a runner to itself, chosen by its rank among all suspects. The verdicts
are computed in lagoonpost.systems.quarantine.
"""

from random import Random

from lagoonpost.systems.dispatch import (
    cancel_wait,
    dispatch_waiting,
    forget_request,
)
from lagoonpost.systems.event import Action, Quarantined, Refuse
from lagoonpost.systems.gateway_tables import GatewayTables
from lagoonpost.systems.pool import Isolation, Moved, Pool
from lagoonpost.tables.request import RequestRow

POISON_STATUS = 422
# Gossip reaches all of 72 members within 0.18 s at worst (bench/gossip).
GOSSIP_SECONDS = 0.25


def apply_quarantine(
    tables: GatewayTables, event: Quarantined, now: float, rng: Random
) -> list[Action]:
    """Apply a verdict and return the actions for waiting requests."""
    if event.verdict == "free":
        tables.verdicts.pop(event.fingerprint, None)
        return _release_all(tables, event.fingerprint, now, rng)
    tables.verdicts[event.fingerprint] = event.verdict
    tables.avoid[event.fingerprint] = event.avoid
    if event.verdict != "refused":
        return _isolate_all(tables, event.fingerprint, now, rng)
    actions: list[Action] = []
    for request in list(tables.requests.values()):
        pool = tables.pools[request.service]
        if request.fingerprint != event.fingerprint:
            continue
        if request.id not in pool.flights:
            forget_request(pool, request.id)
            actions.append(Refuse(request.id, POISON_STATUS, "poison", None))
    return actions


def _isolate_all(
    tables: GatewayTables, fingerprint: str, now: float, rng: Random
) -> list[Action]:
    for request in tables.requests.values():
        pool = tables.pools[request.service]
        if request.id in pool.flights:
            continue
        # A new suspect changes the rank of the suspects that already wait.
        if request.fingerprint == fingerprint or request.id in pool.isolated:
            isolate(tables, pool, request, now)
    return dispatch_all(tables, now, rng)


def _release_all(
    tables: GatewayTables, fingerprint: str, now: float, rng: Random
) -> list[Action]:
    tables.avoid.pop(fingerprint, None)
    for request in tables.requests.values():
        pool = tables.pools[request.service]
        waits = request.id in pool.isolated and request.id not in pool.flights
        if waits and request.fingerprint == fingerprint:
            cancel_wait(pool, request.id)
            pool.moved[request.id] = Moved(request, "", True, now)
    return dispatch_all(tables, now, rng)


def isolate(
    tables: GatewayTables, pool: Pool, request: RequestRow, now: float
) -> None:
    """Queue a suspect request for a runner of its own."""
    suspects = sorted(
        fingerprint
        for fingerprint, verdict in tables.verdicts.items()
        if verdict == "alone"
    )
    moved = pool.moved.get(request.id)
    accepted = moved is not None and moved.accepted
    # Other gateways' suspects of the same lost runner are not known yet; their
    # gateway would send them to the same next runner.
    ready = now + GOSSIP_SECONDS
    if moved is not None and request.id in pool.isolated:
        ready = moved.ready
    cancel_wait(pool, request.id)
    pool.isolated[request.id] = Isolation(
        tables.avoid.get(request.fingerprint, frozenset()),
        suspects.index(request.fingerprint),
    )
    # A request that had started may wait for its runner past the deadline for
    # its first token; it must not be refused as late then.
    pool.moved[request.id] = Moved(request, "", accepted, ready)


def apply_verdict(
    tables: GatewayTables, pool: Pool, request: RequestRow, now: float
) -> list[Refuse]:
    """Refuse or isolate a request due for a retry if it has a verdict."""
    verdict = tables.verdicts.get(request.fingerprint)
    if verdict == "refused":
        # The request would crash the next runner as well.
        forget_request(pool, request.id)
        return [Refuse(request.id, POISON_STATUS, "poison", None)]
    if verdict == "alone":
        isolate(tables, pool, request, now)
    return []


def dispatch_all(
    tables: GatewayTables, now: float, rng: Random
) -> list[Action]:
    """Dispatch the waiting requests of every service."""
    actions: list[Action] = []
    for pool in tables.pools.values():
        actions += dispatch_waiting(pool, now, rng)
    return actions
