"""Steps of the booking scenarios."""

import asyncio
import signal
import time
from typing import Any

import msgspec
from behave import given, then, when

from bench.probe import book, count_runs, fetch_counts, set_faults
from lagoonpost.http.message import Response

KEY = "pitch-9"
TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.2


def set_service_faults(context: Any, faults: dict[str, Any]) -> None:
    system = context.system
    for name in system.services:
        asyncio.run(set_faults(system.addresses[name], faults))


def set_platform_faults(context: Any, faults: dict[str, Any]) -> None:
    address = context.system.addresses["platform"]
    asyncio.run(set_faults(address, faults))


def read_execution(answer: Response) -> str:
    if answer.status == 200:
        return "ran"
    execution: str = msgspec.json.decode(answer.body)["execution"]
    return execution


async def wait_for_run(context: Any) -> None:
    """Wait until a booking runner has received a call."""
    system = context.system
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while True:
            for name in system.services:
                counts = await fetch_counts(system.addresses[name])
                if counts["calls"]:
                    return
            await asyncio.sleep(0.02)


@given("bookings take {seconds:d} second")
def slow_services(context: Any, seconds: int) -> None:
    set_service_faults(context, {"slow": float(seconds)})


@given("each store operation takes {seconds:d} second")
def slow_store(context: Any, seconds: int) -> None:
    set_platform_faults(context, {"slow": float(seconds)})


@when("gateway-1 gets SIGKILL while it runs a booking")
def kill_gateway(context: Any) -> None:
    async def run() -> None:
        call = asyncio.create_task(book(context.system, "gateway-1", KEY))
        await wait_for_run(context)
        context.system.processes["gateway-1"].send(signal.SIGKILL)
        await asyncio.wait([call])
        assert call.exception() is not None

    asyncio.run(run())
    context.answers = []


@when("gateway-1 is frozen for {seconds:d} seconds during a claim")
def freeze_gateway(context: Any, seconds: int) -> None:
    process = context.system.processes["gateway-1"]

    async def run() -> Response:
        call = asyncio.create_task(book(context.system, "gateway-1", KEY))
        # Half of the store's delay: the claim is sent but not answered yet.
        await asyncio.sleep(0.5)
        process.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        assert await count_runs(context.system, KEY) == 0
        await set_faults(context.system.addresses["platform"], {})
        process.send(signal.SIGCONT)
        return await call

    context.answers = [asyncio.run(run())]


@when("the store loses {replies:d} replies")
def lose_replies(context: Any, replies: int) -> None:
    set_platform_faults(context, {"lose_replies": replies})
    context.answers = []


@when("runners close the connection after running a booking")
def close_after_run(context: Any) -> None:
    set_service_faults(context, {"cut": "after"})
    context.answers = []


@when("runners refuse all bookings")
def refuse_bookings(context: Any) -> None:
    set_service_faults(context, {"refuse": 1_000_000})
    context.answers = []


@when("{name} dies without notice")
def kill_runner(context: Any, name: str) -> None:
    context.system.processes[name].stop()


@then("{bookings:d} bookings succeed on the first attempt and run once each")
def check_run_once(context: Any, bookings: int) -> None:
    for number in range(bookings):
        key = f"pitch-{number}"
        answer = asyncio.run(book(context.system, "gateway-1", key))
        assert answer.status == 200, answer
        assert asyncio.run(count_runs(context.system, key)) == 1


@when("runners have capacity again")
def accept_bookings(context: Any) -> None:
    set_service_faults(context, {})


@when("the caller sends the booking to {gateway} once")
def send_once(context: Any, gateway: str) -> None:
    context.answers.append(asyncio.run(book(context.system, gateway, KEY)))


@when("the caller retries at {gateway} for {seconds:d} seconds")
def retry_for(context: Any, gateway: str, seconds: int) -> None:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        send_once(context, gateway)
        time.sleep(POLL_SECONDS)


@when("the caller retries at {gateway} until the booking succeeds")
def retry_until_success(context: Any, gateway: str) -> None:
    deadline = time.monotonic() + TIMEOUT_SECONDS
    send_once(context, gateway)
    while context.answers[-1].status != 200:
        assert time.monotonic() < deadline, context.answers[-1]
        time.sleep(POLL_SECONDS)
        send_once(context, gateway)
    context.through = gateway


@when("the store is down from the start of a booking until it is answered")
def lose_store(context: Any) -> None:
    platform = context.system.addresses["platform"]

    async def run() -> Response:
        call = asyncio.create_task(book(context.system, "gateway-1", KEY))
        await wait_for_run(context)
        await set_faults(platform, {"down": True})
        answer = await call
        await set_faults(platform, {})
        return answer

    context.answers = [asyncio.run(run())]


@when("{bookings:d} bookings are each sent to all gateways at once")
def send_to_all(context: Any, bookings: int) -> None:
    system = context.system

    async def run() -> None:
        await asyncio.gather(
            *(
                book(system, gateway, f"pitch-{number}")
                for number in range(bookings)
                for gateway in system.gateways
            )
        )

    asyncio.run(run())
    context.bookings = bookings


@then("all answers report execution {execution}")
def check_executions(context: Any, execution: str) -> None:
    seen = {read_execution(answer) for answer in context.answers}
    assert seen == {execution}, context.answers
    # A refused caller must learn when to retry.
    assert all(answer.header("retry-after") for answer in context.answers)


@then("the booking ran {runs:d} times")
def check_run_count(context: Any, runs: int) -> None:
    assert asyncio.run(count_runs(context.system, KEY)) == runs


@then("it ran through {gateway}")
def check_gateway(context: Any, gateway: str) -> None:
    assert context.through == gateway
    assert context.answers[0].status != 200, context.answers


@then("both answers are the same")
def check_same(context: Any) -> None:
    first, last = context.answers[0], context.answers[-1]
    assert first.status == 200, first
    assert first.body == last.body, (first, last)


@then("each booking ran once")
def check_each(context: Any) -> None:
    for number in range(context.bookings):
        runs = asyncio.run(count_runs(context.system, f"pitch-{number}"))
        assert runs == 1, (number, runs)
