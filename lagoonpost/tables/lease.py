"""Rows of leases on shards of the controllers' work."""

from typing import NamedTuple


class LeaseRow(NamedTuple):
    """Who holds a lease, as it is stored.

    Attributes:
        holder: Name of the controller; empty if it was released.
        nonce: Identifies the holding process; a restarted one of the same
            name has another.
        fence: Grows each time that the lease is taken.
        duration: Seconds for which others must leave a version of this row
            alone after they first saw it.
        before: Names of those that held it before, of whose work effects may
            still come; the last one last. Who releases it adds its own.
    """

    holder: str
    nonce: str
    fence: int
    duration: float
    before: tuple[str, ...] = ()
