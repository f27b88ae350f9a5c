"""Which part of all gateways one of them hears.

Pattern of load: a workspace sends many times its usual while some gateways
are cut off from the others and still serve callers. Whoever hears only some
lets through only their part of a quota. A gateway that is cut off is soon
held dead by the others, and holds them dead: if the dead no longer counted,
each side would take itself for all there is and let the whole quota through.
"""

from collections.abc import Collection, Iterable

from lagoonpost.tables.peer import Member

DEAD_MAY_SERVE_SECONDS = 3600.0
"""How long a gateway that went without leaving may still serve somewhere:
regions lose each other for an hour now and then. Of 320 hosts two are lost in
an hour, so that what is kept for them is under a hundredth of a quota."""


def find_unreachable(
    members: Iterable[Member], reachable: Collection[str], now: float
) -> set[str]:
    """Return the names of gateways that may serve and are not heard.

    Args:
        members: All known rows, also of those that left or are held dead.
        heard: Names of the gateways that are heard.
        now: Seconds since the epoch, by the clock of the rows.
    """
    return {
        each.name
        for each in members
        if each.name not in reachable and _may_serve(each, now)
    }


def compute_reachable_share(reachable: int, unreachable: int) -> float:
    """Return the part of all gateways that is heard, above 0 to 1.

    Args:
        heard: Gateways that are heard, the own one included.
        unheard: Gateways that may serve and are not heard.
    """
    return reachable / (reachable + unreachable)


def _may_serve(row: Member, now: float) -> bool:
    if row.serving:
        return True
    return row.state == "dead" and now - row.changed < DEAD_MAY_SERVE_SECONDS
