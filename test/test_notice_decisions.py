"""Tests of the decisions by what runners say in answers, without a network."""

import msgspec

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.systems.runner_notices import (
    DEPARTURE_MEMORY_SECONDS,
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
