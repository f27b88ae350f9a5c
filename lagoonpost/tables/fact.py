"""Facts spread by gossip, which merge to the same result in any order."""

from math import inf
from typing import Literal, NamedTuple

from lagoonpost.tables.merged_table import MergedTable

FactKind = Literal[
    "runner_leaving",
    "host_leaving",
    "version_tripped",
    "move_begun",
    "move_evidence",
    "poison_verdict",
    "crash_seen",
    "revision",
    "configuration",
    "endpoint",
    "evacuation",
    "store_lost",
    "shift",
    "recorded",
    "usage",
]


class Fact(NamedTuple):
    """Versioned value under a key; a higher rank replaces a lower one.

    A grow-only set is represented by one fact per element, with the element
    in the key and rank 1.

    Attributes:
        kind: Subject of the fact. A kind that only newer builds know is kept
            for other gateways.
        key: Key within the kind, such as a runner's name.
        rank: Version of the fact. For a copy of a store row it is the row's
            stamp.
        body: Encoded payload, if kind and key don't say everything.
        expires_after: Time from which the fact may be dropped, in seconds
            since the epoch. A later fact of the same key must not expire
            earlier.
    """

    kind: str
    key: str
    rank: int
    body: bytes = b""
    expires_after: float = inf

    @property
    def id(self) -> str:
        """Unique id, composed of kind and key."""
        return f"{self.kind}/{self.key}"


class RecentFact(NamedTuple):
    """Names one version of a fact without its contents.

    Attributes:
        id_hash: Hash of the fact's id.
        rank: Version of the fact.
    """

    id_hash: int
    rank: int


def merge_facts(one: Fact, other: Fact) -> Fact:
    """Merge two facts of the same kind and key.

    The higher rank wins. Between equal ranks the larger body wins, so that
    all processes agree when two of them published the same rank. The later
    expiry is kept: otherwise a fact that was dropped here could come back
    from a process that knew a later expiry.
    """
    winner = max(one, other, key=lambda fact: (fact.rank, fact.body))
    end = max(one.expires_after, other.expires_after)
    return winner._replace(expires_after=end)


class FactTable(MergedTable[Fact]):
    """Current facts by kind and key."""

    def __init__(self) -> None:
        super().__init__(lambda fact: fact.id, merge_facts, is_expired)

    def of_kind(self, kind: FactKind) -> tuple[Fact, ...]:
        """Return all current facts of one kind."""
        return tuple(row for row in self.rows.values() if row.kind == kind)


def is_expired(fact: Fact, now: float) -> bool:
    """Return whether a fact has expired.

    Args:
        fact: The fact.
        now: Time in seconds since the epoch.
    """
    return fact.expires_after <= now
