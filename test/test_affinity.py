"""Prefix affinity in simulation: shared prefixes, some of them hot."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.baseline import BASELINES, Baseline
from bench.cases import play_prefixes
from lagoonpost.systems.affinity import MAX_HOLDERS, PrefixTable


class TestSharedPrefixes:
    """Guards against late answers because prompts are prefilled repeatedly.

    Requests of 40 groups share long prompts, and the largest group sends a
    quarter of all requests. With random routing, a prompt is not cached on
    the runner that needs it; always routing to the runner that caches it
    sends the largest group's load to one runner.
    """

    @pytest.mark.parametrize(
        ("load", "groups", "skew"),
        [(0.5, 40, 1.1), (0.7, 40, 1.1), (0.9, 40, 1.1), (0.7, 10, 2.0)],
    )
    @pytest.mark.parametrize("gateways", [1, 5])
    def test_reuses_most_with_even_load(self, load, groups, skew, gateways):
        reuse, worst = play_prefixes(load, groups, skew, gateways=gateways)
        assert reuse >= 0.8
        assert worst <= 1.25

    @pytest.mark.parametrize("name", ["random", "round_robin"])
    def test_baselines_reuse_less(self, name):
        options = {"decider": BASELINES[name], "tables": Baseline}
        ours, _ = play_prefixes(0.7, 40, 1.1)
        assert play_prefixes(0.7, 40, 1.1, **options)[0] < ours - 0.15


blocks = st.lists(st.integers(0, 9), unique=True, min_size=1, max_size=5)


class TestPrefixTable:
    @given(st.lists(st.tuples(st.sampled_from("abcdef"), blocks)))
    def test_last_runner_is_ranked_first(self, stored):
        table = PrefixTable()
        for runner, prefix in stored:
            table.store(runner, prefix)
            assert table.rank(tuple(prefix))[0] == runner
        assert all(len(n) <= MAX_HOLDERS for n in table.holders.values())

    @given(blocks, blocks)
    def test_dropped_blocks_are_not_held(self, stored, dropped):
        table = PrefixTable()
        table.store("a", stored)
        table.drop("a", dropped)
        held = [block for block in stored if table.rank((block,))]
        assert not set(held) & set(dropped)
