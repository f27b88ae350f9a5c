"""Which gateways a workspace is told to use.

Pattern of load: a few workspaces send most of the requests, there is no
balancer, and callers keep their list for a while. With all gateways listed
for all, each prompt prefix becomes known on every gateway, and every gateway's
queue knows only a sliver of each workspace; with one listed, that gateway's
loss stops the workspace and a large workspace overloads it.

A workspace gets as many gateways as its weight needs and few more, ranked by
rendezvous hashing, so that a gateway that comes or goes changes few lists.
The first entries lie in different failure domains. A gateway takes no more
than ``BOUND`` times the mean weight (bounded loads): then the next by rank
takes its place. All gateways work this out alike from the declaration and
the members, and tell each other nothing.

Thresholds: ``LEAST`` = 3 entries leave two when a domain is lost. ``BOUND`` =
1.25 leaves a gateway a fifth of its capacity for callers that still come by
an old list; a smaller bound changes more lists when one gateway goes. When
domains run out the bound gives way: a list that is too short is worse.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from math import ceil
from typing import Protocol, TypeVar

from lagoonpost.systems.subset import rendezvous_score

MIN_ENTRIES = 3
MAX_WEIGHT_RATIO = 1.25


class Entry(Protocol):
    """A gateway that callers can be sent to."""

    @property
    def name(self) -> str:
        """Its unique name."""
        ...

    @property
    def failure_domain(self) -> str:
        """Where it runs."""
        ...


Member = TypeVar("Member", bound=Entry)


def assign_entries(
    members: Sequence[Member], weights: Mapping[str, float]
) -> dict[str, tuple[Member, ...]]:
    """Assign gateways to all workspaces.

    Args:
        members: Gateways that are serving; one that leaves is not among
            them.
        weights: Declared weights by workspace.

    Returns:
        For each workspace its gateways, best first.
    """
    total = sum(weights.values())
    if not members or total <= 0:
        return dict.fromkeys(weights, ())
    most = MAX_WEIGHT_RATIO * total / len(members)
    given: dict[str, float] = dict.fromkeys((m.name for m in members), 0.0)
    lists = {}
    # The largest first: they are the hardest to fit. Names break ties, so
    # that all gateways come to the same lists.
    for name in sorted(weights, key=lambda w: (-weights[w], w)):
        count = count_entries(weights[name] / total, len(members))
        part = weights[name] / count
        chosen = _choose(members, name, count, part, most, given)
        for member in chosen:
            given[member.name] += part
        lists[name] = chosen
    return lists


def count_entries(share: float, gateways: int) -> int:
    """Return how many gateways a workspace with this share of all uses."""
    return min(gateways, max(MIN_ENTRIES, ceil(share * gateways)))


def rank_members(members: Sequence[Member], workspace: str) -> list[Member]:
    """Rank gateways by rendezvous hash, one failure domain after another."""
    ranked = sorted(
        members,
        key=lambda m: rendezvous_score(workspace, m.name),
        reverse=True,
    )
    seen: defaultdict[str, int] = defaultdict(int)
    rounds = {}
    for member in ranked:
        rounds[member.name] = seen[member.failure_domain]
        seen[member.failure_domain] += 1
    return sorted(ranked, key=lambda m: rounds[m.name])


def _choose(
    members: Sequence[Member],
    workspace: str,
    count: int,
    part: float,
    most: float,
    given: Mapping[str, float],
) -> tuple[Member, ...]:
    ranked = rank_members(members, workspace)
    fitting = [m for m in ranked if given[m.name] + part <= most]
    fitting = rank_members(fitting, workspace)[:count]
    if len(fitting) < count:
        rest = [m for m in ranked if m not in fitting]
        rest.sort(key=lambda m: given[m.name])
        fitting += rest[: count - len(fitting)]
    return tuple(fitting)
