"""Tests of two gateways that read the same run of an engine."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from test_answer import BODY, LENGTH, OPTIONS, WHOLE, Fleet

from lagoonpost.http.client import Stream
from lagoonpost.http.message import parse_address
from lagoonpost.runners.answer import (
    Completed,
    Failed,
    Generation,
    Outcome,
    Part,
    RelayedAnswer,
    relay_answer,
)
from lagoonpost.runners.engine import (
    cancel_answer,
    open_answer,
    resume_answer,
)

SLOW = OPTIONS._replace(token_rate=100.0)
Story = Callable[[Fleet], Awaitable[None]]


def play(story: Story) -> None:
    """Run a test with one engine that takes about a second per answer."""

    async def run() -> None:
        fleet = Fleet()
        await fleet.add(options=SLOW)
        try:
            await asyncio.wait_for(story(fleet), 30)
        finally:
            await fleet.close()

    asyncio.run(run())


def attach(fleet: Fleet) -> RelayedAnswer:
    """Attach to the fleet's run as a second gateway does."""
    order = Generation("r1", BODY)
    return relay_answer(
        order, fleet.runners[0], fleet.place, fleet.client, attach=True
    )


async def read(answer: RelayedAnswer) -> list[Outcome]:
    return [outcome async for outcome in answer]


async def settle(answer: RelayedAnswer) -> None:
    """Wait for the background calls of an answer."""
    while answer._tasks:
        await asyncio.wait(answer._tasks)


class TestTwoGateways:
    """A caller resumes at another gateway while the first still reads."""

    @pytest.mark.parametrize("end", ["deadline", "caller left"])
    def test_the_gateway_before_does_not_end_the_run(self, end: str) -> None:
        """Guards against the caller's previous gateway cancelling the run."""

        async def story(fleet: Fleet) -> None:
            now = asyncio.get_running_loop().time()
            one = fleet.ask(now + 0.6 if end == "deadline" else None)
            parts = one.outcomes()
            await anext(parts)
            two = attach(fleet)
            other = two.outcomes()
            outcomes = [await anext(other)]
            if end == "deadline":
                rest = [outcome async for outcome in parts]
                assert isinstance(rest[-1], Failed)
            await parts.aclose()
            await settle(one)
            outcomes += [outcome async for outcome in other]
            assert isinstance(outcomes[-1], Completed)
            texts = [part.text for part in outcomes if isinstance(part, Part)]
            assert "".join(texts) == WHOLE
            (engine,) = fleet.engines.values()
            assert fleet.asked == []
            assert engine.counts.tokens_generated == LENGTH

        play(story)

    def test_the_last_one_ends_the_run(self) -> None:
        """Guards against a run that continues without any reader."""

        async def story(fleet: Fleet) -> None:
            one, two = fleet.ask(), attach(fleet)
            before, last = one.outcomes(), two.outcomes()
            await anext(before)
            await anext(last)
            for answer, parts in ((one, before), (two, last)):
                await parts.aclose()
                await settle(answer)
            (engine,) = fleet.engines.values()
            assert engine.counts.canceled == 1
            assert engine.state.batch.find("r1") is None

        play(story)


class TestAttempts:
    """An engine cancels a run only for the attempt that read it last."""

    @pytest.mark.parametrize(
        ("readers", "asks", "ended"),
        [
            (["a"], "a", True),
            (["a", "b"], "a", False),
            (["a", "b"], "b", True),
            (["a", "b", "a"], "a", False),
            (["a", "b", "a"], "b", True),
            (["a", "b"], "", True),
            (["a", ""], "a", False),
            ([""], "", True),
        ],
    )
    def test_the_last_that_came_ends_it(
        self, readers: list[str], asks: str, ended: bool
    ) -> None:
        """Guards against a probe that cancels a run another attempt reads."""

        async def story(fleet: Fleet) -> None:
            address = parse_address(fleet.runners[0].endpoint)
            call = (fleet.client, address, "r1")
            first, *others = readers
            streams = [await open_answer(*call, BODY, (), 0, attempt=first)]
            for name in others:
                streams.append(await resume_answer(*call, 0, name))
            assert await cancel_answer(*call, asks)
            (engine,) = fleet.engines.values()
            assert (engine.state.batch.find("r1") is None) == ended
            for stream in streams:
                assert isinstance(stream, Stream)
                stream.close()

        play(story)

    def test_a_late_cancel_does_not_end_the_next_run(self) -> None:
        """Guards against cancelling a run that another gateway reopened."""

        async def story(fleet: Fleet) -> None:
            address = parse_address(fleet.runners[0].endpoint)
            call = (fleet.client, address, "r1")
            before = await open_answer(*call, BODY, (), 0, attempt="a")
            after = await open_answer(*call, BODY, (), 0, attempt="b")
            await cancel_answer(*call, "a")
            (engine,) = fleet.engines.values()
            assert engine.state.batch.find("r1") is not None
            for stream in (before, after):
                assert isinstance(stream, Stream)
                stream.close()

        play(story)
