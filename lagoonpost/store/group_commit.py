"""Group commit: batches conditional row writes into shared transactions.

Load pattern: many concurrent bookings against a store that handles a few
hundred writes a second in total. Without batching, each booking costs two
transactions (claim and answer) and the store is the bottleneck. Writes that
arrive while a transaction is in flight are queued for the next one, so the
batch size grows with the load, and a single write is sent without delay. One
transaction in flight per process is enough: with 320 processes and 5 ms per
transaction, more concurrency only makes the batches smaller.

``MAX_BATCH_ROWS`` and ``MAX_BATCH_BYTES`` limit how many writes have an
unknown outcome after one lost reply, and keep a transaction within the
server's usual request size.
"""

import asyncio
from collections import deque
from typing import Any, NamedTuple

import msgspec

from lagoonpost.store.health import StoreHealth
from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Row,
    Store,
    Unavailable,
    Write,
)

MAX_BATCH_ROWS = 64
MAX_BATCH_BYTES = 1024 * 1024

RowOutcome = Row | Conflict | Unavailable


class _PendingWrite(NamedTuple):
    condition: Condition
    write: Write
    size: int
    outcome: asyncio.Future[RowOutcome]


class GroupWriter:
    """Writes single rows for concurrent callers in shared transactions."""

    def __init__(self, store: Store, health: StoreHealth) -> None:
        self._store = store
        self._health = health
        self._queue: deque[_PendingWrite] = deque()
        self._task: asyncio.Task[None] | None = None

    async def put(self, key: str, version: int, value: Any) -> RowOutcome:
        """Write row ``key`` if its current version is ``version``.

        Args:
            key: Row key.
            version: Expected row version; 0 if the row must be absent.
            value: JSON value to write.

        Returns:
            The written row; `Conflict` with the current row; or
            `Unavailable`, whose ``applied`` is False if the write had no
            effect and None if it may have taken effect.
        """
        if not await self._health.check():
            return Unavailable("the store is down", False)
        future = asyncio.get_running_loop().create_future()
        size = len(msgspec.json.encode(value))
        condition = Condition(key, version)
        pending = _PendingWrite(condition, Write(key, value), size, future)
        self._queue.append(pending)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._drain())
        outcome: RowOutcome = await future
        return outcome

    async def _drain(self) -> None:
        while self._queue:
            batch = self._take_batch()
            try:
                await self._commit(batch)
            except BaseException as error:
                # Otherwise the callers of this batch would wait forever.
                _fail(batch, error)
                raise

    async def _commit(self, batch: list[_PendingWrite]) -> None:
        outcome = await self._store.transact(
            [pending.condition for pending in batch],
            [pending.write for pending in batch],
        )
        match outcome:
            case Committed(rows):
                _settle(batch, {row.key: row for row in rows})
            case Conflict(rows):
                self._settle_conflict(batch, rows)
            case Unavailable():
                self._health.report_failure()
                _settle(batch, dict.fromkeys(_keys(batch), outcome))

    def _take_batch(self) -> list[_PendingWrite]:
        """Dequeue the next writes in order, one per key, within the limits."""
        batch: list[_PendingWrite] = []
        keys: set[str] = set()
        size = 0
        while self._queue and len(batch) < MAX_BATCH_ROWS:
            pending = self._queue[0]
            if pending.write.key in keys or (
                batch and size + pending.size > MAX_BATCH_BYTES
            ):
                break
            batch.append(self._queue.popleft())
            keys.add(pending.write.key)
            size += pending.size
        return batch

    def _settle_conflict(
        self, batch: list[_PendingWrite], rows: tuple[Row, ...]
    ) -> None:
        """Report conflicting writes and requeue the others at the front."""
        found = {row.key: row for row in rows}
        changed = {
            pending.condition.key
            for pending in batch
            if found[pending.condition.key].version
            != pending.condition.version
        }
        if not changed:
            outcome = Unavailable(
                "store reported a conflict but all row versions match", False
            )
            _settle(batch, dict.fromkeys(found, outcome))
            return
        conflicts = {key: Conflict((found[key],)) for key in changed}
        _settle(
            [pending for pending in batch if pending.write.key in changed],
            conflicts,
        )
        self._queue.extendleft(
            pending
            for pending in reversed(batch)
            if pending.write.key not in changed
        )


def _keys(batch: list[_PendingWrite]) -> list[str]:
    return [pending.write.key for pending in batch]


def _settle(
    batch: list[_PendingWrite],
    outcomes: dict[str, Row] | dict[str, Conflict] | dict[str, Unavailable],
) -> None:
    for pending in batch:
        # The caller of `put` may have been cancelled.
        if not pending.outcome.done():
            pending.outcome.set_result(outcomes[pending.write.key])


def _fail(batch: list[_PendingWrite], error: BaseException) -> None:
    for pending in batch:
        if not pending.outcome.done():
            pending.outcome.set_exception(error)
