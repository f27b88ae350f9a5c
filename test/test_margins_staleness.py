"""Tests of the margins of staleness and of quota usage."""

from typing import Any

import pytest

from lagoonpost.margins.line import (
    ConfigurationFetch,
    ConfigurationUpdate,
    Line,
    RequestEnd,
    RunnerUpdate,
    Started,
)
from lagoonpost.margins.margin import Margin
from lagoonpost.margins.quota import compute_allowance, find_quota_use
from lagoonpost.margins.staleness import (
    find_late_offer,
    find_longest_want,
    find_slowest_propagation,
    find_stalest_request,
)
from lagoonpost.systems.quota_limit import compute_limit
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.quota import QuotaBounds


def make_runner_update(
    at: float, state: str, version: int, gateway: str = "a"
) -> Line[RunnerUpdate]:
    return Line(
        at,
        gateway,
        RunnerUpdate(at, runner="i-1", version=version, state=state),
    )


def make_configuration(
    at: float, version: int, gateway: str
) -> Line[ConfigurationUpdate]:
    return Line(at, gateway, ConfigurationUpdate(at, version=version))


def make_start(at: float, gateway: str) -> Line[Started]:
    return Line(at, gateway, Started(at, settings={}))


def make_request(
    at: float,
    took: float = 0.0,
    steps: tuple[str, ...] = ("i-1:whole:0.1",),
    version: int = 4,
    **fields: Any,
) -> Line[RequestEnd]:
    message = RequestEnd(
        at, request="r-1", version=version, steps=steps, took=took, **fields
    )
    return Line(at, "b", message)


class TestLeavingRunners:
    def find(self, updates, *requests) -> Margin:
        return find_late_offer(updates, requests, 2.0)

    def test_the_latest_request_after_the_first_news(self):
        """Measured from the first gateway's update to the arrival."""
        updates = [
            make_runner_update(10.0, "leaving", 5),
            make_runner_update(11.0, "gone", 6),
        ]
        margin = self.find(
            updates, make_request(12.0, took=1.5), make_request(14.0, took=2.5)
        )
        assert margin.value == pytest.approx(1.5)
        assert margin.sense == "at least"
        assert margin.gateways == ("b", "a")

    def test_a_request_that_arrived_before_tells_nothing(self):
        """It may have been offered before the update."""
        margin = self.find(
            [make_runner_update(10.0, "gone", 5)], make_request(14.0, took=5.0)
        )
        assert margin.value is None

    @pytest.mark.parametrize("outcome", ["unreachable", "notrun", "broken"])
    def test_an_offer_that_may_not_have_come_is_left_out(self, outcome):
        """The runner may not have received it, or was not the one meant."""
        margin = self.find(
            [make_runner_update(10.0, "gone", 5)],
            make_request(14.0, steps=(f"i-1:{outcome}:0.1", "timeout")),
        )
        assert margin.value is None

    def test_a_runner_that_is_back_gets_requests(self):
        """A newer ready entry ends the unavailable period."""
        updates = [
            make_runner_update(10.0, "gone", 5),
            make_runner_update(12.0, "ready", 6),
        ]
        assert self.find(updates, make_request(14.0)).value is None

    def test_old_news_that_comes_late_does_not_bring_it_back(self):
        """An outdated ready entry must not end the unavailable period."""
        updates = [
            make_runner_update(10.0, "gone", 5),
            make_runner_update(11.0, "ready", 4, "c"),
            make_runner_update(12.0, "gone", 5, "c"),
        ]
        margin = self.find(updates, make_request(14.0))
        assert margin.value == pytest.approx(4.0)


class TestConfigurations:
    def test_the_longest_way_of_a_version(self):
        """Measured from the first gateway to the last one."""
        updates = [
            make_configuration(1.0, 4, "a"),
            make_configuration(1.5, 4, "b"),
            make_configuration(9.0, 5, "b"),
            make_configuration(9.2, 5, "a"),
        ]
        margin = find_slowest_propagation(updates, [make_start(0.5, "b")], 2.0)
        assert margin.value == pytest.approx(0.5)
        assert margin.gateways == ("b",)

    def test_a_gateway_that_skipped_a_version(self):
        """The delay of a skipped version ends with the next applied one."""
        updates = [
            make_configuration(1.0, 4, "a"),
            make_configuration(1.0, 4, "b"),
            make_configuration(2.0, 5, "a"),
            make_configuration(4.0, 6, "a"),
            make_configuration(4.5, 6, "b"),
        ]
        margin = find_slowest_propagation(updates, [], 2.0)
        assert margin.value == pytest.approx(2.5)
        assert margin.distance == pytest.approx(-0.5)
        assert margin.subject == "version 5"

    def test_a_gateway_that_started_since_was_not_late(self):
        """A gateway cannot apply a version before it starts."""
        updates = [
            make_configuration(1.0, 4, "a"),
            make_configuration(8.0, 4, "b"),
        ]
        starts = [make_start(0.5, "b"), make_start(7.0, "b")]
        assert find_slowest_propagation(updates, starts, 2.0).value is None

    def test_a_gateway_that_may_not_have_run_was_not_late(self):
        """Without a start line, it is unknown when the gateway started."""
        updates = [
            make_configuration(1.0, 4, "a"),
            make_configuration(8.0, 4, "b"),
        ]
        assert find_slowest_propagation(updates, [], 2.0).value is None

    def test_a_request_judged_by_an_older_version(self):
        """Measured from when the first gateway applied any newer version."""
        updates = [
            make_configuration(1.0, 4, "a"),
            make_configuration(2.0, 6, "a"),
            make_configuration(2.1, 5, "c"),
        ]
        requests = [
            make_request(4.0, took=0.5, version=4),
            make_request(9.0, took=0.5, version=6),
            make_request(9.0, took=0.5, version=0),
        ]
        margin = find_stalest_request(updates, requests, 2.0)
        assert margin.value == pytest.approx(1.5)
        assert margin.subject == "version 4"


class TestQuota:
    def find(self, *requests: Line[RequestEnd]) -> Margin:
        return find_quota_use(requests, 8.0, 0.1, 0.0)

    def make(self, at: float, units: float, **fields: Any) -> Line[RequestEnd]:
        quota = (0.0, 0.0, fields.pop("limit", 103.0), 0.0, 0.0)
        fields.setdefault("runs", ((0.0, units),))
        return make_request(
            at, workspace="w", units=units, quota=quota, **fields
        )

    def test_the_fullest_window_slides(self):
        """The window of eight seconds may start at any request."""
        margin = self.find(
            self.make(0.0, 40), self.make(7.0, 40), self.make(8.5, 37)
        )
        # The allowance is a quota of 100 plus an overage of a tenth.
        assert margin.value == pytest.approx(80 / 110)
        assert margin.subject == "w"

    def test_the_promise_comes_from_the_limit(self):
        """The allowance inverts the computation of the enforced limit."""
        workspace = Workspace("w", (), rate=1000.0, burst=500.0)
        bounds = QuotaBounds(8.0, 0.1, 140.0)
        limit = compute_limit(bounds, workspace)
        assert compute_allowance(limit, 0.1, 140.0) == pytest.approx(
            8500 * 1.1 + 140
        )

    def test_a_gateway_that_hears_few_lowers_no_promise(self):
        """The largest limit of a configuration determines the allowance."""
        margin = self.find(self.make(0.0, 50), self.make(1.0, 5, limit=10.0))
        assert margin.value == pytest.approx(55 / 110)

    def test_a_change_of_the_limit_within_a_window(self):
        """The larger allowance applies to a window with both limits."""
        margin = self.find(
            self.make(0.0, 50),
            self.make(1.0, 5, limit=10.3, version=5),
        )
        assert margin.value == pytest.approx(55 / 110)

    def test_what_did_not_run_is_no_use(self):
        """Units of requests that did not run were returned."""
        refused = self.make(0.0, 50, steps=("i-1:notrun:0.1",), runs=())
        assert self.find(refused).value is None

    def test_each_run_counts_when_it_begins(self):
        """Guards against counting a request once, when it arrives."""
        margin = self.find(
            self.make(9.0, 80, took=9.0, runs=((0.5, 40), (8.0, 40))),
            self.make(9.0, 40, took=9.0, runs=((8.4, 40),)),
        )
        assert margin.value == pytest.approx(120 / 110)

    def test_without_bounds_it_is_not_told(self):
        """The length of the window has no default."""
        assert find_quota_use([self.make(0.0, 1)], None, None, None).untold


class TestLongestWant:
    def make(self, at: float, outcome: str, seconds: float):
        fetch = ConfigurationFetch(
            at, peer="b", outcome=outcome, wanted=7, wanted_seconds=seconds
        )
        return Line(at, "a", fetch)

    def test_the_longest_time_without_a_version_is_named(self):
        """Guards against a slow fetch that no margin shows."""
        lines = [
            self.make(1.0, "version 7", 0.2),
            self.make(2.0, "failed", 9.0),
            self.make(3.0, "version 7", 1.5),
        ]
        found = find_longest_want(lines, 2.0)
        assert (found.value, found.at, found.gateways) == (1.5, 3.0, ("a",))

    def test_logs_without_fetches_say_so(self):
        found = find_longest_want([], 2.0)
        assert found.value is None
        assert found.what
