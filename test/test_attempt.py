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
    """Return how many failures a gateway counts against the version."""
    noted: list[bool] = []

    def note(self: VersionMoves, *args: object, **outcome: bool) -> None:
        noted.append(outcome["failed"])

    monkeypatch.setattr(VersionMoves, "record_attempt", note)

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
    return sum(noted)


class TestNoteFailure:
    def test_a_lost_runner_counts_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The host of a good version's runner dies under twenty drafts.

        Each of them fails. Counted one by one they would take the version
        back for what the cloud did.
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
