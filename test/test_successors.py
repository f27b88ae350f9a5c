"""Tests for streams of silent runners that another one may take over."""

from collections.abc import Callable

import pytest
from forwarding_stack import Stack, make_prompt, play, wait_until
from test_statuses import make_stream

from lagoonpost.forwarding import relay
from lagoonpost.http.client import CallFailedError
from lagoonpost.http.message import Request, Response
from lagoonpost_standins import runner as standin
from lagoonpost_standins.runner import RunnerStandin

IDLE_SECONDS = 0.2
PAUSE_SECONDS = 1.0
"""Silence of the first runner, after which it goes on."""
ATTEMPT = "a-1"
Prepare = Callable[[RunnerStandin], None]


class Played:
    """What came of a stream whose first runner fell silent midway.

    Attributes:
        answer: What the caller got.
        first: The runner that fell silent.
        other: The other one.
    """

    answer: Response | CallFailedError
    first: RunnerStandin
    other: RunnerStandin


@pytest.fixture(autouse=True)
def short_times(monkeypatch) -> None:
    monkeypatch.setattr(relay, "STREAM_IDLE_TIMEOUT_SECONDS", IDLE_SECONDS)
    monkeypatch.setattr(standin, "PAUSE_SECONDS", PAUSE_SECONDS)


def play_silence(prepare: Prepare, fault: str = "pause_midway") -> Played:
    """Play a stream whose first runner falls silent midway.

    Args:
        prepare: Prepares the other runner, once the first one has begun.
        fault: What the first runner does in the middle of the stream.
    """
    played = Played()

    async def scenario(stack: Stack) -> None:
        runners = [stack.runners["chat-1"], stack.runners["chat-2"]]

        def note(runner: RunnerStandin) -> Callable[[Request], None]:
            def answer(request: Request) -> None:
                if hasattr(played, "first"):
                    return
                (other,) = (each for each in runners if each is not runner)
                played.first, played.other = runner, other
                runner.fault = fault  # type: ignore[assignment]
                prepare(other)

            return answer

        for runner in runners:
            runner.make_raw_answer = note(runner)
        headers = (*make_prompt(), ("attempt-id", ATTEMPT))
        try:
            played.answer = await stack.call(
                "/draft/1", "POST", b"{}", headers=headers
            )
        except CallFailedError as error:
            played.answer = error

    play(scenario)
    return played


def is_whole(played: Played) -> bool:
    answer = played.answer
    if not isinstance(answer, Response):
        return False
    return answer.status == 200 and answer.body == make_stream("/draft/1")


def set_full(runner: RunnerStandin) -> None:
    runner.fault = "full"


def set_unreachable(runner: RunnerStandin) -> None:
    runner._server._server.close()


def set_resetting(runner: RunnerStandin) -> None:
    runner.fault = "reset_after"


def set_foreign(runner: RunnerStandin) -> None:
    runner.make_raw_answer = lambda request: (
        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
    )


def set_slow(runner: RunnerStandin) -> None:
    runner.pause = 5 * PAUSE_SECONDS


class TestSilentRunners:
    @pytest.mark.parametrize(
        "prepare",
        [set_full, set_unreachable, set_resetting, set_foreign, set_slow],
    )
    def test_it_is_kept_until_another_goes_on(self, prepare):
        """Guards against streams that are cut as the next runner is full."""
        played = play_silence(prepare)
        assert is_whole(played)
        assert played.first.runs[ATTEMPT] == 1

    def test_a_run_that_is_too_late_is_ended(self):
        """Guards against two runners that work on one stream."""
        played = play_silence(set_slow)
        assert is_whole(played)
        assert played.other.cancelled == [ATTEMPT]

    def test_another_runner_goes_on(self):
        """Guards against streams that wait for a runner that is lost."""
        played = play_silence(lambda runner: None, "silent_midway")
        assert is_whole(played)
        assert played.other.runs[ATTEMPT] == 1
        assert played.first.cancelled == [ATTEMPT]

    def test_without_a_retry_it_is_waited_for(self, monkeypatch):
        """Guards against streams that are cut as the budget is used up."""

        async def refuse(self: object, service: str) -> bool:
            return False

        monkeypatch.setattr(
            "lagoonpost.forwarding.retry_budgets.RetryBudgets.acquire", refuse
        )
        played = play_silence(lambda runner: None)
        assert is_whole(played)
        assert played.other.runs[ATTEMPT] == 0

    def test_a_runner_that_is_lost_for_good_ends_visibly(self):
        """Guards against a part of a stream that looks whole."""
        played = play_silence(set_full, "silent_midway")
        assert isinstance(played.answer, CallFailedError)

    def test_a_caller_that_leaves_ends_both_runs(self):
        """Guards against work for a caller that has left."""

        async def scenario(stack: Stack) -> list[int]:
            for runner in stack.runners.values():
                runner.fault = "silent_midway"
            first, other = stack.runners["chat-1"], stack.runners["chat-2"]
            headers = (*make_prompt(), ("attempt-id", ATTEMPT))
            for runner in (first, other):
                runner.make_raw_answer = lambda request, each=runner: set_slow(
                    other if each is first else first
                )
            stream = await stack.open("/draft/1", headers)
            await stream.receive_head()
            runners = (first, other)
            await wait_until(lambda: all(r.runs[ATTEMPT] for r in runners))
            stream.close()
            await wait_until(lambda: all(r.cancelled for r in runners))
            return [len(first.cancelled), len(other.cancelled)]

        assert play(scenario) == [1, 1]
