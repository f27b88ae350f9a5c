"""Admission control: refuses requests that would miss their deadline.

Load pattern: arrivals exceed capacity for a long time, or one workspace
sends ten times its share. An unbounded queue then grows until every answer is
late and all capacity goes into answers that callers have given up on. One
limit for all workspaces lets the heaviest sender use it up.

On arrival, the wait is predicted from the tokens that the request's fair
queue serves first, divided by the rate at which this gateway's queues drain.
A request whose first part would miss its deadline is refused at once with a
retry delay. The tokens ahead depend on the workspace, so a workspace that
sends ten times its share waits behind its own requests only.

Thresholds: the wait for ``n`` requests with exponential service times has a
standard deviation of 1/sqrt(n) of its mean. ``WAIT_DEVIATIONS`` = 2.5 of them
are added, so that 99 of 100 admitted requests get a slot in time. Each
observed wait moves the correction of predictions by ``BIAS_GAIN`` of the
difference; the ratio of observed to predicted wait is clipped to
``MAX_BIAS_RATIO``, so that one outlier cannot block all admission.
"""

import math
from random import Random

from lagoonpost.systems.backoff import add_jitter
from lagoonpost.systems.cost import count_tokens
from lagoonpost.systems.event import Refuse
from lagoonpost.systems.headroom import is_protected, protected_headroom
from lagoonpost.systems.pool import Pool
from lagoonpost.systems.queueing import (
    CREDIT_SECONDS,
    SHORT_CLASSES,
    FairQueue,
    QueuedRequest,
)
from lagoonpost.tables.request import RequestRow

WAIT_DEVIATIONS = 2.5
BIAS_GAIN = 0.1
MAX_BIAS_RATIO = 4.0
# Shorter waits are dominated by the tick interval, not by the queue.
MIN_BIAS_SECONDS = 0.1

OVER_SHARE_STATUS = 429
NO_CAPACITY_STATUS = 503


def predict_target_seconds(pool: Pool, request: RequestRow) -> float:
    """Estimate the seconds from dispatch to the event the deadline covers.

    This is the whole answer for a plain service and the first part for a
    model service.
    """
    if pool.service.kind == "plain":
        route = pool.routes.get(request.route)
        return pool.rates.slot_seconds(count_tokens(request), route)
    return pool.rates.first_seconds(request.prompt_tokens)


def count_tokens_ahead(pool: Pool, request: RequestRow) -> float:
    """Return the queued tokens that are served before a new request."""
    ahead = pool.queues[request.request_class].tokens_ahead(request.workspace)
    if request.request_class not in SHORT_CLASSES:
        for name in SHORT_CLASSES:
            ahead += sum(pool.queues[name].backlog.values())
    return ahead


def admit(
    pool: Pool, request: RequestRow, now: float, rng: Random
) -> QueuedRequest | Refuse:
    """Admit or refuse a new request.

    Args:
        pool: The service's state.
        request: The request.
        now: Time in seconds.
        rng: Seeded generator for the jitter of retry delays.

    Returns:
        The queue entry to push, or the refusal.
    """
    if not pool.loads:
        return Refuse(
            request.id, NO_CAPACITY_STATUS, "no_runner", add_jitter(1.0, rng)
        )
    cost = count_tokens(request)
    queue = pool.queues[request.request_class]
    drain = pool.drain_rate(pool.routes.get(request.route))
    set_credit(pool, queue, drain)
    ahead = count_tokens_ahead(pool, request)
    first = predict_target_seconds(pool, request)
    wait = 0.0
    start = queue.next_start(request.workspace)
    free = pool.free
    if is_protected(pool, request, start):
        free += protected_headroom(pool)
    idle = free >= 1 and not ahead
    if not idle:
        # All slots are full: on average the next one is free after the
        # gateway drains one mean request.
        wait = (ahead + pool.rates.mean_cost) / drain
    bias = pool.wait_bias.get((request.request_class, request.workspace), 1.0)
    number = max(1.0, ahead / pool.rates.mean_cost)
    longest = wait * bias * (1.0 + WAIT_DEVIATIONS / math.sqrt(number))
    # A free slot admits a request whatever the prediction. Otherwise a slow
    # period that makes every prediction miss its target would stop all
    # requests, and no answer would ever correct the prediction.
    if not idle and now + longest + first > request.deadline:
        delay = pool.promises.add(cost, ahead, drain, now)
        status, reason = _blame(queue, request.workspace)
        return Refuse(request.id, status, reason, add_jitter(delay, rng))
    latest = max(request.deadline - first, now)
    return QueuedRequest(request, cost, start, latest, now, wait)


def update_wait_bias(pool: Pool, entry: QueuedRequest, now: float) -> None:
    """Update the bias of wait predictions from a dispatched request."""
    if entry.predicted < MIN_BIAS_SECONDS:
        return
    request = entry.request
    key = (request.request_class, request.workspace)
    ratio = min((now - entry.queued) / entry.predicted, MAX_BIAS_RATIO)
    old = pool.wait_bias.get(key, 1.0)
    pool.wait_bias[key] = old + BIAS_GAIN * (ratio - old)


def set_credit(pool: Pool, queue: FairQueue, drain: float) -> None:
    """Set the virtual time of unused share that a workspace may reclaim."""
    weights = sum(queue.weight(name) for name in pool.tokens_in_flight) or 1.0
    queue.credit = CREDIT_SECONDS * drain / weights


def _blame(queue: FairQueue, workspace: str) -> tuple[int, str]:
    if len(queue.finish_tags) > 1 and not queue.is_within_share(workspace):
        return OVER_SHARE_STATUS, "over_share"
    return NO_CAPACITY_STATUS, "no_capacity"
