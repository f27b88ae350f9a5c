"""Tables whose rows merge alike in any order, with a digest of them."""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from lagoonpost.tables.digest import Digest, bucket_of

T = TypeVar("T")


class MergedTable(Generic[T]):
    """Rows by id, of which the merge of all that came is held.

    Attributes:
        rows: The rows that are held, by id.
        digest: Digest of these rows.
    """

    def __init__(
        self,
        find_id: Callable[[T], str],
        merge: Callable[[T, T], T],
        is_expired: Callable[[T, float], bool],
    ) -> None:
        """Make an empty table.

        Args:
            find_id: Returns a row's id.
            merge: Merges two rows of one id; it has to be commutative,
                associative and idempotent.
            is_expired: Whether a row may be forgotten at a time in seconds
                since the epoch.
        """
        self.rows: dict[str, T] = {}
        self.digest = Digest()
        self._find_id = find_id
        self._merge = merge
        self._is_expired = is_expired

    def merge(self, row: T, now: float) -> T | None:
        """Take a row in.

        Returns:
            The row now held if it is another than before, else None.
        """
        # Ends are absolute times. A process that still holds an expired
        # row, because its clock is behind, can't bring it back here.
        if self._is_expired(row, now):
            return None
        key = self._find_id(row)
        held = self.rows.get(key)
        merged = row if held is None else self._merge(held, row)
        if merged == held:
            return None
        if held is not None:
            self.digest.toggle(key, held)
        self.rows[key] = merged
        self.digest.toggle(key, merged)
        return merged

    def drop_expired(self, now: float) -> None:
        """Forget rows whose end has come."""
        rows = list(self.rows.items())
        for key, row in rows:
            if self._is_expired(row, now):
                del self.rows[key]
                self.digest.toggle(key, row)

    def list_bucket_rows(self, buckets: Iterable[int]) -> tuple[T, ...]:
        """Return all rows that belong to the buckets."""
        wanted = frozenset(buckets)
        if not wanted:
            return ()
        rows = self.rows.items()
        return tuple(row for key, row in rows if bucket_of(key) in wanted)
