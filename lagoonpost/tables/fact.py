"""Monotone facts: rows that only grow, so that merging needs no order."""

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
    "store_lost",
    "shift",
    "recorded",
    "usage",
]


class Fact(NamedTuple):
    """Something that is true from now on, until a larger rank replaces it.

    A set that only grows is one fact for each element, all of rank 1 and
    with the element in the key.

    Attributes:
        kind: What it is about.
        key: What of that kind, such as a runner's name.
        rank: Version of the fact, or the stamp of the store's row that it
            tells; the larger one holds.
        body: Small contents that kind and key do not say.
        expires_after: Time in seconds since the epoch from which it may be
            forgotten; a later fact of the same key must not end earlier.
    """

    kind: FactKind
    key: str
    rank: int
    body: bytes = b""
    expires_after: float = inf

    @property
    def id(self) -> str:
        """Kind and key in one word."""
        return f"{self.kind}/{self.key}"


def merge_facts(one: Fact, other: Fact) -> Fact:
    """Return what holds of two facts with the same kind and key.

    The larger rank holds, and the larger body among equal ranks, so that
    two publishers of one rank are settled alike everywhere. The later end
    is kept: a fact forgotten here must not come back from a process that
    knew another end.
    """
    winner = max(one, other, key=lambda fact: (fact.rank, fact.body))
    end = max(one.expires_after, other.expires_after)
    return winner._replace(expires_after=end)


class FactTable(MergedTable[Fact]):
    """All facts that hold, by kind and key."""

    def __init__(self) -> None:
        super().__init__(lambda fact: fact.id, merge_facts, is_expired)

    def of_kind(self, kind: FactKind) -> tuple[Fact, ...]:
        """Return all facts of one kind."""
        return tuple(row for row in self.rows.values() if row.kind == kind)


def is_expired(fact: Fact, now: float) -> bool:
    """Return whether the end of a fact has come."""
    return fact.expires_after <= now
