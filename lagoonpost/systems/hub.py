"""Which gateways hear all others, read the store for all, do the duties.

Pattern of load: each gateway needs to know what all of them have under way
and have let through, and which runners there are. Told by everyone to
everyone, that is the square of their number: 82 gateways sent 297 MB between
failure domains in 78 s, and each followed the store for itself, 15,123 calls.

Up to ``MESH`` gateways all do so, as the square is small and news has one way
less to go. Beyond it one gateway of each failure domain is its hub: all send
their reports to all hubs, and each hub sends the sums to its own failure
domain. A few hubs read the store and tell the others of what has changed:
three readers at times of their own bring news nearly as soon as ten, at a
third of the calls. All choose from the same list of members, so nobody has to
be asked, and who is lost or has lost the store is passed over. Who has run
longest undisturbed comes first: one that comes back and has to hear all anew
takes no role from one that runs.

That a reader is lost shows only after seconds. Hubs say how old the readers'
news is. If it is too old, a few backups read as well; if the hub itself is
silent, its domain reads. Not all do in the first case, as it may be the store
that is lost, which would get the calls of all at its return.
"""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from lagoonpost.tables.peer import Member

MAX_MESH_GATEWAYS = 16
"""Gateways up to which all hear all: 16 of them send 600 reports a second at
the usual pace, which a loop takes in 2% of a core at 30 us each."""
MIN_HUBS = 3
"""Hubs that there are at least: one may be lost, one cut off, one is left."""
STORE_READERS = 3
"""Hubs that read the store: one may be lost with its failure domain, one be
turned away by the store, and one is left. If none is, backups take over."""
BACKUP_READERS_PER_DOMAIN = 2
"""Gateways of each failure domain that read the store when no reader does."""

READER_LONG_POLL_SECONDS = 0.5
"""Longest time for which a reader lets the store hold a call back: its answer
shows all others that it still reads."""
DUTY_CONTENDERS = 3
"""Gateways that contend for the duties' lease: one may hold it, one be cut
off from the store, and one is left; all of them would look nine times as
often."""
READER_TAKEOVER_SECONDS = 0.8
"""What a gateway that begins to read needs to be up to date: a look whether it
has to, the whole tables, and on slow links a large configuration."""


class Roles(NamedTuple):
    """Who does what for the others.

    Attributes:
        hubs: Names of those that hear all reports, in order of preference.
        readers: Names of those that read the store.
        mesh: Whether all gateways are both.
        backups: Names of those that read it when the readers seem not to.
        contenders: Names of those that take the duties if they are free, in
            as many failure domains as there are.
        keepers: Names of those that go on with the duties once they do them:
            hubs that have not lost the store. Who comes or goes elsewhere
            does not move the duties.
    """

    hubs: tuple[str, ...]
    readers: frozenset[str]
    mesh: bool
    backups: frozenset[str] = frozenset()
    contenders: tuple[str, ...] = ()
    eligible_holders: frozenset[str] = frozenset()


def choose_roles(members: Sequence[Member], lost: Collection[str]) -> Roles:
    """Choose hubs and readers.

    Args:
        members: All gateways that are held to run.
        lost: Names of those that have lost the store.
    """
    ordered = sorted(
        members,
        key=lambda each: (
            each.name in lost,
            each.state != "alive",
            each.incarnation,
            each.name,
        ),
    )
    domains: dict[str, list[str]] = {}
    for each in ordered:
        domains.setdefault(each.failure_domain, []).append(each.name)
    place = {each.name: index for index, each in enumerate(ordered)}
    firsts = sorted(
        (names[0] for names in domains.values()), key=lambda name: place[name]
    )
    others = [each.name for each in ordered if each.name not in firsts]
    mesh = len(ordered) <= MAX_MESH_GATEWAYS
    hubs = (
        [each.name for each in ordered]
        if mesh
        else firsts + others[: max(0, MIN_HUBS - len(firsts))]
    )
    readers = frozenset(hubs if mesh else hubs[:STORE_READERS])
    backups = {
        name
        for names in domains.values()
        for name in [each for each in names if each not in readers][
            :BACKUP_READERS_PER_DOMAIN
        ]
    }
    able = [name for name in hubs if name not in lost] or hubs
    spread = [name for name in firsts + others if name in able]
    return Roles(
        tuple(hubs),
        readers,
        mesh,
        frozenset(backups),
        tuple(spread[:DUTY_CONTENDERS]),
        frozenset(able),
    )


class ReportAge(NamedTuple):
    """How old the last news of others is, in seconds.

    Attributes:
        hub: Since the hub last sent its sums.
        store: Since the store last answered a reader, as far as heard.
    """

    hub: float
    store: float


def should_read_store(
    name: str, roles: Roles, age: ReportAge, bound: float
) -> bool:
    """Tell whether a gateway reads the store.

    Args:
        name: Its name.
        roles: Who does what.
        heard: What it knows of the readers.
        bound: Seconds in which news of the store has to be known.
    """
    if name in roles.readers:
        return True
    oldest = bound - READER_TAKEOVER_SECONDS
    return age.hub > oldest or (age.store > oldest and name in roles.backups)
