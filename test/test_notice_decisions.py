"""Tests of the decisions by what runners say in answers, without a network."""

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.rest_play import Gateway, Play, Trouble
from bench.rests import SECONDS, TROUBLES, Ignoring
from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.systems.runner_notices import (
    DEPARTURE_MEMORY_SECONDS,
    FULL_MEMORY_SECONDS,
    MAX_REST_SECONDS,
    UNREADABLE_REST_SECONDS,
    RunnerNotices,
)
from lagoonpost.tables.address import Address
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.stamp import make_stamp
from lagoonpost_standins.deployment import make_entry

RUNNER = Endpoint(
    "r-1", "desk", Address("10.0.0.1", 80), "a", "v1", 8, born=1000
)
RESTARTED = RUNNER._replace(born=2000)


class TestDepartures:
    def test_only_a_later_start_serves_again(self):
        notices = RunnerNotices()
        assert notices.note_leaving("r-1", 1000, 5.0)
        assert not notices.note_leaving("r-1", 1000, 6.0)
        assert notices.is_leaving(RUNNER)
        assert notices.is_leaving(RUNNER._replace(born=500))
        assert not notices.is_leaving(RESTARTED)

    def test_an_answer_before_a_restart_is_heard_after_it(self):
        """Guards against a new start that serves for the old one's words."""
        notices = RunnerNotices()
        notices.note_leaving("r-1", 2000, 5.0)
        assert not notices.note_leaving("r-1", 1000, 6.0)
        assert notices.is_leaving(RESTARTED)

    def test_one_of_long_ago_is_forgotten(self):
        notices = RunnerNotices()
        notices.note_leaving("r-1", 1000, 5.0)
        notices.forget_old(4.0 + DEPARTURE_MEMORY_SECONDS)
        assert notices.is_leaving(RUNNER)
        notices.forget_old(6.0 + DEPARTURE_MEMORY_SECONDS)
        assert not notices.is_leaving(RUNNER)


class TestRests:
    @given(st.lists(st.tuples(st.floats(0, 9), st.floats(0, 9)), min_size=1))
    def test_the_longest_end_holds(self, rests):
        """Guards against a shorter rest that ends an earlier one (BUDGET)."""
        notices = RunnerNotices()
        times = sorted(rests)
        for at, seconds in times:
            notices.note_rest(RUNNER, seconds, 0, at)
        last = times[-1][0]
        end = max(at + seconds for at, seconds in times)
        left = notices.find_rest(RUNNER, last)
        assert left == pytest.approx(max(0.0, end - last))
        assert notices.may_send(RUNNER, last) == (left == 0.0)
        assert notices.may_send(RUNNER, end + 1e-6)

    @given(st.floats())
    def test_any_length(self, seconds):
        """Guards against lengths with which no time can be computed."""
        notices = RunnerNotices()
        rest = notices.note_rest(RUNNER, seconds, 0, 5.0)
        left = notices.find_rest(RUNNER, 5.0)
        if math.isfinite(seconds):
            expected = min(max(0.0, seconds), MAX_REST_SECONDS)
            assert left == pytest.approx(expected, abs=1e-6)
        else:
            assert rest == left == UNREADABLE_REST_SECONDS

    def test_a_new_start_does_not_rest(self):
        notices = RunnerNotices()
        notices.note_rest(RUNNER, 3.0, 0, 0.0)
        assert notices.may_send(RESTARTED, 1.0)
        notices.note_rest(RESTARTED, 3.0, 0, 1.0)
        notices.note_rest(RUNNER, 9.0, 0, 2.0)
        assert notices.find_rest(RESTARTED, 2.0) == 2.0

    def test_a_new_start_may_ask_before_its_entry_is_known(self):
        """Guards against rests that are forgotten when the entry comes."""
        notices = RunnerNotices()
        notices.note_rest(RUNNER, 3.0, 0, 0.0, told=2500.0)
        assert notices.find_rest(RESTARTED, 1.0) == 2.0
        notices.note_rest(RUNNER, 3.0, 0, 0.0, told=1500.0)
        assert notices.find_rest(RESTARTED, 1.0) == 0.0

    def test_they_are_forgotten_when_they_are_over(self):
        notices = RunnerNotices()
        notices.note_rest(RUNNER, 3.0, 0, 0.0)
        notices.forget_old(2.0)
        assert notices.has_rests()
        notices.forget_old(3.0)
        assert not notices.has_rests()


class TestRoom:
    def test_a_runner_that_was_full_gets_no_more_than_its_slots(self):
        """Guards against a rush at the end of a rest that begins the next."""
        notices = RunnerNotices()
        notices.note_rest(RUNNER, 1.0, RUNNER.slots, 0.0)
        assert notices.has_room(RUNNER, RUNNER.slots - 1, 2.0)
        assert not notices.has_room(RUNNER, RUNNER.slots, 2.0)
        assert notices.has_room(RESTARTED, RUNNER.slots, 2.0)
        assert notices.has_room(RUNNER, 99, FULL_MEMORY_SECONDS)

    def test_one_that_was_not_full_gets_any_number(self):
        """Guards against runners that fail at times and get less for it."""
        notices = RunnerNotices()
        notices.note_rest(RUNNER, 1.0, RUNNER.slots - 1, 0.0)
        assert notices.has_room(RUNNER, 99, 2.0)


AIMED_SHARE = 0.95
"""Part of the callers that were served in time without rests who still are."""
COSTLY = "all turn half away for 15 s, rest 3 s"
"""With so few gateways the rests take most offers: docs/CAPACITY.md."""
DRAWS = 2


@pytest.mark.parametrize("count", [9, 82, 195])
@pytest.mark.parametrize("name", TROUBLES)
class TestPlays:
    def play(
        self, count: int, trouble: Trouble, make: type[Gateway]
    ) -> tuple[int, float]:
        """Return requests too many in rests and the share served in time."""
        plays = [Play(count, trouble, seed, make) for seed in range(DRAWS)]
        for play in plays:
            play.play(SECONDS)
        shares = [play.find_share() for play in plays]
        return sum(play.breaks for play in plays), sum(shares) / DRAWS

    def test_rests_are_kept_and_callers_served(self, name, count):
        """Guards against rests that are broken, or that empty a service."""
        trouble = TROUBLES[name]
        breaks, share = self.play(count, trouble, Gateway)
        _, before = self.play(count, trouble, Ignoring)
        assert breaks == 0
        assert (name, count) == (COSTLY, 9) or share >= AIMED_SHARE * before


class TestRows:
    """Rows of the store beside what runners say themselves."""

    def make_view(self) -> ClusterState:
        self.time = 100.0
        view = ClusterState(lambda: self.time, "gateway-1")
        self.apply(view, 1)
        view.note_leaving("r-1", 1000, "answer")
        return view

    def apply(self, view: ClusterState, version: int, **more: object) -> bool:
        entry = make_entry("desk", Address("10.0.0.1", 80), "a", **more)
        raw = msgspec.json.encode(entry)
        return view.apply_entry("r-1", version, raw, "store")

    def find_ids(self, view: ClusterState) -> list[str]:
        return [runner.id for runner in view.find_runners("desk")]

    def test_a_renewed_one_changes_nothing(self):
        """Guards against runners that renew `ready` while they leave."""
        view = self.make_view()
        for version in range(2, 9):
            self.apply(view, version, seq=version, slots=version)
            assert self.find_ids(view) == []
            assert not view.may_send(RUNNER)

    def test_one_that_was_gone_and_is_written_again(self):
        """Guards against entries that lapse and come back."""
        view = self.make_view()
        view.apply_entry("r-1", 2, None, "store")
        self.apply(view, 3, seq=9)
        assert self.find_ids(view) == []

    def test_one_of_a_later_era_of_the_store(self):
        """Guards against a store that comes back from an older copy."""
        view = self.make_view()
        view.handle_new_era()
        self.apply(view, make_stamp(1, 1), seq=7)
        assert self.find_ids(view) == []

    def test_the_first_one_comes_after_the_news(self):
        """Guards against news of a runner that is not yet known."""
        view = ClusterState(lambda: 100.0, "gateway-1")
        assert view.note_leaving("r-1", 1000, "peer")
        self.apply(view, 1)
        assert self.find_ids(view) == []

    def test_a_new_start_serves(self):
        view = self.make_view()
        self.apply(view, 2, born=2000)
        assert self.find_ids(view) == ["r-1"]
        assert view.may_send(RESTARTED)
        assert not view.may_send(RUNNER)

    def test_a_row_that_says_the_same_is_still_published(self):
        """Guards against peers that hear of neither."""
        view = self.make_view()
        assert self.apply(view, 2, state="draining")

    def test_it_is_told_once_that_a_runner_leaves(self):
        notes: list[str] = []
        view = ClusterState(lambda: 100.0, "gateway-1")
        view.on_notice.append(notes.append)
        self.apply(view, 1)
        for _ in range(3):
            view.note_leaving("r-1", 1000, "answer")
        assert notes == ["r-1"]
