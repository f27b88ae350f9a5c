"""How many runners of which tenure to order in which failure domain.

Pattern of load: prompts come in waves and a reclaim takes all reclaimable
runners of a failure domain at once, with seconds of notice, while none are to
be had anywhere for a while after it. Runners at full price cost four to six
times as much. Ordering only reclaimable ones leaves nothing when a second
domain goes while there are none; ordering by what is there after the loss
comes a start-up too late.

So reclaimable runners carry the load, spread over the domains, with so many
to spare that the loss of any one domain leaves enough. A base at full price
stays in the cheapest domain. When none are to be had, runners at full price
take their place at the notice, and go once others have come back. Reclaims
come in waves, so that there are by then enough of them for the next one.
"""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from lagoonpost.tables.configuration import Scaling
from lagoonpost.tables.endpoint import Endpoint

MAX_BUSY_SHARE = 0.55
"""Part of the time in which runners should read prompts: beyond it a prompt
waits behind others for longer than it takes itself."""
MAX_BUSY_SHARE_AFTER_LOSS = 0.8
"""The same after the loss of the largest domain, until others have started."""
MAX_SPOT_BUSY_SHARE = 0.25
"""The same for reclaimable runners. They cost a sixth to a quarter, and what
runs beside a prompt that is read is three to ten times slower meanwhile."""
MIN_RUNNERS = 3
"""Fewest runners of a service, so that one may be slow and one be lost."""
MIN_RUNNERS_AFTER_LOSS = 2
"""Fewest runners after the loss of any one domain."""
SPOT_RETRY_SECONDS = 2.5
"""Pause before reclaimable runners are asked for again where there were
none; each try is a priced call."""


class CapacityPool(NamedTuple):
    """Runners of one kind in one failure domain."""

    domain: str
    spot: bool


class RunnerOrder(NamedTuple):
    """The number of runners of one kind that there should be."""

    capacity_pool: CapacityPool
    runners: int


class Demand(NamedTuple):
    """What a service's runners have to do.

    Attributes:
        busy: Runners' worth of prompt reading, as a mean.
        base: Runners at full price to keep in any case.
    """

    busy: float
    base: int = 1


def count_runners(endpoints: Sequence[Endpoint]) -> dict[CapacityPool, int]:
    """Return how many runners stay, by kind and failure domain."""
    counts: dict[CapacityPool, int] = {}
    for each in endpoints:
        if not each.leaving:
            tenure = CapacityPool(each.failure_domain, each.spot)
            counts[tenure] = counts.get(tenure, 0) + 1
    return counts


def plan_orders(
    scaling: Scaling,
    demand: Demand,
    current: Mapping[CapacityPool, int],
    retry_at: Mapping[str, float],
    now: float,
) -> list[RunnerOrder]:
    """Return the number of each kind of runner that there should be.

    Args:
        scaling: Bounds and prices.
        demand: What there is to do.
        there: Runners that are there and stay.
        ask_again: For each domain that had no reclaimable runners when they
            were ordered last, the time from which to order them again.
        now: Time in seconds.

    Returns:
        Orders of reclaimable runners, but for domains that have none, then
        those at full price.
    """
    domains = sorted(scaling.prices, key=lambda each: scaling.prices[each])
    if not domains:
        return []
    wet = [each for each in domains if each not in retry_at]
    full = dict.fromkeys(domains, 0)
    spots = dict.fromkeys(domains, 0)
    least = max(MIN_RUNNERS, math.ceil(demand.busy / MAX_BUSY_SHARE))
    total = max(least, math.ceil(demand.busy / MAX_SPOT_BUSY_SHARE))
    rest = max(
        MIN_RUNNERS_AFTER_LOSS,
        math.ceil(demand.busy / MAX_BUSY_SHARE_AFTER_LOSS),
    )
    _fill(full, domains, demand.base, scaling.max_runners, spots)
    if 0 < scaling.spot_price < 1:
        _spread(spots, domains, total - demand.base, scaling.max_runners, full)
        _raise_to_least(spots, full, scaling.min_runners)
        while _count_after_loss(full, spots) < rest:
            if not _spread(spots, domains, 1, scaling.max_runners, full):
                break
    present = _find_spots(current)
    if retry_at:
        # What is given back in a drought can't be had again.
        for each in domains:
            spots[each] = max(spots[each], present.get(each, 0))
    kept = sum(present.get(each, 0) for each in domains)
    missing = least - demand.base - kept
    if retry_at:
        # Reclaims come in waves: while one domain has none to be had, the
        # next may go, and what replaces it takes a start-up.
        largest = max(present.values(), default=0)
        missing = max(missing, rest - demand.base - (kept - largest))
    if missing > 0:
        # At full price what is not there reclaimable, until it has come:
        # first those that run already, as a new one takes seconds to start.
        running = {
            each: current.get(CapacityPool(each, False), 0) for each in domains
        }
        for domain in domains:
            added = min(missing, max(0, running[domain] - full[domain]))
            full[domain] += added
            missing -= added
        coming = {
            each: max(spots[each] if each in wet else 0, present.get(each, 0))
            for each in domains
        }
        _fill(full, domains, missing, scaling.max_runners, coming)
    orders = [
        RunnerOrder(CapacityPool(each, True), spots[each])
        for each in domains
        if spots[each] and now >= retry_at.get(each, now)
    ]
    return orders + [
        RunnerOrder(CapacityPool(each, False), full[each]) for each in domains
    ]


def _find_spots(there: Mapping[CapacityPool, int]) -> dict[str, int]:
    return {
        tenure.domain: count for tenure, count in there.items() if tenure.spot
    }


def _raise_to_least(
    spots: dict[str, int], full: Mapping[str, int], least: int
) -> None:
    for domain in spots:
        spots[domain] = max(spots[domain], least - full[domain])


def _count_after_loss(
    full: Mapping[str, int], spots: Mapping[str, int]
) -> int:
    """Return the runners that are left after the worst reclaim."""
    return sum(full.values()) + sum(spots.values()) - max(spots.values())


def _fill(
    counts: dict[str, int],
    domains: Sequence[str],
    number: int,
    most: int,
    others: Mapping[str, int],
) -> None:
    """Add runners to the first domains that have room."""
    for domain in domains:
        room = max(0, most - counts[domain] - others.get(domain, 0))
        added = min(room, number)
        counts[domain] += added
        number -= added


def _spread(
    counts: dict[str, int],
    domains: Sequence[str],
    number: int,
    most: int,
    others: Mapping[str, int],
) -> int:
    """Add runners one by one where the fewest are, cheapest first.

    Returns:
        How many found room.
    """
    for added in range(number):
        free = [each for each in domains if counts[each] + others[each] < most]
        if not free:
            return added
        place = min(free, key=lambda each: counts[each])
        counts[place] += 1
    return max(0, number)
