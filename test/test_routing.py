"""Routing: version shares, and runners that get no new work."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.player import Player
from bench.workload import Call, draw_arrivals, make_declaration
from lagoonpost.systems.event import (
    Declared,
    Dispatch,
    Leaving,
    Quarantined,
    Refuse,
)

CHECK = Call(0.0, prompt=200, output=50)


def play(declaration, rate, seconds=10.0, seed=1, **options):
    player = Player(declaration, seed, **options)
    calls = draw_arrivals(Random(seed), rate, 0.0, seconds, CHECK)
    return player, player.play(calls, seconds + 60)


def count_versions(player):
    sent = [a.version for _, a in player.log if isinstance(a, Dispatch)]
    return {version: sent.count(version) for version in set(sent)}


class TestVersionShare:
    """Guards against a new version that gets more than its declared share.

    A new version has a small share. When the runners of the old version are
    full, a router that uses any free runner sends the excess to the new one.
    """

    @pytest.mark.parametrize("rate", [10.0, 60.0])
    def test_small_share_holds_also_when_others_are_full(self, rate):
        declaration = make_declaration(
            4, 8, versions={"old": 0.95, "new": 0.05}
        )
        player, _ = play(declaration, rate)
        counts = count_versions(player)
        total = sum(counts.values())
        assert counts["new"] <= 0.05 * total + 1
        assert counts["new"] >= 0.02 * total

    def test_version_without_share_gets_nothing(self):
        declaration = make_declaration(4, 8, versions={"old": 1, "new": 0})
        player, _ = play(declaration, 10.0)
        assert count_versions(player).keys() == {"old"}

    def test_new_share_holds_for_the_next_request(self):
        player = Player(make_declaration(4, versions={"a": 1, "b": 0}))
        moved = make_declaration(4, versions={"a": 0, "b": 1})
        moved = moved._replace(revision=2)
        player.schedule(5.0, lambda: player.send(0, Declared(moved)))
        calls = draw_arrivals(Random(1), 10.0, 0.0, 10.0, CHECK)
        player.play(calls, 60.0)
        late = [
            action.version
            for time, action in player.log
            if isinstance(action, Dispatch) and time > 5.0
        ]
        assert set(late) == {"b"}


class TestLeavingRunner:
    @given(st.sets(st.sampled_from(["r0", "r1", "r2"]), max_size=3))
    def test_gets_no_new_work(self, leaving):
        player = Player(make_declaration(3, 4))
        player.send(0, Leaving(frozenset(leaving)))
        calls = [CHECK._replace(time=0.1 * i) for i in range(20)]
        player.play(calls, 60.0)
        actions = [action for _, action in player.log]
        used = {a.runner for a in actions if isinstance(a, Dispatch)}
        assert not used & leaving
        if len(leaving) == 3:
            assert all(isinstance(a, Refuse) for a in actions)


class TestQuarantine:
    """Guards against a request that crashes runner after runner.

    Each crash also ends the other requests of the runner.
    """

    def test_suspect_runs_beside_no_other(self):
        player = Player(make_declaration(2, 4))
        player.send(0, Quarantined("q5", "alone"))
        beside = []

        def look():
            flight = player.tables[0].pools["model"].flights.get("q5")
            if flight is not None:
                fake = player.runners[flight.runner]
                beside.append(len(fake.running))

        for step in range(200):
            player.schedule(1.51 + step * 0.05, look)
        calls = [CHECK._replace(time=0.3 * i) for i in range(40)]
        outcomes = player.play(calls, 60.0)
        assert outcomes[5].finished or outcomes[5].refused
        assert set(beside) <= {0, 1}
        rest = outcomes[:5] + outcomes[6:]
        assert sum(o.good for o in rest) >= 0.9 * len(rest)

    def test_convicted_request_is_refused_for_good(self):
        player = Player(make_declaration(2, 4))
        player.send(0, Quarantined("q0", "refused"))
        outcomes = player.play([CHECK, CHECK], 60.0)
        assert outcomes[0].refused == 0.0
        assert outcomes[0].retry_after is None
        assert outcomes[1].good
