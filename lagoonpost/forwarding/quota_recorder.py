"""Records quota use of bursting workspaces in the store.

A gateway that starts reads these records, so a workspace that has used up a
burst does not get it again because gateways restart.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Annotated, NamedTuple, Protocol

import eliot
from msgspec import Meta

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
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.tables.gateway_report import UsageByAge
from lagoonpost.unreadable import read_row

BURST_PREFIX = "burst/"
RECORD_SHARES = (0.3, 0.45, 0.6)
"""Share of a burst at which the first, second and third hub record the use of
a workspace. A hub may be cut off from the store, so there are several; the
shares differ because all at once would make three calls for one record. The
rest of the burst covers the duration of the call."""
FIRST_PAUSE_SECONDS = 0.1
"""Pause before the records are read, which leaves time to find a hub."""
MAX_PAUSE_SECONDS = 2.0
"""Longest pause between reads while the store does not answer: all gateways
may have started at once, and each call is billed."""
MAJORITY_SHARE = 0.5
"""A gateway that reaches more than this share of all gateways records the use
of all of them. A gateway that reaches fewer records its own use only, and
readers add it to the common record."""


LOST_RECORDS_SECONDS = 60.0
"""Age of a record up to which later ones may have been lost as the store came
back from an older copy. Copies are some seconds old; a workspace that has not
used a burst for longer must not be refused after each start."""


class ClockedStore(Store, Protocol):
    """A store that also exposes its clock."""

    clock: RemoteClock


class _Record(NamedTuple):
    """The recorded quota use of a workspace.

    Attributes:
        workspace: Name of the workspace.
        at: Time of the record in seconds, by the store's clock.
        use: Pairs of an age in seconds at that time and a number of units.
        era: Era of the store in which it was written.
    """

    workspace: str
    at: float
    use: list[tuple[float, Annotated[float, Meta(ge=0)]]]
    era: int = 0


class QuotaRecorder:
    """Writes and reads the records of quota use.

    Args:
        store: Store that holds the records.
        name: Name of this gateway.
        quotas: Admitted use by workspace.
        peer_sync: State exchanged with the other gateways.
        find_workspaces: Returns all workspaces.
        find_era: Returns the store's era.
    """

    def __init__(
        self,
        store: ClockedStore,
        name: str,
        quotas: Quotas,
        peer_sync: PeerSync,
        find_workspaces: Callable[[], tuple[Workspace, ...]],
        find_era: Callable[[], int],
    ) -> None:
        self._find_era = find_era
        self._store = store
        self._name = name
        self._quotas = quotas
        self._peer_sync = peer_sync
        self._find_workspaces = find_workspaces
        self._pending: set[str] = set()
        self._versions: dict[str, int] = {}
        self._wake = asyncio.Event()

    def check_usage(self) -> None:
        """Schedule a record for each workspace that has used enough."""
        hubs = self._peer_sync.find_roles().store_hubs[: len(RECORD_SHARES)]
        share = self._peer_sync.reports.reachable_share()
        if share > MAJORITY_SHARE and self._name not in hubs:
            return
        rank = hubs.index(self._name) if share > MAJORITY_SHARE else 0
        due = self._quotas.list_bursting(
            self._find_workspaces(), RECORD_SHARES[rank], share, read_clock()
        )
        if due:
            self._pending.update(due)
            self._wake.set()

    async def run(self) -> None:
        """Read the records, then write due ones until cancelled."""
        await self._read()
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._record()

    def _make_record(self, name: str, alone: bool, now: float) -> _Record:
        gateways = 0 if alone else self._peer_sync.count_gateways()
        use = self._quotas.make_record(name, gateways, now)
        written_at = self._store.clock.estimate_now() or 0.0
        return _Record(name, written_at, use, self._find_era())

    async def _read(self) -> None:
        """Read the records, unless a hub's summary already has the use."""
        pause = FIRST_PAUSE_SECONDS
        while self._quotas.prior_usage.needs_records(read_clock()):
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_PAUSE_SECONDS)
            if self._peer_sync.reports.has_summary():
                self._quotas.prior_usage.load_records({}, read_clock())
                return
            rows = await self._store.scan(BURST_PREFIX)
            now = self._store.clock.estimate_now()
            if not isinstance(rows, Unavailable) and now is not None:
                self._note_versions(rows)
                self._apply_rows(rows, now)
                return

    def _apply_rows(self, rows: Sequence[Row], now: float) -> None:
        records: UsageByAge = {}
        outdated = set()
        for row in rows:
            record = read_row(row.key, row.value, _Record)
            if isinstance(record, Unreadable):
                # It may have held any use, so the whole limit counts as used.
                outdated.update(_find_recorded(row.key))
                continue
            elapsed = max(0.0, now - record.at)
            used = [(age + elapsed, units) for age, units in record.use]
            records.setdefault(record.workspace, []).extend(used)
            is_copied = record.era != self._find_era()
            if is_copied and elapsed < LOST_RECORDS_SECONDS:
                outdated.add(record.workspace)
        prior = self._quotas.prior_usage
        prior.load_records(records, read_clock(), outdated)

    async def _record(self) -> None:
        names, self._pending = sorted(self._pending), set()
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
        # Without a condition, a call that the store applies late would
        # replace a newer record by an older one.
        conditions = [
            Condition(write.key, self._versions.get(write.key, 0))
            for write in writes
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
            # Another hub has written a record; the use here is newer.
            self._pending.update(names)
            self._wake.set()
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


def _find_recorded(key: str) -> set[str]:
    """Return the workspaces whose use a record's key may stand for."""
    name = key.removeprefix(BURST_PREFIX)
    return {name, name.rpartition("/")[0]}
