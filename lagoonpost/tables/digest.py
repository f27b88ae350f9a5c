"""Digests by which two processes find out where their tables differ."""

import msgspec
import xxhash

# With 320 members, 220 tombstones a day and about as many facts, a bucket
# holds about a dozen rows. Sending all rows of a bucket then costs about as
# much as listing the versions of its rows first.
BUCKETS = 64
_UINT64_MASK = (1 << 64) - 1


def hash_text(text: str) -> int:
    """Return a 64-bit hash of ``text`` that is the same in every process."""
    return xxhash.xxh3_64_intdigest(text.encode())


class Digest:
    """Incremental hash of a table's rows, divided into buckets.

    A bucket is the exclusive or of its rows' hashes. Updates take constant
    time, and the result depends only on the current rows, not on the order
    of updates or on rows that were removed.

    Attributes:
        buckets: Hash of each bucket's rows.
    """

    def __init__(self) -> None:
        self.buckets = [0] * BUCKETS

    def toggle(self, key: str, row: object) -> None:
        """Add a row that is not in the digest, or remove one that is."""
        encoded = msgspec.msgpack.encode(row)
        self.buckets[bucket_of(key)] ^= xxhash.xxh3_64_intdigest(encoded)

    def root(self) -> int:
        """Return a single hash over all buckets."""
        total = 0
        for number, value in enumerate(self.buckets):
            # Without the factor, equal hashes of two buckets would cancel
            # each other out.
            total ^= value * (2 * number + 1) & _UINT64_MASK
        return total


def bucket_of(key: str) -> int:
    """Return the number of the bucket that a row's key belongs to."""
    return hash_text(key) % BUCKETS
