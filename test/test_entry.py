"""Gateway lists: short, spread over domains, bounded and stable."""

from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.systems.entry import (
    MAX_WEIGHT_RATIO,
    MIN_ENTRIES,
    assign_entries,
)


class Gateway(NamedTuple):
    name: str
    failure_domain: str


def make_gateways(count, domains=3):
    return [Gateway(f"g{i}", f"d{i % domains}") for i in range(count)]


weights = st.dictionaries(
    st.text("abcdefgh", min_size=1, max_size=3),
    st.floats(0.1, 10),
    min_size=1,
    max_size=20,
)


class TestAssignEntries:
    @given(st.integers(1, 40), weights)
    def test_each_workspace_has_few_distinct_gateways(self, count, wanted):
        for entries in assign_entries(make_gateways(count), wanted).values():
            assert len(set(entries)) == len(entries)
            assert len(entries) >= min(MIN_ENTRIES, count)

    @given(st.integers(0, 50))
    def test_first_entries_lie_in_different_domains(self, number):
        """Guards against the loss of one domain that cuts off a workspace."""
        entries = assign_entries(make_gateways(9), {f"w{number}": 1.0})
        domains = {
            e.failure_domain for e in entries[f"w{number}"][:MIN_ENTRIES]
        }
        assert len(domains) == MIN_ENTRIES

    def test_large_workspaces_do_not_overload_a_gateway(self):
        """Guards against callers that wait at one gateway while others idle.

        Two of a hundred workspaces send most of the requests and rank the
        same gateway first.
        """
        wanted = {f"w{i}": 1.0 for i in range(98)}
        wanted |= {"big0": 100.0, "big1": 50.0}
        gateways = make_gateways(40, 4)
        given = dict.fromkeys((g.name for g in gateways), 0.0)
        for name, entries in assign_entries(gateways, wanted).items():
            for entry in entries:
                given[entry.name] += wanted[name] / len(entries)
        mean = sum(given.values()) / len(given)
        # A list for which no domain is left may exceed the bound by the part
        # of one small workspace.
        assert max(given.values()) <= MAX_WEIGHT_RATIO * mean + 1 / MIN_ENTRIES

    @given(st.integers(0, 39))
    def test_a_lost_gateway_changes_few_lists(self, lost):
        wanted = {f"w{i}": 1.0 for i in range(200)}
        gateways = make_gateways(40, 4)
        before = assign_entries(gateways, wanted)
        left = [g for g in gateways if g.name != f"g{lost}"]
        after = assign_entries(left, wanted)
        kept = sum(
            len(set(before[name]) & set(after[name])) for name in wanted
        )
        total = sum(map(len, before.values()))
        had = sum(f"g{lost}" in {e.name for e in b} for b in before.values())
        assert all(g.name != f"g{lost}" for v in after.values() for g in v)
        assert kept >= total - had - 0.15 * total
