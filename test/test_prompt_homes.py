"""Homes of prompts under uneven demand."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.draws import HOMES, play
from lagoonpost.systems import placement
from lagoonpost.systems.prompt_homes import (
    DEMAND_SECONDS,
    MAX_SESSIONS,
    PromptDemand,
    find_homes,
)
from lagoonpost.systems.session_affinity import rank_by_session
from lagoonpost.tables.address import Address
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.metadata import PromptPart
from lagoonpost.tables.scheduling import Scheduling

DRAWS = Scheduling(draws=True)
RUNNERS = [
    Endpoint(f"i-{n}", "chat", Address("h", n), "a", "v1", 8)
    for n in range(36)
]


def make_parts(session: str) -> tuple[PromptPart, ...]:
    return PromptPart(session, 6000), PromptPart("own", 3000)


def list_homes(session: str, count: int, slowness=None, full=()):
    found = find_homes(
        rank_by_session(RUNNERS, make_parts(session)),
        session,
        count,
        lambda runner: (slowness or {}).get(runner.id, 1.0),
        lambda runner: runner.id not in full,
    )
    return [runner.id for runner in found]


class TestUnevenDemand:
    @pytest.mark.parametrize(
        "changes", [{}, {"hot_seconds": 3.0}, {"lost": 4}]
    )
    def test_a_hot_session_is_served_in_time(self, changes, monkeypatch):
        """Guards against late answers for parts that a quarter asks for.

        With a single home, all gateways send the session's prompts there
        until they hear of each other's.
        """
        case = HOMES._replace(hot=1, seconds=9.0, **changes)
        several = play(case, DRAWS)
        monkeypatch.setattr(
            placement.PromptDemand, "count_homes", lambda *_: 1
        )
        single = play(case, DRAWS)
        assert 1 - several.in_time < 0.8 * (1 - single.in_time)
        assert several.reread <= 1.1 * single.reread + 1

    def test_even_demand_copies_no_more(self, monkeypatch):
        """Guards against copies for sessions that one runner serves."""
        case = HOMES._replace(seconds=4.0)
        several = play(case, DRAWS)
        monkeypatch.setattr(
            placement.PromptDemand, "count_homes", lambda *_: 1
        )
        single = play(case, DRAWS)
        assert several.copied < 1.05 * single.copied
        assert several.in_time > single.in_time - 0.01


class TestPromptDemand:
    def test_homes_follow_the_demand_and_end_with_it(self):
        demand = PromptDemand()
        hot, other = make_parts("hot"), make_parts("s")
        for step in range(40):
            now = step * 0.1
            demand.note(hot if step % 4 == 0 else make_parts(f"{step}"), now)
        assert demand.count_homes(hot, 36, 4.0) > 20
        assert demand.count_homes(hot, 3, 4.0) == 3
        assert demand.count_homes(other, 36, 4.0) == 1
        for step in range(100):
            demand.note(other, 4.0 + 4 * DEMAND_SECONDS * step / 100)
        assert demand.count_homes(hot, 36, 4.0 + 4 * DEMAND_SECONDS) == 1

    def test_sessions_of_long_ago_are_not_kept(self):
        """Guards against memory that grows with the number of sessions."""
        demand = PromptDemand()
        for number in range(3 * MAX_SESSIONS):
            demand.note(make_parts(f"s{number}"), number * 0.1)
        assert len(demand._tokens) <= MAX_SESSIONS
        assert demand._tokens.keys() == demand._prompts.keys()


class TestFindHomes:
    @given(st.integers(0, 99), st.integers(1, 5), st.integers(1, 5))
    def test_gateways_that_differ_in_the_number_agree(self, n, one, other):
        first, second = list_homes(f"s{n}", one), list_homes(f"s{n}", other)
        least = min(one, other)
        assert first[:least] == second[:least]

    def test_slow_runners_are_the_homes_of_fewer(self):
        """Guards against sessions that wait for slow runners.

        Only their own sessions move, so that the others stay cached.
        """
        names = [f"s{n}" for n in range(2000)]
        slow = {runner.id: 2.0 for runner in RUNNERS[::3]}
        before = {name: list_homes(name, 1)[0] for name in names}
        after = {name: list_homes(name, 1, slow)[0] for name in names}
        moved = {name for name in names if before[name] != after[name]}
        assert {before[name] for name in moved} <= slow.keys()
        share = sum(home in slow for home in after.values()) / len(names)
        assert 0.18 < share < 0.22

    def test_a_full_home_is_replaced_by_the_next(self):
        first, second = list_homes("s", 2)
        assert list_homes("s", 1, full={first}) == [second]
        everyone = {runner.id for runner in RUNNERS}
        assert len(list_homes("s", 1, full=everyone)) == 1
