"""Roles of gateways: report hubs, store readers and holders of duties.

Load pattern: each gateway needs to know the in-flight and admitted requests
of all gateways and the current runners. Broadcasting this from every gateway
to every other grows quadratically: 82 gateways sent 297 MB between failure
domains in 78 s, and watched the store separately with 15,123 calls.

Up to ``MAX_MESH_GATEWAYS`` gateways form a full mesh, which is still cheap and
saves one hop. In larger deployments each failure domain has a hub: all
gateways send their reports to all hubs, and each hub sends the sums to its
own failure domain. A few hubs read the store and publish changes: three
readers with staggered reads detect changes nearly as soon as ten, with a
third of the calls. All gateways choose from the same member list, so no
election is needed. Gateways that failed are skipped, and for reading the store
also those that lost it. Hubs stay hubs without the store: in an outage each
gateway that is to read it in place of another loses it in turn, and hubs that
changed as often would never know the reports of all gateways.
Gateways that have run longest without interruption come first, so that a
restarted gateway without current data does not take over a role from a
running one. Of gateways that started together, those with fast links come
first: a hub receives the reports of all gateways and sends summaries to its
domain, several hundred kilobytes a second with 82 gateways.

The failure of a reader shows only after seconds, so hubs report the age of
the readers' data. If it is too old, a few backups read as well; if the hub
itself is silent, all gateways of its domain read. In the first case not all
gateways read at once, as the store itself may be down and would receive the
calls of all gateways when it recovers. Only shortly before the bound, when
not even a backup's answer has come, the others try as well, each at the slow
pace of a gateway that has lost the store.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import Literal, NamedTuple

from lagoonpost.tables.peer import Member

MAX_MESH_GATEWAYS = 16
"""Largest number of gateways in a full mesh: 16 gateways send 600 reports per
second at the default interval, which cost the event loop 2% of a core at
30 us per report."""
MIN_HUBS = 3
"""Minimum number of hubs: with one failed and one partitioned, one is left."""
STORE_READERS = 3
"""Number of hubs that read the store: with one lost together with its failure
domain and one rejected by the store, one is left. If all three are
unavailable, the backups take over."""
BACKUP_READERS_PER_DOMAIN = 2
"""Gateways per failure domain that read the store when no reader does."""

READER_LONG_POLL_SECONDS = 0.5
"""Maximum long-poll duration of a reader's call to the store. The answer shows
all other gateways that the reader is still active."""
MS_PER_SECOND = 1000.0
DUTY_CONTENDERS = 3
"""Gateways that contend for the duties' lease: with one holding it and one cut
off from the store, one is left. If all gateways contended, the lease would be
polled nine times as often."""
READER_TAKEOVER_SECONDS = 0.8
"""Time a gateway needs to become current when it starts reading: the check
whether it has to read, the whole tables and, on slow links, a large
configuration."""
LAST_RESORT_SECONDS = 0.5
"""Time before the bound at which gateways that are no backups start reading:
the check whether they have to read and a read on a usual link."""

SENIORITY_SECONDS_MBPS = 20.0
"""Product of a link's speed in Mbit/s and the seconds by which a gateway ranks
as if it had started later. Gateways that start together do so within half a
second."""
MAX_SENIORITY_DELAY_SECONDS = 5.0


def find_seniority_delay(link_mbps: float) -> float:
    """Return the seconds by which a gateway ranks as started later.

    Args:
        link_mbps: Speed of the host's link in Mbit/s; 0 if unknown.
    """
    if link_mbps <= 0:
        return 0.0
    delay = SENIORITY_SECONDS_MBPS / link_mbps
    return min(MAX_SENIORITY_DELAY_SECONDS, delay)


class Roles(NamedTuple):
    """Roles of the gateways.

    Attributes:
        hubs: Gateways that receive all reports and send summaries, in order
            of preference, whether or not the store answers them.
        readers: Gateways that read the store.
        mesh: Whether all gateways are both hubs and readers.
        backups: Gateways that read the store if the readers appear inactive.
        contenders: Gateways that acquire the duties' lease when it is free,
            spread over as many failure domains as possible.
        eligible_holders: Gateways that may keep the duties once they hold
            them: gateways that receive all reports and have not lost the
            store. Other gateways joining or leaving does not move the duties.
        store_hubs: The hubs, each that has lost the store replaced by the
            next gateway that has not, in order of preference.
    """

    hubs: tuple[str, ...]
    readers: frozenset[str]
    mesh: bool
    backups: frozenset[str] = frozenset()
    contenders: tuple[str, ...] = ()
    eligible_holders: frozenset[str] = frozenset()
    store_hubs: tuple[str, ...] = ()

    @property
    def receivers(self) -> frozenset[str]:
        """Gateways that receive the reports of all gateways."""
        return frozenset((*self.hubs, *self.store_hubs))


def choose_roles(members: Sequence[Member], lost: Collection[str]) -> Roles:
    """Assign all roles.

    Args:
        members: All gateways that are assumed to be running.
        lost: Names of gateways that have lost the store.
    """
    by_seniority = sorted(members, key=_rank_by_seniority)
    ordered = sorted(by_seniority, key=lambda member: member.name in lost)
    mesh = len(ordered) <= MAX_MESH_GATEWAYS
    hubs = _choose_hubs(by_seniority, mesh)
    store_hubs = _choose_hubs(ordered, mesh)
    readers = frozenset(store_hubs if mesh else store_hubs[:STORE_READERS])
    firsts = _find_firsts(ordered)
    others = [member.name for member in ordered if member.name not in firsts]
    backups = {
        name
        for names in _group_by_domain(ordered).values()
        for name in [other for other in names if other not in readers][
            :BACKUP_READERS_PER_DOMAIN
        ]
    }
    eligible = [name for name in store_hubs if name not in lost] or store_hubs
    spread = [name for name in firsts + others if name in eligible]
    return Roles(
        tuple(hubs),
        readers,
        mesh,
        frozenset(backups),
        tuple(spread[:DUTY_CONTENDERS]),
        frozenset(eligible),
        tuple(store_hubs),
    )


def _rank_by_seniority(member: Member) -> tuple[bool, int, str]:
    return member.state != "alive", member.incarnation, member.name


def _group_by_domain(ordered: Sequence[Member]) -> dict[str, list[str]]:
    domains: dict[str, list[str]] = {}
    for member in ordered:
        domains.setdefault(member.failure_domain, []).append(member.name)
    return domains


def _find_firsts(ordered: Sequence[Member]) -> list[str]:
    """Return the first gateway of each failure domain, in their order."""
    names = {names[0] for names in _group_by_domain(ordered).values()}
    return [member.name for member in ordered if member.name in names]


def _choose_hubs(ordered: Sequence[Member], mesh: bool) -> list[str]:
    """Return the hubs, the first gateways of the domains before others."""
    if mesh:
        return [member.name for member in ordered]
    firsts = _find_firsts(ordered)
    others = [member.name for member in ordered if member.name not in firsts]
    return firsts + others[: max(0, MIN_HUBS - len(firsts))]


def choose_issuers(
    members: Iterable[Member], hubs: Sequence[str], latest: float
) -> tuple[str, ...]:
    """Return the hubs that know the usage of a whole window, or all.

    Args:
        members: All gateways that are assumed to be running.
        hubs: Gateways that receive all reports.
        latest: Latest start of such a hub, in seconds since the epoch.
    """
    young = {
        member.name
        for member in members
        if member.incarnation > latest * MS_PER_SECOND
    }
    return tuple(name for name in hubs if name not in young) or tuple(hubs)


class ReportAge(NamedTuple):
    """Age of the data that a gateway last received, in seconds.

    Attributes:
        hub: Time since the hub last sent its sums.
        store: Time since the store is last known to have answered a reader.
    """

    hub: float
    store: float


ReadingReason = Literal["reader", "silent_hub", "backup", "last_resort"]


def find_reading_reason(
    name: str, roles: Roles, age: ReportAge, bound: float
) -> ReadingReason | None:
    """Return why a gateway should read the store itself, or None.

    Args:
        name: Name of the gateway.
        roles: Roles of all gateways.
        age: Age of the data that the gateway last received.
        bound: Seconds within which a change in the store must be known.
    """
    oldest = bound - READER_TAKEOVER_SECONDS
    reasons: tuple[tuple[ReadingReason, bool], ...] = (
        ("reader", name in roles.readers),
        ("silent_hub", age.hub > oldest),
        ("backup", age.store > oldest and name in roles.backups),
        ("last_resort", age.store > bound - LAST_RESORT_SECONDS),
    )
    return next((reason for reason, applies in reasons if applies), None)
