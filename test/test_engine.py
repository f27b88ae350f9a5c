"""Tests of lagoonpost.runners.engine and sse with a stand-in engine."""

import asyncio
from collections.abc import Awaitable, Callable

from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.http.client import CallFailedError, Client, Stream
from lagoonpost.http.message import Address
from lagoonpost.runners.engine import (
    EngineOrder,
    Refusal,
    cancel_answer,
    fetch_load,
    open_answer,
    resume_answer,
    send_order,
)
from lagoonpost.runners.sse import Closing, EventReader, Tokens
from lagoonpost_standins.engine import EngineStandin
from lagoonpost_standins.engine_batch import EngineOptions
from lagoonpost_standins.engine_fault import Faults
from lagoonpost_standins.engine_model import make_text

LOOPBACK = Address("127.0.0.1", 0)
FAST = EngineOptions(token_rate=5000.0, prefill_rate=1e6)
MESSAGES = [{"role": "user", "content": "draft a term plan " * 20}]
BODY = {"model": "m", "messages": MESSAGES, "max_tokens": 40}


class Fixture:
    """An engine and a client in the running loop."""

    def __init__(self, engine: EngineStandin, address: Address) -> None:
        self.engine = engine
        self.address = address
        self.client = Client()

    async def open(self, tokens: tuple[str, ...] = ()) -> Stream | Refusal:
        return await open_answer(
            self.client, self.address, "r1", BODY, tokens, 0
        )

    async def resume(self, after: int) -> Stream | Refusal:
        return await resume_answer(self.client, self.address, "r1", after)


def _run(
    scenario: Callable[[Fixture], Awaitable[None]],
    options: EngineOptions = FAST,
    faults: Faults | None = None,
) -> None:
    async def run() -> None:
        engine = EngineStandin("e1", options)
        engine.set_faults(faults or Faults())
        fixture = Fixture(engine, await engine.start(LOOPBACK))
        try:
            await asyncio.wait_for(scenario(fixture), 30)
        finally:
            fixture.client.close()
            await engine.close()

    asyncio.run(run())


async def _read(stream: Stream | Refusal) -> tuple[str, Closing | None]:
    assert isinstance(stream, Stream)
    reader = EventReader()
    text = ""
    closing = None
    async with stream:
        try:
            async for data in stream.parts():
                for event in reader.feed(data):
                    if isinstance(event, Tokens):
                        text += "".join(event.tokens)
                    if isinstance(event, Closing):
                        closing = event
        except CallFailedError:
            pass
    return text, closing


class TestAnswer:
    def test_streams_whole_deterministic_answer(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            text, closing = await _read(await fixture.open())
            assert text == make_text(MESSAGES, 40)
            assert closing is not None
            assert closing.finish_reason == "length"
            assert closing.usage.completion_tokens == 40
            assert closing.usage.prefilled_tokens == 81

        _run(scenario)

    def test_prefills_only_what_the_cache_lacks(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            await _read(await fixture.open())
            await _read(await fixture.open())
            # 81 prompt tokens are 5 complete blocks of 16 and one more.
            assert fixture.engine.counts.tokens_prefilled == 81 + 1

        _run(scenario)

    def test_resumes_after_a_cut_connection(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            text, closing = await _read(await fixture.open())
            assert closing is None
            assert text == make_text(MESSAGES, 7)
            rest, closing = await _read(await fixture.resume(7))
            assert text + rest == make_text(MESSAGES, 40)
            assert closing is not None

        _run(scenario, faults=Faults(cut_after=7))

    def test_continues_after_given_tokens_and_counts_them(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            tokens = make_text(MESSAGES, 10).split()
            text, _ = await _read(
                await fixture.open(tuple(f"{token} " for token in tokens))
            )
            whole = make_text(MESSAGES, 40)
            assert make_text(MESSAGES, 10) + text == whole
            assert fixture.engine.counts.tokens_recomputed == 91
            assert fixture.engine.counts.tokens_generated == 30

        _run(scenario)

    def test_refuses_tokens_of_another_answer(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            assert isinstance(await fixture.open(("foreign ",)), Refusal)
            assert fixture.engine.counts.bad_continuations == 1

        _run(scenario)

    def test_cancels(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            stream = await fixture.open()
            assert isinstance(stream, Stream)
            assert await cancel_answer(fixture.client, fixture.address, "r1")
            stream.close()
            resumed = await fixture.resume(0)
            assert isinstance(resumed, Refusal)
            assert resumed.status == 404

        _run(scenario, EngineOptions(token_rate=5.0))

    def test_refusal_says_not_run(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            refused = await fixture.open()
            assert isinstance(refused, Refusal)
            assert refused.execution == "not_run"
            assert fixture.engine.counts.requests == 0

        _run(scenario, faults=Faults(refuse=True))


class TestSilence:
    def test_silent_connection_while_a_new_one_works(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            stream = await fixture.open()
            assert isinstance(stream, Stream)
            reader = EventReader()
            parts = stream.parts()
            count = 0
            while count < 5:
                for event in reader.feed(await anext(parts)):
                    assert isinstance(event, Tokens)
                    count += len(event.tokens)
            silent = asyncio.ensure_future(anext(parts))
            rest, closing = await _read(await fixture.resume(5))
            assert closing is not None
            assert make_text(MESSAGES, 40).endswith(rest)
            assert not silent.done()
            silent.cancel()
            stream.close()

        _run(scenario, faults=Faults(silence_after=5))


class TestOrder:
    def test_old_fence_is_refused_only_where_checked(self) -> None:
        for checks, status in ((True, 409), (False, 200)):

            async def scenario(fixture: Fixture, status: int = status) -> None:
                for fence, expected in ((5, 200), (4, status)):
                    order = EngineOrder(fence, ["v1"])
                    answer = await send_order(
                        fixture.client, fixture.address, order, 5.0
                    )
                    assert answer is not None
                    assert answer.status == expected

            _run(scenario, EngineOptions(checks_fence=checks))

    def test_load_report_counts_running(self) -> None:
        async def scenario(fixture: Fixture) -> None:
            stream = await fixture.open()
            assert isinstance(stream, Stream)
            await anext(stream.parts())
            load = await fetch_load(
                fixture.client, fixture.address, "e1", 0.1, 10.0
            )
            assert load is not None
            assert (load.running, load.measured_at) == (1, 9.9)
            stream.close()

        _run(scenario, EngineOptions(token_rate=5.0))


class TestEventReader:
    @given(st.lists(st.integers(1, 400), max_size=8))
    def test_reads_the_same_wherever_the_bytes_are_cut(
        self, cuts: list[int]
    ) -> None:
        data = b": hello\n\n"
        for n in (1, 2, 3, 9):
            data += (
                b'id: %d\ndata: {"choices":[{"index":0,"delta":'
                b'{"content":"t%d\\n"},"finish_reason":null}]}\n\n' % (n, n)
            )
        data += (
            b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}'
            b'],"usage":{"completion_tokens":4}}\n\ndata: [DONE]\n\n'
        )
        reader = EventReader()
        tokens: list[tuple[int, str]] = []
        closings = []
        previous = 0
        for cut in [*sorted(cuts), len(data)]:
            for event in reader.feed(data[previous:cut]):
                if isinstance(event, Tokens):
                    tokens.extend(enumerate(event.tokens, event.offset))
                else:
                    closings.append(event)
            previous = max(previous, cut)
        assert tokens == [(0, "t1\n"), (1, "t2\n"), (2, "t3\n"), (8, "t9\n")]
        assert len(closings) == 1
        assert isinstance(closings[0], Closing)
