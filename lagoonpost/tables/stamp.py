"""When a row was written, by a store that may come back from an older copy.

Versions go back then and are given out again, so that a version alone no
longer orders news. A stamp has the store's era above the version: stamps are
compared, told to peers and kept like versions, and only grow.
"""

VERSION_BITS = 40
"""Bits of a stamp for the version: 300 a second for a century."""

MAX_ERA = (1 << 20) - 1
"""Highest era: packets have 64 bits for a stamp, of which moves of services
take a few more."""

Stamp = int


def make_stamp(era: int, version: int) -> Stamp:
    """Return the stamp of a version in an era."""
    return era << VERSION_BITS | version


def expect_version(stamp: Stamp, era: int) -> int:
    """Return the version that a row must have to be that of a stamp.

    One of an earlier era may have been given to another row since; no row
    has what is returned for it. 0 is an absent row in any era.
    """
    known = not stamp or find_era(stamp) == era
    return find_version(stamp) if known else find_version(-1)


def find_era(stamp: Stamp) -> int:
    """Return the era of a stamp."""
    return stamp >> VERSION_BITS


def find_version(stamp: Stamp) -> int:
    """Return the version of a stamp within its era."""
    return stamp & ((1 << VERSION_BITS) - 1)
