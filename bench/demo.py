"""Shows the whole path: a draft, a check, a booking, a killed runner."""

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
KILL_AT = 30


class Line(NamedTuple):
    """One line of the closing table."""

    step: str
    ok: bool
    note: str


class Draft(NamedTuple):
    """What a caller got of a draft."""

    text: str
    tokens: int
    resumed: int
    end: str


def make_body(prompt: str, tokens: int = TOKENS) -> dict[str, Any]:
    """Return a chat-completions request."""
    return {
        "model": "assistant",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
    }


async def find_busy_engine(system: LocalSystem) -> str | None:
    """Return the engine that generates something now."""
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
    """Stream a draft; kill its runner in the middle if asked to."""
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
        if kill and len(texts) == KILL_AT:
            kill = False
            busy = await find_busy_engine(system)
            if busy is not None:
                system.processes[busy].send(signal.SIGKILL)
                print(f"  killed {busy} after {KILL_AT} tokens")
    return Draft("".join(texts), len(texts), resumed, end)


async def play(system: LocalSystem) -> list[Line]:
    """Run the steps and return what happened."""
    entries = [system.addresses[name] for name in system.gateways]
    caller = Caller(entries, "demo-key")
    body = make_body("A term plan for wheel classes in spring")
    try:
        calm = await run_draft(system, caller, body, kill=False)
        check = await caller.call("GET", "/v1/services/booking/checks/kiln")
        path = "/v1/services/booking/bookings"
        booking = await caller.call("POST", path, b'{"wheel": 3}', key="k-1")
        again = await caller.call("POST", path, b'{"wheel": 3}', key="k-1")
        rough = await run_draft(system, caller, body, kill=True)
    finally:
        caller.close()
    same = isinstance(booking, Response) and isinstance(again, Response)
    return [
        Line(
            "draft",
            calm.end in ("stop", "length") and calm.tokens > 0,
            f"{calm.tokens} tokens, {calm.end}",
        ),
        Line("check", isinstance(check, Response), _describe(check)),
        Line("booking", isinstance(booking, Response), _describe(booking)),
        Line(
            "same booking again",
            same and booking[2] == again[2],
            _describe(again),
        ),
        Line(
            "draft, runner killed",
            rough.text == calm.text and rough.end == calm.end,
            f"{rough.tokens} tokens, {rough.end}, "
            f"{'whole' if rough.text == calm.text else 'NOT whole'}",
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
