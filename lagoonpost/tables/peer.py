"""Cluster membership: the gateway and controller processes."""

from typing import Literal, NamedTuple

from lagoonpost.tables.merged_table import MergedTable

PeerRole = Literal["gateway", "controller"]
MemberState = Literal["alive", "suspect", "left", "dead"]

# Within one incarnation the state with the higher precedence wins. Only the
# member itself can refute a suspicion, by raising its incarnation.
_STATE_PRECEDENCE: dict[MemberState, int] = {
    "alive": 0,
    "suspect": 1,
    "dead": 2,
    "left": 3,
}
_SERVING_STATES: frozenset[MemberState] = frozenset(("alive", "suspect"))

# Tombstones must outlive every network partition. Otherwise a member on the
# other side reintroduces old "alive" rows, which count until probes fail.
# Partitions between regions last up to about an hour. A day leaves a margin
# and costs 220 rows of about 100 bytes at 220 stopped or replaced hosts a
# day.
TOMBSTONE_SECONDS = 24 * 3600.0


class Member(NamedTuple):
    """Gateway or controller process.

    Attributes:
        name: Unique name; a process restarted on the same host may keep it.
        address: Address for peers, ``IP:PORT``.
        role: Role of the process.
        region: Region of the host.
        failure_domain: Failure domain of the host.
        incarnation: Version of the row; only the member itself raises it.
        state: Liveness of the member at this incarnation.
        changed: Time at which ``state`` was set, in seconds since the epoch.
        entry: Address for callers, ``IP:PORT``, or empty.
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
        """Whether the member counts as running: alive or only suspected."""
        return self.state in _SERVING_STATES


def _rank(row: Member) -> tuple[int, int, float, Member]:
    return row.incarnation, _STATE_PRECEDENCE[row.state], row.changed, row


def merge_members(one: Member, other: Member) -> Member:
    """Return the row that supersedes the other one.

    The result does not depend on the order of the arguments.
    """
    return max(one, other, key=_rank)


def is_expired(row: Member, now: float) -> bool:
    """Return whether the row is a tombstone that may be dropped.

    Args:
        row: The row.
        now: Time in seconds since the epoch.
    """
    return not row.serving and now - row.changed > TOMBSTONE_SECONDS


class MemberTable(MergedTable[Member]):
    """All known members by name."""

    def __init__(self) -> None:
        super().__init__(lambda row: row.name, merge_members, is_expired)
