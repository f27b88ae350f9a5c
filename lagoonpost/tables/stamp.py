"""Version stamps that stay monotonic when the store is restored from a backup.

After a restore the store's version counter goes back and assigns the same
versions again, so versions alone don't order writes. The store's era grows
with each restore. A stamp combines the era (high bits) with the version (low
bits), and is compared, sent to peers and kept in place of the version.
"""

VERSION_BITS = 40
"""Width of a stamp's version: enough for 300 writes/s over a century."""

MAX_ERA = (1 << 20) - 1
"""Highest era. Packets have 64 bits for a stamp, and facts about version
shifts need a few bits above the era because they multiply the stamp by the
number of phases."""

Stamp = int


def make_stamp(era: int, version: int) -> Stamp:
    """Combine an era and a version into a stamp."""
    return era << VERSION_BITS | version


def expect_version(stamp: Stamp, era: int) -> int:
    """Return the row version to expect in a conditional write.

    The version of a stamp from another era may have been assigned again to
    a different write. For such a stamp the result is a version that no row
    has, so that the condition fails.

    Args:
        stamp: Stamp of the row as last read; 0 for an absent row, which is
            valid in any era.
        era: Current era of the store.
    """
    is_current = not stamp or find_era(stamp) == era
    return find_version(stamp) if is_current else find_version(-1)


def find_era(stamp: Stamp) -> int:
    """Return the era of a stamp."""
    return stamp >> VERSION_BITS


def find_version(stamp: Stamp) -> int:
    """Return the version of a stamp within its era."""
    return stamp & ((1 << VERSION_BITS) - 1)
