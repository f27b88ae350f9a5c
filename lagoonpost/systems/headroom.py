"""Headroom above a runner's slots, for work that must not wait for one.

Load pattern: at peak load all slots are full and one of ``D`` failure domains
is lost with seconds of notice, or none. Its accepted requests need slots on
the remaining runners, where none is free. Without headroom they wait for
other requests to end, streams stall, and callers give up.

Keeping a domain's worth of slots empty would cost 1/D of the capacity at all
times. Engines can batch more requests than their slots, at more time per
token, so accepted requests that are moved may exceed a runner's slots and new
requests may not. A runner above its slots gets no new requests, and the
excess drains as requests end.

A short request of a workspace within its share has the same problem when
drafts or another workspace fill all slots: it waits for some request to end.
Slots kept free for it would be lost to the others, so it may exceed the slots
too.

Thresholds: the work of one lost domain, spread over the other D - 1, fills
each of them to D / (D - 1) of its slots: 1.5 for three domains, 4/3 for four.
With a single domain there is none to lose, and ``SINGLE_DOMAIN_RATIO`` limits
a runner to twice its slots. Protected short requests may exceed the slots by
``PROTECTED_SHARE``: an eighth makes each token at most an eighth slower, well
inside the half that engines tolerate, and only until the excess has drained.
Short requests are protected from drafts while drafts hold more than
``MAX_DRAFT_SHARE``, half, of this gateway's slots; below it, short requests
end often enough to make room for others.
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
    """Return the limit of a runner's requests when one is moved there.

    Args:
        slots: Declared slots of the runner.
        domains: Number of failure domains before the loss.
    """
    if domains < 2:
        return math.ceil(slots * SINGLE_DOMAIN_RATIO)
    return math.ceil(slots * domains / (domains - 1))


def protected_limit(slots: int) -> int:
    """Return the limit of a runner's requests for a protected one."""
    return slots + math.ceil(slots * PROTECTED_SHARE)


def is_protected(pool: Pool, request: RequestRow, start: float) -> bool:
    """Return whether a request may slightly exceed the slots.

    A request is protected if it is short and either drafts hold most of this
    gateway's slots or its workspace has used less than its share.

    Args:
        pool: The service's state.
        request: The request.
        start: Start tag of the request in its fair queue.
    """
    if request.request_class not in SHORT_CLASSES:
        return False
    if pool.drafts > MAX_DRAFT_SHARE * pool.own:
        return True
    # Cost estimates that were too high can make a greedy workspace appear to
    # be below its share; but such a workspace has further requests queued.
    queue = pool.queues[request.request_class]
    queued = queue.backlog.get(request.workspace, 0.0)
    is_only_one = queued <= count_tokens(request)
    return is_only_one and queue.is_within_share(request.workspace, start)


def protected_headroom(pool: Pool) -> float:
    """Return by how much protected requests may exceed the pool's quota."""
    return math.ceil(pool.slots * PROTECTED_SHARE)
