"""Usage windows: counting requests and finding due reports."""

from lagoonpost.forwarding.usage_counter import UsageCounter
from lagoonpost.systems.usage import find_due_windows, sum_begun_requests
from lagoonpost.tables.gateway_report import GatewayReport


def make_report(run: str, begun: dict[int, dict[str, int]]) -> GatewayReport:
    return GatewayReport("gateway", run, {}, {}, {}, begun, {}, {}, {}, 1, {})


class TestSumBegun:
    def test_runs_of_one_gateway_add_up(self):
        """Guards against losing counts of a gateway that restarts.

        It is killed in the middle of a window, and what it counted before
        still belongs to the window.
        """
        reports = [
            make_report("before", {7: {"a": 2}, 8: {"a": 1}}),
            make_report("after", {7: {"a": 3, "b": 1}}),
        ]
        assert sum_begun_requests(reports, 7) == {"a": 5, "b": 1}


class TestFindDue:
    def test_a_window_is_due_once_its_counts_have_settled(self):
        assert find_due_windows(105.9, 5.0, 10.0, ()) == [19]
        assert find_due_windows(106.1, 5.0, 10.0, ()) == [19, 20]
        assert find_due_windows(106.1, 5.0, 10.0, [19, 20]) == []


class TestUsageCount:
    def test_windows(self):
        now = 99.0
        usage = UsageCounter(5.0, lambda: now)
        usage.record_begun("a")
        now = 100.0
        usage.record_begun("a")
        usage.record_begun("b")
        assert usage.begun == {19: {"a": 1}, 20: {"a": 1, "b": 1}}

    def test_old_windows_are_forgotten(self):
        now = 0.0
        usage = UsageCounter(5.0, lambda: now)
        for step in range(100):
            now = step * 5.0
            usage.record_begun("a")
        assert len(usage.begun) <= 8
