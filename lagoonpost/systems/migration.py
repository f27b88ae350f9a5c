"""Which streams to move off a runner before it shuts down, when and where.

Load pattern: a reclaim shuts down all reclaimable runners of a failure domain
with two seconds of notice, while each of them serves some ten long drafts. A
draft that may run only once is lost with its runner. A resumable draft has its
whole prompt prefilled again on runners that have just taken over all other
requests of the lost ones. Copying the KV cache of a stream takes some ten
milliseconds, so the stream is migrated instead.

A copy transfers bytes and occupies a slot of another runner, and many drafts
finish within the notice period. Streams are therefore migrated as late as is
safe, and only those still running by then.
"""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from lagoonpost.tables.endpoint import Endpoint

MIGRATION_LEAD_SECONDS = 1.0
"""Time before a runner's shutdown at which its streams are migrated.

The copies of 64 streams of 12,000 tokens take 0.4 to 0.8 s on one link, one
after the other.
"""
MIN_PROMPT_TOKENS = 1500
"""Prompt tokens from which a resumable stream is migrated too.

Shorter prompts are prefilled again in the time that a copy and its calls take.
"""


class Candidate(NamedTuple):
    """A runner to which a stream may be migrated.

    Attributes:
        endpoint: Endpoint of the runner.
        running: Number of its requests, including those being sent to it.
        suspect: Whether it was recently unreachable.
    """

    endpoint: Endpoint
    running: int
    suspect: bool


def is_worth_migrating(idempotent: bool, prompt: int) -> bool:
    """Return whether to migrate a stream off a runner that shuts down.

    Args:
        idempotent: Whether another runner may run the request again.
        prompt: Prompt tokens that would have to be prefilled again.
    """
    return not idempotent or prompt >= MIN_PROMPT_TOKENS


def compute_migration_delay(shutdown_at: float, now: float) -> float:
    """Return the seconds until the streams are to be migrated.

    Args:
        shutdown_at: Time at which the runner shuts down.
        now: Time of the same clock.
    """
    return max(0.0, shutdown_at - MIGRATION_LEAD_SECONDS - now)


def choose_target(
    candidates: Iterable[Candidate], source: Endpoint, rng: Random
) -> Endpoint | None:
    """Choose the least busy runner as the target of a migration.

    The number of concurrent streams determines the pace of each stream. Queued
    prefills hardly matter, as a migrated stream needs none.

    Args:
        candidates: Runners of the service.
        source: Endpoint of the current runner; only runners of the same
            version of the service can use its KV cache.
        rng: Breaks ties, so that gateways do not all choose the same target.

    Returns:
        Endpoint of the target, or None if no runner has a free slot.
    """
    free = [
        candidate
        for candidate in candidates
        if candidate.endpoint.id != source.id
        and candidate.endpoint.version == source.version
        and candidate.running < candidate.endpoint.slots
    ]
    if not free:
        return None
    best = min(
        free,
        key=lambda candidate: (
            candidate.suspect,
            candidate.running,
            rng.random(),
        ),
    )
    return best.endpoint
