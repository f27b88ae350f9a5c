"""Digests that tell two processes where their tables differ."""

import msgspec
import xxhash

# At the target's 320 members, a day's 220 tombstones and about as many
# facts, a bucket holds some dozen rows: sending all rows of one bucket costs
# about what listing the versions of its rows first would.
BUCKETS = 64
_WORD = (1 << 64) - 1


def hash_text(text: str) -> int:
    """Return a 64-bit hash of ``text``, equal in every process."""
    return xxhash.xxh3_64_intdigest(text.encode())


class Digest:
    """A hash of rows in each bucket, kept up to date at constant cost.

    Buckets combine hashes by exclusive or, so neither the order in which
    rows came nor rows that came and went leave a trace.
    """

    def __init__(self) -> None:
        self.buckets = [0] * BUCKETS

    def toggle(self, key: str, row: object) -> None:
        """Add the row if it is not in the digest, else take it out."""
        encoded = msgspec.msgpack.encode(row)
        self.buckets[bucket_of(key)] ^= xxhash.xxh3_64_intdigest(encoded)

    def root(self) -> int:
        """Return one hash of all buckets."""
        total = 0
        for number, value in enumerate(self.buckets):
            # The factor keeps equal values of two buckets from cancelling.
            total ^= value * (2 * number + 1) & _WORD
        return total


def bucket_of(key: str) -> int:
    """Return the bucket to which a row's key belongs."""
    return hash_text(key) % BUCKETS
