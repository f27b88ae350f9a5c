"""Tests of lagoonpost.gateway.departure: gateways that leave."""

import asyncio
from typing import Any

import msgspec
from stack import CHAT, FAST, Stack, make_chat, play
from test_gateway import PROMPT, pick_text

from lagoonpost.caller.client import Ended, Resumed, Token, parse_location
from lagoonpost.http.message import Response

SLOW = FAST._replace(token_rate=100.0)
TOKENS = 120


async def draft(stack: Stack, at: int, act: Any) -> tuple[str, list[Any]]:
    """Stream a draft and run ``act`` once behind token ``at``."""
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
        """A gateway's host is reclaimed under a long draft.

        Its caller is told where to go on, gets the rest there, and the
        runner computes nothing twice.
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
        assert isinstance(end, Ended)
        assert recomputed == 0

    def test_a_waiting_caller_is_sent_to_the_peer_that_has_its_answer(
        self,
    ) -> None:
        """A caller who waits for a whole answer has its gateway reclaimed.

        It gets a redirect instead of a cut connection, and the peer gives
        the whole answer, from the runner that goes on with it.
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
        """The gateway's host and the runner's are reclaimed together.

        The peer was handed the request and its tokens so far, so that it
        goes on with another runner although the first one is gone.
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
        """The peer that took a draft over dies before its caller comes.

        The caller finds nobody there, and goes on at a third gateway by
        what it holds itself: the last event id and the tokens so far.
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
        """An operator restarts a gateway under a draft and a booking.

        Both were accepted, so both get their whole answers; what comes
        after is refused as not run, with where and when to come back.
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
