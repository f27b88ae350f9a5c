"""Scaling: how many runners to order in each failure domain, spot or not.

Load pattern: prompts come in waves, and a reclaim takes all spot runners of a
failure domain at once, with seconds of notice, after which no spot capacity
is available anywhere for a while. Runners at full price cost four to six
times as much. Ordering only spot runners leaves none when a second domain is
reclaimed during the shortage; ordering after the loss is late by a start-up.

Spot runners therefore carry the load, spread over the domains, with enough
spare ones that the loss of any one domain leaves enough. A base of runners at
full price stays in the cheapest domain. When no spot capacity is available,
runners at full price replace the reclaimed ones as soon as the notice arrives
and are removed once spot runners are back. Reclaims come in waves, so there
must be enough runners by the next one.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import NamedTuple

from lagoonpost.tables.configuration import Scaling
from lagoonpost.tables.endpoint import Endpoint

MAX_BUSY_SHARE = 0.55
"""Largest part of the time in which a runner should be in prefill. Above it, a
prompt waits behind others for longer than its own prefill takes."""
MAX_BUSY_SHARE_AFTER_LOSS = 0.8
"""The same after the loss of the largest domain, until replacements start."""
MAX_SPOT_BUSY_SHARE = 0.25
"""The same for spot runners. They cost a sixth to a quarter, and requests that
run beside a prefill are three to ten times slower meanwhile."""
MIN_RUNNERS = 3
"""Fewest runners of a service, so that one may be slow and another lost."""
MIN_RUNNERS_AFTER_LOSS = 2
"""Fewest runners after the loss of any one domain."""
SPOT_RETRY_SECONDS = 2.5
"""Pause before spot runners are ordered again in a domain that had none; each
attempt is a call that costs money."""


class CapacityPool(NamedTuple):
    """The runners of one price type in one failure domain.

    Attributes:
        domain: Name of the failure domain.
        spot: Whether the cloud may reclaim the runners, at a lower price.
    """

    domain: str
    spot: bool


class RunnerOrder(NamedTuple):
    """The desired number of runners in one capacity pool."""

    capacity_pool: CapacityPool
    runners: int


class Demand(NamedTuple):
    """Demand for a service's runners.

    Attributes:
        busy: Mean number of runners that are busy with prefill.
        base: Number of runners at full price to keep in any case.
    """

    busy: float
    base: int = 1


def exclude_domains(scaling: Scaling, domains: Collection[str]) -> Scaling:
    """Return the bounds and prices without those of some failure domains."""
    return scaling._replace(
        prices={
            domain: price
            for domain, price in scaling.prices.items()
            if domain not in domains
        }
    )


def count_runners(endpoints: Iterable[Endpoint]) -> dict[CapacityPool, int]:
    """Return the number of runners that stay, by capacity pool."""
    counts: dict[CapacityPool, int] = {}
    for endpoint in endpoints:
        if not endpoint.leaving:
            pool = CapacityPool(endpoint.failure_domain, endpoint.spot)
            counts[pool] = counts.get(pool, 0) + 1
    return counts


def plan_orders(
    scaling: Scaling,
    demand: Demand,
    current: Mapping[CapacityPool, int],
    retry_at: Mapping[str, float],
    now: float,
) -> list[RunnerOrder]:
    """Return the desired number of runners for each capacity pool.

    Args:
        scaling: Bounds and prices.
        demand: Demand for the service's runners.
        current: Number of running runners that stay, by capacity pool.
        retry_at: For each domain that had no spot capacity at the last order,
            the earliest time in seconds of the next order.
        now: Time in seconds.

    Returns:
        Orders of spot runners, except for domains without spot capacity,
        then those at full price.
    """
    domains = sorted(scaling.prices, key=lambda domain: scaling.prices[domain])
    if not domains:
        return []
    available = [domain for domain in domains if domain not in retry_at]
    full = dict.fromkeys(domains, 0)
    spots = dict.fromkeys(domains, 0)
    required = max(MIN_RUNNERS, math.ceil(demand.busy / MAX_BUSY_SHARE))
    total = max(required, math.ceil(demand.busy / MAX_SPOT_BUSY_SHARE))
    required_after_loss = max(
        MIN_RUNNERS_AFTER_LOSS,
        math.ceil(demand.busy / MAX_BUSY_SHARE_AFTER_LOSS),
    )
    _fill(full, domains, demand.base, scaling.max_runners, spots)
    if 0 < scaling.spot_price < 1:
        _spread(spots, domains, total - demand.base, scaling.max_runners, full)
        _raise_to_least(spots, full, scaling.min_runners)
        while _count_after_loss(full, spots) < required_after_loss:
            if not _spread(spots, domains, 1, scaling.max_runners, full):
                break
    present = _find_spots(current)
    if retry_at:
        # Spot runners released during a shortage cannot be replaced.
        for domain in domains:
            spots[domain] = max(spots[domain], present.get(domain, 0))
    present_total = sum(present.get(domain, 0) for domain in domains)
    missing = required - demand.base - present_total
    if retry_at:
        # Reclaims come in waves: during the shortage in one domain all others
        # may be reclaimed, and the replacements take a start-up.
        missing = max(missing, required_after_loss - demand.base)
    if missing > 0:
        # Runners at full price cover missing spot runners until these have
        # started. Those already running come first, as a new one takes
        # seconds to start.
        running = {
            domain: current.get(CapacityPool(domain, False), 0)
            for domain in domains
        }
        for domain in domains:
            added = min(missing, max(0, running[domain] - full[domain]))
            full[domain] += added
            missing -= added
        expected = {
            domain: max(
                spots[domain] if domain in available else 0,
                present.get(domain, 0),
            )
            for domain in domains
        }
        _fill(full, domains, missing, scaling.max_runners, expected)
    orders = [
        RunnerOrder(CapacityPool(domain, True), spots[domain])
        for domain in domains
        if spots[domain] and now >= retry_at.get(domain, now)
    ]
    return orders + [
        RunnerOrder(CapacityPool(domain, False), full[domain])
        for domain in domains
    ]


def keep_present(
    orders: Iterable[RunnerOrder], current: Mapping[CapacityPool, int]
) -> list[RunnerOrder]:
    """Return the orders, none for fewer runners than are present.

    An order names no version. While a service moves to another one, an order
    for fewer runners may stop all of the new version, which then can't be
    tried, or those of the old one, which still serve most requests.

    Args:
        orders: The orders.
        current: Number of running runners that stay, by capacity pool.
    """
    return [
        order._replace(
            runners=max(order.runners, current.get(order.capacity_pool, 0))
        )
        for order in orders
    ]


def _find_spots(there: Mapping[CapacityPool, int]) -> dict[str, int]:
    return {pool.domain: count for pool, count in there.items() if pool.spot}


def _raise_to_least(
    spots: dict[str, int], full: Mapping[str, int], least: int
) -> None:
    for domain in spots:
        spots[domain] = max(spots[domain], least - full[domain])


def _count_after_loss(
    full: Mapping[str, int], spots: Mapping[str, int]
) -> int:
    """Return the runners that remain after the largest reclaim."""
    return sum(full.values()) + sum(spots.values()) - max(spots.values())


def _fill(
    counts: dict[str, int],
    domains: Sequence[str],
    number: int,
    most: int,
    others: Mapping[str, int],
) -> None:
    """Add runners to the first domains below their limit.

    Args:
        counts: Runners by domain, changed in smallest.
        domains: Domains in order of preference.
        number: Number of runners to add.
        most: Most runners of a domain.
        others: Further runners by domain that count towards the limit.
    """
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
    """Add runners one by one to the domain with the fewest of them.

    The cheapest domain breaks ties.

    Args:
        counts: Runners by domain, changed in smallest.
        domains: Domains, the cheapest first.
        number: Number of runners to add.
        most: Most runners of a domain.
        others: Further runners by domain that count towards the limit.

    Returns:
        The number of runners added.
    """
    for added in range(number):
        free = [
            domain
            for domain in domains
            if counts[domain] + others[domain] < most
        ]
        if not free:
            return added
        smallest = min(free, key=lambda domain: counts[domain])
        counts[smallest] += 1
    return max(0, number)
