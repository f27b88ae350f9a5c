"""Demo of a complete system: a draft, a check, a booking, a killed runner."""

import asyncio
import signal
import sys
from typing import Any, NamedTuple

import msgspec

from bench.system import LocalSystem
from lagoonpost.caller.client import (
    Caller,
    Finished,
    Problem,
    Resumed,
    Token,
)
from lagoonpost.http.client import Client
from lagoonpost.http.message import Response

TOKENS = 120
KILL_AFTER_TOKENS = 30


class Line(NamedTuple):
    """One line of the final result table."""

    step: str
    ok: bool
    note: str


class Draft(NamedTuple):
    """The part of a draft that a caller received.

    Attributes:
        text: Concatenated tokens.
        tokens: Number of tokens.
        resumed: Number of times the stream was resumed.
        end: Finish reason, detail of the problem, or ``cut``.
    """

    text: str
    tokens: int
    resumed: int
    end: str


def make_body(prompt: str, tokens: int = TOKENS) -> dict[str, Any]:
    """Return the body of a chat-completions request."""
    return {
        "model": "assistant",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
    }


async def find_busy_engine(system: LocalSystem) -> str | None:
    """Return the first engine that is running a request, or None."""
    client = Client()
    try:
        for name in system.engines:
            if not system.processes[name].is_running():
                continue
            answer = await client.call(
                system.addresses[name], "GET", "/v1/load", timeout=5
            )
            if msgspec.json.decode(answer.body)["running"]:
                return name
    finally:
        client.close()
    return None


async def run_draft(
    system: LocalSystem, caller: Caller, body: dict[str, Any], kill: bool
) -> Draft:
    """Stream a draft; with ``kill``, kill its runner midway."""
    texts: list[str] = []
    resumed = 0
    end = "cut"
    async for event in caller.draft(body):
        match event:
            case Token(text):
                texts.append(text)
            case Resumed():
                resumed += 1
            case Finished(finish_reason):
                end = finish_reason
            case Problem():
                end = event.detail
        if kill and len(texts) == KILL_AFTER_TOKENS:
            kill = False
            busy = await find_busy_engine(system)
            if busy is not None:
                system.processes[busy].send(signal.SIGKILL)
                print(f"  killed {busy} after {KILL_AFTER_TOKENS} tokens")
    return Draft("".join(texts), len(texts), resumed, end)


async def play(system: LocalSystem) -> list[Line]:
    """Run the steps of the demo and return one line for each."""
    entries = [system.addresses[name] for name in system.gateways]
    caller = Caller(entries, "demo-key")
    body = make_body("A term plan for wheel classes in spring")
    try:
        reference = await run_draft(system, caller, body, kill=False)
        check = await caller.call("GET", "/v1/services/booking/checks/kiln")
        path = "/v1/services/booking/bookings"
        booking = await caller.call("POST", path, b'{"wheel": 3}', key="k-1")
        again = await caller.call("POST", path, b'{"wheel": 3}', key="k-1")
        faulty = await run_draft(system, caller, body, kill=True)
    finally:
        caller.close()
    both_answered = isinstance(booking, Response) and isinstance(
        again, Response
    )
    return [
        Line(
            "draft",
            reference.end in ("stop", "length") and reference.tokens > 0,
            f"{reference.tokens} tokens, {reference.end}",
        ),
        Line("check", isinstance(check, Response), _describe(check)),
        Line("booking", isinstance(booking, Response), _describe(booking)),
        Line(
            "same booking again",
            both_answered and booking[2] == again[2],
            _describe(again),
        ),
        Line(
            "draft, runner killed",
            faulty.text == reference.text and faulty.end == reference.end,
            f"{faulty.tokens} tokens, {faulty.end}, "
            f"{'whole' if faulty.text == reference.text else 'NOT whole'}",
        ),
    ]


def _describe(outcome: Response | Problem) -> str:
    if isinstance(outcome, Problem):
        return f"{outcome.status} {outcome.execution}: {outcome.detail}"
    return f"{outcome.status} {outcome.body[:48].decode(errors='replace')}"


def main() -> int:
    """Run the demo and return the exit status."""
    system = LocalSystem(gateways=9)
    print("starting 9 gateways, 3 engines, 2 booking runners, 1 platform")
    try:
        system.start()
        lines = asyncio.run(play(system))
    finally:
        system.stop()
    for line in lines:
        print(f"{'ok' if line.ok else 'FAILED':<8}{line.step:<24}{line.note}")
    return 0 if all(line.ok for line in lines) else 1


if __name__ == "__main__":
    sys.exit(main())
