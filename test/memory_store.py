"""An in-memory `Store` with fault injection."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Row,
    Unavailable,
    Write,
)


class MemoryStore:
    """Stores rows in memory and injects a fault into each call.

    ``fault`` is called with the operation of each call and returns ``down``
    (not applied), ``lost`` (applied, no response), ``late`` (applied by
    `deliver`, no response) or "" (no fault).
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.fault: Callable[[str], str] = lambda call: ""
        self.late: list[Callable[[], object]] = []
        self.calls: list[str] = []

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflict | Unavailable:
        fault = await self._inject_fault("transact")
        if fault == "down":
            return Unavailable("down", applied=False)
        if fault == "late":
            self.late.append(lambda: self._apply(conditions, writes))
            return Unavailable("no reply")
        outcome = self._apply(conditions, writes)
        return Unavailable("no reply") if fault == "lost" else outcome

    async def read(self, keys: Sequence[str]) -> tuple[Row, ...] | Unavailable:
        if await self._inject_fault("read"):
            return Unavailable("down", applied=False)
        return tuple(self.rows.get(key, Row(key, 0)) for key in keys)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...] | Unavailable:
        if await self._inject_fault("scan"):
            return Unavailable("down", applied=False)
        keys = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        return tuple(self.rows[key] for key in keys[:limit])

    def deliver(self) -> None:
        """Apply the delayed writes."""
        while self.late:
            self.late.pop(0)()

    def _apply(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflict:
        current = [
            self.rows.get(condition.key, Row(condition.key, 0))
            for condition in conditions
        ]
        wanted = [condition.version for condition in conditions]
        if [row.version for row in current] != wanted:
            return Conflict(tuple(current))
        return Committed(tuple(self._write(write) for write in writes))

    def _write(self, write: Write) -> Row:
        value: Any = write.value
        version = self.rows.get(write.key, Row(write.key, 0)).version + 1
        self.rows[write.key] = Row(write.key, version, value)
        return self.rows[write.key]

    async def _inject_fault(self, call: str) -> str:
        # Yield to the event loop, so that tasks interleave between calls.
        await asyncio.sleep(0)
        self.calls.append(call)
        return self.fault(call)
