"""Which runners are due an order: the whole wanted state, again and again.

Pattern of load: a controller's shard of thousands of runners, some of which
lose an order, restart, or take a late order of an earlier lease holder.
Orders sent once leave such a runner wrong for good; all orders sent on each
tick are a flood.

A runner is ordered when what it last confirmed is not what is wanted under
this fencing number, and otherwise every ``REPEAT`` seconds. Thresholds: a
runner that a late order has set back is right again within ``REPEAT``, and
2,800 runners cost 94 small calls a second over all controllers. A runner that
does not confirm is tried again after ``RETRY`` seconds, longer than the
timeout of an order, so that it never has two under way.
"""

from collections.abc import Mapping
from typing import NamedTuple

REPEAT_SECONDS = 30.0
RETRY_SECONDS = 6.0


class DesiredState(NamedTuple):
    """What a runner is to be: its versions and its role."""

    versions: tuple[str, ...]
    role: str = "serving"


class SentOrder(NamedTuple):
    """The last order given to a runner.

    Attributes:
        wanted: The state that it asked for.
        fence: Fencing number it carried.
        at: Time of the order, in seconds.
        confirmed: Whether the runner took it.
    """

    desired: DesiredState
    fence: int
    sent_at: float
    confirmed: bool


def find_due_runners(
    desired: Mapping[str, DesiredState],
    sent: Mapping[str, SentOrder],
    fence: int,
    now: float,
) -> tuple[str, ...]:
    """Return the names of the runners to order now.

    Args:
        wanted: Wanted state by name of the runner.
        given: Last orders by name of the runner.
        fence: Fencing number of the lease that is held.
        now: Time in seconds.
    """
    return tuple(
        name
        for name, state in desired.items()
        if _is_due(state, sent.get(name), fence, now)
    )


def _is_due(
    wanted: DesiredState, given: SentOrder | None, fence: int, now: float
) -> bool:
    if given is None or (given.desired, given.fence) != (wanted, fence):
        return True
    return now - given.sent_at >= (
        REPEAT_SECONDS if given.confirmed else RETRY_SECONDS
    )
