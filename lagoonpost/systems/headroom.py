"""Room above the slots, for work that must not wait for one.

Pattern of load: at the peak all slots are full and one of ``D`` failure
domains is lost with seconds of notice, or none. Its accepted requests need
slots on what is left, where none is free. Without room they wait for others
to end, streams go silent, and callers give up.

Keeping a domain's worth of slots empty would cost 1/D of the capacity at all
times. Engines batch beyond their slots, at more time per token: so accepted
work that is moved may go over a runner's slots and new work may not. While it
is over, no new work is sent there, and the excess drains as requests end.

A short request of a workspace within its share meets the same wall when drafts
or another workspace fill all slots: it waits for somebody's end. Slots kept
free for it are lost to the others; instead it may go over the slots too.

Thresholds: the work of one lost domain spread over the other D - 1 fills each
of them to D / (D - 1) of its slots: 1.5 for three domains, 4/3 for four. With
one domain left there is no domain to lose, and twice the slots bounds it.
Protected short work may add ``PROTECTED`` of the slots: an eighth makes each
token an eighth slower at the worst, well inside the half that engines bear,
and only until the work over the slots has drained. Short work is protected
from drafts while these hold more than half of our slots (``DRAFTS_MOST``);
with less, shorts end often enough to make room for shorts.
"""

import math

from lagoonpost.systems.cost import count_tokens
from lagoonpost.systems.pool import Pool
from lagoonpost.systems.queueing import SHORT_CLASSES
from lagoonpost.tables.request import RequestRow

SINGLE_DOMAIN_RATIO = 2.0
PROTECTED_SHARE = 1 / 8
MAX_DRAFT_SHARE = 0.5


def moved_limit(slots: int, domains: int) -> int:
    """Return how many requests a runner may have with moved ones.

    Args:
        slots: Its declared slots.
        domains: Failure domains that the service had before the loss.
    """
    if domains < 2:
        return math.ceil(slots * SINGLE_DOMAIN_RATIO)
    return math.ceil(slots * domains / (domains - 1))


def protected_limit(slots: int) -> int:
    """Return how many requests a runner may have with protected ones."""
    return slots + math.ceil(slots * PROTECTED_SHARE)


def is_protected(pool: Pool, request: RequestRow, start: float) -> bool:
    """Return whether a request may go over the slots a little.

    It is short, and either drafts hold most of our slots, or its workspace
    has had less than its share.

    Args:
        pool: The service's state.
        request: The request.
        start: Its start tag.
    """
    if request.request_class not in SHORT_CLASSES:
        return False
    if pool.drafts > MAX_DRAFT_SHARE * pool.own:
        return True
    # Estimates that were too high put a workspace that takes all it can get
    # behind its share now and then; but that one has more in the queue.
    queue = pool.queues[request.request_class]
    queued = queue.backlog.get(request.workspace, 0.0)
    alone = queued <= count_tokens(request)
    return alone and queue.is_within_share(request.workspace, start)


def protected_headroom(pool: Pool) -> float:
    """Return how far protected work may go over our quota."""
    return math.ceil(pool.slots * PROTECTED_SHARE)
