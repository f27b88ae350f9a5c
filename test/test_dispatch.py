"""Dispatch in simulation: long requests among short ones, and a burst."""

from random import Random

import pytest

from bench.baseline import BASELINES, Baseline
from bench.cases import SHORT_CHECK, compute_good_share, play_mixed
from bench.player import Player
from bench.workload import compute_capacity, draw_arrivals, make_declaration


class TestLongAmongShort:
    """Guards against checks that wait a minute because drafts use every slot.

    More drafts arrive than there are slots, and each occupies its slot for
    ten seconds. Checks of half a second arrive in between.
    """

    @pytest.mark.parametrize("gateways", [1, 5])
    def test_checks_are_quick_and_drafts_keep_going(self, gateways):
        alone = mixed = 0
        for seed in (1, 2, 3):
            unloaded, _ = play_mixed(0.0, 0.05, seed, gateways=gateways)
            first, tokens = play_mixed(1.5, 0.05, seed, gateways=gateways)
            assert first <= 2 * unloaded
            mixed += tokens
            alone += play_mixed(1.5, 0.0, seed, gateways=gateways)[1]
        assert mixed >= 0.9 * alone

    def test_first_come_lets_checks_wait(self):
        options = {"decider": BASELINES["first_come"], "tables": Baseline}
        unloaded, _ = play_mixed(0.0, 0.05, 1, **options)
        first, _ = play_mixed(1.5, 0.05, 1, **options)
        assert first > 10 * unloaded


class TestBurst:
    """Guards against a burst of requests that all wait until they time out.

    Three seconds' worth of work arrives at once at a service at half load.
    Requests that can meet their deadline are answered; the others are refused
    at once, with retry delays that are spread.
    """

    def test_part_is_answered_and_the_rest_spread(self):
        player = Player(make_declaration(6, 8))
        rate = compute_capacity(6, 8, SHORT_CHECK)
        calls = draw_arrivals(Random(1), rate * 0.5, 0.0, 20.0, SHORT_CHECK)
        burst = draw_arrivals(Random(2), rate * 30, 8.0, 8.1, SHORT_CHECK)
        outcomes = player.play(calls + burst, 60.0)
        hit = [o for o in outcomes if 8.0 <= o.arrived < 8.1]
        refused = [o for o in hit if o.refused is not None]
        answered = [o for o in hit if o.finished is not None]
        assert compute_good_share(answered) >= 0.95
        assert all(o.refused == o.arrived for o in refused)
        delays = sorted(o.retry_after for o in refused)
        assert delays[0] >= 0.5
        assert delays[-1] >= 1.5 * delays[0]
        assert (
            compute_good_share(o for o in outcomes if o.arrived >= 11.0)
            >= 0.99
        )
