"""A runner hands out wrong bytes in place of some of its answers."""

import asyncio
import os
import random

from runner_2 import Received, Runner, respond
from stack_2 import (
    HOST,
    Answer,
    Deployment,
    Record,
    make_headers,
    run_case,
    send,
)

TROUBLE = os.environ.get("TROUBLE") != "0"
"""Whether the disruption is played."""
REQUESTS = 480
PAUSE_SECONDS = 0.01
SPOILED_SHARE = 0.02
"""Share of its answers that the runner spoils: the usual dose."""
WRONG_BYTES = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 22\r\nConnection: close\r\n\r\nbytes of nobody's call"
)


def make_route(name: str, kind: str) -> dict:
    """Return a route to the booking application."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1200,
        "target_latency_ms": 150,
        "priority": 2,
        "service": "prenota-app",
        "max_attempts": 2 if kind == "safe" else 1,
    }


CONFIGURATION = {
    "version": 1,
    "routes": [make_route("book", "unsafe"), make_route("check", "safe")],
    "services": [{"name": "prenota-app", "health_path": "/health"}],
    "limits": {"max_body_bytes": 4194304, "idle_timeout_ms": 15000},
    "tenants": [{"name": "pottery", "api_keys": ["key-of-pottery"]}],
}


class Booking:
    """Answers requests, and spoils some answers.

    Args:
        record: Record of the case.
        spoils: Whether it spoils any.
    """

    def __init__(self, record: Record, spoils: bool) -> None:
        self._record = record
        self._share = SPOILED_SHARE if spoils else 0.0
        self._rng = random.Random(1)

    async def answer(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request and answer it, or send wrong bytes."""
        attempt = request.headers["attempt-id"]
        await asyncio.sleep(0.02)
        if self._rng.random() < self._share:
            self._record.note("runner sends wrong bytes", attempt=attempt)
            writer.write(WRONG_BYTES)
            return
        headers = {
            "Attempt-Id": attempt,
            "Response-Signature": f"signed-{attempt}",
        }
        respond(writer, 200, headers, f"done {attempt}".encode())


async def play(record: Record) -> list[str]:
    """Send bookings and checks; one of two runners spoils answers."""
    async with Deployment(3, CONFIGURATION, record) as system:
        bookings = [Booking(record, TROUBLE), Booking(record, False)]
        runners = [
            Runner(f"i-{n}", "prenota-app", system.store, record, each.answer)
            for n, each in enumerate(bookings, 1)
        ]
        for runner in runners:
            await runner.start()
        await system.start_all()
        await asyncio.sleep(1.0)
        calls = []
        for number in range(REQUESTS):
            calls.append(asyncio.create_task(_send(system, number, record)))
            await asyncio.sleep(PAUSE_SECONDS)
        answers = await asyncio.gather(*calls)
        for runner in runners:
            runner.end()
    return [
        f"{attempt} got {answer.status} without a signature: {answer.body!r}"
        for attempt, answer in answers
        if answer.status // 100 == 2
        and answer.headers.get("response-signature") != f"signed-{attempt}"
    ]


async def _send(
    system: Deployment, number: int, record: Record
) -> tuple[str, Answer]:
    headers = make_headers(2500, "key-of-pottery")
    attempt = headers["Attempt-Id"]
    method, path = ("POST", "/book/1") if number % 2 else ("GET", "/check/1")
    front = system.find_address(number % 3, "front")
    record.note("client sends", attempt=attempt, path=path)
    got = await send(front, method, path, headers, b"{}" * (number % 2))
    record.note(
        "client got",
        attempt=attempt,
        status=got.status,
        signature=got.headers.get("response-signature"),
        body=got.body if got.status == 200 else "",
    )
    return attempt, got


run_case(__file__, play)
