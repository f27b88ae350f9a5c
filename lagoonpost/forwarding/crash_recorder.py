"""Keeps verdicts on what crashes runners in the store, and recent evidence.

Gateways that all start again at once would otherwise have to lose runners
anew until they know.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import eliot

from lagoonpost.forwarding.crash_watch import CrashWatch
from lagoonpost.forwarding.quota_recorder import MAJORITY_SHARE
from lagoonpost.store.store import (
    Condition,
    Conflict,
    Row,
    Store,
    Unavailable,
    Write,
    pause_after_failure,
)
from lagoonpost.tables.crash import Crash, Verdict
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.unreadable import read_row

PREFIX = "crash/"
VERDICT_PREFIX = "crash/verdict/"
EVIDENCE_KEY = "crash/evidence"
WRITE_PAUSE_SECONDS = 0.3
"""Pause between calls, in which changes are batched: each call is billed."""
MAX_READ_PAUSE_SECONDS = 2.0
"""Longest pause between reads at the start while the store does not answer."""
CHECK_PAUSE_SECONDS = 1.0
"""Pause between checks for what is to be read or written: a third
of the time in which it has to know."""
MAX_ROWS_PER_WRITE = 50
WRITERS = 2
"""Gateways that write: one of them may be cut off from the store."""


class CrashRecorder:
    """Reads the records at the start, and writes what changes.

    Args:
        store: Store that holds the records.
        watch: The evidence and the verdicts.
        is_writer: Returns whether this gateway is one of those that write.
        find_reachable_share: Returns the share of the gateways that this one
            hears of, itself included.
    """

    def __init__(
        self,
        store: Store,
        watch: CrashWatch,
        is_writer: Callable[[], bool],
        find_reachable_share: Callable[[], float],
    ) -> None:
        self._store = store
        self._watch = watch
        self._is_writer = is_writer
        self._find_reachable_share = find_reachable_share
        self._rows: dict[str, Row] = {}
        self._wake = asyncio.Event()
        watch.on_change = self._wake.set

    async def run(self, has_records: bool) -> None:
        """Read the records, then write changes until cancelled.

        Gateways that are cut off from each other exchange what they know by
        the store: those that hear little of the others, and the writers. One
        that becomes a writer writes what the store lacks.

        Args:
            has_records: Whether the store may have records of an earlier run.
        """
        if has_records:
            await self._read()
        while True:
            await self._wait_for_change()
            share = self._find_reachable_share()
            has_to_write = self._is_writer() or share <= MAJORITY_SHARE
            if has_to_write and share < 1:
                await self._read_once()
            if self._wake.is_set():
                await asyncio.sleep(WRITE_PAUSE_SECONDS)
                self._wake.clear()
            if has_to_write:
                await self._write()

    def handle_new_era(self) -> None:
        """Write all records again, as the store has lost some rows."""
        self._rows.clear()
        self._wake.set()

    async def _read(self) -> None:
        pause = WRITE_PAUSE_SECONDS
        while not await self._read_once():
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_READ_PAUSE_SECONDS)

    async def _read_once(self) -> bool:
        """Read the records; return whether the store has answered."""
        rows = await self._store.scan(PREFIX)
        if isinstance(rows, Unavailable):
            return False
        self._apply(rows)
        return True

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(CHECK_PAUSE_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            pass

    def _apply(self, rows: Sequence[Row]) -> None:
        for row in rows:
            if self._rows.get(row.key) == row:
                continue
            self._rows[row.key] = row
            for record in self._list_records(row):
                self._watch.merge(record)

    def _list_records(self, row: Row) -> Sequence[Crash | Verdict]:
        """Return the records in a row; none if it is deleted."""
        if not row.version or row.value is None:
            return ()
        if row.key.startswith(VERDICT_PREFIX):
            verdict = read_row(row.key, row.value, Verdict)
            return (
                self._assume_verdict(row.key)
                if isinstance(verdict, Unreadable)
                else (verdict,)
            )
        crashes = read_row(row.key, row.value, list[Crash])
        # Evidence counts until there is a verdict. Without it, a cause needs
        # as many crashes as a new one, of which the last convicts it.
        return () if isinstance(crashes, Unreadable) else crashes

    def _assume_verdict(self, key: str) -> Sequence[Verdict]:
        """Return the verdict that an unreadable row is taken for.

        Its key names the cause, and a row is only written for a verdict. It
        counts as a first one of now, unless one is known.
        """
        cause = key.removeprefix(VERDICT_PREFIX)
        known = {each.cause for each in self._watch.causes.list_verdicts()}
        now = self._watch.clock()
        return () if cause in known else (Verdict(cause, now, now),)

    def _make_records(self) -> dict[str, Any]:
        """Return the values that the store should have, by key."""
        causes = self._watch.causes
        records: dict[str, Any] = {
            f"{VERDICT_PREFIX}{verdict.cause}": list(verdict)
            for verdict in causes.list_verdicts()
        }
        evidence = causes.list_evidence()
        if evidence:
            records[EVIDENCE_KEY] = [_encode(crash) for crash in evidence]
        return records

    async def _write(self) -> None:
        records = self._make_records()
        changed = [
            key
            for key in sorted(records.keys() | self._rows.keys())
            if records.get(key) != self._find_value(key)
        ][:MAX_ROWS_PER_WRITE]
        if not changed:
            return
        conditions = [
            Condition(key, self._find_version(key)) for key in changed
        ]
        writes = [Write(key, records.get(key)) for key in changed]
        outcome = await self._store.transact(conditions, writes)
        if isinstance(outcome, Unavailable):
            eliot.log_message(
                message_type="lagoonpost:forwarding:crash_not_recorded",
                detail=outcome.detail,
            )
            self._wake.set()
            await pause_after_failure(WRITE_PAUSE_SECONDS)
            return
        if isinstance(outcome, Conflict):
            # What another writer knows is merged, and written if it lacks any.
            self._apply(outcome.rows)
            self._wake.set()
            return
        for key in changed:
            self._rows.pop(key, None)
        for row in outcome.rows:
            if row.key in records:
                self._rows[row.key] = row._replace(value=records[row.key])

    def _find_value(self, key: str) -> Any:
        row = self._rows.get(key)
        return row.value if row is not None else None

    def _find_version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row is not None else 0


def _encode(crash: Crash) -> list[Any]:
    """Return a crash as the store returns it."""
    return [
        crash.runner,
        crash.attempt,
        list(crash.causes),
        crash.earliest,
        crash.latest,
        crash.sent,
        crash.born,
    ]
