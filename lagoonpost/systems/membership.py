"""Gossip topology and member state transitions.

Load pattern: membership traffic grows with the number of members and the
messages per member, and comes in bursts when a rack or failure domain is
lost. In a full mesh each member connects to and probes all others; at 320
members the probes alone exceed the budget of 3 KB per second and daemon.
Here each member has ``RINGS`` neighbours regardless of the number of members,
so its connections and probes stay constant as the system grows.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from lagoonpost.tables.digest import hash_text
from lagoonpost.tables.peer import Member

# Successors on independent rings form a random graph of out-degree 3. When
# a quarter of the members fail at once, one member in 64 loses all three
# neighbours. It stays connected, because it replaces a neighbour with the
# next successor on the first failed call.
RINGS = 3
# Only a few members of each region link to other regions, so that traffic
# between regions does not grow with the number of members. Bridges are
# spread over failure domains, so that losing one domain does not disconnect
# the regions.
BRIDGES_PER_REGION = 4
LINKS_PER_BRIDGE = 2
# How long a member that did not answer is not chosen as a neighbour. Longer
# than the suspicion timeout, so that a failed member is marked dead
# everywhere before it would be tried again.
AVOID_SECONDS = 8.0
# A member becomes suspect after a direct probe and INDIRECT_PROBES indirect
# probes have failed. It then has SUSPICION_SECONDS to refute the suspicion.
# A row reaches all members in well under a second (bench/gossip.py), so 4 s
# leave time for a slow member; a wrong verdict costs only a refutation.
INDIRECT_PROBES = 3
PROBE_SECONDS = 1.0
SUSPICION_SECONDS = 4.0


class Topology(NamedTuple):
    """Member orders from which neighbours are chosen.

    Attributes:
        rings: Names of the local region's serving members, in the order of
            each ring.
        bridges: Names of the serving members of each region, preferred
            bridges first.
    """

    rings: tuple[tuple[str, ...], ...]
    bridges: dict[str, tuple[str, ...]]


def build_topology(members: Iterable[Member], region: str) -> Topology:
    """Return the topology of the serving members.

    Args:
        members: Rows of all known members.
        region: Region whose members form the rings.
    """
    serving = [row for row in members if row.serving]
    local = [row.name for row in serving if row.region == region]
    rings = tuple(
        tuple(sorted(local, key=lambda name: hash_text(f"{ring}/{name}")))
        for ring in range(RINGS)
    )
    regions = {row.region for row in serving}
    bridges = {
        name: _order_bridges([row for row in serving if row.region == name])
        for name in regions
    }
    return Topology(rings, bridges)


def _order_bridges(members: Sequence[Member]) -> tuple[str, ...]:
    by_hash = sorted(members, key=lambda row: hash_text(row.name))
    seen: dict[str, int] = {}
    ranked = []
    for row in by_hash:
        turn = seen.get(row.failure_domain, 0)
        seen[row.failure_domain] = turn + 1
        ranked.append((turn, hash_text(row.name), row.name))
    return tuple(name for _, _, name in sorted(ranked))


def choose_neighbours(
    topology: Topology, name: str, avoid: Collection[str] = ()
) -> tuple[str, ...]:
    """Return the successor of ``name`` on each ring, without duplicates.

    Args:
        topology: Topology of the region.
        name: Name of the member.
        avoid: Names to skip.
    """
    chosen: dict[str, None] = {}
    for ring in topology.rings:
        for candidate in _follow(ring, name):
            if candidate not in chosen and candidate not in avoid:
                chosen[candidate] = None
                break
    return tuple(chosen)


def _follow(ring: Sequence[str], name: str) -> Iterable[str]:
    if name not in ring:
        return ring
    start = ring.index(name) + 1
    return (*ring[start:], *ring[: start - 1])


def choose_bridge_links(
    topology: Topology, me: Member, avoid: Collection[str] = ()
) -> tuple[str, ...]:
    """Return the members of other regions that ``me`` links to.

    Only the first ``BRIDGES_PER_REGION`` members of a region link to other
    regions. Bridge number i starts at the i-th bridge of the remote region,
    so that links are spread over the remote bridges.

    Args:
        topology: Topology of the region.
        me: Row of the member.
        avoid: Names to skip.
    """
    own = topology.bridges.get(me.region, ())[:BRIDGES_PER_REGION]
    if me.name not in own:
        return ()
    number = own.index(me.name)
    chosen: list[str] = []
    for region, names in sorted(topology.bridges.items()):
        if region != me.region:
            order = (*names[number:BRIDGES_PER_REGION], *names[:number])
            free = [name for name in order if name not in avoid]
            chosen.extend(free[:LINKS_PER_BRIDGE])
    return tuple(chosen)


def mark_suspect(row: Member, now: float) -> Member:
    """Return the row with state ``suspect``, for an unresponsive member."""
    return row._replace(state="suspect", changed=now)


def mark_dead(row: Member) -> Member:
    """Return the row with state ``dead``, after an unrefuted suspicion.

    The time of the change depends only on the time of the suspicion. All
    members that reach the verdict thus create the same row, and receiving it
    from a peer changes nothing.
    """
    changed = row.changed + SUSPICION_SECONDS
    return row._replace(state="dead", changed=changed)


def refute(me: Member, claim: Member, now: float) -> Member | None:
    """Return a row that refutes a wrong claim about this member, or None.

    A member that was suspended or partitioned is marked dead and learns this
    in its first sync. The same happens to a member that restarts under its
    old name with a clock that is behind. Only a larger incarnation overrides
    the claim, so the new one exceeds that of the claim and all previous ones.

    Args:
        me: The current row of this member.
        claim: A row about this member, received from a peer.
        now: Time in seconds since the epoch.
    """
    if claim.incarnation < me.incarnation or me.state == "left":
        return None
    if claim.incarnation == me.incarnation and claim.state == "alive":
        return None
    incarnation = max(claim.incarnation + 1, first_incarnation(now))
    return me._replace(incarnation=incarnation, state="alive", changed=now)


def first_incarnation(now: float, seniority_delay: float = 0.0) -> int:
    """Return the incarnation of a member that starts at ``now``.

    It is the time in milliseconds, which increases over restarts without
    persistent state.

    Args:
        now: Time in seconds.
        seniority_delay: Seconds by which the member ranks as if it had
            started later; the same at each start of a host.
    """
    return int((now + seniority_delay) * 1000)
