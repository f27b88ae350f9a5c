"""Ejection, played: a slow runner, by itself and under load."""

from random import Random

import pytest
from baselines import BASELINES, Baseline

from bench.player import (
    Call,
    Player,
    capacity,
    draw_arrivals,
    make_declaration,
)
from lagoonpost.systems.event import Dispatch

CHECK = Call(0.0, prompt=200, output=50)
BEGIN = 8.0
END = 18.0
SECONDS = 33.0
SLOW = "r2"


def always(now, running):
    return 10.0 if BEGIN <= now < END else 1.0


def half_as_slow(now, running):
    return 5.0 if BEGIN <= now < END else 1.0


def when_busy(now, running):
    return 10.0 if BEGIN <= now < END and running > 4 else 1.0


def play(slowdown, seed, load=0.7, **options):
    player = Player(make_declaration(6, 8), seed, **options)
    if slowdown is not None:
        player.runners[SLOW].slowdown = slowdown
    rate = capacity(6, 8, CHECK) * load
    calls = draw_arrivals(Random(seed), rate, 0.0, SECONDS, CHECK)
    return player, player.play(calls, SECONDS + 60)


def share(outcomes, begin, end):
    """Return the part of new work that the slow runner got."""
    sent = [
        o
        for o in outcomes
        if o.dispatched is not None and begin <= o.dispatched < end
    ]
    return sum(o.runner == SLOW for o in sent) / len(sent)


class TestFailingRunner:
    """Most callers get errors although one runner in six is at fault.

    A runner answers each request with an error at once. It always looks
    idle, so a router that goes by load sends it ever more.
    """

    @pytest.mark.parametrize("seed", [1, 2])
    def test_it_draws_no_work(self, seed):
        player = Player(make_declaration(6, 8), seed)
        player.runners[SLOW].fails = lambda now: BEGIN <= now < END
        rate = capacity(6, 8, CHECK) * 0.7
        calls = draw_arrivals(Random(seed), rate, 0.0, SECONDS, CHECK)
        outcomes = player.play(calls, SECONDS + 60)
        sent = [
            action.runner == SLOW
            for time, action in player.log
            if isinstance(action, Dispatch) and BEGIN + 2 <= time < END
        ]
        assert sum(sent) < 0.05 * len(sent)
        assert sum(o.good for o in outcomes) >= 0.99 * len(outcomes)
        assert share(outcomes, END + 10, SECONDS) > 0.08


class TestSlowRunner:
    """One in six callers waits ten times as long for its answer.

    One runner turns slow for ten seconds and then recovers. Its slots stay
    taken, and whatever a router still sends there is late.
    """

    @pytest.mark.parametrize("slowdown", [always, half_as_slow, when_busy])
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_it_loses_its_work_and_gets_it_back(self, slowdown, seed):
        _, outcomes = play(slowdown, seed)
        assert share(outcomes, BEGIN + 2, END) < 0.05
        before = share(outcomes, 3, BEGIN)
        assert share(outcomes, END + 10, SECONDS) > 0.5 * before

    def test_random_routing_keeps_sending(self):
        options = {"decider": BASELINES["random"], "tables": Baseline}
        _, outcomes = play(always, 1, **options)
        assert share(outcomes, BEGIN + 2, END) > 0.1

    @pytest.mark.parametrize("load", [0.7, 1.2, 3.0])
    def test_no_healthy_runner_is_ejected(self, load):
        player, _ = play(None, 1, load=load)
        for tables in player.tables:
            for runner in tables.pools["model"].loads.values():
                assert runner.health.state == "healthy"
                assert runner.health.since < 0
