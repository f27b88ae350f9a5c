"""What is let in: a request whose target can be met, by its fair share.

Pattern of load: more work arrives than the runners can do, for long, or one
workspace sends ten times its share. A queue without a limit then grows until
every answer is late, and all capacity goes into answers nobody waits for any
more; one limit for all lets the heaviest sender take it.

On arrival the wait is worked out from the tokens that go before the request
in its fair queue, over the rate at which our queues drain. If its first part
would come after its deadline it is refused at once, with the time after which
coming back helps. Since what goes ahead depends on the workspace, a workspace
that sends ten times its share meets its own queue and no one else's.

Thresholds: a wait for ``n`` requests with exponential service times deviates
by 1/sqrt(n) of its mean, so ``DEVIATIONS`` = 2.5 of these are kept: 99 of 100
admitted then get their slot in time. Predictions are corrected
by ``BIAS_GAIN`` of the ratio of seen to predicted waits, clipped to
``BIAS_MOST`` so that one odd wait can't shut the door.
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
# Waits below this say more about ticks than about the queue.
MIN_BIAS_SECONDS = 0.1

OVER_SHARE_STATUS = 429
NO_CAPACITY_STATUS = 503


def predict_target_seconds(pool: Pool, request: RequestRow) -> float:
    """Estimate seconds from dispatch to what the deadline asks for."""
    if pool.service.kind == "plain":
        route = pool.routes.get(request.route)
        return pool.rates.slot_seconds(count_tokens(request), route)
    return pool.rates.first_seconds(request.prompt_tokens)


def count_tokens_ahead(pool: Pool, request: RequestRow) -> float:
    """Return the tokens that are served before a new request."""
    ahead = pool.queues[request.request_class].tokens_ahead(request.workspace)
    if request.request_class not in SHORT_CLASSES:
        for name in SHORT_CLASSES:
            ahead += sum(pool.queues[name].backlog.values())
    return ahead


def admit(
    pool: Pool, request: RequestRow, now: float, rng: Random
) -> QueuedRequest | Refuse:
    """Decide on a new request.

    Args:
        pool: The service's state.
        request: The request.
        now: Time in seconds.
        rng: Seeded generator for the spread of returns.

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
        # With all slots full, the next one is a mean request's part away.
        wait = (ahead + pool.rates.mean_cost) / drain
    bias = pool.wait_bias.get((request.request_class, request.workspace), 1.0)
    number = max(1.0, ahead / pool.rates.mean_cost)
    longest = wait * bias * (1.0 + WAIT_DEVIATIONS / math.sqrt(number))
    # While a slot is free a request is let in whatever is predicted. If one
    # slow spell makes every prediction miss its target, nothing would run
    # any more, and nothing would ever correct the prediction.
    if not idle and now + longest + first > request.deadline:
        delay = pool.promises.add(cost, ahead, drain, now)
        status, reason = _blame(queue, request.workspace)
        return Refuse(request.id, status, reason, add_jitter(delay, rng))
    latest = max(request.deadline - first, now)
    return QueuedRequest(request, cost, start, latest, now, wait)


def update_wait_bias(pool: Pool, entry: QueuedRequest, now: float) -> None:
    """Correct predictions by the wait of a dispatched request."""
    if entry.predicted < MIN_BIAS_SECONDS:
        return
    request = entry.request
    key = (request.request_class, request.workspace)
    ratio = min((now - entry.queued) / entry.predicted, MAX_BIAS_RATIO)
    old = pool.wait_bias.get(key, 1.0)
    pool.wait_bias[key] = old + BIAS_GAIN * (ratio - old)


def set_credit(pool: Pool, queue: FairQueue, drain: float) -> None:
    """Set what a workspace may catch up on, in virtual time."""
    weights = sum(queue.weight(name) for name in pool.tokens_in_flight) or 1.0
    queue.credit = CREDIT_SECONDS * drain / weights


def _blame(queue: FairQueue, workspace: str) -> tuple[int, str]:
    if len(queue.finish_tags) > 1 and not queue.is_within_share(workspace):
        return OVER_SHARE_STATUS, "over_share"
    return NO_CAPACITY_STATUS, "no_capacity"
