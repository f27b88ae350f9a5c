"""Tests of lagoonpost.gateway.shutdown with gateways that shut down."""

import asyncio
from typing import Any

import msgspec
from stack import CHAT, FAST, Stack, make_chat, play
from test_gateway import PROMPT, pick_text

from lagoonpost.caller.client import Finished, Resumed, Token, parse_location
from lagoonpost.http.message import Response

SLOW = FAST._replace(token_rate=100.0)
TOKENS = 120


async def draft(stack: Stack, at: int, act: Any) -> tuple[str, list[Any]]:
    """Stream an answer and run ``act`` once after token ``at``."""
    caller = stack.make_caller()
    texts: list[str] = []
    rest: list[Any] = []
    body = msgspec.json.decode(make_chat(PROMPT, TOKENS))
    acting: asyncio.Task[Any] | None = None
    async for event in caller.draft(body):
        if isinstance(event, Token):
            texts.append(event.text)
        else:
            rest.append(event)
        if len(texts) == at and acting is None:
            acting = asyncio.create_task(act())
    caller.close()
    if acting is not None:
        await acting
    return "".join(texts), rest


class TestMoveAnswers:
    def test_a_stream_goes_on_at_a_peer(self) -> None:
        """Guards against recomputing a stream whose gateway is reclaimed.

        The caller is redirected to a peer and gets the rest there, and the
        runner recomputes no tokens.
        """

        async def story(stack: Stack) -> tuple[str, str, list[Any], int]:
            whole = await stack.call("POST", CHAT, make_chat(PROMPT, TOKENS))

            async def leave() -> None:
                busy = [g for g in stack.gateways if g.count_answers()]
                await busy[0].leave(0.0)

            text, rest = await draft(stack, 20, leave)
            counts = [
                e.counts.tokens_recomputed for e in stack.engines.values()
            ]
            return pick_text(whole), text, rest, sum(counts)

        whole, text, rest, recomputed = play(story, gateways=3, options=SLOW)
        assert text == whole
        moved, end = rest
        assert isinstance(moved, Resumed)
        assert moved.cause == "moved"
        assert isinstance(end, Finished)
        assert recomputed == 0

    def test_a_waiting_caller_is_sent_to_the_peer_that_has_its_answer(
        self,
    ) -> None:
        """Guards against a cut connection for a caller that does not stream.

        Its gateway is reclaimed. The caller gets a redirect to a peer, which
        returns the whole answer from the runner that continues it.
        """

        async def story(stack: Stack) -> tuple[Response, Response, str]:
            body = make_chat(PROMPT, TOKENS)
            whole = await stack.call("POST", CHAT, body, gateway=1)
            waiting = asyncio.create_task(stack.call("POST", CHAT, body))
            await stack.wait_answer()
            await asyncio.sleep(0.2)
            await stack.gateways[0].leave(0.0)
            redirect = await waiting
            address, target = parse_location(redirect.header("location") or "")
            gateway = stack.entries.index(address)
            answer = await stack.call("GET", target, gateway=gateway)
            return redirect, answer, pick_text(whole)

        redirect, answer, whole = play(story, gateways=3, options=SLOW)
        assert redirect.status == 303
        assert pick_text(answer) == whole

    def test_the_library_s_caller_follows_to_the_peer(self) -> None:
        async def story(stack: Stack) -> tuple[Any, str]:
            body = make_chat(PROMPT, TOKENS)
            whole = await stack.call("POST", CHAT, body, gateway=1)
            caller = stack.make_caller()
            waiting = asyncio.create_task(caller.call("POST", CHAT, body))
            while not any(g.count_answers() for g in stack.gateways):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            (busy,) = [g for g in stack.gateways if g.count_answers()]
            await busy.leave(0.0)
            answer = await waiting
            caller.close()
            return answer, pick_text(whole)

        answer, whole = play(story, gateways=3, options=SLOW)
        assert pick_text(answer) == whole

    def test_the_runner_goes_as_well(self) -> None:
        """Guards against losing an answer together with its runner.

        The hosts of the gateway and of the runner are reclaimed together.
        The peer got the request and its tokens with the hand-over, so it
        continues on another runner.
        """

        async def story(stack: Stack) -> tuple[str, str]:
            whole = await stack.call("POST", CHAT, make_chat(PROMPT, TOKENS))

            async def leave() -> None:
                busy = [g for g in stack.gateways if g.count_answers()]
                name = max(
                    stack.engines,
                    key=lambda n: len(stack.engines[n].state.batch.running),
                )
                await asyncio.gather(
                    busy[0].leave(0.0), stack.engines[name].close()
                )

            text, _ = await draft(stack, 20, leave)
            return pick_text(whole), text

        whole, text = play(story, gateways=3, options=SLOW)
        assert text == whole

    def test_the_successor_dies_as_well(self) -> None:
        """Guards against an answer lost with the peer that took it over.

        The peer dies before the caller connects. The caller resumes at a
        third gateway with its last event id and the tokens it received.
        """

        async def story(stack: Stack) -> tuple[str, str, list[Any]]:
            whole = await stack.call("POST", CHAT, make_chat(PROMPT, TOKENS))

            async def leave() -> None:
                (busy,) = [g for g in stack.gateways if g.count_answers()]
                others = [g for g in stack.gateways if g is not busy]
                leaving = asyncio.create_task(busy.leave(0.0))
                while not any(g.count_handed_over() for g in others):  # noqa: ASYNC110
                    await asyncio.sleep(0)
                (successor,) = [g for g in others if g.count_handed_over()]
                await stack.cut(successor)
                await leaving

            text, rest = await draft(stack, 20, leave)
            return pick_text(whole), text, rest

        whole, text, rest = play(story, gateways=3, options=SLOW)
        assert text == whole
        causes = [e.cause for e in rest if isinstance(e, Resumed)]
        assert causes[0] == "moved"
        assert len(causes) == 2


class TestPlannedStop:
    def test_cuts_off_nothing_that_ends_within_its_grace(self) -> None:
        """Guards against a planned restart that cuts off accepted requests.

        An operator restarts a gateway that serves a chat and a booking. Both
        get their whole answers; later requests are refused as not run, with
        another entry to use and a retry delay.
        """

        async def story(stack: Stack) -> tuple[Response, Response, int]:
            stack.service.faults = {"slow": 0.5}
            path = "/v1/services/booking/bookings"
            key = (("idempotency-key", "wheel-1"),)
            chat = asyncio.create_task(
                stack.call("POST", CHAT, make_chat(PROMPT, 60))
            )
            booking = asyncio.create_task(
                stack.call("POST", path, b"x", headers=key)
            )
            await stack.wait_answer()
            await asyncio.sleep(0.1)
            await stack.gateways[0].leave(10.0)
            runs = stack.service.runs["pottery/wheel-1"]
            return await chat, await booking, runs

        chat, booking, runs = play(story, gateways=2, options=SLOW)
        assert pick_text(chat)
        assert booking.status == 200
        assert runs == 1
