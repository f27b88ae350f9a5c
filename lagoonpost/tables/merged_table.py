"""Replicated tables whose rows merge to the same result in any order."""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from lagoonpost.tables.digest import Digest, bucket_of

T = TypeVar("T")


class MergedTable(Generic[T]):
    """State-based CRDT: for each id, the merge of all rows received.

    Attributes:
        rows: Current rows by id.
        digest: Digest of the current rows.
    """

    def __init__(
        self,
        find_id: Callable[[T], str],
        merge: Callable[[T, T], T],
        is_expired: Callable[[T, float], bool],
    ) -> None:
        """Create an empty table.

        Args:
            find_id: Returns a row's id.
            merge: Merges two rows of the same id; must be commutative,
                associative and idempotent.
            is_expired: Returns whether a row may be dropped at a time in
                seconds since the epoch.
        """
        self.rows: dict[str, T] = {}
        self.digest = Digest()
        self._find_id = find_id
        self._merge = merge
        self._is_expired = is_expired

    def merge(self, row: T, now: float) -> T | None:
        """Merge a row into the table.

        Args:
            row: The row.
            now: Time in seconds since the epoch.

        Returns:
            The new current row of this id, or None if it did not change.
        """
        # Expiry times are absolute, so a peer that still has an expired row
        # because its clock is slow can't reintroduce it here.
        if self._is_expired(row, now):
            return None
        key = self._find_id(row)
        current = self.rows.get(key)
        merged = row if current is None else self._merge(current, row)
        if merged == current:
            return None
        if current is not None:
            self.digest.toggle(key, current)
        self.rows[key] = merged
        self.digest.toggle(key, merged)
        return merged

    def drop_expired(self, now: float) -> None:
        """Remove expired rows.

        Args:
            now: Time in seconds since the epoch.
        """
        rows = list(self.rows.items())
        for key, row in rows:
            if self._is_expired(row, now):
                del self.rows[key]
                self.digest.toggle(key, row)

    def list_bucket_rows(self, buckets: Iterable[int]) -> tuple[T, ...]:
        """Return all rows that belong to the given digest buckets."""
        wanted = frozenset(buckets)
        if not wanted:
            return ()
        rows = self.rows.items()
        return tuple(row for key, row in rows if bucket_of(key) in wanted)
