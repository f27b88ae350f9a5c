"""Hands in a ticket file at an entry: ``python -m bench.submit FILE``."""

import asyncio
import os
import sys
from contextlib import suppress
from pathlib import Path

import msgspec

from lagoonpost.declarations.content import format_content
from lagoonpost.declarations.file import load_ticket
from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Response, parse_address
from lagoonpost.tables.ticket import Faults

TRIES = 50
PAUSE_SECONDS = 0.2


async def submit(entry: Address, path: Path, key: str) -> Response:
    """Hand in the ticket until it is taken; raise if it never is."""
    ticket = load_ticket(path)
    assert not isinstance(ticket, Faults), ticket
    body = msgspec.json.encode(format_content(ticket))
    headers = (("authorization", f"Bearer {key}"),)
    client = Client()
    answer = Response(0)
    for _ in range(TRIES):
        with suppress(CallFailedError):
            answer = await client.call(
                entry, "POST", "/v1/tickets", body, headers, timeout=5
            )
        if answer.status == 200:
            client.close()
            return answer
        await asyncio.sleep(PAUSE_SECONDS)
    raise RuntimeError(f"ticket not taken: {answer.body.decode()}")


if __name__ == "__main__":
    asyncio.run(
        submit(
            parse_address(os.environ["LAGOONPOST_ENTRY"]),
            Path(sys.argv[1]),
            os.environ["LAGOONPOST_OPERATOR_KEY"],
        )
    )
