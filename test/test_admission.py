"""Admission in simulation: saturation, and one heavy workspace."""

from random import Random

import pytest

from bench.baseline import BASELINES, Baseline
from bench.cases import (
    CAPACITY,
    CHECK,
    LIGHT,
    RUNNERS,
    SLOTS,
    compute_answer_p95,
    compute_good_share,
    goodput,
    is_admitted,
    play_checks,
    play_heavy,
)
from bench.player import Player
from bench.workload import draw_arrivals, make_declaration

SEEDS = (3, 4, 5)
FIRST_COME = {"decider": BASELINES["first_come"], "tables": Baseline}


class TestSaturation:
    """Guards against late answers from a service at full capacity.

    Requests exceed the capacity for a long time. A queue without refusals
    grows, and every answer starts after its deadline.
    """

    @pytest.mark.parametrize("overload", [1.2, 2.0, 5.0])
    def test_goodput_and_admitted_targets(self, overload):
        played = [play_checks({"w": overload}, seed) for seed in SEEDS]
        assert sum(map(goodput, played)) / 3 >= 0.95
        admitted = [o for out in played for o in out if is_admitted(o)]
        assert compute_good_share(admitted) >= 0.95

    @pytest.mark.parametrize("name", BASELINES)
    def test_baselines_collapse(self, name):
        options = {"decider": BASELINES[name], "tables": Baseline}
        assert goodput(play_checks({"w": 2.0}, 3, **options)) < 0.5

    @pytest.mark.parametrize("overload", [1.2, 2.0])
    def test_gateways_apart_come_within_a_tenth(self, overload):
        one, five = (
            [
                goodput(play_checks({"w": overload}, seed, gateways=count))
                for seed in SEEDS
            ]
            for count in (1, 5)
        )
        assert sum(five) >= 0.9 * sum(one)

    def test_service_is_normal_seconds_after_overload(self):
        """Guards against refusals that continue after an overload has ended.

        For five seconds three times the capacity arrives, from callers that
        retry at once and ignore the retry delay. A long queue would persist
        after they have stopped.
        """
        player = Player(make_declaration(RUNNERS, SLOTS))
        rush = CHECK._replace(retries_at_once=True)
        calls = draw_arrivals(Random(1), CAPACITY * 3, 0.0, 5.0, rush)
        calls += draw_arrivals(Random(2), CAPACITY * 0.5, 0.0, 25.0, CHECK)
        player.schedule(8.0, player.stop_retries)
        outcomes = player.play(calls, 80.0)
        assert (
            compute_good_share(o for o in outcomes if o.arrived >= 10.0)
            >= 0.99
        )


class TestSlowSpell:
    """Guards against a service that refuses all requests with idle runners.

    All runners are slow for a while, and every answer starts after its
    deadline. The latency learned then predicts that no deadline can be met.
    If all requests are refused for it, no answer corrects the prediction.
    """

    def test_service_recovers(self):
        player = Player(make_declaration(RUNNERS, SLOTS))
        for fake in player.runners.values():
            fake.slowdown = lambda now, _: 30.0 if 3.0 <= now < 8.0 else 1.0
        calls = draw_arrivals(Random(1), CAPACITY * 0.5, 0.0, 30.0, CHECK)
        outcomes = player.play(calls, 120.0)
        assert (
            compute_good_share(o for o in outcomes if o.arrived >= 13.0)
            >= 0.99
        )


class TestHeavyWorkspace:
    """Guards against delays by a workspace that sends ten times its share."""

    def test_others_keep_their_answers(self):
        for seed in (1, 2, 3):
            without = play_checks(LIGHT, seed)
            beside = play_heavy(seed)
            assert compute_answer_p95(beside) <= 1.2 * compute_answer_p95(
                without
            )
            assert compute_good_share(beside) >= 0.99

    def test_first_come_sets_everyone_back(self):
        assert compute_good_share(play_heavy(1, **FIRST_COME)) < 0.5

    def test_idle_share_is_lent_out(self):
        assert goodput(play_checks({"heavy": 2.0, "w1": 0.1}, 1)) >= 0.95
