"""Ejects slow or failing runners and returns them to service gradually.

Load pattern: one runner becomes ten times as slow, or fails, or is slow only
while it is busy. Routing by requests in flight alone reacts late, as the
runner's requests have to pile up first, and every caller routed there misses
the latency target. The opposite fault is worse: under overload all runners
look slow, and ejecting them one by one leaves none.

The evidence is the ratio of observed to expected seconds to the first token,
in logarithms, averaged with weight ``SCORE_GAIN``; an overdue request counts
while it is still waiting. Every ``PACE_SECONDS`` the tokens per stream count
in the same way: streams in progress reveal a slow runner without harming new
requests. Each runner is compared with the median runner, so that load that
slows all of them ejects none, and at most ``MAX_EJECTED_SHARE`` of the runners
are ejected.

An ejected runner gets single probe requests, ``MIN_PROBE_SECONDS`` to
``MAX_PROBE_SECONDS`` apart and at most one in ``REQUESTS_PER_PROBE`` requests.
One good answer admits one request at a time, and each further good answer
doubles that limit (slow start) up to half of the runner's load when it was
ejected. From there the limit grows by one request per ``LIMIT_STEP_SECONDS``
(as in congestion control), so that a runner that is slow only under load
settles at a load at which it is fast.

A runner that is ten times as slow is also limited by its slots: requests that
do not end occupy them all. Between three and seven times as slow, only
ejection keeps callers away; and a runner that fails at once looks idle and
attracts all requests.

Thresholds: at 38 ms between tokens a stream delivers 13 in ``PACE_SECONDS``;
with fewer than ``MIN_PACE_TOKENS`` expected, a third of them could be chance.
With fewer than ``MIN_PACE_RUNNERS`` runners the median is meaningless. Answers
of healthy runners stay within a factor of ``SLOW_RATIO`` = 3 of the mean for
their size; two answers at ten times the mean (ln 10 x (1 - 0.6^2) = 1.47 > ln
3) eject, a single one (0.92 < 1.10) never does. Probes at most 4 s apart, and
a doubling per answer, return a recovered runner to service within 10 s. Each
gateway probes independently, and one request in 50 is 2%: with one in 30, five
gateways together gave a slow runner over 5% of new work. Ejecting a third
leaves the others at 1.5 times their load, which they can serve (see headroom);
beyond that the fault does not lie in single runners. This limit does not apply
to a runner that lost ``LOST_CONNECTIONS_TO_EJECT`` connections in a row: it
provides no capacity, and a whole failure domain may be more than a third of
the runners.
"""

import math
from statistics import median

from lagoonpost.systems.pool import Pool
from lagoonpost.tables.health import Health
from lagoonpost.tables.load import RunnerLoad

SLOW_RATIO = 3.0
SCORE_GAIN = 0.4
MAX_EJECTED_SHARE = 1 / 3
MIN_PROBE_SECONDS = 1.0
MAX_PROBE_SECONDS = 4.0
REQUESTS_PER_PROBE = 50
LIMIT_STEP_SECONDS = 0.5
# An error or a closed connection counts as an answer slower by this factor.
FAILURE_RATIO = 10.0
# The ratio of one answer is clipped, so that a single stuck request does not
# dominate the score.
MAX_RATIO = 10.0
MAX_OVERDUE_CHECKED = 4
LOST_CONNECTIONS_TO_EJECT = 2
CONNECTION_FAILURES = frozenset({"lost", "unreached"})
PACE_SECONDS = 0.5
MIN_PACE_RUNNERS = 3
MIN_PACE_TOKENS = 10


def record_outcome(
    pool: Pool, load: RunnerLoad, ratio: float, sent: float, now: float
) -> None:
    """Record one answer's ratio of observed to expected seconds.

    Args:
        pool: State of the service.
        load: Load of the runner.
        ratio: Observed divided by expected seconds.
        sent: Time in seconds at which the request was sent.
        now: Time in seconds.
    """
    health = load.health
    if sent < health.changed_at and health.state != "healthy":
        # The request was sent before the runner's state last changed, so its
        # outcome says nothing about the present state.
        return
    log_ratio = math.log(min(max(ratio, 1 / MAX_RATIO), MAX_RATIO))
    if ratio < SLOW_RATIO:
        health.consecutive_losses = 0
    if health.state == "healthy":
        health.score += SCORE_GAIN * (log_ratio - health.score)
        return
    if log_ratio > math.log(SLOW_RATIO):
        _eject(health, load.own, now)
    elif health.state == "ejected":
        health.state = "returning"
        health.limit = 1.0
    else:
        _raise_limit(health, load.runner.slots, now)
    pool.update_totals()


def record_failure(
    pool: Pool, load: RunnerLoad, kind: str, sent: float, now: float
) -> None:
    """Record a failed attempt; repeated connection failures eject at once.

    Args:
        pool: State of the service.
        load: Load of the runner.
        kind: Kind of the failure, as in `AttemptFailed`.
        sent: Time in seconds at which the request was sent.
        now: Time in seconds.
    """
    health = load.health
    record_outcome(pool, load, FAILURE_RATIO, sent, now)
    if kind not in CONNECTION_FAILURES:
        return
    health.consecutive_losses += 1
    if (
        health.consecutive_losses >= LOST_CONNECTIONS_TO_EJECT
        and health.state == "healthy"
    ):
        _eject(health, load.own, now)
        pool.update_totals()


def compare_pace(pool: Pool, now: float) -> None:
    """Score each runner by its tokens per stream since the last call."""
    seconds = now - pool.pace_compared_at
    if seconds < PACE_SECONDS:
        return
    pool.pace_compared_at = now
    # Tokens and stream-seconds of each runner since the last comparison.
    paces: dict[str, tuple[int, float]] = {}
    for load in pool.loads.values():
        streams = load.own - len(load.awaiting)
        if streams and load.streams:
            spent = (streams + load.streams) / 2 * seconds
            paces[load.runner.name] = (load.tokens, spent)
        load.streams = streams
        load.tokens = 0
    if len(paces) < MIN_PACE_RUNNERS:
        return
    median_pace = median(tokens / spent for tokens, spent in paces.values())
    for name, (tokens, spent) in paces.items():
        expected = median_pace * spent
        if expected < MIN_PACE_TOKENS:
            continue
        load = pool.loads[name]
        ratio = min(expected / max(tokens, 1), MAX_RATIO)
        # The remaining streams of an ejected runner are no new evidence
        # against it, but show when it has recovered.
        if load.health.state != "ejected" or ratio < SLOW_RATIO:
            record_outcome(pool, load, ratio, now, now)


def eject_slow(pool: Pool, now: float) -> list[str]:
    """Eject runners that are much slower than the median runner.

    Args:
        pool: State of the service.
        now: Time in seconds.

    Returns:
        Names of the newly ejected runners.
    """
    loads = list(pool.loads.values())
    ejected = sum(load.health.state == "ejected" for load in loads)
    remaining = max(1, int(len(loads) * MAX_EJECTED_SHARE)) - ejected
    if remaining <= 0 or len(loads) < 2:
        return []
    scores = {load.runner.name: _score(pool, load, now) for load in loads}
    median_score = max(0.0, median(scores.values()))
    slow = [
        load
        for load in loads
        if load.health.state != "ejected"
        and scores[load.runner.name] > median_score + math.log(SLOW_RATIO)
    ]
    slow.sort(key=lambda load: -scores[load.runner.name])
    for load in slow[:remaining]:
        _eject(load.health, load.own, now)
    if slow:
        pool.update_totals()
    return [load.runner.name for load in slow[:remaining]]


def find_probe(
    pool: Pool, loads: list[RunnerLoad], tried: set[str], now: float
) -> RunnerLoad | None:
    """Return an ejected runner whose probe is due.

    Args:
        pool: State of the service.
        loads: Loads of the runners to choose from.
        tried: Names of runners that already failed the request.
        now: Time in seconds.
    """
    for load in loads:
        health = load.health
        due = now >= health.probe_at and pool.sent >= health.probe_after_sent
        if health.state != "ejected" or not due:
            continue
        if load.runner.name not in tried and not load.exclusive:
            return load
    return None


def schedule_next_probe(pool: Pool, health: Health, now: float) -> None:
    """Schedule the next probe after one was sent."""
    health.probe_interval = min(health.probe_interval * 2, MAX_PROBE_SECONDS)
    health.probe_at = now + health.probe_interval
    health.probe_after_sent = pool.sent + REQUESTS_PER_PROBE


def _score(pool: Pool, load: RunnerLoad, now: float) -> float:
    # Overdue requests count as answers of their present age: a stalled runner
    # may produce no answer to measure.
    score = load.health.score
    for request_id in list(load.awaiting)[:MAX_OVERDUE_CHECKED]:
        flight = pool.flights[request_id]
        if (
            flight.expected_seconds <= 0
            or flight.dispatched_at < load.health.changed_at
        ):
            continue
        ratio = (now - flight.dispatched_at) / flight.expected_seconds
        if ratio > SLOW_RATIO:
            log_ratio = math.log(min(ratio, MAX_RATIO))
            score += SCORE_GAIN * (log_ratio - score)
    return score


def _eject(health: Health, own: int, now: float) -> None:
    repeated = health.state != "healthy"
    if health.state != "ejected":
        health.slow_threshold = max(1.0, min(own, health.limit) / 2)
    health.state = "ejected"
    health.limit = 0.0
    health.score = 0.0
    health.changed_at = now
    if not repeated:
        health.probe_interval = MIN_PROBE_SECONDS / 2
        health.probe_at = now + MIN_PROBE_SECONDS


def _raise_limit(health: Health, slots: int, now: float) -> None:
    if health.limit < health.slow_threshold:
        health.limit = min(health.limit * 2, health.slow_threshold)
        health.changed_at = now
    elif now - health.changed_at >= LIMIT_STEP_SECONDS:
        health.limit += 1
        health.changed_at = now
    if health.limit >= slots:
        health.state = "healthy"
        health.limit = math.inf
        health.slow_threshold = math.inf
        health.score = 0.0
