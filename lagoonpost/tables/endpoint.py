"""Runners as they register themselves, and what is known of each."""

from typing import NamedTuple

from lagoonpost.tables.address import Address


class Endpoint(NamedTuple):
    """A runner's own entry.

    Attributes:
        id: Identity of this start of the runner.
        service: Service that it belongs to.
        address: Where it is reached.
        failure_domain: Where it runs.
        version: Version of its software.
        slots: Requests that it works on at once.
        leaving: Whether it is to get no new requests.
        spot: Whether it is reclaimable.
        leaves: Seconds until it is gone, if it said so.
        born: Start of the runner in milliseconds since the epoch; tells two
            runs under one id apart.
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
