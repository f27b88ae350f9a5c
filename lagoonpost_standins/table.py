"""In-memory table of the stand-in table service."""

from collections.abc import Sequence

from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Row,
    Write,
)


class Table:
    """Versioned rows with conditional multi-row transactions.

    All rows share one version counter, so a row that is deleted and created
    again never gets a version that it had before.
    """

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._last_version = 0
        self._snapshots: list[tuple[int, dict[str, Row]]] = [(0, {})]

    def roll_back(self, transactions: int) -> None:
        """Lose the last transactions; their versions are assigned again."""
        del self._snapshots[max(1, len(self._snapshots) - transactions) :]
        self._last_version, rows = self._snapshots[-1]
        self._rows = dict(rows)

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Committed | Conflict:
        """Apply all ``writes`` if all ``conditions`` hold, else none."""
        current = tuple(self._find(condition.key) for condition in conditions)
        expected = tuple(condition.version for condition in conditions)
        if expected != tuple(row.version for row in current):
            return Conflict(current)
        committed = tuple(self._write(write) for write in writes)
        self._snapshots.append((self._last_version, dict(self._rows)))
        return Committed(committed)

    def read(self, keys: Sequence[str]) -> tuple[Row, ...]:
        """Return one row per key, in order; version 0 if it is absent."""
        return tuple(self._find(key) for key in keys)

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> tuple[Row, ...]:
        """Return up to ``limit`` rows, in key order.

        Args:
            prefix: Prefix of the keys.
            after: Key after which to start.
            limit: Maximum number of rows.
        """
        keys = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        return tuple(self._rows[key] for key in keys[:limit])

    def _find(self, key: str) -> Row:
        return self._rows.get(key, Row(key, 0))

    def _write(self, write: Write) -> Row:
        if write.value is None:
            self._rows.pop(write.key, None)
            return Row(write.key, 0)
        self._last_version += 1
        row = Row(write.key, self._last_version, write.value)
        self._rows[write.key] = row
        return row
