"""Group commit: conditional row writes that share transactions.

Load: many bookings at once against a store that takes a few hundred writes a
second for everybody. Without this each booking costs two transactions, its
claim and its answer, and the store is the limit. While one transaction is in
flight all writes that come up wait and go into the next one, so that the
batch grows with the load and a lone write never waits for company. One in
flight per process is enough: at 320 processes and 5 ms a transaction more
would only make the batches smaller.

``MAX_ROWS`` and ``MAX_BYTES`` bound what one lost reply leaves unsettled, and
keep a transaction within the server's usual request size.
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


class _Waiting(NamedTuple):
    condition: Condition
    write: Write
    size: int
    outcome: asyncio.Future[RowOutcome]


class GroupWriter:
    """Writes rows one by one for its callers and in groups to the store."""

    def __init__(self, store: Store, health: StoreHealth) -> None:
        self._store = store
        self._health = health
        self._waiting: deque[_Waiting] = deque()
        self._task: asyncio.Task[None] | None = None

    async def put(self, key: str, version: int, value: Any) -> RowOutcome:
        """Write ``key`` if it has ``version``.

        Returns:
            The written row; a conflict with the row as it is; or
            unavailable, where ``applied`` tells whether the write may have
            taken effect.
        """
        if not await self._health.check():
            return Unavailable("the store is down", False)
        future = asyncio.get_running_loop().create_future()
        size = len(msgspec.json.encode(value))
        condition = Condition(key, version)
        waiting = _Waiting(condition, Write(key, value), size, future)
        self._waiting.append(waiting)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._drain())
        outcome: RowOutcome = await future
        return outcome

    async def _drain(self) -> None:
        while self._waiting:
            batch = self._take_batch()
            try:
                await self._commit(batch)
            except BaseException as error:
                # Nothing would ever answer the writes of this batch.
                _fail(batch, error)
                raise

    async def _commit(self, batch: list[_Waiting]) -> None:
        outcome = await self._store.transact(
            [waiting.condition for waiting in batch],
            [waiting.write for waiting in batch],
        )
        match outcome:
            case Committed(rows):
                _settle(batch, {row.key: row for row in rows})
            case Conflict(rows):
                self._settle_conflict(batch, rows)
            case Unavailable():
                self._health.report_failure()
                _settle(batch, dict.fromkeys(_keys(batch), outcome))

    def _take_batch(self) -> list[_Waiting]:
        """Take waiting writes in order, one per key, within the bounds."""
        batch: list[_Waiting] = []
        keys: set[str] = set()
        size = 0
        while self._waiting and len(batch) < MAX_BATCH_ROWS:
            head = self._waiting[0]
            if head.write.key in keys or (
                batch and size + head.size > MAX_BATCH_BYTES
            ):
                break
            batch.append(self._waiting.popleft())
            keys.add(head.write.key)
            size += head.size
        return batch

    def _settle_conflict(
        self, batch: list[_Waiting], rows: tuple[Row, ...]
    ) -> None:
        """Settle the writes that conflict; the others go first again."""
        found = {row.key: row for row in rows}
        changed = {
            waiting.condition.key
            for waiting in batch
            if found[waiting.condition.key].version
            != waiting.condition.version
        }
        if not changed:
            reason = Unavailable("a conflict without its cause", False)
            _settle(batch, dict.fromkeys(found, reason))
            return
        conflicts = {key: Conflict((found[key],)) for key in changed}
        _settle(
            [each for each in batch if each.write.key in changed], conflicts
        )
        self._waiting.extendleft(
            each for each in reversed(batch) if each.write.key not in changed
        )


def _keys(batch: list[_Waiting]) -> list[str]:
    return [waiting.write.key for waiting in batch]


def _settle(
    batch: list[_Waiting],
    outcomes: dict[str, Row] | dict[str, Conflict] | dict[str, Unavailable],
) -> None:
    for waiting in batch:
        # The caller of put may have been cancelled in the meantime.
        if not waiting.outcome.done():
            waiting.outcome.set_result(outcomes[waiting.write.key])


def _fail(batch: list[_Waiting], error: BaseException) -> None:
    for waiting in batch:
        if not waiting.outcome.done():
            waiting.outcome.set_exception(error)
