"""Subsetting: the runners that each gateway sends requests to.

Load pattern: 320 gateways in front of 2,800 runners. If every gateway used
all runners, each routing decision would scan all of them, every runner would
report to every gateway, and there would be 896,000 connections in total. With
fixed slices, a runner would depend on a single gateway.

Each gateway ranks the runners of each failure domain by rendezvous hashing of
(gateway, runner) and takes the same number from each domain, so that a change
affects only the runners concerned.

Thresholds: with ``n`` runners, ``g`` gateways and ``d`` runners per gateway,
a runner is in no subset with probability exp(-d g / n). The expected number
of such runners is below one when d >= n ln(n) / g, which is 70 at the target
size. Up to ``MIN_SUBSET`` runners, a smaller subset brings no benefit;
``MAX_SUBSET`` limits the time of a decision when the number of gateways is
unknown.
"""

import math
from collections import defaultdict
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from lagoonpost.tables.entity import Runner

MIN_SUBSET = 48
MAX_SUBSET = 96


def subset_size(runners: int, gateways: int) -> int:
    """Return how many of a service's runners one gateway uses.

    Args:
        runners: Number of runners of the service.
        gateways: Number of gateways.
    """
    if runners <= MIN_SUBSET:
        return runners
    covering = math.ceil(runners * math.log(runners) / max(1, gateways))
    return min(runners, MAX_SUBSET, max(MIN_SUBSET, covering))


def rendezvous_score(key: str, name: str) -> int:
    """Return the rendezvous hash of a name for a key; the highest wins."""
    return xxh3_64_intdigest(f"{key}\0{name}".encode())


def choose_subset(
    gateway: str, runners: Iterable[Runner], gateways: int
) -> list[Runner]:
    """Choose the runners that a gateway sends requests to.

    Args:
        gateway: The gateway's name.
        runners: All runners of one service and version.
        gateways: Number of gateways, or 1 if unknown.

    Returns:
        The chosen runners, spread evenly over failure domains.
    """
    domains: defaultdict[str, list[Runner]] = defaultdict(list)
    total = 0
    for runner in runners:
        domains[runner.failure_domain].append(runner)
        total += 1
    size = subset_size(total, gateways)
    if size == total:
        return [runner for group in domains.values() for runner in group]
    ranked = []
    for group in domains.values():
        group.sort(
            key=lambda r: rendezvous_score(gateway, r.name), reverse=True
        )
        ranked += [(rank, r.name, r) for rank, r in enumerate(group)]
    ranked.sort(key=lambda item: item[:2])
    return [runner for _, _, runner in ranked[:size]]
