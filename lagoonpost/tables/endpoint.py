"""Registration entries of runners."""

from typing import NamedTuple

from lagoonpost.tables.address import Address


class Endpoint(NamedTuple):
    """Entry that a runner registers for itself in the store.

    Attributes:
        id: Instance id of the runner.
        service: Service that the runner belongs to.
        address: Address that accepts requests.
        failure_domain: Failure domain of the runner's host.
        version: Version of the runner's software.
        slots: Number of requests that the runner processes concurrently.
        leaving: Whether the runner is draining and gets no new requests.
        spot: Whether the runner's host is reclaimable.
        leaves_in_seconds: Time until the runner stops, if it announced one.
        born: Start time of the process in milliseconds since the epoch; it
            distinguishes two processes that use the same id.
        cold_seconds: Time for which the runner stays cold, as of its entry.
    """

    id: str
    service: str
    address: Address
    failure_domain: str
    version: str
    slots: int
    leaving: bool = False
    spot: bool = False
    leaves_in_seconds: float | None = None
    born: int = 0
    cold_seconds: float = 0.0
