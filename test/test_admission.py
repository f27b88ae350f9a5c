"""Admission, played: saturation, and one workspace that takes it all."""

from random import Random

import pytest
from baselines import BASELINES, Baseline

from bench.player import (
    PREFILL_SECONDS,
    TOKEN_SECONDS,
    Call,
    Player,
    capacity,
    draw_arrivals,
    find_quantile,
    make_declaration,
)

CHECK = Call(0.0, prompt=200, output=50)
RUNNERS = 6
SLOTS = 8
CAPACITY = capacity(RUNNERS, SLOTS, CHECK)
SECONDS = 15.0
WARM = 3.0
LIGHT = {f"w{i}": 0.15 for i in range(1, 5)}


def play(rates, seed, **options):
    """Play workspaces' rates, given as parts of the capacity."""
    declaration = make_declaration(
        RUNNERS, SLOTS, weights=dict.fromkeys(rates, 1.0)
    )
    player = Player(declaration, seed, **options)
    calls = []
    for index, (workspace, rate) in enumerate(rates.items()):
        call = CHECK._replace(workspace=workspace)
        rng = Random(seed * 100 + index)
        calls += draw_arrivals(rng, CAPACITY * rate, 0.0, SECONDS, call)
    outcomes = player.play(calls, SECONDS + 40)
    return [o for o in outcomes if o.arrived >= WARM]


def goodput(outcomes):
    """Return the part of the capacity that went into good answers."""
    seconds = sum(
        o.call.prompt * PREFILL_SECONDS + o.call.output * TOKEN_SECONDS
        for o in outcomes
        if o.good
    )
    return seconds / (SECONDS - WARM) / (RUNNERS * SLOTS)


def is_admitted(outcome):
    return outcome.refused is None or outcome.refused > outcome.arrived


class TestSaturation:
    """Callers get late answers from a service that works at full speed.

    Requests arrive at more than capacity for long. A queue without refusal
    grows, and every answer is begun after its caller's target.
    """

    @pytest.mark.parametrize("overload", [1.2, 2.0, 5.0])
    def test_goodput_and_admitted_targets(self, overload):
        played = [play({"w": overload}, seed) for seed in (3, 4, 5)]
        assert sum(map(goodput, played)) / 3 >= 0.95
        admitted = [o for out in played for o in out if is_admitted(o)]
        good = sum(o.good for o in admitted)
        assert good >= 0.95 * len(admitted)

    @pytest.mark.parametrize("name", BASELINES)
    def test_baselines_collapse(self, name):
        options = {"decider": BASELINES[name], "tables": Baseline}
        assert goodput(play({"w": 2.0}, 3, **options)) < 0.5

    @pytest.mark.parametrize("overload", [1.2, 2.0])
    def test_gateways_apart_come_within_a_tenth(self, overload):
        one = [goodput(play({"w": overload}, s)) for s in (3, 4, 5)]
        five = [
            goodput(play({"w": overload}, s, gateways=5)) for s in (3, 4, 5)
        ]
        assert sum(five) >= 0.9 * sum(one)

    def test_service_is_normal_seconds_after_overload(self):
        """Callers still get refused after a rush has ended.

        For five seconds three times the capacity arrives, from callers that
        come back at once whatever they are told. Had a queue piled up, it
        would go on when they have stopped.
        """
        player = Player(make_declaration(RUNNERS, SLOTS))
        rush = CHECK._replace(again=True)
        calls = draw_arrivals(Random(1), CAPACITY * 3, 0.0, 5.0, rush)
        calls += draw_arrivals(Random(2), CAPACITY * 0.5, 0.0, 25.0, CHECK)
        player.at(8.0, player.stop_returning)
        outcomes = player.play(calls, 80.0)
        after = [o for o in outcomes if o.arrived >= 10.0]
        assert sum(o.good for o in after) >= 0.99 * len(after)


class TestHeavyWorkspace:
    """A small caller waits because another one sends ten times its share."""

    def test_others_keep_their_answers(self):
        for seed in (1, 2, 3):
            without = play(LIGHT, seed)
            beside = [
                o
                for o in play({**LIGHT, "heavy": 2.0}, seed)
                if o.call.workspace != "heavy"
            ]
            before, after = (
                find_quantile(
                    [o.finished - o.arrived for o in out if o.finished], 0.95
                )
                for out in (without, beside)
            )
            assert after <= 1.2 * before
            assert sum(o.good for o in beside) >= 0.99 * len(beside)

    def test_first_come_sets_everyone_back(self):
        options = {"decider": BASELINES["first_come"], "tables": Baseline}
        outcomes = play({**LIGHT, "heavy": 2.0}, 1, **options)
        light = [o for o in outcomes if o.call.workspace != "heavy"]
        assert sum(o.good for o in light) < 0.5 * len(light)

    def test_idle_share_is_lent_out(self):
        assert goodput(play({"heavy": 2.0, "w1": 0.1}, 1)) >= 0.95
