"""Lateness of news and use of quotas, as gateways' logs tell them."""

from typing import Any

import pytest

from lagoonpost.margins.line import (
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
    find_slowest_propagation,
    find_stalest_request,
)
from lagoonpost.systems.quota_limit import compute_limit
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.quota import QuotaBounds


def make_news(
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
    **more: Any,
) -> Line[RequestEnd]:
    said = RequestEnd(
        at, request="r-1", version=version, steps=steps, took=took, **more
    )
    return Line(at, "b", said)


class TestLeavingRunners:
    def find(self, news, *requests) -> Margin:
        return find_late_offer(news, requests, 2.0)

    def test_the_latest_request_after_the_first_news(self):
        """It counts from the first gateway that knew, to its arrival."""
        news = [make_news(10.0, "leaving", 5), make_news(11.0, "gone", 6)]
        margin = self.find(
            news, make_request(12.0, took=1.5), make_request(14.0, took=2.5)
        )
        assert margin.value == pytest.approx(1.5)
        assert margin.sense == "at least"
        assert margin.gateways == ("b", "a")

    def test_a_request_that_arrived_before_tells_nothing(self):
        """Whether it was offered before the news or after is unknown."""
        margin = self.find(
            [make_news(10.0, "gone", 5)], make_request(14.0, took=5.0)
        )
        assert margin.value is None

    @pytest.mark.parametrize("outcome", ["unreachable", "notrun", "broken"])
    def test_an_offer_that_may_not_have_come_is_left_out(self, outcome):
        """Its runner may never have got it, or was not the one meant."""
        margin = self.find(
            [make_news(10.0, "gone", 5)],
            make_request(14.0, steps=(f"i-1:{outcome}:0.1", "timeout")),
        )
        assert margin.value is None

    def test_a_runner_that_is_back_gets_requests(self):
        """Its new entry ends the time in which it gets none."""
        news = [make_news(10.0, "gone", 5), make_news(12.0, "ready", 6)]
        assert self.find(news, make_request(14.0)).value is None

    def test_old_news_that_comes_late_does_not_bring_it_back(self):
        """A gateway that learns the entry before the last ends nothing."""
        news = [
            make_news(10.0, "gone", 5),
            make_news(11.0, "ready", 4, "c"),
            make_news(12.0, "gone", 5, "c"),
        ]
        margin = self.find(news, make_request(14.0))
        assert margin.value == pytest.approx(4.0)


class TestConfigurations:
    def test_the_longest_way_of_a_version(self):
        """From the first gateway that has it to the last."""
        news = [
            make_configuration(1.0, 4, "a"),
            make_configuration(1.5, 4, "b"),
            make_configuration(9.0, 5, "b"),
            make_configuration(9.2, 5, "a"),
        ]
        margin = find_slowest_propagation(news, [make_start(0.5, "b")], 2.0)
        assert margin.value == pytest.approx(0.5)
        assert margin.gateways == ("b",)

    def test_a_gateway_that_skipped_a_version(self):
        """It was late with the version it never had, until the next."""
        news = [
            make_configuration(1.0, 4, "a"),
            make_configuration(1.0, 4, "b"),
            make_configuration(2.0, 5, "a"),
            make_configuration(4.0, 6, "a"),
            make_configuration(4.5, 6, "b"),
        ]
        margin = find_slowest_propagation(news, [], 2.0)
        assert margin.value == pytest.approx(2.5)
        assert margin.distance == pytest.approx(-0.5)
        assert margin.subject == "version 5"

    def test_a_gateway_that_started_since_was_not_late(self):
        """It could not have had the version before it ran."""
        news = [
            make_configuration(1.0, 4, "a"),
            make_configuration(8.0, 4, "b"),
        ]
        starts = [make_start(0.5, "b"), make_start(7.0, "b")]
        assert find_slowest_propagation(news, starts, 2.0).value is None

    def test_a_gateway_that_may_not_have_run_was_not_late(self):
        """A log may begin long after its gateway, or with it."""
        news = [
            make_configuration(1.0, 4, "a"),
            make_configuration(8.0, 4, "b"),
        ]
        assert find_slowest_propagation(news, [], 2.0).value is None

    def test_a_request_judged_by_an_older_version(self):
        """It counts from when the first gateway had any newer one."""
        news = [
            make_configuration(1.0, 4, "a"),
            make_configuration(2.0, 6, "a"),
            make_configuration(2.1, 5, "c"),
        ]
        requests = [
            make_request(4.0, took=0.5, version=4),
            make_request(9.0, took=0.5, version=6),
            make_request(9.0, took=0.5, version=0),
        ]
        margin = find_stalest_request(news, requests, 2.0)
        assert margin.value == pytest.approx(1.5)
        assert margin.subject == "version 4"


class TestQuota:
    def find(self, *requests: Line[RequestEnd]) -> Margin:
        return find_quota_use(requests, 8.0, 0.1, 0.0)

    def make(self, at: float, units: float, **more: Any) -> Line[RequestEnd]:
        quota = (0.0, 0.0, 0.0, more.pop("limit", 103.0), 0.0, 0.0)
        return make_request(
            at, workspace="w", units=units, quota=quota, **more
        )

    def test_the_fullest_window_slides(self):
        """Requests of eight seconds count together, wherever they begin."""
        margin = self.find(
            self.make(0.0, 40), self.make(7.0, 40), self.make(8.5, 37)
        )
        # The promise is a quota of 100 and a tenth.
        assert margin.value == pytest.approx(80 / 110)
        assert margin.subject == "w"

    def test_the_promise_comes_from_the_limit(self):
        """It is the reverse of what gateways keep to."""
        workspace = Workspace("w", (), rate=1000.0, burst=500.0)
        bounds = QuotaBounds(8.0, 0.1, 140.0)
        limit = compute_limit(bounds, workspace)
        assert compute_allowance(limit, 0.1, 140.0) == pytest.approx(
            8500 * 1.1 + 140
        )

    def test_a_gateway_that_hears_few_lowers_no_promise(self):
        """The largest limit of a configuration tells it."""
        margin = self.find(self.make(0.0, 50), self.make(1.0, 5, limit=10.0))
        assert margin.value == pytest.approx(55 / 110)

    def test_a_change_of_the_limit_within_a_window(self):
        """The higher promise holds for requests of both."""
        margin = self.find(
            self.make(0.0, 50),
            self.make(1.0, 5, limit=10.3, version=5),
        )
        assert margin.value == pytest.approx(55 / 110)

    def test_what_did_not_run_is_no_use(self):
        """Its units were given back."""
        refused = self.make(0.0, 50, steps=("i-1:notrun:0.1",))
        assert self.find(refused).value is None

    def test_without_bounds_it_is_not_told(self):
        """The length of the window is not guessed."""
        assert find_quota_use([self.make(0.0, 1)], None, None, None).untold
