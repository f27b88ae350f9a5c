"""When a refused caller may come back, and how many retries are paid for.

Pattern of load: callers that are refused in the same second and come back in
the same second, and runners or a store that fail for all at once. Told one
fixed delay, the refused return as one wave, are refused again, and the
service stays at its worst after the cause has ended; retried without limit,
each failure becomes more load on what is left.

Thresholds: the wait until a return helps is the backlog plus what was already
promised to earlier refused callers, divided by the drain rate: the promises
are a virtual queue, so returns come at the rate at which they can be served.
Jitter over ``SPREAD`` of the delay parts callers that were told the same.
``RETRY_CAP`` keeps a caller from waiting long after a short fault. A retry
costs one of the budget and a first attempt earns ``EARN`` of one: when all
fails, load grows by 10% at the most, and a single runner among ten that fails
is fully covered. ``BURST`` covers one runner's batch that fails at once.
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
    """Return a delay in seconds, clipped and spread by jitter."""
    delay = min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
    return delay * (1.0 + JITTER_SHARE * rng.random())


def compute_outage_delay(elapsed: float, rng: Random) -> float:
    """Return when to come back from an outage of unknown end.

    What has lasted long lasts on: the rest is taken to be as long as what
    was. Callers that were refused over an outage so come back over as long
    a time after it, and not all in its first second.

    Args:
        elapsed: Seconds since the outage was first seen.
        rng: Seeded generator.

    Returns:
        Seconds.
    """
    return add_jitter(max(elapsed, MIN_OUTAGE_SECONDS), rng)


def compute_backoff(attempt: int, base: float, rng: Random) -> float:
    """Return a delay in seconds before a retry, doubling with full jitter.

    Args:
        attempt: Attempts that failed so far, from 1.
        base: Upper bound of the first delay in seconds.
        rng: Seeded generator.

    Returns:
        Seconds.
    """
    most = min(base * 2 ** (min(attempt, 16) - 1), MAX_RETRY_SECONDS)
    return rng.uniform(0.0, most)


@dataclass(slots=True)
class ReturnQueue:
    """Work of refused callers that were told to come back."""

    tokens: float = 0.0
    updated: float = 0.0

    def add(
        self, cost: float, ahead: float, drain: float, now: float
    ) -> float:
        """Book a return and say when it helps.

        Args:
            cost: Tokens of the refused request.
            ahead: Tokens queued before it.
            drain: Tokens a second that are served.
            now: Time in seconds.

        Returns:
            Seconds until coming back helps, before jitter.
        """
        served = drain * max(0.0, now - self.updated)
        self.tokens = max(0.0, self.tokens - served)
        self.updated = now
        delay = (ahead + self.tokens) / drain
        # Promises beyond the cap are not kept, so they are not counted.
        self.tokens = min(self.tokens + cost, drain * MAX_RETRY_SECONDS)
        return delay


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that bounds retries by first attempts."""

    tokens: float = MAX_RETRY_TOKENS

    def earn(self) -> None:
        """Count a first attempt."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + TOKENS_PER_ATTEMPT)

    def spend(self) -> bool:
        """Pay for one retry; False if the budget is used up."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
