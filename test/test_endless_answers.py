"""Tests with runners whose bytes are no answer and have no end."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from forwarding_stack import Stack, make_prompt, play, wait_until
from hypothesis import given
from hypothesis import strategies as st
from test_partition import cut_path

from lagoonpost.forwarding import relay
from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.events import EventSplitter
from lagoonpost.http.message import Address, Response
from lagoonpost.runners.connection import AnswerConnection
from lagoonpost.runners.engine import open_answer
from lagoonpost.runners.sse import EngineError, EventReader
from lagoonpost.systems.relay_event import AttemptFailed
from lagoonpost.systems.stream_progress import StreamProgress
from lagoonpost_standins.endless import (
    ENDLESS_ANSWERS,
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    ENDLESS_STREAMS,
    EndlessAnswer,
    send_endless,
)

SMALL = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nright"
WRONG = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong"
Send = Callable[[asyncio.StreamWriter], Awaitable[None]]


def play_server(
    send: Send, use: Callable[[Client, Address], Awaitable[None]]
) -> int:
    """Run a server that answers each request with ``send``.

    Returns:
        The number of its connections that the client had closed.
    """
    closed = 0

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal closed
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await send(writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        closed += 1
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = Client()
        await use(client, Address(*server.sockets[0].getsockname()[:2]))
        await asyncio.sleep(0.05)
        server.close()
        client.close()

    asyncio.run(run())
    return closed


def find_failure_rate(stack: Stack, runner: str) -> float:
    placement = stack.gateways[0]._forwarder.placement
    return placement.state(runner).failure_rate


async def call_until_received(
    stack: Stack, runner: str, path: str
) -> list[Response]:
    """Send requests until one has reached a runner."""
    headers = (("model", "m"),) if path.startswith("/draft/") else ()
    answers = []
    while not stack.runners[runner].received:
        assert len(answers) < 100, f"no request in 100 reached {runner}"
        answers.append(await stack.call(path, headers=headers))
    return answers


class TestClient:
    @pytest.mark.parametrize("shape", [*ENDLESS_HEADS, *ENDLESS_BODIES])
    def test_gives_up_what_has_no_end(self, shape):
        """Guards against reading until the timeout and long error lines."""

        async def use(client: Client, address: Address) -> None:
            with pytest.raises(CallFailedError) as caught:
                await client.call(address, "GET", "/", timeout=20.0)
            assert caught.value.sent
            assert "no answer within" not in str(caught.value)
            assert len(str(caught.value)) <= 200

        answer = ENDLESS_ANSWERS[shape]
        assert play_server(lambda w: send_endless(w, answer), use) == 1

    @pytest.mark.parametrize("pause", [0.0, 0.05])
    def test_takes_no_bytes_for_the_next_answer(self, pause):
        """Guards against an answer that was sent after another one.

        On a kept connection the next request would get it.
        """
        answers = 0

        async def send(writer: asyncio.StreamWriter) -> None:
            nonlocal answers
            answers += 1
            if answers > 1:
                writer.write(SMALL)
                return
            writer.write(SMALL if pause else SMALL + WRONG)
            await asyncio.sleep(pause)
            if pause:
                writer.write(WRONG)

        async def use(client: Client, address: Address) -> None:
            for _ in range(2):
                answer = await client.call(address, "GET", "/", timeout=5.0)
                assert answer.body == b"right"
                await asyncio.sleep(0.1)
            assert answers == 2

        play_server(send, use)

    def test_keeps_a_bounded_part_of_many_at_once(self):
        """Guards against a full memory while each answer has room to grow."""
        limit, count = 1024 * 1024, 10
        held = []

        async def use(client: Client, address: Address) -> None:
            client.budget._limit = limit
            calls = [
                asyncio.create_task(
                    client.call(address, "GET", "/", timeout=20.0)
                )
                for _ in range(count)
            ]
            while not all(call.done() for call in calls):
                held.append(client.budget.held)
                await asyncio.sleep(0)
            assert all(call.exception() for call in calls)
            assert client.budget.held == 0

        answer = ENDLESS_ANSWERS["length"]._replace(
            fields=b"content-length: 9000000\r\n"
        )
        play_server(lambda w: send_endless(w, answer), use)
        assert limit / 2 < max(held) <= limit + count * 65536

    def test_other_tasks_run_between_small_parts(self):
        """Guards against a loop that parses all that arrived in one turn."""
        turns = 0

        async def use(client: Client, address: Address) -> None:
            nonlocal turns
            call = asyncio.create_task(
                client.call(address, "GET", "/", timeout=20.0)
            )
            while not call.done():
                turns += 1
                await asyncio.sleep(0)
            assert isinstance(call.exception(), CallFailedError)

        answer = EndlessAnswer(
            b"transfer-encoding: chunked\r\n", b"", b"1\r\na\r\n"
        )
        play_server(lambda w: send_endless(w, answer), use)
        assert turns > 65536 // len(answer.repeated) // 64


class TestForwarding:
    @pytest.mark.parametrize("shape", ENDLESS_ANSWERS)
    def test_the_caller_gets_another_runners_answer(self, shape):
        """Guards against waiting for the end of bytes that are no answer.

        The runner's connection stays open meanwhile, and the next requests
        are sent to it as well.
        """

        async def scenario(stack: Stack):
            runner = stack.runners["desk-1"]
            runner.fault, runner.endless_shape = "endless", shape
            answers = await call_until_received(stack, runner.id, "/check/1")
            await wait_until(lambda: not runner._accepted)
            return answers, find_failure_rate(stack, "desk-1")

        answers, rate = play(scenario)
        assert {answer.body for answer in answers} == {b"GET /check/1 "}
        assert rate > 0

    @pytest.mark.parametrize("shape", ENDLESS_ANSWERS)
    def test_a_booking_may_have_run(self, shape):
        """Guards against an answer that claims that a booking has not run."""

        async def scenario(stack: Stack):
            for runner in stack.runners.values():
                runner.fault, runner.endless_shape = "endless", shape
            answer = await stack.call("/book/1", "POST", b"{}")
            sound = await stack.call("/draft/1", "POST", headers=make_prompt())
            return answer, sound.status

        answer, _ = play(scenario)
        assert answer.status == 502
        assert answer.header("not-executed") is None

    @pytest.mark.parametrize("shape", ["event", "comments", "chunk"])
    def test_a_resumable_stream_goes_on_elsewhere(self, shape):
        """Guards against a stream that breaks off within an endless event."""

        async def scenario(stack: Stack):
            runner = stack.runners["chat-1"]
            runner.fault, runner.endless_shape = "endless", shape
            return await call_until_received(stack, "chat-1", "/draft/1")

        answers = play(scenario)
        assert {answer.status for answer in answers} == {200}
        assert all(b"id: 5\n" in answer.body for answer in answers)
        assert not any(b"aaa" in answer.body for answer in answers)

    @pytest.mark.parametrize("shape", ["header", "connection", "event"])
    def test_a_slow_booking_ends_by_its_deadline(self, shape):
        """Guards against bytes that count as life, and the next request.

        The runner has failed though the request was given up and not it.
        """

        async def scenario(stack: Stack):
            for runner in stack.runners.values():
                runner.fault, runner.endless_shape = "trickle", shape
            answer = await stack.call("/book/1", "POST", b"{}", deadline=0.6)
            rates = [find_failure_rate(stack, f"desk-{n}") for n in (1, 2)]
            return answer, max(rates)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(relay, "STREAM_IDLE_TIMEOUT_SECONDS", 0.1)
            answer, rate = play(scenario)
        assert answer.status == 504
        assert answer.header("not-executed") is None
        assert rate > 0

    @pytest.mark.parametrize(
        ("path", "shape"),
        [("/check/1", "connection"), ("/draft/1", "event")],
    )
    def test_a_slow_answer_is_given_up_as_silence_is(self, path, shape):
        """Guards against a byte each 0.1 s that keeps a stream alive."""
        service = "desk" if path == "/check/1" else "chat"

        async def scenario(stack: Stack):
            runner = stack.runners[f"{service}-1"]
            runner.fault, runner.endless_shape = "trickle", shape
            answers = await call_until_received(stack, runner.id, path)
            return {answer.status for answer in answers}

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(relay, "STREAM_IDLE_TIMEOUT_SECONDS", 0.4)
            assert play(scenario) == {200}

    @pytest.mark.parametrize("shape", ["interim", "length", "event"])
    def test_bytes_that_come_through_another_gateway(self, shape):
        """Guards against a gateway that reads on for the one in between."""

        async def scenario(stack: Stack):
            heal = cut_path(stack, stack.gateways[0], "refuse")
            for runner in stack.runners.values():
                runner.fault, runner.endless_shape = "endless", shape
            answer = await stack.call("/book/1", "POST", b"{}")
            tunnels = stack.gateways[1]._tunnels
            await wait_until(lambda: not tunnels._accepted)
            heal()
            return answer.status

        assert play(scenario, gateways=2) == 502


class TestStreamProgress:
    def test_only_events_count_and_only_while_the_caller_reads(self):
        """Guards against a runner that is blamed for its slow caller."""
        progress = StreamProgress(10.0, 2.0)
        assert not progress.is_stalled(15.9)
        assert progress.is_stalled(16.0)
        progress.suspend()
        assert not progress.is_stalled(1000.0)
        progress.note_event(1000.0)
        assert progress.is_stalled(1006.0)


class TestEngineAnswers:
    @pytest.mark.parametrize("shape", ["event", "event_in_chunks"])
    def test_an_answer_moves_on(self, shape):
        """Guards against an event that grows until the deadline."""
        events: list[object] = []

        def queue(event: object) -> int:
            events.append(event)
            return len(events)

        async def use(client: Client, address: Address) -> None:
            opening = open_answer(client, address, "r", {}, (), 0)
            connection = AnswerConnection(opening, 1, queue, None)
            async with asyncio.timeout(20.0):
                while not any(  # noqa: ASYNC110
                    isinstance(event, AttemptFailed) for event in events
                ):
                    await asyncio.sleep(0.01)
            connection.close()

        answer = ENDLESS_STREAMS[shape]
        play_server(lambda w: send_endless(w, answer), use)

    def test_an_endless_event_is_told_once(self):
        """Guards against an error for each read that follows it."""
        reader = EventReader()
        events = [e for _ in range(1500) for e in reader.feed(b"a" * 1000)]
        assert [type(event) for event in events] == [EngineError]


class TestEventSplitter:
    @given(st.lists(st.integers(0, 60), max_size=8))
    def test_splits_the_same_wherever_the_bytes_are_cut(self, cuts):
        data = (
            b": a\n\nid: 1\r\ndata: b\r\n\r\n\n\ndata: c\n\n: d\n\nid: 2\nda"
        )
        splitter, events, previous = EventSplitter(), [], 0
        for end in [*sorted(cuts), len(data)]:
            events += splitter.feed(data[previous:end])
            previous = max(previous, end)
        assert [event.id for event in events] == ["1", ""]
        rest = splitter.comments + splitter.remainder
        assert b"".join(event.data for event in events) + rest == data
        assert splitter.comments == b": d\n\n"
