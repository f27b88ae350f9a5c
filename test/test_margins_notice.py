"""Tests of the margins of runners that leave or rest by their answers."""

from lagoonpost.margins.line import Line, Notice, RequestEnd, RunnerUpdate
from lagoonpost.margins.notice import (
    find_offer_after_notice,
    find_requests_in_rest,
)


def make_notice(
    at: float, rest: float | None = None, gateway: str = "a"
) -> Line[Notice]:
    message = Notice(
        at, runner="i-1", born=1000, leaving=rest is None, rest=rest
    )
    return Line(at, gateway, message)


def make_request(
    arrived: float, took: float = 0.1, step: str = "i-1:whole:0.1"
) -> Line[RequestEnd]:
    at = arrived + took
    message = RequestEnd(at, request="r", version=4, steps=(step,), took=took)
    return Line(at, "a", message)


def make_start(at: float, born: int) -> Line[RunnerUpdate]:
    message = RunnerUpdate(
        at, runner="i-1", version=4, state="ready", born=born
    )
    return Line(at, "a", message)


class TestDepartures:
    def test_the_latest_offer_by_the_gateway_that_was_told(self):
        requests = [make_request(at) for at in (9.0, 11.0, 10.5)]
        notices = [make_notice(8.0, gateway="b"), make_notice(10.0)]
        margin = find_offer_after_notice(notices, [], requests, 2.0)
        assert (margin.value, margin.bound, margin.subject) == (
            1.0,
            2.0,
            "i-1",
        )

    def test_offers_that_did_not_reach_it_do_not_count(self):
        requests = [make_request(11.0, step="i-1:withheld:0.1")]
        notices = [make_notice(10.0)]
        found = find_offer_after_notice(notices, [], requests, 2.0)
        assert found.value is None

    def test_only_a_later_start_ends_it(self):
        notices, requests = [make_notice(10.0)], [make_request(20.0)]
        same, later = make_start(15.0, 1000), make_start(15.0, 2000)
        found = find_offer_after_notice(notices, [same], requests, 2.0)
        assert found.value == 10.0
        found = find_offer_after_notice(notices, [later], requests, 2.0)
        assert found.value is None


class TestRests:
    def test_the_most_requests_in_one(self):
        requests = [make_request(at) for at in (10.2, 10.6, 11.0, 12.8, 14.0)]
        notices = [make_notice(5.0, rest=1.0), make_notice(10.0, rest=3.0)]
        margin = find_requests_in_rest(notices, requests)
        assert (margin.value, margin.bound, margin.at) == (3.0, 2.0, 10.0)
        assert margin.distance < 0

    def test_what_may_have_been_offered_after_it_does_not_count(self):
        notices, requests = (
            [make_notice(10.0, rest=3.0)],
            [make_request(12.8, took=0.5)],
        )
        assert find_requests_in_rest(notices, requests).value == 0.0

    def test_no_rest(self):
        assert find_requests_in_rest([make_notice(1.0)], []).value is None
