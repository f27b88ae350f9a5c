"""Steps of the runner scenarios."""

import asyncio
import signal
import time
from collections.abc import Callable
from typing import Any

import msgspec
from behave import given, then, when

from bench.demo import Draft, find_busy_engine, make_body, run_draft
from bench.system import DOMAINS, LocalSystem
from lagoonpost.caller.client import Caller
from lagoonpost.http.client import Client
from lagoonpost.http.message import Response
from lagoonpost_standins.engine_model import make_text

TOKENS = 300
FAULT_AFTER_TOKENS = 40
# 402 tokens of prefill, so that a recompute is visible in the counts.
PROMPT = "A term plan of " * 100
MARKER = "crash the runner"
CHAT = "/v1/chat/completions"
FACT_SECONDS = 20.0


async def _call(
    system: LocalSystem, name: str, method: str, path: str, value: Any = None
) -> Response:
    client = Client()
    body = b"" if value is None else msgspec.json.encode(value)
    headers = (("authorization", "Bearer demo-key"),)
    try:
        return await client.call(
            system.addresses[name], method, path, body, headers, timeout=30
        )
    finally:
        client.close()


async def _set_faults(system: LocalSystem, **faults: object) -> None:
    for name in system.engines:
        await _call(system, name, "POST", "/standin/faults", faults)


async def _count(system: LocalSystem) -> dict[str, int]:
    """Sum the token counts of the engines that still run."""
    total = {"tokens_recomputed": 0, "tokens_generated": 0}
    for name in system.engines:
        if system.processes[name].is_running():
            answer = await _call(system, name, "GET", "/standin/counts")
            counts = msgspec.json.decode(answer.body)
            assert counts["bad_continuations"] == 0, name
            for key in total:
                total[key] += counts[key]
    return total


async def _stream(system: LocalSystem, prompt: str) -> Draft:
    entries = [system.addresses[name] for name in system.gateways]
    caller = Caller(entries, "demo-key")
    try:
        body = make_body(prompt, TOKENS)
        return await run_draft(system, caller, body, kill=False)
    finally:
        caller.close()


async def _wait_tokens(system: LocalSystem, count: int) -> None:
    async with asyncio.timeout(60):
        made = 0
        while made < count:
            made = (await _count(system))["tokens_generated"]


def _run_drafts_with_fault(
    context: Any, drafts: int, act: Callable[[LocalSystem, str], Any]
) -> None:
    """Run drafts and inject a fault into the runner of one of them."""
    system = context.system

    async def run() -> None:
        prompts = [f"{n} {PROMPT}" for n in range(drafts)]
        running = [
            asyncio.ensure_future(_stream(system, prompt))
            for prompt in prompts
        ]
        await _wait_tokens(system, drafts * FAULT_AFTER_TOKENS)
        busy = await find_busy_engine(system)
        assert busy is not None
        generated = await _count_one(system, busy)
        context.generated = generated
        await act(system, busy)
        context.drafts = await asyncio.gather(*running)
        context.prompts = prompts

    asyncio.run(run())


async def _count_one(system: LocalSystem, name: str) -> int:
    answer = await _call(system, name, "GET", "/standin/counts")
    count: int = msgspec.json.decode(answer.body)["tokens_generated"]
    return count


def _send(name: str) -> Callable[[LocalSystem, str], Any]:
    async def act(system: LocalSystem, busy: str) -> None:
        system.processes[busy].send(signal.Signals[name])

    return act


@given("runners that abort exports at {percent:d} percent")
def cut_exports(context: Any, percent: int) -> None:
    asyncio.run(_set_faults(context.system, export_cut=percent / 100))


@given("runners that crash on a marked request")
def arm_runners(context: Any) -> None:
    asyncio.run(
        _set_faults(context.system, crash_marker=MARKER, crash_after=10)
    )


@when("the host of a draft's runner gets a notice of {seconds:d} seconds")
def reclaim_runner(context: Any, seconds: int) -> None:
    async def act(system: LocalSystem, busy: str) -> None:
        deadline = time.time() + seconds
        notice = {"host": f"host-{busy}", "deadline": deadline}
        await _call(system, "platform", "POST", "/standin/notices", notice)
        await asyncio.sleep(seconds)
        context.generated = await _count_one(system, busy)
        system.processes[busy].send(signal.SIGKILL)

    _run_drafts_with_fault(context, 1, act)


@when("a draft's runner gets {name:w}")
def signal_runner(context: Any, name: str) -> None:
    _run_drafts_with_fault(context, 1, _send(name))


@when("a draft's runner gets the fault {fault:w}")
def break_runner(context: Any, fault: str) -> None:
    async def act(system: LocalSystem, busy: str) -> None:
        faults = {fault: True}
        await _call(system, busy, "POST", "/standin/faults", faults)

    _run_drafts_with_fault(context, 1, act)


@when("all runners of a draft's failure domain get SIGKILL")
def kill_domain(context: Any) -> None:
    async def act(system: LocalSystem, busy: str) -> None:
        place = system.engines.index(busy) % len(DOMAINS)
        for name in system.engines[place :: len(DOMAINS)]:
            system.processes[name].send(signal.SIGKILL)

    _run_drafts_with_fault(context, 6, act)


@when("the marked request is sent to each gateway twice during drafts")
def send_marked(context: Any) -> None:
    async def act(system: LocalSystem, busy: str) -> None:
        context.answers = []
        body = make_body(MARKER, TOKENS)
        for name in [*system.gateways, *system.gateways]:
            answer = await _call(system, name, "POST", CHAT, body)
            context.answers.append(answer)
            # Gossip takes some milliseconds to spread the facts.
            await asyncio.sleep(0.5)

    _run_drafts_with_fault(context, 4, act)


@then("each draft is complete")
def check_whole(context: Any) -> None:
    for prompt, draft in zip(context.prompts, context.drafts, strict=True):
        messages = make_body(prompt)["messages"]
        assert draft.text == make_text(messages, TOKENS), draft.end
        assert draft.end == "length", draft.end


@then("each draft can be requested again")
def check_again(context: Any) -> None:
    for prompt in context.prompts:
        draft = asyncio.run(_stream(context.system, prompt))
        assert draft.end == "length", draft.end


def _count_recomputed(context: Any) -> int:
    return asyncio.run(_count(context.system))["tokens_recomputed"]


@then("fewer than {most:d} tokens are recomputed")
def check_few(context: Any, most: int) -> None:
    count = _count_recomputed(context)
    print(f"recomputed: {count}")
    assert count < most, count


@then("at least {least:d} tokens are recomputed")
def check_recomputed(context: Any, least: int) -> None:
    # Proves that the counter registers a recompute. Without this check, a
    # low count elsewhere would prove nothing.
    count = _count_recomputed(context)
    print(f"recomputed: {count}")
    assert count >= least, count


@then("fewer than {most:d} tokens are generated twice")
def check_generated(context: Any, most: int) -> None:
    after = asyncio.run(_count(context.system))["tokens_generated"]
    twice = after + context.generated - TOKENS
    print(f"generated twice: {twice}")
    assert twice < most, twice


@then("the marked request was refused each time")
def check_marked(context: Any) -> None:
    assert [answer.status for answer in context.answers] == [422] * 6
    for answer in context.answers[1:]:
        problem = msgspec.json.decode(answer.body)
        assert problem["execution"] == "not_run", problem


@then("at most {most:d} runners are lost")
def check_lost(context: Any, most: int) -> None:
    system = context.system
    lost = [n for n in system.engines if not system.processes[n].is_running()]
    print(f"lost: {lost}")
    assert len(lost) <= most, lost
