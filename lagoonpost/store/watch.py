"""Keeps a gateway at the highest declaration revision it can obtain."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence

import eliot

from lagoonpost.declarations.state import build_declaration, merge_objects
from lagoonpost.store.declaration import (
    ConsistentRead,
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
"""Poll interval; costs one row read per second and gateway without changes."""
STORE_TIMEOUT_SECONDS = 1.0
"""Timeout of the store before peers are asked instead."""
PEER_TIMEOUT_SECONDS = 1.0
"""Timeout of the peers; the next poll asks them again."""
STALL_SECONDS = 4.0
"""Age of the last poll after which a gateway may have missed a change.

Every change must be in force on all gateways within this time. A poll starts
at most ``POLL_SECONDS + STORE_TIMEOUT_SECONDS + PEER_TIMEOUT_SECONDS`` = 3 s
after the previous one, so only a frozen process exceeds the limit.
"""

FetchPeerSnapshots = Callable[[], Awaitable[Sequence[Snapshot]]]


def read_clock() -> float:
    """Return the seconds of a monotonic clock that includes suspend time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def fetch_no_snapshots() -> Sequence[Snapshot]:
    """Return no snapshots; used by gateways without peers."""
    return ()


class DeclarationWatch:
    """Follows the declaration in the store and at peers; never reverts it.

    A gateway could revert to an older declaration in four ways: it starts
    while the store is down, resumes after a freeze, receives data from an
    outdated peer, or reads rows restored from a backup. In each case the
    revision is lower than one already in force on some gateway. The watch
    therefore accepts only higher revisions, and does not admit callers
    (`is_current`) until the store or a peer that is itself current has
    answered since the start or resume.

    Args:
        store: Table service of the platform.
        on_declaration: Called with each new declaration.
        fetch_peer_snapshots: Returns the snapshots of current peers. It is
            cancelled after ``PEER_TIMEOUT_SECONDS``, so its timeout per peer
            should be shorter.
        clock: Returns the seconds of a monotonic clock that does not stop
            while the process is frozen.
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
        self._peer_revision = 0
        self._is_confirmed = False
        self._poll_started = clock()
        self._wake = asyncio.Event()

    @property
    def snapshot(self) -> Snapshot:
        """All objects at the revision in force on this gateway."""
        return self._snapshot

    @property
    def declaration(self) -> Declaration:
        """Declaration in force on this gateway."""
        return self._declaration

    def is_current(self) -> bool:
        """Return whether requests may be served under this declaration."""
        if self._clock() - self._poll_started > STALL_SECONDS:
            self._is_confirmed = False
        return self._is_confirmed

    def get_current_snapshot(self) -> Snapshot | None:
        """Return the snapshot to send to a peer, or None if not current.

        Two gateways that both start while the store is down must not confirm
        each other's empty state.
        """
        return self._snapshot if self.is_current() else None

    def apply_ticket(self, record: TicketRecord) -> None:
        """Apply a committed ticket from this gateway's API or a peer."""
        if record.revision <= self._snapshot.revision:
            return
        self._pending[record.revision] = record
        self._apply_pending("ticket")
        self.observe_revision(record.revision)

    def observe_revision(self, revision: int) -> None:
        """Record the revision of a peer; poll at once if it is newer."""
        self._peer_revision = max(self._peer_revision, revision)
        if self._peer_revision > self._snapshot.revision:
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
        """Fetch newer revisions from the store or else from peers."""
        self.is_current()
        # The clock is read before the call: if the process is frozen during
        # the call, the data that it reads is as old as the start of the call.
        self._poll_started = self._clock()
        if await self._poll_store():
            self._is_confirmed = True
        elif (
            not self._is_confirmed
            or self._peer_revision > self._snapshot.revision
        ):
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
        missing = head.revision - self._snapshot.revision
        if missing <= len(head.recent):
            found = await read_tickets(self._store, head.recent[:missing])
            # Without one of the tickets, all objects are read instead.
            for record in () if isinstance(found, Unavailable) else found:
                if record is not None:
                    self._pending[record.revision] = record
            self._apply_pending("store")
        if self._snapshot.revision < head.revision:
            reading = await read_declaration(self._store)
            if isinstance(reading, ReadConflict | Unavailable):
                return False
            snapshot = self._keep_unreadable(reading)
            self._accept_snapshot(snapshot, "store")
        return True

    def _keep_unreadable(self, reading: ConsistentRead) -> Snapshot:
        """Return the snapshot with the known state of unreadable objects."""
        known = self._snapshot.objects
        kept = {key: known[key] for key in reading.unreadable if key in known}
        objects = {**reading.snapshot.objects, **kept}
        return reading.snapshot._replace(objects=objects)

    async def _poll_peers(self) -> None:
        try:
            async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
                snapshots = await self._ask_peers()
        except TimeoutError:
            return
        if not snapshots:
            return
        newest = max(snapshots, key=lambda snapshot: snapshot.revision)
        self._accept_snapshot(newest, "peer")
        self._is_confirmed = self._snapshot.revision >= self._peer_revision

    def _accept_snapshot(self, snapshot: Snapshot, source: str) -> None:
        if snapshot.revision > self._snapshot.revision:
            self._activate(snapshot, source)
            self._apply_pending(source)

    def _apply_pending(self, source: str) -> None:
        snapshot = self._snapshot
        while record := self._pending.pop(snapshot.revision + 1, None):
            objects = merge_objects(
                snapshot.objects, record.number, record.objects
            )
            snapshot = Snapshot(record.revision, objects)
        if snapshot is not self._snapshot:
            self._activate(snapshot, source)

    def _activate(self, snapshot: Snapshot, source: str) -> None:
        self._snapshot = snapshot
        self._declaration = build_declaration(snapshot)
        for revision in [*self._pending]:
            if revision <= snapshot.revision:
                del self._pending[revision]
        eliot.log_message(
            message_type="lagoonpost:gateway:declared",
            revision=snapshot.revision,
            source=source,
        )
        self._on_declared(self._declaration)
