"""Measures the cost of relaying tokens, and of reclaiming a runner.

Run ``python -m bench.relay``. An engine stand-in runs in a separate process.
This process alternates between reading its answers directly and through the
relay. The results are ratios within one run.
"""

import asyncio
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from bench.system import find_port
from lagoonpost.http.client import CallFailedError, Client, Stream
from lagoonpost.http.message import Address, parse_address
from lagoonpost.runners.answer import (
    Completed,
    Generation,
    Part,
    RelayedAnswer,
    relay_answer,
)
from lagoonpost.runners.engine import open_answer
from lagoonpost.runners.kv import KvMover
from lagoonpost.systems.event import Refuse
from lagoonpost.systems.relay_event import FailureKind
from lagoonpost.tables.entity import Runner

# With more streams the stand-in engine, also in Python, saturates a core.
STREAMS = 100
TOKENS = 200
ROUNDS = 5
TARGET_GAP_SECONDS = 0.038
DRAFTS = 8
RECLAIM_TOKENS = 400
RECLAIM_AFTER_TOKENS = 200


class Rate(NamedTuple):
    """Tokens read and the CPU seconds that this process spent on them."""

    tokens: int
    cpu: float

    @property
    def per_core(self) -> float:
        """Tokens per second of CPU time."""
        return self.tokens / self.cpu


class Engine:
    """An engine stand-in in a separate process."""

    def __init__(self, name: str, *options: str) -> None:
        address = Address("127.0.0.1", find_port())
        self.runner = Runner(name, str(address), "m", "v1", "h", "d")
        self._popen = subprocess.Popen(
            [
                *(sys.executable, "-m", "lagoonpost_standins", "engine"),
                *("--listen", str(address), "--name", name, *options),
            ],
            stdout=subprocess.DEVNULL,
        )

    async def wait_ready(self, client: Client) -> None:
        """Wait until the stand-in answers."""
        async with asyncio.timeout(20):
            while True:
                try:
                    await self.count(client)
                except CallFailedError:
                    await asyncio.sleep(0.05)
                else:
                    return

    async def count(self, client: Client) -> dict[str, int]:
        """Return the counters of the stand-in."""
        address = parse_address(self.runner.endpoint)
        answer = await client.call(
            address, "GET", "/standin/counts", timeout=5
        )
        counts: dict[str, int] = msgspec.json.decode(answer.body)
        return counts

    def kill(self) -> None:
        """Kill the process without notice."""
        self._popen.send_signal(signal.SIGKILL)
        self._popen.wait()


def _make_body(name: str, words: int, tokens: int) -> dict[str, object]:
    content = f"{name} " + "word " * words
    messages = [{"role": "user", "content": content}]
    return {"model": "m", "messages": messages, "max_tokens": tokens}


async def _refuse(failed: Runner, kind: FailureKind) -> Runner | Refuse:
    raise AssertionError(f"{failed.name} {kind}")


async def _read_directly(client: Client, runner: Runner, name: str) -> int:
    body = _make_body(name, 10, TOKENS)
    address = parse_address(runner.endpoint)
    stream = await open_answer(client, address, name, body, (), 0)
    assert isinstance(stream, Stream)
    data = b""
    async with stream:
        async for part in stream.parts():
            data += part
    return data.count(b"\nid:") + data.startswith(b"id:")


async def _read_relayed(client: Client, runner: Runner, name: str) -> int:
    order = Generation(name, _make_body(name, 10, TOKENS))
    answer = relay_answer(order, runner, _refuse, client)
    count = 0
    async for outcome in answer:
        if isinstance(outcome, Part):
            count += len(outcome.tokens)
    return count


async def _measure(
    read: Callable[[Client, Runner, str], Awaitable[int]],
    client: Client,
    runner: Runner,
    label: str,
) -> Rate:
    started = time.process_time()
    counts = await asyncio.gather(
        *(read(client, runner, f"{label}-{n}") for n in range(STREAMS))
    )
    spent = time.process_time() - started
    assert set(counts) == {TOKENS}, set(counts)
    return Rate(sum(counts), spent)


async def measure_relay() -> None:
    """Print tokens per second and core, read directly and relayed."""
    rate = str(1 / TARGET_GAP_SECONDS)
    engine = Engine("e0", "--token-rate", rate, "--slots", str(STREAMS))
    client = Client()
    try:
        await engine.wait_ready(client)
        ratios = []
        for turn in range(ROUNDS):
            direct = await _measure(
                _read_directly, client, engine.runner, f"d{turn}"
            )
            relayed = await _measure(
                _read_relayed, client, engine.runner, f"r{turn}"
            )
            ratios.append(direct.per_core / relayed.per_core)
            print(
                f"round {turn + 1}: tokens a second and core: direct "
                f"{direct.per_core:,.0f}, relayed {relayed.per_core:,.0f}, "
                f"ratio {ratios[-1]:.2f}"
            )
        ratios.sort()
        print(f"median ratio {ratios[ROUNDS // 2]:.2f}")
    finally:
        client.close()
        engine.kill()


async def _reclaim(way: str) -> None:
    """Print the tokens recomputed after one reclaim during drafts.

    Args:
        way: ``notice`` or ``kill``.
    """
    options = ("--token-rate", "100", "--slots", "16")
    old, new = Engine("old", *options), Engine("new", *options)
    client = Client()
    mover = KvMover(client)

    async def place(failed: Runner, kind: FailureKind) -> Runner | Refuse:
        return new.runner

    async def run(name: str, answers: list[RelayedAnswer]) -> int:
        body = _make_body(name, 1000, RECLAIM_TOKENS)
        order = Generation(name, body, prompt_tokens=1002)
        answer = relay_answer(order, old.runner, place, client, mover)
        answers.append(answer)
        count = 0
        async for outcome in answer:
            if isinstance(outcome, Part):
                count += len(outcome.tokens)
            assert isinstance(outcome, Part | Completed), outcome
        return count

    try:
        await old.wait_ready(client)
        await new.wait_ready(client)
        answers: list[RelayedAnswer] = []
        runs = [
            asyncio.ensure_future(run(f"draft-{n}", answers))
            for n in range(DRAFTS)
        ]
        while not answers or len(answers[-1].tokens) < RECLAIM_AFTER_TOKENS:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        if way == "notice":
            deadline = asyncio.get_running_loop().time() + 1.5
            for answer in answers:
                answer.announce_reclaim(deadline)
            await asyncio.sleep(1.5)
        begun = sum(len(answer.tokens) for answer in answers)
        before = await old.count(client)
        old.kill()
        assert set(await asyncio.gather(*runs)) == {RECLAIM_TOKENS}
        counts = await new.count(client)
    finally:
        client.close()
        old.kill()
        new.kill()
    prefilled = counts["tokens_recomputed"]
    generated = before["tokens_generated"] + counts["tokens_generated"]
    again = generated - DRAFTS * RECLAIM_TOKENS
    print(
        f"reclaim by {way}, {DRAFTS} drafts: prefilled again {prefilled}, "
        f"generated again {again}; from scratch at that moment prefilled "
        f"{DRAFTS * 1002}, generated {begun}"
    )


async def main() -> None:
    """Run all measurements."""
    await measure_relay()
    for way in ("notice", "kill"):
        await _reclaim(way)


if __name__ == "__main__":
    asyncio.run(main())
