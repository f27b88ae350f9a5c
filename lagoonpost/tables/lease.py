"""Stored rows of leases on shards of the controllers' work."""

from typing import NamedTuple


class LeaseRow(NamedTuple):
    """Stored state of a lease.

    Attributes:
        holder: Name of the controller that holds the lease; empty if it was
            released.
        nonce: Id of the holder's process; it differs after a restart under
            the same name.
        fence: Fencing token; it grows with each acquisition.
        duration: Seconds that another controller must wait, after it first
            saw this version of the row, before it may acquire the lease.
        before: Names of previous holders whose orders may still take effect,
            oldest first. A holder that releases the lease adds its own name.
    """

    holder: str
    nonce: str
    fence: int
    duration: float
    before: tuple[str, ...] = ()
