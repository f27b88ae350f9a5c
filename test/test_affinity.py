"""Affinity, played: prompts that share prefixes, a few of them hot."""

from random import Random

import pytest
from baselines import BASELINES, Baseline
from hypothesis import given
from hypothesis import strategies as st

from bench.player import (
    BLOCK,
    PREFILL_SECONDS,
    TOKEN_SECONDS,
    Call,
    Player,
    make_declaration,
)
from lagoonpost.systems.affinity import HOLDERS, PrefixTable

SHARED = 16
OWN = 4
SECONDS = 40.0
WARM = 10.0


def draw_calls(rng, load, groups, skew):
    """Draw calls whose first blocks are shared by a group."""
    weights = [1 / (rank + 1) ** skew for rank in range(groups)]
    seconds = OWN * BLOCK * PREFILL_SECONDS + 50 * TOKEN_SECONDS
    time = 0.0
    calls = []
    while time < SECONDS:
        time += rng.expovariate(load * 6 * 8 / seconds)
        group = rng.choices(range(groups), weights)[0]
        shared = range(group * 100, group * 100 + SHARED)
        own = range(10**6 + len(calls) * OWN, 10**6 + (len(calls) + 1) * OWN)
        prompt = (SHARED + OWN) * BLOCK
        output = max(1, round(rng.expovariate(1 / 50)))
        workspace = f"w{group % 5}"
        prefix = (*shared, *own)
        calls.append(
            Call(time, workspace, "check", prompt, output, prefix, 50)
        )
    return calls


def play(load, groups, skew, seed=1, **options):
    """Return the part of reusable tokens reused, and the worst load."""
    player = Player(make_declaration(6, 8), seed, **options)
    fakes = player.runners.values()
    work = {}
    player.at(
        WARM, lambda: work.update({f.runner.name: f.work for f in fakes})
    )
    outcomes = player.play(
        draw_calls(Random(seed), load, groups, skew), SECONDS
    )
    # An all-knowing router with caches without end reuses all that any
    # request brought before: no router can do better.
    seen: set[int] = set()
    reusable = reused = 0
    for outcome in outcomes:
        if outcome.dispatched is None:
            continue
        if outcome.arrived >= WARM:
            reusable += BLOCK * len(seen.intersection(outcome.call.prefix))
            reused += outcome.reused
        seen.update(outcome.call.prefix)
    loads = [fake.work - work[fake.runner.name] for fake in fakes]
    return reused / reusable, max(loads) * len(loads) / sum(loads)


class TestSharedPrefixes:
    """Each answer begins late as its prompt is prefilled again.

    Requests of 40 groups share long prompts, the largest group sends a
    quarter of all. Sent at random, each prompt is cached on no runner when
    it is needed; sent always to the holder, one runner gets it all.
    """

    @pytest.mark.parametrize(
        ("load", "groups", "skew"),
        [(0.5, 40, 1.1), (0.7, 40, 1.1), (0.9, 40, 1.1), (0.7, 10, 2.0)],
    )
    @pytest.mark.parametrize("gateways", [1, 5])
    def test_reuses_most_with_even_load(self, load, groups, skew, gateways):
        reuse, worst = play(load, groups, skew, gateways=gateways)
        assert reuse >= 0.8
        assert worst <= 1.25

    @pytest.mark.parametrize("name", ["random", "round_robin"])
    def test_baselines_reuse_less(self, name):
        options = {"decider": BASELINES[name], "tables": Baseline}
        ours, _ = play(0.7, 40, 1.1)
        assert play(0.7, 40, 1.1, **options)[0] < ours - 0.15


blocks = st.lists(st.integers(0, 9), unique=True, min_size=1, max_size=5)


class TestPrefixTable:
    @given(st.lists(st.tuples(st.sampled_from("abcdef"), blocks)))
    def test_last_runner_is_ranked_first(self, stored):
        table = PrefixTable()
        for runner, prefix in stored:
            table.store(runner, prefix)
            assert table.rank(tuple(prefix))[0] == runner
        assert all(len(n) <= HOLDERS for n in table.holders.values())

    @given(blocks, blocks)
    def test_dropped_blocks_are_not_held(self, stored, dropped):
        table = PrefixTable()
        table.store("a", stored)
        table.drop("a", dropped)
        held = [block for block in stored if table.rank((block,))]
        assert not set(held) & set(dropped)
