"""Records in the store of workspaces' use, for gateways that start."""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

import eliot
import msgspec

from lagoonpost.forwarding.peer_sync import PeerSync
from lagoonpost.store.clock import RemoteClock, read_clock
from lagoonpost.store.store import (
    Condition,
    Conflict,
    Row,
    Store,
    Unavailable,
    Write,
    pause_after_failure,
)
from lagoonpost.systems.quota import Quotas
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.gateway_report import UsageByAge

BURST_PREFIX = "burst/"
RECORD_SHARES = (0.3, 0.45, 0.6)
"""Part of a burst from which on each of the first hubs records a workspace's
use: one may be cut off from the store, and all at once would be three calls
for one. What is left of the burst lasts for the call."""
FIRST_PAUSE_SECONDS = 0.1
"""Pause before the records are read: time to find a hub."""
MAX_PAUSE_SECONDS = 2.0
"""Longest pause between looks for a store that does not answer: all gateways
may have started, and each look has its price."""
MAJORITY_SHARE = 0.5
"""Part of the gateways from which on one that hears it records for all. The
records of those that hear fewer have their own use, and are added to it."""


class ClockedStore(Store, Protocol):
    """A store that also tells its time."""

    clock: RemoteClock


class _Record(NamedTuple):
    """A workspace's use.

    Attributes:
        workspace: Its name.
        at: When it was recorded, by the store's clock.
        use: Pairs of an age in seconds at that time and units.
    """

    workspace: str
    at: float
    use: list[tuple[float, float]]


class QuotaRecorder:
    """Keeps the records.

    Args:
        store: Where they are.
        name: Name of this gateway.
        quotas: What was let through.
        shared: What is known of the other gateways.
        find_workspaces: Returns all workspaces.
    """

    def __init__(
        self,
        store: ClockedStore,
        name: str,
        quotas: Quotas,
        peer_sync: PeerSync,
        find_workspaces: Callable[[], tuple[Workspace, ...]],
    ) -> None:
        self._store = store
        self._name = name
        self._quotas = quotas
        self._peer_sync = peer_sync
        self._find_workspaces = find_workspaces
        self._wanted: set[str] = set()
        self._versions: dict[str, int] = {}
        self._nudged = asyncio.Event()

    def check_usage(self) -> None:
        """See whether a workspace's use has to be recorded by now."""
        hubs = self._peer_sync.find_roles().hubs[: len(RECORD_SHARES)]
        part = self._peer_sync.reports.reachable_share()
        if part > MAJORITY_SHARE and self._name not in hubs:
            return
        rank = hubs.index(self._name) if part > MAJORITY_SHARE else 0
        found = self._quotas.list_bursting(
            self._find_workspaces(), RECORD_SHARES[rank], part, read_clock()
        )
        if found:
            self._wanted.update(found)
            self._nudged.set()

    async def run(self) -> None:
        """Read what there is, then record what has to be, until cancelled."""
        await self._read()
        while True:
            await self._nudged.wait()
            self._nudged.clear()
            await self._record()

    def _make_record(self, name: str, alone: bool, now: float) -> _Record:
        gateways = 0 if alone else self._peer_sync.count_gateways()
        use = self._quotas.make_record(name, gateways, now)
        return _Record(name, self._store.clock.find_now() or 0.0, use)

    async def _read(self) -> None:
        """Read the records, unless a hub that did tells what was used."""
        pause = FIRST_PAUSE_SECONDS
        while self._quotas.prior_usage.needs_records(read_clock()):
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_PAUSE_SECONDS)
            if self._peer_sync.reports.has_summary():
                self._quotas.prior_usage.load_records({}, read_clock())
                return
            rows = await self._store.scan(BURST_PREFIX)
            now = self._store.clock.find_now()
            if not isinstance(rows, Unavailable) and now is not None:
                self._note_versions(rows)
                self._take(rows, now)
                return

    def _take(self, rows: Sequence[Row], now: float) -> None:
        records: UsageByAge = {}
        for row in rows:
            record = _read_record(row)
            if record is None:
                continue
            passed = max(0.0, now - record.at)
            used = [(age + passed, units) for age, units in record.use]
            records.setdefault(record.workspace, []).extend(used)
        self._quotas.prior_usage.load_records(records, read_clock())

    async def _record(self) -> None:
        names, self._wanted = sorted(self._wanted), set()
        now = read_clock()
        alone = self._peer_sync.reports.reachable_share() <= MAJORITY_SHARE
        suffix = f"/{self._name}" if alone else ""
        writes = [
            Write(
                f"{BURST_PREFIX}{name}{suffix}",
                list(self._make_record(name, alone, now)),
            )
            for name in names
        ]
        # Without a condition, a call that is carried out late would put an
        # old record in the place of a newer one.
        conditions = [
            Condition(each.key, self._versions.get(each.key, 0))
            for each in writes
        ]
        outcome = await self._store.transact(conditions, writes)
        took = read_clock() - now
        if isinstance(outcome, Unavailable):
            eliot.log_message(
                message_type="lagoonpost:quota:not_recorded",
                workspaces=names,
                detail=outcome.detail,
            )
            await pause_after_failure(took)
            return
        self._note_versions(outcome.rows)
        if isinstance(outcome, Conflict):
            # Another hub recorded them before; this use is newer.
            self._wanted.update(names)
            self._nudged.set()
            return
        for name in names:
            self._quotas.note_recorded(name, now)
            if not alone:
                self._peer_sync.usage_gossip.publish_recorded(name, took)
        eliot.log_message(
            message_type="lagoonpost:quota:recorded",
            workspaces=names,
            took=round(took, 4),
        )

    def _note_versions(self, rows: Sequence[Row]) -> None:
        self._versions.update({row.key: row.version for row in rows})


def _read_record(row: Row) -> _Record | None:
    try:
        return msgspec.convert(row.value, _Record)
    except msgspec.ValidationError as error:
        eliot.log_message(
            message_type="lagoonpost:quota:unreadable",
            row=row.key,
            detail=str(error),
        )
        return None
