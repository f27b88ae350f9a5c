"""Draws of runners: what callers get when counts of open work are late."""

from random import Random

import pytest

from bench.draws import Play, play
from lagoonpost.cli.explain import REQUEST_TYPE, LogLine, explain_request
from lagoonpost.systems.placement import Placement, PlacementRequest
from lagoonpost.systems.reach import DIRECT_PATH, LOST_RANK, Path
from lagoonpost.systems.session_affinity import rank_by_session
from lagoonpost.tables.address import Address
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.gateway_report import RunnerWork
from lagoonpost.tables.metadata import PromptPart
from lagoonpost.tables.scheduling import NO_PARTS, Scheduling

DRAWS = Scheduling(draws=True)
RUNNERS = [
    Endpoint(f"i-{n}", "chat", Address("h", n), "a", "v1", 8)
    for n in range(40)
]
PROMPT = PlacementRequest("chat", 3000, (PromptPart("own", 3000),), True)
SESSION = PlacementRequest(
    "chat", 9000, (PromptPart("s", 6000), PromptPart("own", 3000)), True
)
CHECK = PlacementRequest("chat", 0, (), False)


def make_placement() -> Placement:
    placement = Placement()
    placement.scheduling = DRAWS
    return placement


def list_choices(placement: Placement, wanted: PlacementRequest, **options):
    choices = [
        placement.choose(RUNNERS, wanted, 0.0, Random(seed), **options)
        for seed in range(40)
    ]
    return {choice.endpoint.id for choice in choices if choice}


class TestDraws:
    """Guards against gateways that all choose the same runner.

    Between two reports, the runner with the least counted work gets the
    requests of all gateways.
    """

    @pytest.mark.parametrize(
        ("case", "least", "gain"),
        [
            (Play(72, 36, 0.6, seconds=4.0), 0.97, 0.4),
            (Play(72, 36, 0.85, seconds=4.0), 0.88, 0.3),
            (Play(72, 36, 0.85, sessions=1500, seconds=4.0), 0.85, 0.1),
            (Play(82, 24, 0.8, False, seconds=2.0), 0.92, 0.1),
        ],
    )
    def test_more_answers_begin_in_time(self, case, least, gain):
        drawn = play(case, DRAWS).in_time
        assert drawn > least
        assert drawn > play(case, NO_PARTS).in_time + gain


class TestDrawnRunners:
    def test_the_home_is_compared(self):
        """Guards against prompts read again far from their session's home."""
        home = rank_by_session(RUNNERS, SESSION.parts)[0].id
        assert list_choices(make_placement(), SESSION) == {home}

    @pytest.mark.parametrize("wanted", [PROMPT, CHECK])
    def test_the_only_reachable_runner_is_chosen(self, wanted):
        """Guards against a draw that hides the only runner with a path."""
        lost = Path(False, LOST_RANK)
        paths = {each.id: lost for each in RUNNERS} | {"i-7": DIRECT_PATH}
        chosen = list_choices(make_placement(), wanted, paths=paths)
        assert chosen == {"i-7"}

    def test_the_only_free_runner_is_compared(self):
        """Guards against refusals by full runners while one is free."""
        placement = make_placement()
        full = {each.id: RunnerWork(8, 9000) for each in RUNNERS[1:]}
        placement.update_from_peers(full)
        assert list_choices(placement, PROMPT) == {"i-0"}

    def test_what_was_compared_is_told(self):
        choice = make_placement().choose(RUNNERS, PROMPT, 0.0, Random(1))
        assert choice is not None
        assert 2 <= len(choice.compared) <= 3
        assert choice.endpoint.id in dict(choice.compared)

    def test_explain_tells_what_was_compared(self):
        fields = dict.fromkeys(("route", "workspace", "version"), "")
        fields |= {"request": "r", "outcome": "answered", "status": 200}
        fields |= {
            "took": 0.1,
            "steps": ["compared i-1=0.120 i-2=0.340", "homes 3"],
        }
        lines = [LogLine("a.log", 1.0, REQUEST_TYPE, fields)]
        assert "i-1=0.120, i-2=0.340" in "\n".join(explain_request("r", lines))
