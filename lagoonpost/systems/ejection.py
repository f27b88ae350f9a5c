"""Taking work away from a slow or failing runner, and giving it back.

Pattern of load: one runner turns ten times as slow, or fails, or is slow only
while it is busy. Routing by requests in flight alone notices late, as its
requests pile up first; every caller sent there misses the target. The
opposite fault is worse: under overload all runners look slow, and ejecting
them one by one leaves nothing.

Evidence is the ratio of seen to expected seconds to the first part, in
logarithms, averaged by ``GAIN``; a request that is overdue counts while it is
still waiting. Every ``PACE_SECONDS`` the tokens per stream count likewise:
streams that are under way show a slow runner without new requests to be
harmed. It is compared with the median runner, so that load which slows all of
them ejects none, and at most ``MOST_EJECTED`` of the runners are out.

An ejected runner gets single probes, ``PROBE_FIRST`` to ``PROBE_LAST``
seconds apart and at most one in ``PROBE_EVERY`` requests. One good answer
lets one request in, each further good one doubles that (slow start) up to
half of what it had when it was found slow, and then one request a
``GROW_SECONDS`` (as congestion control does), so that a runner that is slow
only under load settles where it is fast.

A runner at ten times is held back by its slots as well: requests that don't
end leave it none. Between three and seven times only ejection keeps callers
away; and a runner that fails at once looks idle, so it draws all work.

Thresholds: at 38 ms between tokens a stream brings 13 in ``PACE_SECONDS``;
with fewer than ``PACE_TOKENS`` expected, a third of them could be chance.
With fewer than ``PACE_LEAST`` runners the median says nothing. Answers on
healthy runners stay within a factor of ``RATIO`` = 3 of the mean of their
size; two answers at ten times (ln 10 x (1 - 0.6^2) = 1.47 > ln 3) eject, a
single one (0.92 < 1.10) never does. Probes at most 4 s apart, and a doubling
per answer, bring a recovered runner back within 10 s. Each gateway probes by
itself and one request in 50 is 2%: with one in 30, five gateways together
gave a slow runner over 5% of new work. A third ejected leaves the others at
1.5 times their work, which they bear (see headroom); beyond that the fault is
not in single runners. The floor doesn't hold for a runner that lost
``LOST_MOST`` connections in a row: it is no capacity that could be missed,
and a whole failure domain may be more than a third.
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
# An error or a cut connection counts as an answer this much too slow.
FAILURE_RATIO = 10.0
# Evidence from one answer is clipped, so that one stuck request isn't all.
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
    """Take in one answer's ratio of seen to expected seconds.

    Args:
        pool: The service's state.
        load: The runner.
        ratio: Seen over expected seconds.
        sent: Time at which the request was sent.
        now: Time in seconds.
    """
    health = load.health
    if sent < health.since and health.state != "healthy":
        # Sent before the runner was ejected: old news.
        return
    seen = math.log(min(max(ratio, 1 / MAX_RATIO), MAX_RATIO))
    if ratio < SLOW_RATIO:
        health.lost = 0
    if health.state == "healthy":
        health.score += SCORE_GAIN * (seen - health.score)
        return
    if seen > math.log(SLOW_RATIO):
        _eject(health, load.own, now)
    elif health.state == "ejected":
        health.state = "returning"
        health.limit = 1.0
    else:
        _raise_limit(health, load.runner.slots, now)
    pool.count_slots()


def record_failure(
    pool: Pool, load: RunnerLoad, kind: str, sent: float, now: float
) -> None:
    """Take in a failed attempt; lost connections eject at once."""
    health = load.health
    record_outcome(pool, load, FAILURE_RATIO, sent, now)
    if kind not in CONNECTION_FAILURES:
        return
    health.lost += 1
    if health.lost >= LOST_CONNECTIONS_TO_EJECT and health.state == "healthy":
        _eject(health, load.own, now)
        pool.count_slots()


def compare_pace(pool: Pool, now: float) -> None:
    """Take in how fast each runner's streams went on since last time."""
    seconds = now - pool.paced_at
    if seconds < PACE_SECONDS:
        return
    pool.paced_at = now
    # Tokens and stream-seconds of each runner since the last comparison.
    seen: dict[str, tuple[int, float]] = {}
    for load in pool.loads.values():
        streams = load.own - len(load.awaiting)
        if streams and load.streams:
            spent = (streams + load.streams) / 2 * seconds
            seen[load.runner.name] = (load.tokens, spent)
        load.streams = streams
        load.tokens = 0
    if len(seen) < MIN_PACE_RUNNERS:
        return
    middle = median(tokens / spent for tokens, spent in seen.values())
    for name, (tokens, spent) in seen.items():
        expected = middle * spent
        if expected < MIN_PACE_TOKENS:
            continue
        load = pool.loads[name]
        ratio = min(expected / max(tokens, 1), MAX_RATIO)
        # Streams that an ejected runner still has are no new evidence
        # against it, but show when it has recovered.
        if load.health.state != "ejected" or ratio < SLOW_RATIO:
            record_outcome(pool, load, ratio, now, now)


def eject_slow(pool: Pool, now: float) -> list[str]:
    """Eject runners that are much slower than the median runner.

    Args:
        pool: The service's state.
        now: Time in seconds.

    Returns:
        Names of the runners that were ejected now.
    """
    loads = list(pool.loads.values())
    out = sum(load.health.state == "ejected" for load in loads)
    room = max(1, int(len(loads) * MAX_EJECTED_SHARE)) - out
    if room <= 0 or len(loads) < 2:
        return []
    scores = {load.runner.name: _score(pool, load, now) for load in loads}
    middle = max(0.0, median(scores.values()))
    slow = [
        load
        for load in loads
        if load.health.state != "ejected"
        and scores[load.runner.name] > middle + math.log(SLOW_RATIO)
    ]
    slow.sort(key=lambda load: -scores[load.runner.name])
    for load in slow[:room]:
        _eject(load.health, load.own, now)
    if slow:
        pool.count_slots()
    return [load.runner.name for load in slow[:room]]


def find_probe(
    pool: Pool, loads: list[RunnerLoad], tried: set[str], now: float
) -> RunnerLoad | None:
    """Return an ejected runner whose probe is due."""
    for load in loads:
        health = load.health
        due = now >= health.probe_at and pool.sent >= health.probe_from
        if health.state != "ejected" or not due:
            continue
        if load.runner.name not in tried and not load.exclusive:
            return load
    return None


def schedule_next_probe(pool: Pool, health: Health, now: float) -> None:
    """Note that a probe was sent, and when the next one is due."""
    health.probe_wait = min(health.probe_wait * 2, MAX_PROBE_SECONDS)
    health.probe_at = now + health.probe_wait
    health.probe_from = pool.sent + REQUESTS_PER_PROBE


def _score(pool: Pool, load: RunnerLoad, now: float) -> float:
    # A slow runner shows its slowness by what does not come: overdue
    # requests count as answers of their present age.
    score = load.health.score
    for request_id in list(load.awaiting)[:MAX_OVERDUE_CHECKED]:
        flight = pool.flights[request_id]
        if flight.expected <= 0 or flight.dispatched < load.health.since:
            continue
        ratio = (now - flight.dispatched) / flight.expected
        if ratio > SLOW_RATIO:
            seen = math.log(min(ratio, MAX_RATIO))
            score += SCORE_GAIN * (seen - score)
    return score


def _eject(health: Health, own: int, now: float) -> None:
    again = health.state != "healthy"
    if health.state != "ejected":
        health.ceiling = max(1.0, min(own, health.limit) / 2)
    health.state = "ejected"
    health.limit = 0.0
    health.score = 0.0
    health.since = now
    if not again:
        health.probe_wait = MIN_PROBE_SECONDS / 2
        health.probe_at = now + MIN_PROBE_SECONDS


def _raise_limit(health: Health, slots: int, now: float) -> None:
    if health.limit < health.ceiling:
        health.limit = min(health.limit * 2, health.ceiling)
        health.since = now
    elif now - health.since >= LIMIT_STEP_SECONDS:
        health.limit += 1
        health.since = now
    if health.limit >= slots:
        health.state = "healthy"
        health.limit = math.inf
        health.ceiling = math.inf
        health.score = 0.0
