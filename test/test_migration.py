"""Tests for the migration of streams away from departing runners."""

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
from lagoonpost_standins.runner import RunnerStandin, make_event

EVENTS = 60
EVENT_SECONDS = 0.05


def make_stream(path: str) -> bytes:
    return b"".join(make_event(path, n) for n in range(1, EVENTS + 1))


def slow_down(stack: Stack) -> None:
    """Make each stream take three seconds."""
    for runner in stack.runners.values():
        runner.pause = EVENT_SECONDS
        runner.events = EVENTS


async def wait_for_busy_runner(stack: Stack) -> RunnerStandin:
    runners = stack.runners.values()
    await wait_until(lambda: any(r._stopped for r in runners))
    return next(r for r in runners if r._stopped)


async def reclaim(stack: Stack, runner: RunnerStandin, **more: Any) -> None:
    """Announce that a runner leaves, and close it at the announced time."""
    notice = {"spot": True, "state": "draining", "leaves_ms": 1300} | more
    await stack.register(runner.id, **notice)
    await asyncio.sleep(1.3)
    await runner.close()


async def play_reclaim(
    stack: Stack, path: str, **more: Any
) -> Response | CallFailedError:
    """Reclaim the runner of a stream and return the stream's result."""
    call = asyncio.create_task(
        stack.call(
            path,
            "POST",
            headers=(*make_prompt(MIN_PROMPT_TOKENS), ("attempt-id", "a-1")),
        )
    )
    runner = await wait_for_busy_runner(stack)
    await reclaim(stack, runner, **more)
    try:
        return await call
    except CallFailedError as error:
        return error


class TestReclaim:
    @pytest.mark.parametrize("path", ["/reply/1", "/draft/1"])
    def test_a_stream_outlives_its_runner(self, path: str):
        """Guards against losing or repeating a stream at a reclaim.

        A runner is reclaimed in the middle of a stream of three seconds.
        Without migration, a stream that may run only once is lost, and any
        other one is generated again at another runner.
        """

        async def scenario(stack: Stack):
            slow_down(stack)
            answer = await play_reclaim(stack, path)
            return answer, stack.count_runs("a-1")

        answer, runs = play(scenario)
        assert isinstance(answer, Response)
        assert answer.body == make_stream(path)
        assert runs == 1

    def test_many_streams_at_once(self):
        """Guards against losing streams when many are moved at once."""

        async def scenario(stack: Stack):
            slow_down(stack)
            calls = [
                asyncio.create_task(
                    stack.call("/reply/1", "POST", headers=make_prompt())
                )
                for _ in range(10)
            ]
            runner = await wait_for_busy_runner(stack)
            await wait_until(
                lambda: (
                    sum(r.runs.total() for r in stack.runners.values()) == 10
                )
            )
            await reclaim(stack, runner)
            return [answer.body for answer in await asyncio.gather(*calls)]

        bodies = play(scenario, chat=3)
        assert bodies == [make_stream("/reply/1")] * 10

    def test_a_runner_whose_entry_goes_without_a_notice(self):
        """Guards against moving only the streams of runners with a notice.

        Some runners never announce that they leave. Their entry is deleted,
        and they serve for the configured drain time before they exit.
        """

        async def scenario(stack: Stack):
            slow_down(stack)
            call = asyncio.create_task(
                stack.call("/reply/1", "POST", headers=make_prompt())
            )
            runner = await wait_for_busy_runner(stack)
            await stack.store.delete("servers", runner.id)
            await asyncio.sleep(1.6)
            await runner.close()
            return (await call).body

        assert play(scenario) == make_stream("/reply/1")

    def test_what_ends_within_the_notice_is_not_moved(self):
        async def scenario(stack: Stack):
            slow_down(stack)
            for runner in stack.runners.values():
                runner.events = 10
            answer = await play_reclaim(stack, "/reply/1", leaves_ms=5000)
            seen = [s for r in stack.runners.values() for s in r.received]
            return answer, len(seen)

        answer, seen = play(scenario)
        assert answer.status == 200
        assert seen == 1

    def test_a_runner_that_came_back_keeps_its_streams(self):
        """Guards against moving streams off a runner that has returned.

        A runner crashes, and its entry is deleted and written again under
        the same id. If the runner still counts as departing, its new streams
        are moved as soon as they start.
        """

        async def scenario(stack: Stack):
            slow_down(stack)
            view = stack.gateways[0].view
            await stack.store.delete("servers", "chat-1")
            await wait_until(lambda: not view.is_known("chat-1"))
            await stack.register("chat-1", born=2000)
            await wait_until(lambda: view.is_known("chat-1"))
            # A stream that is moved is lost at the other runner.
            stack.runners["chat-2"].fault = "full"
            return await stack.call("/reply/1", "POST", headers=make_prompt())

        assert play(scenario).body == make_stream("/reply/1")


class TestFailedMoves:
    @pytest.mark.parametrize("fault", ["no_run", "busy", "no_room"])
    def test_a_runner_that_does_not_copy_goes_on(self, fault: Any):
        """Guards against harming a stream whose copy is refused.

        The runner stays a little longer than announced. The stream continues
        there, and the caller notices nothing.
        """

        async def scenario(stack: Stack):
            slow_down(stack)
            call = asyncio.create_task(
                stack.call("/reply/1", "POST", headers=make_prompt())
            )
            runner = await wait_for_busy_runner(stack)
            runner.move_fault = fault
            await stack.register(
                runner.id, spot=True, state="draining", leaves_ms=1100
            )
            return (await call).body

        assert play(scenario) == make_stream("/reply/1")

    def test_a_stop_without_an_answer_aborts_the_stream(self):
        """Guards against an incomplete answer that appears complete.

        The runner stops the run, but its answer to the stop is lost, and the
        runner that holds the copy refuses it. The caller must detect that its
        answer is incomplete, and the run must not start again.
        """

        async def scenario(stack: Stack):
            slow_down(stack)
            for runner in stack.runners.values():
                runner.move_fault = "stop_unanswered"
            reclaimed = play_reclaim(stack, "/reply/1")
            task = asyncio.create_task(reclaimed)
            await wait_for_busy_runner(stack)
            stack.set_fault("full", "chat")
            return await task, stack.count_runs("a-1")

        answer, runs = play(scenario)
        assert isinstance(answer, CallFailedError)
        assert runs == 1

    def test_a_target_that_refuses_the_run(self):
        """Guards against a second run when the target refuses a copied run."""

        async def scenario(stack: Stack):
            slow_down(stack)
            call = asyncio.create_task(
                stack.call(
                    "/reply/1",
                    "POST",
                    headers=(*make_prompt(), ("attempt-id", "a-1")),
                )
            )
            runner = await wait_for_busy_runner(stack)
            stack.set_fault("full", "chat")
            await reclaim(stack, runner)
            with pytest.raises(CallFailedError):
                await call
            return stack.count_runs("a-1")

        assert play(scenario) == 1

    def test_a_caller_that_leaves_frees_the_copies(self):
        """Guards against copies that are never freed.

        A caller closes its connection while its draft is being moved. The
        copy would keep occupying a slot and memory at the other runner.
        """

        async def scenario(stack: Stack):
            slow_down(stack)
            call = await stack.open("/reply/1", make_prompt())
            await call.receive_head()
            runner = await wait_for_busy_runner(stack)
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
            await wait_until(lambda: bool(runner.freed_handles))

        play(scenario)


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

    def test_no_runner_has_a_free_slot(self):
        assert self.choose(self.make_place("full", 8)) is None

    def test_a_move_starts_as_late_as_is_safe(self):
        assert compute_migration_delay(
            MIGRATION_LEAD_SECONDS + 5.0, 3.0
        ) == pytest.approx(2.0)
        assert compute_migration_delay(3.1, 3.0) == 0.0

    def test_short_idempotent_prompts_are_not_moved(self):
        assert is_worth_migrating(False, 10)
        assert is_worth_migrating(True, MIN_PROMPT_TOKENS)
        assert not is_worth_migrating(True, MIN_PROMPT_TOKENS - 1)
