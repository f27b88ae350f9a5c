"""Dispatch, played: long work among short, and a burst."""

from random import Random

import pytest
from baselines import BASELINES, Baseline

from bench.player import (
    Call,
    Player,
    capacity,
    draw_arrivals,
    find_quantile,
    make_declaration,
)

CHECK = Call(0.0, "c", prompt=200, output=25)
DRAFT = Call(0.0, "d", "draft", prompt=1000, output=500)
SECONDS = 45.0
WARM = 15.0


def play(drafts, checks, seed, **options):
    """Play parts of the capacity; return checks' p95 and draft tokens."""
    player = Player(make_declaration(6, 8), seed, **options)
    calls = []
    if checks:
        rate = capacity(6, 8, CHECK) * checks
        calls += draw_arrivals(Random(seed), rate, 0.0, SECONDS, CHECK)
    if drafts:
        rate = capacity(6, 8, DRAFT) * drafts
        calls += draw_arrivals(Random(seed + 50), rate, 0.0, SECONDS, DRAFT)
    outcomes = player.play(calls, SECONDS + 60)
    late = [o for o in outcomes if o.arrived >= WARM]
    first = [
        o.first - o.arrived
        for o in late
        if o.call.workspace == "c" and o.first
    ]
    tokens = sum(
        o.call.output
        for o in outcomes
        if o.call.workspace == "d" and o.finished
        if WARM <= o.finished < SECONDS
    )
    return find_quantile(first, 0.95) if first else 0.0, tokens


class TestLongAmongShort:
    """A check waits for a minute because drafts hold every slot.

    More drafts arrive than there are slots for, and each holds its slot for
    ten seconds. Checks of half a second come in between.
    """

    @pytest.mark.parametrize("gateways", [1, 5])
    def test_checks_are_quick_and_drafts_keep_going(self, gateways):
        alone = mixed = 0
        for seed in (1, 2, 3):
            unloaded, _ = play(0.0, 0.05, seed, gateways=gateways)
            first, tokens = play(1.5, 0.05, seed, gateways=gateways)
            assert first <= 2 * unloaded
            mixed += tokens
            alone += play(1.5, 0.0, seed, gateways=gateways)[1]
        assert mixed >= 0.9 * alone

    def test_first_come_lets_checks_wait(self):
        options = {"decider": BASELINES["first_come"], "tables": Baseline}
        unloaded, _ = play(0.0, 0.05, 1, **options)
        first, _ = play(1.5, 0.05, 1, **options)
        assert first > 10 * unloaded


class TestBurst:
    """Callers that arrive in one second all wait until all time out.

    Three seconds' worth of work arrives at once upon a service at half
    load. What fits its target is answered, the rest is refused at once with
    times to come back that are spread.
    """

    def test_part_is_answered_and_the_rest_spread(self):
        player = Player(make_declaration(6, 8))
        rate = capacity(6, 8, CHECK)
        calls = draw_arrivals(Random(1), rate * 0.5, 0.0, 20.0, CHECK)
        burst = draw_arrivals(Random(2), rate * 30, 8.0, 8.1, CHECK)
        outcomes = player.play(calls + burst, 60.0)
        hit = [o for o in outcomes if 8.0 <= o.arrived < 8.1]
        refused = [o for o in hit if o.refused is not None]
        answered = [o for o in hit if o.finished is not None]
        assert sum(o.good for o in answered) >= 0.95 * len(answered)
        assert all(o.refused == o.arrived for o in refused)
        delays = sorted(o.retry_after for o in refused)
        assert delays[0] >= 0.5
        assert delays[-1] >= 1.5 * delays[0]
        after = [o for o in outcomes if o.arrived >= 11.0]
        assert sum(o.good for o in after) >= 0.99 * len(after)
