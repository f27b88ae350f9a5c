"""Streams that leave a runner before it goes."""

import asyncio
from random import Random
from typing import Any

import pytest
from forwarding_stack import (
    Stack,
    make_prompt,
    play,
    wait_until,
)

from lagoonpost.http.client import CallFailedError
from lagoonpost.http.message import Address, Response
from lagoonpost.systems.migration import (
    MIGRATION_LEAD_SECONDS,
    MIN_PROMPT_TOKENS,
    Candidate,
    choose_target,
    compute_migration_delay,
    is_worth_migrating,
)
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost_standins.forwarded import ForwardedRunner, make_event

EVENTS = 60
EVENT_SECONDS = 0.05


def make_stream(path: str) -> bytes:
    return b"".join(make_event(path, n) for n in range(1, EVENTS + 1))


def slow_down(stack: Stack) -> None:
    """Let each stream take three seconds."""
    for runner in stack.runners.values():
        runner.pause = EVENT_SECONDS
        runner.events = EVENTS


async def find_busy(stack: Stack) -> ForwardedRunner:
    runners = stack.runners.values()
    await wait_until(lambda: any(r._stopped for r in runners))
    return next(r for r in runners if r._stopped)


async def reclaim(stack: Stack, runner: ForwardedRunner, **more: Any) -> None:
    """Tell that a runner goes, and let it go when it said."""
    notice = {"spot": True, "state": "draining", "leaves_ms": 1300} | more
    await stack.register(runner.id, **notice)
    await asyncio.sleep(1.3)
    await runner.close()


async def play_reclaim(
    stack: Stack, path: str, **more: Any
) -> Response | CallFailedError:
    """Reclaim the runner that works on a stream; return what came of it."""
    call = asyncio.create_task(
        stack.call(
            path,
            "POST",
            headers=(*make_prompt(MIN_PROMPT_TOKENS), ("attempt-id", "a-1")),
        )
    )
    runner = await find_busy(stack)
    await reclaim(stack, runner, **more)
    try:
        return await call
    except CallFailedError as error:
        return error


class TestReclaim:
    @pytest.mark.parametrize("path", ["/reply/1", "/draft/1"])
    def test_a_stream_outlives_its_runner(self, path: str):
        """A runner is reclaimed in the middle of a draft of three seconds.

        The draft may run only once, so that it was lost with its runner,
        or it was read and made again at another one.
        """

        async def story(stack: Stack):
            slow_down(stack)
            answer = await play_reclaim(stack, path)
            return answer, stack.count_runs("a-1")

        answer, runs = play(story)
        assert isinstance(answer, Response)
        assert answer.body == make_stream(path)
        assert runs == 1

    def test_many_streams_at_once(self):
        """All drafts of a runner are in the middle when it is reclaimed."""

        async def story(stack: Stack):
            slow_down(stack)
            calls = [
                asyncio.create_task(
                    stack.call("/reply/1", "POST", headers=make_prompt())
                )
                for _ in range(10)
            ]
            runner = await find_busy(stack)
            await wait_until(
                lambda: (
                    sum(r.runs.total() for r in stack.runners.values()) == 10
                )
            )
            await reclaim(stack, runner)
            return [answer.body for answer in await asyncio.gather(*calls)]

        bodies = play(story, chat=3)
        assert bodies == [make_stream("/reply/1")] * 10

    def test_a_runner_whose_entry_goes_without_a_notice(self):
        """Some runners never say that they leave: their entry is deleted.

        They serve on for the usual time, and are gone.
        """

        async def story(stack: Stack):
            slow_down(stack)
            call = asyncio.create_task(
                stack.call("/reply/1", "POST", headers=make_prompt())
            )
            runner = await find_busy(stack)
            await stack.store.delete("servers", runner.id)
            await asyncio.sleep(1.6)
            await runner.close()
            return (await call).body

        assert play(story) == make_stream("/reply/1")

    def test_what_ends_within_the_notice_is_not_moved(self):
        async def story(stack: Stack):
            slow_down(stack)
            for runner in stack.runners.values():
                runner.events = 10
            answer = await play_reclaim(stack, "/reply/1", leaves_ms=5000)
            seen = [s for r in stack.runners.values() for s in r.seen]
            return answer, len(seen)

        answer, seen = play(story)
        assert answer.status == 200
        assert seen == 1

    def test_a_runner_that_came_back_keeps_its_streams(self):
        """A runner crashes: its entry goes, and comes back under its id.

        The streams that it got then were moved away as they began, as it
        was still held to be about to go.
        """

        async def story(stack: Stack):
            slow_down(stack)
            belief = stack.gateways[0].view
            await stack.store.delete("servers", "chat-1")
            await wait_until(lambda: not belief.is_known("chat-1"))
            await stack.register("chat-1", born=2000)
            await wait_until(lambda: belief.is_known("chat-1"))
            # Whatever is moved is lost at the other one.
            stack.runners["chat-2"].fault = "full"
            return await stack.call("/reply/1", "POST", headers=make_prompt())

        assert play(story).body == make_stream("/reply/1")


class TestFailedMoves:
    @pytest.mark.parametrize("fault", ["no_run", "busy", "no_room"])
    def test_a_runner_that_does_not_copy_goes_on(self, fault: Any):
        """The copy is refused; the runner stays a little longer than said.

        The stream goes on where it is, and the caller sees nothing of it.
        """

        async def story(stack: Stack):
            slow_down(stack)
            call = asyncio.create_task(
                stack.call("/reply/1", "POST", headers=make_prompt())
            )
            runner = await find_busy(stack)
            runner.move_fault = fault
            await stack.register(
                runner.id, spot=True, state="draining", leaves_ms=1100
            )
            return (await call).body

        assert play(story) == make_stream("/reply/1")

    def test_a_stop_without_an_answer_is_no_whole_answer(self):
        """The runner stops the run, and its answer to that is lost.

        Nobody knows from where it could go on. The caller must see that
        its answer is not whole, and the run must not begin anew.
        """

        async def story(stack: Stack):
            slow_down(stack)
            for runner in stack.runners.values():
                runner.move_fault = "stop_unanswered"
            answer = await play_reclaim(stack, "/reply/1")
            return answer, stack.count_runs("a-1")

        answer, runs = play(story)
        assert isinstance(answer, CallFailedError)
        assert runs == 1

    def test_a_target_that_takes_nothing(self):
        """The run is stopped and copied, and the other runner refuses it."""

        async def story(stack: Stack):
            slow_down(stack)
            call = asyncio.create_task(
                stack.call(
                    "/reply/1",
                    "POST",
                    headers=(*make_prompt(), ("attempt-id", "a-1")),
                )
            )
            runner = await find_busy(stack)
            stack.set_fault("full", "chat")
            await reclaim(stack, runner)
            with pytest.raises(CallFailedError):
                await call
            return stack.count_runs("a-1")

        assert play(story) == 1

    def test_a_caller_that_leaves_frees_the_copies(self):
        """A caller closes its connection while its draft is being moved.

        The copy would keep a place and memory at the other runner.
        """

        async def story(stack: Stack):
            slow_down(stack)
            call = await stack.open("/reply/1", make_prompt())
            await call.receive_head()
            runner = await find_busy(stack)
            runner.move_fault = "stop_unanswered"
            handle_answer = runner._move

            async def copy_and_leave(request: Any, responder: Any) -> None:
                runner._move = handle_answer  # type: ignore[method-assign]
                await handle_answer(request, responder)
                call.close()

            runner._move = copy_and_leave  # type: ignore[method-assign]
            await stack.register(
                runner.id, spot=True, state="draining", leaves_ms=100
            )
            await wait_until(lambda: bool(runner.freed))

        play(story)


class TestDecisions:
    def make_place(
        self, name: str, running: int = 0, suspect: bool = False, **more: Any
    ) -> Candidate:
        row = Endpoint(name, "chat", Address("", 1), "domain", "v1", 8)
        return Candidate(row._replace(**more), running, suspect)

    def choose(self, *places: Candidate) -> str | None:
        source = self.make_place("source").endpoint
        target = choose_target(places, source, Random(1))
        return target.id if target else None

    def test_the_least_busy_of_the_same_version(self):
        assert (
            self.choose(
                self.make_place("source"),
                self.make_place("other", 1, version="v2"),
                self.make_place("suspect", 2, suspect=True),
                self.make_place("busy", 7),
                self.make_place("best", 3),
            )
            == "best"
        )

    def test_none_has_room(self):
        assert self.choose(self.make_place("full", 8)) is None

    def test_as_late_as_is_safe(self):
        assert compute_migration_delay(
            MIGRATION_LEAD_SECONDS + 5.0, 3.0
        ) == pytest.approx(2.0)
        assert compute_migration_delay(3.1, 3.0) == 0.0

    def test_what_is_read_again_soon_is_not_moved(self):
        assert is_worth_migrating(False, 10)
        assert is_worth_migrating(True, MIN_PROMPT_TOKENS)
        assert not is_worth_migrating(True, MIN_PROMPT_TOKENS - 1)
