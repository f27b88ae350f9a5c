"""Divides the memory and the descriptors of a process among its uses.

Load pattern: clients, runners in trouble and peers can each make a gateway
hold as much as they are allowed to, at the same moment. What they may take
together, and what the process needs for itself, must fit the host.
"""

from typing import NamedTuple

from lagoonpost.systems.holdings import HoldingBounds

DEFAULT_MEMORY_MB = 300.0
"""Memory of a process whose settings don't name it, in units of 1,000,000
bytes."""
BYTES_PER_MB = 1_000_000
FILE_DESCRIPTORS = 200
"""Descriptors that are for files; the others are for sockets and pipes."""
CLIENT_MEMORY_SHARE = 0.25
"""Share of the memory for clients' connections, requests and answers. They
take up to twice as much, since freed memory is in pieces."""
ANSWER_MEMORY_SHARE = 0.1
"""Share of the memory for unfinished answers of runners, and the same share
again for those of the store and the cloud."""
PEER_MEMORY_SHARE = 0.05
"""Share of the memory for unfinished messages of peers."""
MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""Most that unfinished answers may take on any host: four times the largest
one."""
OWN_DESCRIPTOR_SHARE = 0.25
"""Share of the sockets that is not for clients: connections to the store, the
cloud and runners, from peers, and tunnels."""
MIN_OWN_DESCRIPTORS = 64
AUXILIARY_CONNECTIONS = 16
"""Connections for readiness and metrics, out of the process's own."""
AUXILIARY_BYTES = 1024 * 1024
PEER_CONNECTION_SHARE = 0.25
"""Share of the process's own sockets for connections from peers."""
TUNNEL_SHARE = 0.25
"""Tunnels for each of the process's own sockets; a tunnel takes two."""


class ProcessBudget(NamedTuple):
    """What each use of a process may take.

    Attributes:
        clients: Bounds of all clients' connections.
        auxiliary: Bounds of the connections for readiness and metrics.
        peers: Bounds of the connections from peers.
        answer_bytes: Bytes of unfinished answers of runners; as many are for
            the store and the cloud.
        tunnels: Number of tunnels for peers.
    """

    clients: HoldingBounds
    auxiliary: HoldingBounds
    peers: HoldingBounds
    answer_bytes: int
    tunnels: int


def divide(memory_mb: float, max_fds: int) -> ProcessBudget:
    """Return what each use may take.

    Args:
        memory_mb: Memory of the process in units of 1,000,000 bytes; 0 if
            unknown.
        max_fds: Descriptors of the process.
    """
    memory = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
    sockets = max(max_fds - FILE_DESCRIPTORS, 1)
    own = max(int(OWN_DESCRIPTOR_SHARE * sockets), MIN_OWN_DESCRIPTORS)
    return ProcessBudget(
        clients=HoldingBounds(
            int(CLIENT_MEMORY_SHARE * memory), max(sockets - own, 1)
        ),
        auxiliary=HoldingBounds(
            AUXILIARY_BYTES, AUXILIARY_CONNECTIONS, for_request=0
        ),
        peers=HoldingBounds(
            int(PEER_MEMORY_SHARE * memory),
            int(PEER_CONNECTION_SHARE * own),
            for_request=0,
        ),
        answer_bytes=min(int(ANSWER_MEMORY_SHARE * memory), MAX_ANSWER_BYTES),
        tunnels=int(TUNNEL_SHARE * own),
    )
