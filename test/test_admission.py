"""Admission, played: saturation, and one workspace that takes it all."""

from random import Random

import pytest

from bench.player import (
    Call,
    Player,
    capacity,
    draw_arrivals,
    make_declaration,
)

CHECK = Call(0.0, prompt=200, output=50)
RUNNERS = 6
SLOTS = 8
CAPACITY = capacity(RUNNERS, SLOTS, CHECK)


def play(overload, seconds=15.0, **options):
    player = Player(make_declaration(RUNNERS, SLOTS), **options)
    calls = draw_arrivals(Random(3), CAPACITY * overload, 0.0, seconds, CHECK)
    return player.play(calls, seconds + 20)


class TestSaturation:
    """Callers get late answers from a service that works at full speed.

    Requests arrive at more than capacity for long. A queue without refusal
    grows, and every answer is begun after its caller's target.
    """

    @pytest.mark.parametrize("overload", [1.2, 2.0, 5.0])
    def test_goodput_stays_near_capacity(self, overload):
        outcomes = [o for o in play(overload) if o.arrived >= 3.0]
        good = sum(o.good for o in outcomes)
        assert good >= 0.95 * CAPACITY * 12.0
