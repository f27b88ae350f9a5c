"""Handles the outcome of an attempt at a runner: answers, errors, refusals.

Load pattern: a runner or a whole failure domain is lost with all its
requests, and all of them need another runner at the same time. If they queue
behind new arrivals, accepted answers stop in the middle; if errors are
retried without limit, a fault of the service multiplies its load.

Requests that lost their runner are dispatched before new work and are never
refused because of load. An error answer is retried within a retry budget. A
request that a full runner refused is retried with jittered backoff until its
deadline. A request that must not run twice is retried only if a runner
refused it or could not be reached, as it has not run then.

Thresholds: the first backoff after a refusal is one tick, because the slot
that the request needs is occupied for the length of a request. The limits of
the retry budget are in the backoff module.
"""

from random import Random

from lagoonpost.systems.backoff import add_jitter, compute_backoff
from lagoonpost.systems.cost import PREFILL_RATIO
from lagoonpost.systems.dispatch import forget_request, remove_flight
from lagoonpost.systems.ejection import record_failure, record_outcome
from lagoonpost.systems.event import (
    AttemptFailed,
    Finished,
    FirstToken,
    Refuse,
)
from lagoonpost.systems.pool import Moved, Pool
from lagoonpost.tables.load import InFlightRequest, RunnerLoad
from lagoonpost.tables.request import RequestRow

REFUSED_BASE_SECONDS = 0.05
FAILED_RETRY_SECONDS = 1.0
FAILED_STATUS = 503
# Kinds of failure after which the request cannot have run.
NOT_RUN_KINDS = frozenset({"refused", "unreached"})


def record_first_part(pool: Pool, event: FirstToken, now: float) -> None:
    """Record the first part of an answer and its latency."""
    flight = pool.flights.get(event.request_id)
    if flight is None or flight.runner != event.runner:
        return
    if flight.first_part_at is not None or pool.service.kind == "plain":
        return
    pool.flights[event.request_id] = flight._replace(first_part_at=now)
    seconds = now - flight.dispatched_at
    load = pool.loads.get(flight.runner)
    if load is not None:
        load.awaiting.pop(event.request_id, None)
        _record_latency(pool, load, seconds, flight, now)
    pool.rates.update_first_part(flight.prefill, seconds)


def record_completion(
    pool: Pool, request: RequestRow, event: Finished, now: float
) -> None:
    """Record a complete answer, its cost and its duration."""
    flight = remove_flight(pool, request.id, now)
    forget_request(pool, request.id)
    if flight is None:
        return
    seconds = now - flight.dispatched_at
    cost = flight.cost
    if pool.service.kind == "model" and event.tokens:
        cost = 1.0 + flight.prefill / PREFILL_RATIO + event.tokens
        queue = pool.queues[request.request_class]
        queue.adjust_charge(request.workspace, cost - flight.cost)
    load = pool.loads.get(flight.runner)
    if load is not None and pool.service.kind == "plain":
        _record_latency(pool, load, seconds, flight, now)
    if load is not None and not load.reported:
        pool.raise_quota(load)
    pool.rates.update_completion(cost, seconds)


def fail_attempt(
    pool: Pool,
    request: RequestRow,
    event: AttemptFailed,
    now: float,
    rng: Random,
) -> list[Refuse]:
    """Record a failed attempt; queue the request again or refuse it.

    Args:
        pool: The service's state.
        request: The request.
        event: Kind of the failure and whether a retry is wanted.
        now: Time in seconds.
        rng: Seeded generator.

    Returns:
        The refusal if the request is not retried, else nothing.
    """
    flight = remove_flight(pool, request.id, now)
    refused = event.kind == "refused"
    load = pool.loads.get(event.runner)
    if load is not None and refused:
        pool.take_refusal(load, now, rng)
    elif load is not None:
        sent = flight.dispatched_at if flight else now
        record_failure(pool, load, event.kind, sent, now)
    if not event.retry:
        forget_request(pool, request.id)
        return []
    if event.kind not in NOT_RUN_KINDS and not request.repeatable:
        # The request may have run: a second run could book twice.
        forget_request(pool, request.id)
        return [Refuse(request.id, FAILED_STATUS, "may_have_run", None)]
    if event.kind == "failed" and not pool.budget.spend():
        forget_request(pool, request.id)
        delay = add_jitter(FAILED_RETRY_SECONDS, rng)
        return [Refuse(request.id, FAILED_STATUS, "retry_budget", delay)]
    _retry(pool, request, event, flight, now, rng)
    return []


def _retry(
    pool: Pool,
    request: RequestRow,
    event: AttemptFailed,
    flight: InFlightRequest | None,
    now: float,
    rng: Random,
) -> None:
    tried = pool.tried.setdefault(request.id, set())
    tried.add(event.runner)
    started = flight is not None and flight.first_part_at is not None
    accepted = started or event.kind in ("lost", "silent", "unreached")
    delay = 0.0
    if not accepted:
        delay = compute_backoff(len(tried), REFUSED_BASE_SECONDS, rng)
    version = flight.version if flight else ""
    pool.moved[request.id] = Moved(request, version, accepted, now + delay)


def _record_latency(
    pool: Pool,
    load: RunnerLoad,
    seconds: float,
    flight: InFlightRequest,
    now: float,
) -> None:
    if flight.expected_seconds > 0:
        ratio = seconds / flight.expected_seconds
        record_outcome(pool, load, ratio, flight.dispatched_at, now)
