"""Chooses whom a member talks to, and judges members that do not answer.

Pattern of load: membership traffic grows with the members times what each
of them sends, and comes in bursts when a rack or failure domain is lost.
With a full mesh each member holds and probes all others, so that at 320
members probes alone pass the 3 KB a second that a daemon may spend. Here
each member has ``RINGS`` neighbours, whatever the number of members, so
its connections and probes stay the same as the system grows.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

from lagoonpost.tables.digest import hash_text
from lagoonpost.tables.peer import Member

# Successors on independent rings form a random graph of out-degree 3. With
# a quarter of the members lost at once, one in 64 has lost all three; it is
# still reached, as it moves on to its next successors on the first failure.
RINGS = 3
# Two regions are joined by few members of each, so that the traffic between
# regions does not grow with them. With one bridge in each failure domain
# first, losing a domain leaves the regions joined.
BRIDGES_PER_REGION = 4
LINKS_PER_BRIDGE = 2
# A member that did not answer us is passed over for this long. Longer than
# suspicion, so that it is dead for all before we would try it again.
AVOID_SECONDS = 8.0
# Probes fail on a direct and INDIRECT other ways before a member becomes
# suspect; SUSPICION_SECONDS is what it then has to refute. News takes well
# under a second to all (bench/gossip.py), so that 4 s leave room for a
# member that is slow; a false verdict costs only a refutation.
INDIRECT_PROBES = 3
PROBE_SECONDS = 1.0
SUSPICION_SECONDS = 4.0


class Topology(NamedTuple):
    """Members in the orders from which neighbours are chosen.

    Attributes:
        rings: Names of the own region's serving members, once per ring.
        bridges: Names of the serving members of each region, those that
            are to join it to other regions first.
    """

    rings: tuple[tuple[str, ...], ...]
    bridges: dict[str, tuple[str, ...]]


def build_topology(members: Iterable[Member], region: str) -> Topology:
    """Arrange the serving members as seen from a region."""
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
    """Return the next member on each ring after ``name``, each once.

    Args:
        topology: The arranged members.
        name: Whose neighbours are wanted.
        avoid: Names to pass over.
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
    """Return the members of other regions that ``me`` is to talk to.

    Only the first ``BRIDGES`` of a region talk to other regions. Bridge
    number i begins at the i-th bridge of the other side, so that links
    don't all end at the same member.
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
    """Return the row of a member that does not answer."""
    return row._replace(state="suspect", changed=now)


def mark_dead(row: Member) -> Member:
    """Return the row of a suspect that has not refuted in time.

    The time of the verdict follows from the suspicion alone, so all who
    reach it hold the same row, and hearing it from another adds no news.
    """
    changed = row.changed + SUSPICION_SECONDS
    return row._replace(state="dead", changed=changed)


def refute(me: Member, claim: Member, now: float) -> Member | None:
    """Return my next row if a claim about me is wrong, else None.

    A member that was frozen or cut off is held dead and learns so with its
    first exchange; the same holds for one that restarted under its name
    while its clock was behind. Only a larger incarnation is believed, so
    the next one is larger than the claim's and than any used before.
    """
    if claim.incarnation < me.incarnation or me.state == "left":
        return None
    if claim.incarnation == me.incarnation and claim.state == "alive":
        return None
    incarnation = max(claim.incarnation + 1, first_incarnation(now))
    return me._replace(incarnation=incarnation, state="alive", changed=now)


def first_incarnation(now: float) -> int:
    """Return the incarnation of a member that starts at ``now``.

    It grows over restarts without anything kept on a disk.
    """
    return int(now * 1000)
