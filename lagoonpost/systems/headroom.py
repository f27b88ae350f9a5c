"""Room for accepted work when a failure domain is lost.

Pattern of load: at the peak all slots are full and one of ``D`` failure
domains is lost with seconds of notice, or none. Its accepted requests need
slots on what is left, where none is free. Without room they wait for others
to end, streams go silent, and callers give up.

Keeping a domain's worth of slots empty would cost 1/D of the capacity at all
times. Engines batch beyond their slots, at more time per token: so accepted
work that is moved may go over a runner's slots and new work may not. While it
is over, no new work is sent there, and the excess drains as requests end.

Threshold: the work of one lost domain spread over the other D - 1 fills each
of them to D / (D - 1) of its slots: 1.5 for three domains, 4/3 for four. With
one domain left there is no domain to lose, and twice the slots bounds it.
"""

import math

ALONE = 2.0


def moved_limit(slots: int, domains: int) -> int:
    """Return how many requests a runner may have with moved ones.

    Args:
        slots: Its declared slots.
        domains: Failure domains that the service had before the loss.
    """
    if domains < 2:
        return math.ceil(slots * ALONE)
    return math.ceil(slots * domains / (domains - 1))
