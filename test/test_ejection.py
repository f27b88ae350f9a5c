"""Ejection in simulated fleets: slow or failing runners, and overload."""

from random import Random

import pytest

from bench.baseline import BASELINES, Baseline
from bench.cases import (
    CAPACITY,
    CHECK,
    SLOW,
    SLOW_BEGIN,
    SLOW_END,
    SLOW_SECONDS,
    compute_good_share,
    compute_slow_runner_share,
    play_slow,
    slow_always,
    slow_when_busy,
)
from bench.player import Player
from bench.workload import draw_arrivals, make_declaration
from lagoonpost.systems.ejection import (
    PACE_SECONDS,
    compare_pace,
    eject_slow,
)
from lagoonpost.systems.event import Dispatch


class TestFailingRunner:
    """A runner that fails at once must not attract all requests.

    It answers each request with an error immediately and therefore always
    looks idle, so routing by load alone prefers it: most callers get errors
    although only one runner in six is at fault.
    """

    @pytest.mark.parametrize("seed", [1, 2])
    def test_it_draws_no_work(self, seed):
        player = Player(make_declaration(6, 8), seed)
        player.runners[SLOW].fails = lambda now: SLOW_BEGIN <= now < SLOW_END
        calls = draw_arrivals(
            Random(seed), CAPACITY * 0.7, 0.0, SLOW_SECONDS, CHECK
        )
        outcomes = player.play(calls, SLOW_SECONDS + 60)
        sent = [
            action.runner == SLOW
            for time, action in player.log
            if isinstance(action, Dispatch)
            and SLOW_BEGIN + 2 <= time < SLOW_END
        ]
        assert sum(sent) < 0.05 * len(sent)
        assert compute_good_share(outcomes) >= 0.99
        assert (
            compute_slow_runner_share(outcomes, SLOW_END + 10, SLOW_SECONDS)
            > 0.08
        )


class TestSlowRunner:
    """A slow runner must lose its work and get it back on recovery.

    One runner of six is ten times as slow for ten seconds and then recovers.
    Its slots stay occupied, and every request still routed there is late.
    """

    @pytest.mark.parametrize(
        "slowdown",
        [slow_always(10.0), slow_always(5.0), slow_when_busy],
        ids=["ten", "five", "busy"],
    )
    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("gateways", [1, 5])
    def test_it_loses_its_work_and_gets_it_back(
        self, slowdown, seed, gateways
    ):
        _, outcomes = play_slow(slowdown, seed, gateways=gateways)
        assert (
            compute_slow_runner_share(outcomes, SLOW_BEGIN + 2, SLOW_END)
            < 0.05
        )
        before = compute_slow_runner_share(outcomes, 3, SLOW_BEGIN)
        after = compute_slow_runner_share(
            outcomes, SLOW_END + 10, SLOW_SECONDS
        )
        assert after > 0.5 * before

    def test_random_routing_keeps_sending(self):
        options = {"decider": BASELINES["random"], "tables": Baseline}
        _, outcomes = play_slow(slow_always(10.0), 1, **options)
        assert (
            compute_slow_runner_share(outcomes, SLOW_BEGIN + 2, SLOW_END) > 0.1
        )

    @pytest.mark.parametrize("load", [0.7, 1.2, 3.0])
    def test_no_healthy_runner_is_ejected(self, load):
        player, _ = play_slow(None, 1, load=load)
        for tables in player.tables:
            for runner in tables.pools["model"].loads.values():
                assert runner.health.state == "healthy"
                assert runner.health.changed_at < 0

    @pytest.mark.parametrize("mean", [1, 5, 50])
    def test_few_tokens_are_no_evidence(self, mean):
        """A slow model must not get a healthy runner ejected.

        Streams of a large model produce few tokens in half a second: by chance
        none on one runner and twice as many on another.
        """
        rng = Random(1)
        player = Player(make_declaration(6, 8))
        pool = player.tables[0].pools["model"]
        for step in range(2000):
            for load in pool.loads.values():
                load.own = load.streams = 1
                load.tokens = sum(rng.random() < 0.1 for _ in range(mean * 10))
            compare_pace(pool, (step + 1) * PACE_SECONDS)
            assert eject_slow(pool, (step + 1) * PACE_SECONDS) == []
