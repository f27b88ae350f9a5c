"""Calls to the processes of a local system, for scenarios and benchmarks."""

from typing import Any

import msgspec

from bench.system import LocalSystem
from lagoonpost.http.client import Client
from lagoonpost.http.message import Address, Headers, Response

BOOKINGS = "/v1/services/booking/bookings"
CALL_SECONDS = 60.0


async def send(
    address: Address,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Headers = (),
) -> Response:
    """Send one request over a new connection and return the response."""
    client = Client()
    try:
        return await client.call(
            address,
            method,
            path,
            body,
            headers,
            timeout=CALL_SECONDS,
            fresh=True,
        )
    finally:
        client.close()


async def book(
    system: LocalSystem, gateway: str, key: str, body: bytes = b"pitch 9"
) -> Response:
    """Send a booking of the workspace ``pottery`` to a gateway.

    Args:
        system: The running system.
        gateway: Name of the gateway.
        key: Idempotency key.
        body: Body of the booking.
    """
    headers = (
        ("authorization", "Bearer demo-key"),
        ("idempotency-key", key),
    )
    return await send(
        system.addresses[gateway], "POST", BOOKINGS, body, headers
    )


async def set_faults(address: Address, faults: dict[str, Any]) -> None:
    """Replace the faults that a stand-in injects."""
    body = msgspec.json.encode(faults)
    answer = await send(address, "POST", "/standin/faults", body)
    assert answer.status == 200, answer


async def fetch_counts(address: Address) -> dict[str, Any]:
    """Return the counters of a stand-in."""
    answer = await send(address, "GET", "/standin/counts")
    return msgspec.json.decode(answer.body, type=dict[str, Any])


async def count_runs(system: LocalSystem, key: str) -> int:
    """Return how many times the live booking runners ran a key."""
    runs = 0
    for name in system.services:
        if system.processes[name].is_running():
            counts = await fetch_counts(system.addresses[name])
            runs += counts["runs"].get(f"pottery/{key}", 0)
    return runs
