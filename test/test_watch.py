"""Tests of lagoonpost.store.watch."""

import asyncio
from collections.abc import Sequence

from memory_store import MemoryStore
from test_ticket import make_ticket, submit

from lagoonpost.store.declaration import RECENT_TICKETS
from lagoonpost.store.watch import STALL_SECONDS, DeclarationWatch
from lagoonpost.tables.entity import Declaration
from lagoonpost.tables.ticket import Accepted, Snapshot, TicketRecord


class Site:
    """A declaration watch with its store, peers and clock."""

    def __init__(self, store: MemoryStore | None = None) -> None:
        self.store = store or MemoryStore()
        self.peers: list[DeclarationWatch] = []
        self.now = 100.0
        self.declared: list[Declaration] = []
        self.watch = DeclarationWatch(
            self.store, self.declared.append, self._ask, lambda: self.now
        )

    async def _ask(self) -> Sequence[Snapshot]:
        answers = [peer.get_current_snapshot() for peer in self.peers]
        return [answer for answer in answers if answer is not None]

    def poll(self) -> None:
        asyncio.run(self.watch.poll())

    @property
    def revisions(self) -> list[int]:
        return [declaration.revision for declaration in self.declared]

    def cut_store(self) -> None:
        self.watch._store = make_unavailable_store()


def make_unavailable_store() -> MemoryStore:
    store = MemoryStore()
    store.fault = lambda call: "down"
    return store


def accept(store: MemoryStore, *numbers: int) -> list[TicketRecord]:
    records = []
    for outcome in submit(store, *map(make_ticket, numbers)):
        assert isinstance(outcome, Accepted)
        records.append(outcome.record)
    return records


class TestPoll:
    def test_learns_each_new_ticket(self) -> None:
        site = Site()
        accept(site.store, 1)
        site.poll()
        accept(site.store, 2, 3)
        site.poll()
        assert site.revisions == [1, 3]
        assert site.watch.is_current()

    def test_reads_one_row_when_nothing_changed(self) -> None:
        site = Site()
        accept(site.store, 1)
        site.poll()
        site.store.calls.clear()
        site.poll()
        assert site.store.calls == ["read"]

    def test_catches_up_from_far_behind(self) -> None:
        site = Site()
        accept(site.store, 1)
        site.poll()
        accept(site.store, *range(2, RECENT_TICKETS + 4))
        site.poll()
        assert site.watch.declaration.revision == RECENT_TICKETS + 3
        assert (
            site.watch.declaration.workspaces[0].ticket == RECENT_TICKETS + 3
        )

    def test_never_goes_back_with_the_store(self) -> None:
        """Guards against reverting accepted tickets after a store restore.

        The platform's operators restore the tables from an old copy, so the
        revision row has a lower number than the one in force.
        """
        site = Site()
        accept(site.store, 1)
        old = dict(site.store.rows)
        accept(site.store, 2)
        site.poll()
        site.store.rows = old
        site.poll()
        assert site.watch.declaration.revision == 2


class TestPeers:
    def test_ticket_from_peer_is_in_force_without_store(self) -> None:
        """Guards against a ticket that reaches only one gateway.

        The store goes down right after a ticket was accepted, so only the
        gateway that accepted it has its content. The other gateways must
        apply it within seconds nevertheless.
        """
        site = Site()
        first, second = accept(site.store, 1, 2)
        site.cut_store()
        site.watch.apply_ticket(first)
        site.watch.apply_ticket(second)
        assert site.revisions == [1, 2]

    def test_ticket_after_a_gap_waits_for_what_is_missing(self) -> None:
        """Guards against applying a ticket without its predecessor.

        A peer's push of ticket 1 is lost and that of ticket 2 arrives. Ticket
        2 may refer to objects of ticket 1, so it must not be applied alone;
        the gateway fetches the peer's whole state.
        """
        site, peer = Site(), Site()
        records = accept(peer.store, 1, 2)
        peer.poll()
        site.cut_store()
        site.watch.apply_ticket(records[1])
        assert site.revisions == []
        site.peers = [peer.watch]
        site.poll()
        assert site.revisions == [2]

    def test_old_peer_that_speaks_up_changes_nothing(self) -> None:
        """A gateway frozen for minutes resumes and pushes an old ticket."""
        site = Site()
        old, _ = accept(site.store, 1, 2)
        site.poll()
        site.watch.apply_ticket(old)
        site.watch.observe_revision(1)
        site.watch._accept_snapshot(Snapshot(1, {}), "peer")
        assert site.revisions == [2]


class TestStart:
    def test_waits_for_store_or_peer(self) -> None:
        """Guards against serving without a current declaration.

        A gateway is replaced while the store is down. Serving at once would
        refuse all callers, as no workspace is known; serving the state of an
        outdated peer would revert tickets.
        """
        store = MemoryStore()
        accept(store, 1)
        old, new, site = Site(store), Site(store), Site()
        old.poll()
        accept(store, 2)
        new.poll()
        site.cut_store()
        site.poll()
        assert not site.watch.is_current()
        site.peers = [old.watch, new.watch]
        site.poll()
        assert site.watch.is_current()
        assert site.watch.declaration.revision == 2

    def test_two_that_start_do_not_confirm_each_other(self) -> None:
        """Guards against gateways that confirm each other's empty state.

        All gateways restart while the store is down. They would accept the
        empty state and refuse every caller as unknown.
        """
        one, two = Site(), Site()
        one.peers, two.peers = [two.watch], [one.watch]
        for site in (one, two, one, two):
            site.cut_store()
            site.poll()
        assert not one.watch.is_current()
        assert not two.watch.is_current()


class TestFreeze:
    def test_thawed_gateway_asks_before_it_serves(self) -> None:
        """Guards against admitting a caller whose key was revoked.

        A gateway is frozen while a ticket revokes a workspace's key. After it
        resumes, a caller's request may run before any poll, and the outdated
        declaration would admit the caller.
        """
        site, peer = Site(), Site()
        accept(site.store, 1)
        site.poll()
        accept(site.store, 2)
        peer.store = site.store
        peer.watch._store = site.store
        peer.poll()
        site.now += STALL_SECONDS + 1
        assert not site.watch.is_current()
        site.cut_store()
        site.poll()
        assert not site.watch.is_current()
        site.peers = [peer.watch]
        site.poll()
        assert site.watch.is_current()
        assert site.revisions == [1, 2]

    def test_frozen_inside_a_poll(self) -> None:
        """Guards against trusting a response from before a freeze.

        The process freezes between the request of a poll and its response.
        """
        site = Site()
        accept(site.store, 1)

        def freeze(call: str) -> str:
            site.now += STALL_SECONDS + 1
            return ""

        site.store.fault = freeze
        site.poll()
        assert not site.watch.is_current()

    def test_store_outage_alone_is_no_freeze(self) -> None:
        """Serving continues while the store is down for an hour."""
        site = Site()
        accept(site.store, 1)
        site.poll()
        site.cut_store()
        for _ in range(3600):
            site.now += 1
            site.poll()
        assert site.watch.is_current()
