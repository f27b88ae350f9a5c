"""Tests of lagoonpost.gateway.attempt."""

import asyncio

import pytest
from stack import Stack, play

from lagoonpost.gateway.attempt import Attempt
from lagoonpost.gateway.moves import VersionMoves
from lagoonpost.tables.entity import Route, Runner
from lagoonpost.tables.request import RequestRow

ROUTE = Route("/chat", "draft", True, 1.9, 0.038)
RUNNER = Runner("e1", "127.0.0.1:1", "m", "v2", "h1", "d1")


def count_failures(
    kinds: list[str], leaving: bool, monkeypatch: pytest.MonkeyPatch
) -> int:
    """Return the number of failures recorded against the version."""
    recorded: list[bool] = []

    def record_attempt(
        self: VersionMoves, *args: object, **outcome: bool
    ) -> None:
        recorded.append(outcome["failed"])

    monkeypatch.setattr(VersionMoves, "record_attempt", record_attempt)

    async def story(stack: Stack) -> None:
        gateway = stack.gateways[0]._gateway
        now = asyncio.get_running_loop().time()
        row = RequestRow(
            "r", "w", "m", "/chat", "draft", 1, 1, (), "f", now, now + 9, True
        )
        if leaving:
            gateway.leaving_runners.add(RUNNER.name)
        for kind in kinds:
            Attempt(gateway, row, ROUTE).record_failure(RUNNER, kind)

    play(story, engines=1)
    return sum(recorded)


class TestNoteFailure:
    def test_a_lost_runner_counts_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against rolling back a good version after a host failure.

        A host fails while its runner serves twenty requests, and all of them
        fail with it. Counted one by one they would roll the version back.
        """
        assert count_failures(["lost"] * 20, False, monkeypatch) == 1

    def test_a_reclaimed_runner_counts_not_at_all(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        assert count_failures(["lost", "failed"], True, monkeypatch) == 0

    def test_errors_count_each_and_refusals_do_not(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        kinds = ["failed", "refused", "failed"]
        assert count_failures(kinds, False, monkeypatch) == 2
