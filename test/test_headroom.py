"""Headroom, played: accepted work outlives a lost failure domain."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.player import (
    Call,
    Player,
    capacity,
    draw_arrivals,
    make_declaration,
)
from lagoonpost.systems.headroom import moved_limit, protected_limit

CHECK = Call(0.0, prompt=200, output=50)
DRAFT = Call(0.0, "d", "draft", prompt=1000, output=400)
LOST = 10.0
SECONDS = 25.0


def play(load, notice, gateways, seed=1):
    player = Player(make_declaration(9, 8), seed, gateways=gateways)
    checks = capacity(9, 8, CHECK) * load * 0.7
    drafts = capacity(9, 8, DRAFT) * load * 0.3
    calls = draw_arrivals(Random(seed), checks, 0.0, SECONDS, CHECK)
    calls += draw_arrivals(Random(seed + 1), drafts, 0.0, SECONDS, DRAFT)
    names = [
        name
        for name, fake in player.runners.items()
        if fake.runner.failure_domain == "d0"
    ]
    player.at(LOST, lambda: player.lose(names, notice))
    return player, player.play(calls, 200.0)


class TestLimits:
    @given(st.integers(1, 64), st.integers(2, 8))
    def test_a_lost_domain_fits_on_the_others(self, slots, domains):
        assert moved_limit(slots, domains) * (domains - 1) >= slots * domains

    @given(st.integers(4, 64), st.integers(1, 8))
    def test_moved_work_goes_before_protected(self, slots, domains):
        assert protected_limit(slots) <= moved_limit(slots, domains)


class TestLostDomain:
    """An answer stops in the middle when a zone is reclaimed at the peak.

    All slots are in use when one of three failure domains goes, with or
    without notice. Its requests want slots where none is free, while new
    requests want them as well.
    """

    @pytest.mark.parametrize("notice", [True, False])
    @pytest.mark.parametrize("gateways", [1, 5])
    def test_accepted_requests_go_on_at_once(self, notice, gateways):
        _, outcomes = play(0.95, notice, gateways)
        moved = [o for o in outcomes if o.attempts > 1]
        assert len(moved) > 10
        assert all(o.finished is not None for o in moved)
        lost = [o for o in outcomes if o.arrived < LOST and o in moved]
        waits = [o.dispatched - LOST for o in lost]
        assert max(waits) < 0.2

    def test_new_work_gets_what_is_left(self):
        """Checks are answered again seconds after the loss."""
        _, outcomes = play(0.6, True, 1)
        after = [
            o
            for o in outcomes
            if o.arrived >= LOST + 3 and o.call.request_class == "check"
        ]
        assert sum(o.good for o in after) >= 0.95 * len(after)
