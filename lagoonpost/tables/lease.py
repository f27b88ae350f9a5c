"""Stored rows of leases on shards of the controllers' work."""

from typing import Annotated, NamedTuple

from msgspec import Meta

MAX_FENCE = 1 << 62
"""Largest fencing number; the next one still fits 64 bits."""
MAX_LEASE_SECONDS = 3600.0
"""Longest lease: a contender would wait for ever for a longer one."""


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
    fence: Annotated[int, Meta(ge=0, le=MAX_FENCE)]
    duration: Annotated[float, Meta(ge=0, le=MAX_LEASE_SECONDS)]
    before: tuple[str, ...] = ()
