"""Keeps a gateway at the highest declaration that it can learn of."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence

import eliot

from lagoonpost.declarations.state import declare, merge_objects
from lagoonpost.store.declaration import (
    Head,
    ReadConflict,
    read_declaration,
    read_head,
    read_tickets,
)
from lagoonpost.store.store import Store, Unavailable
from lagoonpost.tables.entity import Declaration
from lagoonpost.tables.ticket import Snapshot, TicketRecord

POLL_SECONDS = 1.0
"""Between polls: one row read a second and gateway, when nothing changes."""
STORE_TIMEOUT_SECONDS = 1.0
"""Longest wait for the store before peers are asked instead."""
PEER_TIMEOUT_SECONDS = 1.0
"""Longest wait for peers; the next poll asks again."""
STALL_SECONDS = 4.0
"""A gateway that did not poll for this long may have missed a change.

It is the time in which a change is to be in force everywhere. One poll
starts at most ``POLL_SECONDS + STORE_SECONDS + PEER_SECONDS`` = 3 s after
the one before, so that only a frozen process gets there.
"""

FetchPeerSnapshots = Callable[[], Awaitable[Sequence[Snapshot]]]


def read_clock() -> float:
    """Return seconds that also pass while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def fetch_no_snapshots() -> Sequence[Snapshot]:
    """Stand for peers where there are none."""
    return ()


class DeclarationWatch:
    """Polls the store, takes tickets from peers and never goes back.

    A declaration could go back in four ways: a gateway starts without the
    store, thaws, hears an old peer, or reads rows restored from a copy. In
    each of them the revision is lower than one already in force somewhere.
    This one only ever takes a higher revision, and does not let callers in
    (`is_current`) until the store or a peer that is itself current has
    answered since the start or thaw.

    Args:
        store: The platform's tables.
        on_declared: Called with each new declaration.
        ask_peers: Returns snapshots of peers that are current; cancelled
            after ``PEER_SECONDS``, so that it should give up on each peer
            sooner.
        clock: Seconds that also pass while the process is frozen.
    """

    def __init__(
        self,
        store: Store,
        on_declaration: Callable[[Declaration], None],
        fetch_peer_snapshots: FetchPeerSnapshots = fetch_no_snapshots,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._store = store
        self._on_declared = on_declaration
        self._ask_peers = fetch_peer_snapshots
        self._clock = clock
        self._snapshot = Snapshot(0, {})
        self._declaration = Declaration()
        self._pending: dict[int, TicketRecord] = {}
        self._heard = 0
        self._confirmed = False
        self._polled = clock()
        self._wake = asyncio.Event()

    @property
    def snapshot(self) -> Snapshot:
        """All objects as of the revision in force here."""
        return self._snapshot

    @property
    def declaration(self) -> Declaration:
        """What is in force here."""
        return self._declaration

    def is_current(self) -> bool:
        """Return whether requests may be served by this declaration."""
        if self._clock() - self._polled > STALL_SECONDS:
            self._confirmed = False
        return self._confirmed

    def get_current_snapshot(self) -> Snapshot | None:
        """Return what a peer that asks may take; None if not current.

        Two gateways that both start without the store must not take each
        other's empty state for an answer.
        """
        return self._snapshot if self.is_current() else None

    def apply_ticket(self, record: TicketRecord) -> None:
        """Take a committed ticket, from this gateway's intake or a peer."""
        if record.revision <= self._snapshot.revision:
            return
        self._pending[record.revision] = record
        self._apply_pending("ticket")
        self.observe_revision(record.revision)

    def observe_revision(self, revision: int) -> None:
        """Note the revision that a peer has; ask at once if it is newer."""
        self._heard = max(self._heard, revision)
        if self._heard > self._snapshot.revision:
            self._wake.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            self._wake.clear()
            try:
                async with asyncio.timeout(POLL_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def poll(self) -> None:
        """Ask the store, or else the peers, for what is newer."""
        self.is_current()
        # The time is taken before the call, not after: what a process read
        # that was frozen within the call is as old as the call's start.
        self._polled = self._clock()
        if await self._poll_store():
            self._confirmed = True
        elif not self._confirmed or self._heard > self._snapshot.revision:
            await self._poll_peers()

    async def _poll_store(self) -> bool:
        try:
            async with asyncio.timeout(STORE_TIMEOUT_SECONDS):
                head = await read_head(self._store)
                if isinstance(head, Unavailable):
                    return False
                if head.revision > self._snapshot.revision:
                    return await self._catch_up(head)
                return head.revision == self._snapshot.revision
        except TimeoutError:
            return False

    async def _catch_up(self, head: Head) -> bool:
        behind = head.revision - self._snapshot.revision
        if behind <= len(head.recent):
            found = await read_tickets(self._store, head.recent[:behind])
            if isinstance(found, Unavailable):
                return False
            for record in found:
                if record is not None:
                    self._pending[record.revision] = record
            self._apply_pending("store")
        if self._snapshot.revision < head.revision:
            reading = await read_declaration(self._store)
            if isinstance(reading, ReadConflict | Unavailable):
                return False
            self._take_snapshot(reading.snapshot, "store")
        return True

    async def _poll_peers(self) -> None:
        try:
            async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
                snapshots = await self._ask_peers()
        except TimeoutError:
            return
        if not snapshots:
            return
        newest = max(snapshots, key=lambda snapshot: snapshot.revision)
        self._take_snapshot(newest, "peer")
        self._confirmed = self._snapshot.revision >= self._heard

    def _take_snapshot(self, snapshot: Snapshot, source: str) -> None:
        if snapshot.revision > self._snapshot.revision:
            self._put_in_force(snapshot, source)
            self._apply_pending(source)

    def _apply_pending(self, source: str) -> None:
        snapshot = self._snapshot
        while record := self._pending.pop(snapshot.revision + 1, None):
            objects = merge_objects(
                snapshot.objects, record.number, record.objects
            )
            snapshot = Snapshot(record.revision, objects)
        if snapshot is not self._snapshot:
            self._put_in_force(snapshot, source)

    def _put_in_force(self, snapshot: Snapshot, source: str) -> None:
        self._snapshot = snapshot
        self._declaration = declare(snapshot)
        for revision in [*self._pending]:
            if revision <= snapshot.revision:
                del self._pending[revision]
        eliot.log_message(
            message_type="lagoonpost:gateway:declared",
            revision=snapshot.revision,
            source=source,
        )
        self._on_declared(self._declaration)
