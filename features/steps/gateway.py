"""Steps of the gateway scenarios."""

import asyncio
import signal
import time
from collections.abc import Callable
from http.client import HTTPConnection
from typing import Any

import msgspec
from behave import given, then, when

from bench.demo import Draft, make_body
from bench.system import LocalSystem
from lagoonpost.caller.client import (
    Caller,
    Finished,
    Problem,
    Resumed,
    Token,
)
from lagoonpost.http.client import Client
from lagoonpost.http.message import Address, Response

PROMPT = "A term plan from last year's lesson notes"
TOKENS = 150
BOOKINGS = "/v1/services/booking/bookings"
CHECK = "/v1/services/booking/checks/kiln"
TIMEOUT_SECONDS = 60.0


@given("a system of {gateways:d} gateways and {engines:d} engines")
def start_system(context: Any, gateways: int, engines: int) -> None:
    context.system = LocalSystem(gateways, engines, 2)
    context.system.start()


async def run_draft(
    system: LocalSystem, act: Callable[[Address], None] | None
) -> tuple[Draft, list[str]]:
    """Stream a draft and call ``act`` with its entry after token 20."""
    entries = [system.addresses[name] for name in system.gateways]
    caller = Caller(entries, "demo-key")
    entry = (await caller.list_entries())[0]
    texts: list[str] = []
    causes: list[str] = []
    end = "cut"
    async for event in caller.draft(make_body(PROMPT, TOKENS)):
        match event:
            case Token(text):
                texts.append(text)
                if len(texts) == 20 and act is not None:
                    act(entry)
            case Resumed(_, _, cause):
                causes.append(cause)
            case Finished(finish_reason):
                end = finish_reason
            case Problem():
                end = event.detail
    caller.close()
    return Draft("".join(texts), len(texts), len(causes), end), causes


def find_gateway(system: LocalSystem, entry: Address) -> str:
    return next(n for n in system.gateways if system.addresses[n] == entry)


def run_draft_with_fault(context: Any, act: Callable[[Address], None]) -> None:
    context.reference, _ = asyncio.run(run_draft(context.system, None))
    context.draft, context.causes = asyncio.run(run_draft(context.system, act))


@when("the gateway of a draft gets {name} after token 20")
def signal_gateway(context: Any, name: str) -> None:
    system = context.system

    def act(entry: Address) -> None:
        gateway = find_gateway(system, entry)
        system.processes[gateway].send(signal.Signals[name])

    run_draft_with_fault(context, act)


@when(
    "the host of the gateway of a draft gets a notice of {seconds:d} seconds"
)
def reclaim_gateway(context: Any, seconds: int) -> None:
    system = context.system

    def act(entry: Address) -> None:
        host = f"host-{find_gateway(system, entry)}"
        notice = {"host": host, "deadline": time.time() + seconds}
        post(system.addresses["platform"], "/standin/notices", notice)

    run_draft_with_fault(context, act)


@then("the draft is complete")
def check_whole(context: Any) -> None:
    assert context.reference.tokens == TOKENS, context.reference
    assert context.draft.text == context.reference.text, context.draft
    assert context.draft.end == context.reference.end, context.draft


@then("the draft was moved, not interrupted")
def check_moved(context: Any) -> None:
    assert context.causes == ["moved"], context.causes


def post(address: Address, path: str, value: object) -> None:
    connection = HTTPConnection(address.host, address.port, timeout=5.0)
    connection.request("POST", path, msgspec.json.encode(value))
    assert connection.getresponse().status == 200
    connection.close()


async def call(
    system: LocalSystem,
    gateway: str,
    method: str,
    path: str,
    body: bytes = b"",
    key: str = "demo-key",
    idempotency_key: str = "",
) -> Response:
    client = Client()
    headers = [("authorization", f"Bearer {key}")]
    if idempotency_key:
        headers.append(("idempotency-key", idempotency_key))
    try:
        return await client.call(
            system.addresses[gateway],
            method,
            path,
            body,
            tuple(headers),
            timeout=30,
            fresh=True,
        )
    finally:
        client.close()


@when("gateway-1 gets SIGTERM during a draft and a booking")
def stop_gateway(context: Any) -> None:
    system = context.system
    for name in system.services:
        post(system.addresses[name], "/standin/faults", {"slow": 1.0})
    body = msgspec.json.encode(make_body(PROMPT, 60))

    async def run() -> tuple[Response, Response]:
        draft = asyncio.create_task(
            call(system, "gateway-1", "POST", "/v1/chat/completions", body)
        )
        booking = asyncio.create_task(
            call(
                system,
                "gateway-1",
                "POST",
                BOOKINGS,
                b"pitch 9",
                idempotency_key="pitch-9",
            )
        )
        await asyncio.sleep(0.4)
        system.processes["gateway-1"].send(signal.SIGTERM)
        return await draft, await booking

    context.answers = asyncio.run(run())


@then("both get complete answers from gateway-1")
def check_answers(context: Any) -> None:
    draft, booking = context.answers
    assert draft.status == 200, draft
    choice = msgspec.json.decode(draft.body)["choices"][0]
    assert choice["finish_reason"] == "length"
    assert booking.status == 200, booking


@then("the booking ran once")
def check_runs(context: Any) -> None:
    system = context.system

    async def count() -> int:
        client = Client()
        runs = 0
        for name in system.services:
            answer = await client.call(
                system.addresses[name], "GET", "/standin/counts", timeout=5
            )
            counts = msgspec.json.decode(answer.body)
            runs += counts["runs"].get("pottery/pitch-9", 0)
        client.close()
        return runs

    assert asyncio.run(count()) == 1


@then("gateway-1 ended with status 0")
def check_status(context: Any) -> None:
    assert context.system.processes["gateway-1"].wait(TIMEOUT_SECONDS) == 0


@when("the market's key is revoked while gateway-3 is frozen")
def revoke_key(context: Any) -> None:
    system = context.system
    answer = asyncio.run(
        call(system, "gateway-3", "GET", CHECK, key="market-key")
    )
    assert answer.status == 200, answer
    system.processes["gateway-3"].freeze()
    path = system.write_file(
        "2.yaml",
        "ticket: 2\nreason: market leaves\n"
        "workspaces:\n  market: {absent: true}\n",
    )
    system.apply_ticket(path)
    # Longer than the poll interval plus the store timeout.
    time.sleep(5.0)
    system.processes["gateway-3"].send(signal.SIGCONT)


@then("gateway-3 never serves the market again")
def check_revoked(context: Any) -> None:
    system = context.system
    deadline = time.monotonic() + 6.0
    seen = set()
    while time.monotonic() < deadline:
        answer = asyncio.run(
            call(system, "gateway-3", "GET", CHECK, key="market-key")
        )
        seen.add(answer.status)
    assert seen <= {401, 503}, seen
    assert 401 in seen, seen


@when("the store goes down")
def stop_store(context: Any) -> None:
    platform = context.system.addresses["platform"]
    post(platform, "/standin/faults", {"down": True})


@when("the store is back")
def start_store(context: Any) -> None:
    platform = context.system.addresses["platform"]
    post(platform, "/standin/faults", {})


@then("a draft and a check are answered")
def check_without_store(context: Any) -> None:
    draft, _ = asyncio.run(run_draft(context.system, None))
    assert draft.tokens == TOKENS, draft
    answer = asyncio.run(call(context.system, "gateway-1", "GET", CHECK))
    assert answer.status == 200, answer


def book(context: Any, key: str) -> Response:
    return asyncio.run(
        call(
            context.system,
            "gateway-1",
            "POST",
            BOOKINGS,
            b"pitch 9",
            idempotency_key=key,
        )
    )


@then("a booking is refused at once as not run")
def check_refused(context: Any) -> None:
    # The first claim after the start of the outage may have been committed
    # although its reply was lost. Nothing ran, but the key stays claimed
    # until the outcome of that write is resolved.
    first = msgspec.json.decode(book(context, "pitch-8").body)
    assert first["execution"] in ("unknown", "not_run"), first
    answer = book(context, "pitch-9")
    problem = msgspec.json.decode(answer.body)
    assert answer.status == 503, answer
    assert problem["execution"] == "not_run", problem
    assert problem["retry_after"] > 0, problem


@then("a booking succeeds")
def check_booking_succeeds(context: Any) -> None:
    deadline = time.monotonic() + TIMEOUT_SECONDS
    answer = book(context, "pitch-9")
    while answer.status == 503 and time.monotonic() < deadline:
        time.sleep(0.5)
        answer = book(context, "pitch-9")
    assert answer.status == 200, answer
    check_runs(context)


@when("{name} is killed and started again")
def restart(context: Any, name: str) -> None:
    process = context.system.processes[name]
    process.stop()
    process.start()


@then("{name} serves the newest declaration")
def check_serving(context: Any, name: str) -> None:
    context.system.wait_ready()
    answer = asyncio.run(call(context.system, name, "GET", CHECK))
    assert answer.status == 200, answer
