"""Counts the store operations of bookings and leases.

``python -m bench.store`` runs bookings at increasing concurrency through the
ledger of one gateway, against the stand-in store with a fixed time per
operation. Then it runs a lease with one holder and one contender. It prints
operations per booking, and per lease and hour.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

from lagoonpost.store.lease import LeaseManager
from lagoonpost.store.ledger import Ledger
from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Row,
    Unavailable,
    Write,
)
from lagoonpost.systems.booking import Answered, Ran, RunnerChosen
from lagoonpost.systems.lease import LeasePolicy
from lagoonpost.tables.ledger import RecordedAnswer
from lagoonpost_standins.table import Table

STORE_SECONDS = 0.005
RUN_SECONDS = 0.05
BOOKINGS_PER_CALLER = 100
CONCURRENCIES = (1, 4, 16, 64, 256)
LEASE_SECONDS = 3.0
# Factor by which the durations of the lease are shortened.
LEASE_SPEED = 50.0


class CountingStore:
    """In-process store that delays and counts its operations."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._table = Table()

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflict | Unavailable:
        """Count a transaction and its rows."""
        self.counts["transactions"] += 1
        self.counts["rows"] += len(writes)
        await asyncio.sleep(STORE_SECONDS)
        return self._table.transact(conditions, writes)

    async def read(self, keys: Sequence[str]) -> tuple[Row, ...] | Unavailable:
        """Count a read."""
        self.counts["reads"] += 1
        await asyncio.sleep(STORE_SECONDS)
        return self._table.read(keys)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        """Count a scan."""
        self.counts["scans"] += 1
        return self._table.scan(prefix, after, limit)


class _Runner:
    async def choose(self) -> RunnerChosen:
        return RunnerChosen()

    async def send(self, may_send: Any) -> Answered:
        await asyncio.sleep(RUN_SECONDS)
        return Answered(RecordedAnswer(200, (), b"booked"))


class Load(NamedTuple):
    """Results at one level of concurrency.

    Attributes:
        concurrency: Concurrent bookings.
        rate: Bookings per second.
        transactions: Transactions per booking.
        rows: Rows written per booking.
        reads: Reads per booking.
    """

    concurrency: int
    rate: float
    transactions: float
    rows: float
    reads: float


async def play_bookings(concurrency: int) -> Load:
    """Run ``concurrency`` bookings at a time; count operations for each."""
    store = CountingStore()
    ledger = Ledger(store, "gateway")
    bookings = BOOKINGS_PER_CALLER * concurrency
    remaining = iter(range(bookings))

    async def call() -> None:
        for number in remaining:
            outcome = await ledger.run_booking(
                f"ledger/w/{number}", "digest", 30.0, _Runner()
            )
            assert isinstance(outcome, Ran)

    began = time.perf_counter()
    await asyncio.gather(*(call() for _ in range(concurrency)))
    seconds = time.perf_counter() - began
    await ledger.close(10.0)
    return Load(
        concurrency,
        bookings / seconds,
        store.counts["transactions"] / bookings,
        store.counts["rows"] / bookings,
        store.counts["reads"] / bookings,
    )


async def play_lease() -> dict[str, float]:
    """Run a holder and a contender of one lease, sped up."""
    policy = LeasePolicy()
    quick = LeasePolicy(*(seconds / LEASE_SPEED for seconds in policy))
    costs = {}
    stores = [CountingStore(), CountingStore()]
    stores[1]._table = stores[0]._table
    for name, store in zip(("holder", "contender"), stores, strict=True):
        keeper = LeaseManager(store, "shard", name, name, quick)
        task = asyncio.create_task(keeper.run())
        await asyncio.sleep(LEASE_SECONDS)
        if name == "contender":
            task.cancel()
        costs[name] = store.counts
    hours = LEASE_SECONDS * LEASE_SPEED / 3600.0
    return {
        "holder writes": costs["holder"]["transactions"] / (2 * hours),
        "contender reads": costs["contender"]["reads"] / hours,
    }


def main() -> None:
    """Print the operations per booking, and per lease and hour."""
    print("concurrency  bookings/s  transactions  rows  reads  per booking")
    for concurrency in CONCURRENCIES:
        load = asyncio.run(play_bookings(concurrency))
        left = f"{load.concurrency:>11}  {load.rate:>10.0f}"
        right = f"{load.rows:>4.2f}  {load.reads:>5.2f}"
        print(f"{left}  {load.transactions:>12.3f}  {right}")
    for name, count in asyncio.run(play_lease()).items():
        print(f"{name} per lease and hour: {count:.0f}")


if __name__ == "__main__":
    main()
