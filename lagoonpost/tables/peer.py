"""Members: the system's own processes, as every one of them sees them."""

from typing import Literal, NamedTuple

from lagoonpost.tables.merged_table import MergedTable

PeerRole = Literal["gateway", "controller"]
MemberState = Literal["alive", "suspect", "left", "dead"]

# At one incarnation the later state wins: only the member itself can take
# a verdict back, by a larger incarnation.
_ORDER: dict[MemberState, int] = {
    "alive": 0,
    "suspect": 1,
    "dead": 2,
    "left": 3,
}
_SERVING: frozenset[MemberState] = frozenset(("alive", "suspect"))

# Tombstones have to outlive every partition, else a member that was away
# brings its old "alive" rows back and they are believed until probes fail.
# Regions lose each other for an hour now and then; a day leaves room, and
# costs 220 rows of about 100 bytes at 220 stopped or replaced hosts a day.
TOMBSTONE_SECONDS = 24 * 3600.0


class Member(NamedTuple):
    """One process of the system.

    Attributes:
        name: Unique name; a restart on the same host may keep it.
        address: Where its peers reach it, ``IP:PORT``.
        role: What it runs as.
        region: Region it runs in.
        failure_domain: Failure domain it runs in.
        incarnation: Version of the row; only the member itself raises it.
        state: What is held of it at this incarnation.
        changed: Time of that verdict, in seconds since the epoch.
        entry: Where callers reach it, ``IP:PORT``, or empty.
    """

    name: str
    address: str
    role: PeerRole
    region: str
    failure_domain: str
    incarnation: int
    state: MemberState = "alive"
    changed: float = 0.0
    entry: str = ""

    @property
    def serving(self) -> bool:
        """Whether it is held to run: alive, or suspected only."""
        return self.state in _SERVING


def _rank(row: Member) -> tuple[int, int, float, Member]:
    return row.incarnation, _ORDER[row.state], row.changed, row


def merge_members(one: Member, other: Member) -> Member:
    """Return the row that holds; the same in whatever order rows come."""
    return max(one, other, key=_rank)


def is_expired(row: Member, now: float) -> bool:
    """Return whether the row is a tombstone that has stood long enough."""
    return not row.serving and now - row.changed > TOMBSTONE_SECONDS


class MemberTable(MergedTable[Member]):
    """All known members by name."""

    def __init__(self) -> None:
        super().__init__(lambda row: row.name, merge_members, is_expired)
