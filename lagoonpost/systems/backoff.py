"""Retry delays for refused callers and a budget for internal retries.

Load pattern: many callers are refused in the same second, and runners or a
store fail for all callers at once. With one fixed delay, refused callers
return as a single wave and are refused again, and the service stays overloaded
after the cause has ended. With unlimited retries, each failure adds load to
the remaining runners.

Thresholds: the delay after which a retry succeeds is the backlog plus the work
of earlier refused callers that are due to return, divided by the drain rate.
The returning work forms a virtual queue, so callers return at the rate at
which they can be served. Jitter over ``JITTER_SHARE`` of the delay separates
callers with the same delay. ``MAX_RETRY_SECONDS`` keeps a caller from waiting
long after a short fault. A retry costs one token of the budget and a first
attempt earns ``TOKENS_PER_ATTEMPT`` of one: when everything fails, load grows
by 10% at most, and the failure of a single runner among ten is fully covered.
``MAX_RETRY_TOKENS`` covers one runner's batch that fails at once.
"""

from dataclasses import dataclass
from random import Random

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 30.0
JITTER_SHARE = 0.5
MIN_OUTAGE_SECONDS = 1.0
TOKENS_PER_ATTEMPT = 0.1
MAX_RETRY_TOKENS = 16.0


def add_jitter(seconds: float, rng: Random) -> float:
    """Return a delay in seconds, clamped to its limits and with jitter."""
    delay = min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
    return delay * (1.0 + JITTER_SHARE * rng.random())


def compute_outage_delay(elapsed: float, rng: Random) -> float:
    """Return a retry delay during an outage of unknown duration.

    The rest of the outage is assumed to last as long as it has lasted so far.
    Callers refused during the outage thereby return over an equally long time
    after it, and not all in its first second.

    Args:
        elapsed: Seconds since the outage was detected.
        rng: Seeded generator.

    Returns:
        Delay in seconds.
    """
    return add_jitter(max(elapsed, MIN_OUTAGE_SECONDS), rng)


def compute_backoff(attempt: int, base: float, rng: Random) -> float:
    """Return an exponential backoff delay in seconds with full jitter.

    Args:
        attempt: Number of failed attempts, from 1.
        base: Upper bound of the first delay in seconds.
        rng: Seeded generator.

    Returns:
        Delay in seconds.
    """
    upper_bound = min(base * 2 ** (min(attempt, 16) - 1), MAX_RETRY_SECONDS)
    return rng.uniform(0.0, upper_bound)


@dataclass(slots=True)
class ReturnQueue:
    """Virtual queue of the work of refused callers that are due to return.

    Attributes:
        tokens: Tokens in the queue.
        updated: Time in seconds at which ``tokens`` was computed.
    """

    tokens: float = 0.0
    updated: float = 0.0

    def add(
        self, cost: float, backlog: float, drain_rate: float, now: float
    ) -> float:
        """Add a refused request and return its retry delay.

        Args:
            cost: Tokens of the refused request.
            backlog: Tokens queued before it.
            drain_rate: Tokens served per second.
            now: Time in seconds.

        Returns:
            Seconds until a retry can be served, before jitter.
        """
        served = drain_rate * max(0.0, now - self.updated)
        self.tokens = max(0.0, self.tokens - served)
        self.updated = now
        delay = (backlog + self.tokens) / drain_rate
        # Callers return no later than the maximum delay, so work beyond it is
        # not counted.
        self.tokens = min(self.tokens + cost, drain_rate * MAX_RETRY_SECONDS)
        return delay


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits retries to a share of first attempts.

    Attributes:
        tokens: Tokens in the bucket.
    """

    tokens: float = MAX_RETRY_TOKENS

    def earn(self) -> None:
        """Add the tokens of a first attempt."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + TOKENS_PER_ATTEMPT)

    def spend(self) -> bool:
        """Take one token for a retry; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
