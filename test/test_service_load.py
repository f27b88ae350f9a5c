"""Measured load of a service over all gateways."""

import math
from types import SimpleNamespace

import pytest
from test_placement import make_draft, make_runners

from lagoonpost.systems.placement import Placement
from lagoonpost.systems.service_load import (
    count_work,
    find_objectives,
    measure_load,
)
from lagoonpost.tables.configuration import TrafficShare
from lagoonpost.tables.gateway_report import RunnerWork

RUNNERS = make_runners(4)
OBJECTIVE = 0.5


def make_placement(requests: int, tokens: int) -> Placement:
    placement = Placement()
    placement.unloaded_paces["chat"] = 1e-4
    work = RunnerWork(requests, tokens)
    placement.update_from_peers({runner.id: work for runner in RUNNERS})
    return placement


class TestMeasureLoad:
    def test_prompts_that_wait_too_long_make_a_service_short(self):
        load = measure_load("chat", RUNNERS, make_placement(2, 3000), 0.5)
        assert load.rate == pytest.approx(40_000)
        assert load.pressure == pytest.approx(2.0)

    @pytest.mark.parametrize(("requests", "short"), [(5, False), (8, True)])
    def test_a_service_without_free_slots_is_short(self, requests, short):
        """Guards against runners full of long answers that look idle."""
        placement = make_placement(requests, 0)
        load = measure_load("chat", RUNNERS, placement, OBJECTIVE)
        assert (load.pressure >= 1.0) == short

    def test_a_pace_that_is_not_known_yet_is_no_shortage(self):
        """Guards against a gateway that has just started."""
        placement = make_placement(2, 1_000_000)
        placement.unloaded_paces.clear()
        load = measure_load("chat", RUNNERS, placement, OBJECTIVE)
        assert load == (0.0, math.inf)

    def test_no_runners_are_nothing_to_divide(self):
        assert measure_load("chat", [], Placement(), 0.5).pressure == 0.0


class TestFindObjectives:
    def test_the_tightest_route_counts(self):
        routes = [
            SimpleNamespace(
                shares=(TrafficShare(service, 1.0),), target=target
            )
            for service, target in (
                ("chat", 2.0),
                ("chat", 0.8),
                ("desk", 0.1),
            )
        ]
        assert find_objectives(routes) == {"chat": 0.8, "desk": 0.1}


class TestCountWork:
    def test_parts_that_its_home_has_cached_are_no_work(self):
        draft = make_draft("session")
        assert count_work(draft.prompt, draft.parts) == 2900

    def test_a_plain_request_is_one_unit(self):
        assert count_work(0, ()) == 1
