"""Tests of answers that return to a runner they moved away from."""

import asyncio
from collections.abc import AsyncGenerator, Mapping, Sequence
from typing import Any

import pytest
from played_loop import play_time

from lagoonpost.http.client import Client
from lagoonpost.http.message import Address
from lagoonpost.runners import answer as answer_module
from lagoonpost.runners.answer import Completed, Generation, relay_answer
from lagoonpost.runners.engine import Refusal
from lagoonpost.systems.relay import Relay, step
from lagoonpost.systems.relay_event import (
    Arrived,
    AttemptFailed,
    Emit,
    FailureKind,
    Opened,
    Placed,
)
from lagoonpost.tables.entity import Runner
from lagoonpost_standins.engine_batch import Answer

TOKENS = 40
TOKEN_SECONDS = 0.05
CANCEL_SECONDS = 0.8
BODY = {"messages": [{"role": "user", "content": "a"}], "max_tokens": TOKENS}
HOME = Runner("home", "127.0.0.1:1", "chat", "v1", "host", "a")
FULL = Runner("full", "127.0.0.1:2", "chat", "v1", "host", "a")


class Stream:
    """Streams the events of a run, or nothing while it is silent."""

    def __init__(self, run: Answer, silent: bool) -> None:
        self._run = run
        self._silent = silent
        self._closed = asyncio.Event()

    async def __aenter__(self) -> "Stream":
        return self

    async def __aexit__(self, *error: object) -> None:
        self.close()

    def close(self) -> None:
        self._closed.set()

    async def parts(self) -> AsyncGenerator[bytes, None]:
        if self._silent:
            await self._closed.wait()
        while not self._run.ended and not self._closed.is_set():
            await asyncio.sleep(TOKEN_SECONDS)
            sent = len(self._run.events)
            self._run.generate(1)
            yield b"".join(self._run.events[sent:])


class Engines:
    """Two runners: the first run of one is silent, the other one is full.

    Cancellations arrive late and identify only the request, not the run.
    """

    def __init__(self) -> None:
        self.runs: list[Answer] = []
        self.cancelled: list[Answer] = []

    async def open(
        self,
        client: Client,
        address: Address,
        request_id: str,
        body: Mapping[str, object],
        tokens: Sequence[str],
        priority: int,
        version: str = "",
        attempt: str = "",
    ) -> Stream | Refusal:
        if address.port == 2:
            return Refusal(503, "not_run", "full")
        payload = {**body, "continue_tokens": list(tokens)}
        self.runs.append(Answer(request_id, payload))
        return Stream(self.runs[-1], silent=len(self.runs) == 1)

    async def resume(self, *call: Any) -> Refusal:
        return Refusal(404, "unknown", "no such stream")

    async def cancel(self, *call: Any) -> bool:
        await asyncio.sleep(CANCEL_SECONDS)
        self.runs[-1].ended = True
        self.cancelled.append(self.runs[-1])
        return True


class TestComeback:
    def test_the_run_that_came_back_is_not_cancelled(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a late cancellation that ends the next run."""
        engines = Engines()
        monkeypatch.setattr(answer_module, "open_answer", engines.open)
        monkeypatch.setattr(answer_module, "resume_answer", engines.resume)
        monkeypatch.setattr(answer_module, "cancel_answer", engines.cancel)

        async def place(failed: Runner, kind: FailureKind) -> Runner:
            return FULL if failed is HOME else HOME

        async def run() -> list[object]:
            generation = Generation("r", BODY)
            answer = relay_answer(generation, HOME, place, Client())
            return [outcome async for outcome in answer]

        outcomes = play_time(run())
        assert isinstance(outcomes[-1], Completed)
        silent, whole = engines.runs
        assert engines.cancelled == [silent]
        assert len(whole.tokens) == TOKENS

    def test_tokens_of_the_run_before_are_dropped(self) -> None:
        """Guards against mixing the tokens of two runs of one runner."""
        relay = Relay([])
        step(relay, Placed(HOME))
        step(relay, Opened(1))
        step(relay, Arrived(1, 0, ["a0"]))
        for runner in (FULL, HOME):
            step(relay, AttemptFailed(relay.attempt, "lost", "unknown"))
            step(relay, Placed(runner))
        step(relay, Opened(3))
        assert step(relay, Arrived(1, 1, ["a1"])) == []
        assert step(relay, Arrived(3, 1, ["b1"])) == [Emit(1, ["b1"])]
