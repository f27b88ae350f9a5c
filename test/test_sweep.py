"""Tests of lagoonpost.controller.sweep."""

import asyncio
from math import inf

import msgspec
from memory_store import MemoryStore

from lagoonpost.controller.sweep import sweep_ledger
from lagoonpost.store.lease import LeaseManager
from lagoonpost.store.store import Row, Write
from lagoonpost.tables.ledger import LedgerEntry

EXPIRED = LedgerEntry("lost", "n", "d", "gateway", 0.0, 0.0, 1.0)
LIVE = EXPIRED._replace(expires_at=inf)
ROWS = 600


def list_live(store: MemoryStore) -> list[Row]:
    return [row for row in store.rows.values() if row.value is not None]


class TestSweep:
    def test_sweeps_all_pages_through_an_outage(self) -> None:
        """Guards against a sweep that stops or deletes live rows in an outage.

        The store fails while expired rows are deleted. The round resumes at
        the same row, and no live row is deleted.
        """

        async def play() -> MemoryStore:
            store = MemoryStore()
            for number in range(ROWS):
                entry = LIVE if number % 2 else EXPIRED
                value = msgspec.to_builtins(entry)
                key = f"ledger/w/{number:03}"
                await store.transact([], [Write(key, value)])
            faults = iter(["", "", "down", "lost", ""])
            store.fault = lambda call: next(faults, "")
            keeper = LeaseManager(store, "sweep", "a", "a")
            keeper.lease = keeper.lease._replace(expires=inf)
            task = asyncio.create_task(sweep_ledger(store, keeper, 0.0, 0.0))
            async with asyncio.timeout(20.0):
                while len(list_live(store)) > ROWS // 2:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            keeper.lease = keeper.lease._replace(expires=0.0)
            await task
            return store

        store = asyncio.run(play())
        assert [row.value[6] for row in list_live(store)] == [inf] * 300
