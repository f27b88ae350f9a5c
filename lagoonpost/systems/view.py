"""One member's gossip state: its tables, pending updates and neighbours."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from lagoonpost.systems.detection import FailureDetector
from lagoonpost.systems.membership import (
    Topology,
    build_topology,
    choose_bridge_links,
    choose_neighbours,
    refute,
)
from lagoonpost.systems.packet import Call, ChangedRows, Packet, Purpose, Reply
from lagoonpost.tables.digest import hash_text
from lagoonpost.tables.fact import Fact, FactTable, RecentFact
from lagoonpost.tables.peer import Member, MemberTable

MAX_SENDERS = 4
"""Senders of a fact that are kept; a member has about three predecessors in
the rings."""
SPREAD_SECONDS = 0.4
"""Time in which a fact normally reaches all members of a region."""
RECENT_SECONDS = 4.0
"""Time for which a fact counts as recent: some reports and summaries long."""
MAX_RECENT_FACTS = 32
"""Recent facts in one message, 20 bytes each. A member that lacks one compares
all facts."""
MIN_LIFETIME_SECONDS = 3.0
"""Remaining lifetime of a fact that is named; another member may have dropped
it a little earlier."""


class FactOrigin(NamedTuple):
    """How the current version of a fact was received.

    Attributes:
        message: "packet" for a request, "reply" for a reply, "" if this
            member published the fact.
        senders: Members that sent this version, the first one first.
        at: When it was first received, in seconds since the epoch.
    """

    message: str
    senders: tuple[str, ...]
    at: float


class View:
    """One member's view of the membership and of the shared facts.

    Attributes:
        me: This member's own row, as last published.
        members: All known members, including the own row and tombstones.
        facts: All current facts.
        fact_origins: How each current fact was received, by its id.
        detector: Failure detector: unresponsive and suspect members.
        settled: Whether an exchange has succeeded since the start or the
            last freeze.
    """

    def __init__(self, me: Member, settled: bool, now: float) -> None:
        self.me = me
        self.members = MemberTable()
        self.facts = FactTable()
        self.fact_origins: dict[str, FactOrigin] = {}
        self._recent_facts: deque[tuple[float, str]] = deque()
        # Highest rank of each fact, by the hash of its id.
        self._ranks: dict[int, int] = {}
        self._lacking: frozenset[RecentFact] = frozenset()
        self.detector = FailureDetector()
        self.settled = settled
        self._topology: Topology | None = None
        # Keys of the rows to push, with the member that sent the row.
        self._member_updates: dict[str, str] = {}
        self._fact_updates: dict[str, str] = {}
        self._learned_members: list[Member] = []
        self._learned_facts: list[Fact] = []
        self.merge_member(me, me.name, now)

    def has_updates(self) -> bool:
        """Return whether there are rows to push."""
        return bool(self._member_updates or self._fact_updates)

    def take_updates(self) -> "PendingUpdates":
        """Return and clear the rows to push."""
        updates = PendingUpdates(self._member_updates, self._fact_updates)
        self._member_updates = {}
        self._fact_updates = {}
        return updates

    def take_learned(self) -> ChangedRows | None:
        """Return the rows learned since the last call; None if no rows are."""
        if not self._learned_members and not self._learned_facts:
            return None
        members = tuple(self._learned_members)
        learned = ChangedRows(members, tuple(self._learned_facts))
        self._learned_members.clear()
        self._learned_facts.clear()
        return learned

    def merge_rows(
        self, rows: Packet | Reply, source: str, now: float
    ) -> None:
        """Merge all rows of a message received from ``source``."""
        for member in rows.members:
            self.merge_member(member, source, now)
        message = "packet" if isinstance(rows, Packet) else "reply"
        for fact in rows.facts:
            self.merge_fact(fact, source, now, message)

    def merge_fact(
        self, fact: Fact, source: str, now: float, message: str = ""
    ) -> None:
        """Merge a fact received from ``source``."""
        changed = self.facts.merge(fact, now)
        if changed is None:
            self._note_sender(fact, source)
            return
        self.fact_origins[changed.id] = FactOrigin(message, (source,), now)
        self._recent_facts.append((now, changed.id))
        self._ranks[hash_text(changed.id)] = changed.rank
        self._learned_facts.append(changed)
        if self._should_forward(source):
            self._fact_updates[changed.id] = source

    def _note_sender(self, fact: Fact, source: str) -> None:
        current = self.facts.rows.get(fact.id)
        if current is None or current.rank != fact.rank:
            return
        origin = self.fact_origins[fact.id]
        if source not in origin.senders and len(origin.senders) < MAX_SENDERS:
            senders = (*origin.senders, source)
            self.fact_origins[fact.id] = origin._replace(senders=senders)

    def list_recent_facts(self, now: float) -> tuple[RecentFact, ...]:
        """Return facts that came recently, for comparison by other members.

        Left out are the newest ones, which others are about to receive, and
        those that expire.
        """
        while self._recent_facts and (
            self._recent_facts[0][0] < now - RECENT_SECONDS
        ):
            self._recent_facts.popleft()
        newest = now - SPREAD_SECONDS
        found = {id_: None for at, id_ in self._recent_facts if at <= newest}
        rows = self.facts.rows
        recent = [
            RecentFact(hash_text(id_), rows[id_].rank)
            for id_ in found
            if id_ in rows
            and self.fact_origins[id_].at <= newest
            and rows[id_].expires_after > now + MIN_LIFETIME_SECONDS
        ]
        return tuple(recent[-MAX_RECENT_FACTS:])

    def lacks(self, recent: Iterable[RecentFact]) -> bool:
        """Return whether this member lacks one of another's recent facts.

        A fact counts only if it was lacking in the comparison before, too.
        Else a burst that is still on its way would make all members compare
        their tables with the same few hubs.
        """
        lacking = frozenset(
            fact
            for fact in recent
            if self._ranks.get(fact.id_hash, -1) < fact.rank
        )
        before, self._lacking = self._lacking, lacking
        return not before.isdisjoint(lacking)

    def merge_member(self, row: Member, source: str, now: float) -> None:
        """Merge a member's row received from ``source``.

        A row that claims another state of this member is refuted.
        """
        if row.name == self.me.name and source != self.me.name:
            corrected = refute(self.me, row, now)
            if corrected is None:
                return
            row, source = corrected, self.me.name
        changed = self.members.merge(row, now)
        if changed is None:
            return
        if changed.name == self.me.name:
            self.me = changed
        if changed.region == self.me.region:
            self.detector.record_state(changed, now)
        self._topology = None
        self._learned_members.append(changed)
        if self._should_forward(source):
            self._member_updates[changed.name] = source

    def _should_forward(self, source: str) -> bool:
        # A member that joins, or resumes after a freeze, receives whole
        # tables that its peers already have. Forwarding them would flood the
        # network with all rows at each start.
        return self.settled or source == self.me.name

    def drop_expired(self, now: float) -> None:
        """Drop expired facts and member rows."""
        self.facts.drop_expired(now)
        for key in self.fact_origins.keys() - self.facts.rows.keys():
            del self.fact_origins[key]
            self._ranks.pop(hash_text(key), None)
        self.members.drop_expired(now)

    def find_others(self) -> list[Member]:
        """Return all serving members except this one."""
        rows = self.members.rows.values()
        return [row for row in rows if row.serving and row != self.me]

    def neighbours(self, now: float) -> tuple[str, ...]:
        """Return the names of the members that this member calls."""
        return self._choose(self.detector.avoided(now))

    def _choose(self, avoid: frozenset[str]) -> tuple[str, ...]:
        if self._topology is None:
            rows = self.members.rows.values()
            self._topology = build_topology(rows, self.me.region)
        near = choose_neighbours(self._topology, self.me.name, avoid)
        return near + choose_bridge_links(self._topology, self.me, avoid)

    def find_replacements(self, name: str, now: float) -> tuple[str, ...]:
        """Return the neighbours that take the place of a silent one."""
        avoid = self.detector.avoided(now)
        present = self._choose(avoid - {name})
        return tuple(
            other
            for other in self._choose(avoid | {name})
            if other not in present
        )

    def buckets(self) -> tuple[int, ...]:
        """Return the combined digest of both tables for each bucket."""
        pairs = zip(
            self.members.digest.buckets, self.facts.digest.buckets, strict=True
        )
        return tuple(one ^ other for one, other in pairs)

    def root(self) -> int:
        """Return the combined root digest of both tables."""
        return self.members.digest.root() ^ self.facts.digest.root()

    def call(self, name: str, purpose: Purpose, now: float) -> Call:
        """Create a call to a known member."""
        return self.call_address(
            name, self.members.rows[name].address, purpose, now
        )

    def call_address(
        self, name: str, address: str, purpose: Purpose, now: float
    ) -> Call:
        """Create a call to an address; ``name`` is empty for a seed."""
        packet = Packet(self.me.name, root=self.root())
        if purpose in _SYNCING:
            packet = Packet(
                self.me.name, members=(self.me,), buckets=self.buckets()
            )
        return Call(name, address, packet, purpose, now)

    def send(
        self, name: str, packet: Packet, purpose: Purpose, now: float
    ) -> Call:
        """Create a call that sends a packet to a known member."""
        address = self.members.rows[name].address
        return Call(name, address, packet, purpose, now)


class PendingUpdates:
    """Rows to push, each with the member that sent it."""

    def __init__(self, members: dict[str, str], facts: dict[str, str]) -> None:
        self._members = members
        self._facts = facts

    def pack(self, view: View, target: str) -> Packet | None:
        """Return a packet of the updates for ``target``; None if it is empty.

        Updates that ``target`` itself sent are left out.
        """
        members = view.members.rows
        facts = view.facts.rows
        packet = Packet(
            view.me.name,
            tuple(
                members[key] for key in _pick(self._members, target, members)
            ),
            tuple(facts[key] for key in _pick(self._facts, target, facts)),
        )
        return packet if packet.members or packet.facts else None


def _pick(
    updates: dict[str, str], target: str, rows: Iterable[str]
) -> list[str]:
    known = frozenset(rows)
    return [
        key
        for key, source in updates.items()
        if source != target and key in known
    ]


# Purposes of calls that compare whole tables.
_SYNCING: frozenset[Purpose] = frozenset(("sync", "heal"))
