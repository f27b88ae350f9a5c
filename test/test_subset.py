"""Tests of subsetting: bounded, even, stable and covering all runners."""

from hypothesis import given
from hypothesis import strategies as st

from bench.workload import make_declaration
from lagoonpost.systems.subset import (
    MAX_SUBSET,
    MIN_SUBSET,
    choose_subset,
    subset_size,
)


class TestSubset:
    @given(st.integers(0, 5000), st.integers(0, 500))
    def test_size_is_bounded(self, runners, gateways):
        size = subset_size(runners, gateways)
        assert size == runners if runners <= MIN_SUBSET else size <= MAX_SUBSET

    def test_every_runner_is_known_at_the_target_size(self):
        """Accelerators stay idle because no gateway uses their runners."""
        runners = make_declaration(2800, domains=8).runners
        known = [
            runner.name
            for index in range(320)
            for runner in choose_subset(f"g{index}", runners, 320)
        ]
        assert len(set(known)) >= 2800 - 3

    @given(st.integers(0, 99))
    def test_domains_are_even_and_a_loss_changes_little(self, lost):
        runners = make_declaration(400, domains=4).runners
        before = choose_subset("g", runners, 20)
        domains = [runner.failure_domain for runner in before]
        counts = [domains.count(f"d{i}") for i in range(4)]
        assert max(counts) - min(counts) <= 1
        left = [r for r in runners if r.name != f"r{lost}"]
        after = choose_subset("g", left, 20)
        assert len(set(before) - set(after)) <= 2
