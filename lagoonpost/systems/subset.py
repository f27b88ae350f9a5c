"""Which runners a gateway talks to.

Pattern of load: 320 gateways before 2,800 runners. If each talks to all, a
decision scans all of them, every runner reports to every gateway, and each
keeps 896,000 connections between them; a fixed slice ties a runner's fate to
one gateway.

Each gateway ranks the runners of each failure domain by rendezvous hashing of
(gateway, runner) and takes the same number from each, so that a change moves
only the runners concerned.

Thresholds: with ``n`` runners, ``g`` gateways and ``d`` runners each, a
runner is unknown to all with probability exp(-d g / n); fewer than one is
expected unknown when d >= n ln(n) / g. At the target that is 70. Below
``LEAST`` runners nothing is gained by leaving some out; ``MOST`` bounds a
decision's time where the number of gateways is not known.
"""

import math
from collections import defaultdict
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from lagoonpost.tables.entity import Runner

MIN_SUBSET = 48
MAX_SUBSET = 96


def subset_size(runners: int, gateways: int) -> int:
    """Return how many of a service's runners one gateway talks to."""
    if runners <= MIN_SUBSET:
        return runners
    covering = math.ceil(runners * math.log(runners) / max(1, gateways))
    return min(runners, MAX_SUBSET, max(MIN_SUBSET, covering))


def rendezvous_score(key: str, name: str) -> int:
    """Return the rendezvous score of a name for a key."""
    return xxh3_64_intdigest(f"{key}\0{name}".encode())


def choose_subset(
    gateway: str, runners: Iterable[Runner], gateways: int
) -> list[Runner]:
    """Choose the runners that a gateway talks to.

    Args:
        gateway: The gateway's name.
        runners: All runners of one service and version.
        gateways: Number of gateways, or 1 if unknown.

    Returns:
        Runners, spread evenly over failure domains.
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
