"""Assigns to each workspace the gateways that its callers use.

Load pattern: a few workspaces send most of the requests, there is no load
balancer, and callers keep their list of gateways for a while. If every
gateway is listed for every workspace, each prompt prefix becomes known on
every gateway, and every gateway's queue sees only a sliver of each
workspace. If only one is listed, the loss of that gateway stops the
workspace, and a large workspace overloads it.

A workspace gets as many gateways as its weight needs and at least
``MIN_ENTRIES``, ranked by rendezvous hashing, so that a gateway that joins or
leaves changes few lists. The first entries are in different failure domains.
A gateway is assigned at most ``MAX_WEIGHT_RATIO`` times the mean weight
(consistent hashing with bounded loads); beyond it, the next gateway by rank
is used. All gateways compute the same lists from the declaration and the
membership, without communicating.

Thresholds: ``MIN_ENTRIES`` = 3 leaves two entries when a domain is lost.
``MAX_WEIGHT_RATIO`` = 1.25 reserves a fifth of a gateway's capacity for
callers that still use an old list; a smaller ratio changes more lists when a
gateway leaves. The ratio is exceeded when no other gateway fits, as a list
that is too short is worse.
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
        """Unique name of the gateway."""
        ...

    @property
    def failure_domain(self) -> str:
        """Failure domain in which the gateway runs."""
        ...


Member = TypeVar("Member", bound=Entry)


def assign_entries(
    members: Sequence[Member], weights: Mapping[str, float]
) -> dict[str, tuple[Member, ...]]:
    """Assign gateways to all workspaces.

    Args:
        members: Serving gateways, without those that are shutting down.
        weights: Declared weights by workspace name.

    Returns:
        The gateways of each workspace by its name, the preferred one first.
    """
    total = sum(weights.values())
    if not members or total <= 0:
        return dict.fromkeys(weights, ())
    max_weight = MAX_WEIGHT_RATIO * total / len(members)
    assigned: dict[str, float] = dict.fromkeys((m.name for m in members), 0.0)
    lists = {}
    # The largest workspaces are the hardest to fit and come first. Names
    # break ties, so that all gateways compute the same lists.
    for name in sorted(weights, key=lambda w: (-weights[w], w)):
        count = count_entries(weights[name] / total, len(members))
        weight = weights[name] / count
        chosen = _choose(members, name, count, weight, max_weight, assigned)
        for member in chosen:
            assigned[member.name] += weight
        lists[name] = chosen
    return lists


def count_entries(share: float, gateways: int) -> int:
    """Return the number of gateways for a workspace.

    Args:
        share: Weight of the workspace as a part of the total weight.
        gateways: Number of serving gateways.
    """
    return min(gateways, max(MIN_ENTRIES, ceil(share * gateways)))


def rank_members(members: Sequence[Member], workspace: str) -> list[Member]:
    """Rank gateways by rendezvous hash, alternating between domains."""
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
    weight: float,
    max_weight: float,
    assigned: Mapping[str, float],
) -> tuple[Member, ...]:
    ranked = rank_members(members, workspace)
    fitting = [m for m in ranked if assigned[m.name] + weight <= max_weight]
    fitting = rank_members(fitting, workspace)[:count]
    if len(fitting) < count:
        others = [m for m in ranked if m not in fitting]
        others.sort(key=lambda m: assigned[m.name])
        fitting += others[: count - len(fitting)]
    return tuple(fitting)
