"""Which streams leave a runner before it goes, when, and where to.

Pattern of load: a reclaim takes all reclaimable runners of a failure domain
with two seconds of notice, while each of them is in the middle of some ten
long drafts. A draft that may run only once is lost with its runner, and one
that may be resumed has its whole prompt read again at runners that have just
got all of the lost ones' work. Copying a run's memory takes some ten
milliseconds, so it is moved.

A copy moves bytes and takes a place at another runner, and many drafts end
within the notice. So runs are moved as late as is safe, and only those that
are still there by then.
"""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from lagoonpost.tables.endpoint import Endpoint

MIGRATION_LEAD_SECONDS = 1.0
"""Time before a runner goes at which its runs are moved: the copies of 64 runs
of 12,000 tokens take 0.4 to 0.8 s on one link, one after the other."""
MIN_PROMPT_TOKENS = 1500
"""Prompt tokens from which a stream that may be resumed is moved too: shorter
ones are read again in the time that a copy and its calls take."""


class Candidate(NamedTuple):
    """A runner that may take a run.

    Attributes:
        endpoint: The runner.
        running: Requests that it works on, those on their way included.
        suspect: Whether it could not be reached lately.
    """

    endpoint: Endpoint
    running: int
    suspect: bool


def is_worth_migrating(idempotent: bool, prompt: int) -> bool:
    """Tell whether a stream is moved away from a runner that goes.

    Args:
        idempotent: Whether another runner may run it again.
        prompt: Tokens that it would have to read again.
    """
    return not idempotent or prompt >= MIN_PROMPT_TOKENS


def compute_migration_delay(gone: float, now: float) -> float:
    """Return the seconds until runs are to be moved.

    Args:
        gone: Time at which the runner goes.
        now: Time of the same clock.
    """
    return max(0.0, gone - MIGRATION_LEAD_SECONDS - now)


def choose_target(
    places: Iterable[Candidate], source: Endpoint, rng: Random
) -> Endpoint | None:
    """Choose where a run goes on: at the least busy runner.

    The number of runs side by side sets the pace of each; what waits to be
    read hardly matters, as a moved run has nothing to read.

    Args:
        places: Runners of the service.
        source: Where the run is; only runners of the same version of the
            service can use its memory.
        rng: Breaks ties, so that gateways do not all choose alike.
    """
    free = [
        each
        for each in places
        if each.endpoint.id != source.id
        and each.endpoint.version == source.version
        and each.running < each.endpoint.slots
    ]
    if not free:
        return None
    best = min(
        free, key=lambda each: (each.suspect, each.running, rng.random())
    )
    return best.endpoint
