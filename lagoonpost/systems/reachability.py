"""Share of all gateways that one gateway can reach.

Load pattern: a workspace sends many times its usual load while some gateways
are partitioned from the others and still serve callers. A gateway that
receives reports of only some gateways admits only their share of a quota. The
two sides of a partition soon mark each other dead. If dead gateways were not
counted, each side would consider itself complete and admit the whole quota.
"""

from collections.abc import Collection, Iterable

from lagoonpost.tables.peer import Member

DEAD_MAY_SERVE_SECONDS = 3600.0
"""How long a gateway marked dead without having left may still serve callers:
regions are occasionally partitioned for an hour. Of 320 hosts about two fail
per hour, so less than a hundredth of a quota is reserved for dead hosts."""


def find_unreachable(
    members: Iterable[Member], reachable: Collection[str], now: float
) -> set[str]:
    """Return the names of unreachable gateways that may still serve callers.

    Args:
        members: All known rows, including members that left or are dead.
        reachable: Names of the reachable gateways.
        now: Seconds since the epoch, on the clock used in the rows.
    """
    return {
        member.name
        for member in members
        if member.name not in reachable and _may_serve(member, now)
    }


def compute_reachable_share(reachable: int, unreachable: int) -> float:
    """Return the reachable share of all gateways, in (0, 1].

    Args:
        reachable: Number of reachable gateways, including this one.
        unreachable: Number of unreachable gateways that may still serve.
    """
    return reachable / (reachable + unreachable)


def _may_serve(row: Member, now: float) -> bool:
    if row.serving:
        return True
    return row.state == "dead" and now - row.changed < DEAD_MAY_SERVE_SECONDS
