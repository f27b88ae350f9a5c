"""Tests of `lagoonpost margins`, and of the margins of duties and leases."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from margin_logs import EPOCH, make_started, make_usage, write

from lagoonpost.cli.main import main
from lagoonpost.cli.option import ExitCode
from lagoonpost.margins.duties import (
    RETURN_BY_CALLS,
    SentCall,
    Tenure,
    find_holder_returns,
    find_lease_returns,
    find_shared_fences,
    find_shared_lease_fences,
    list_calls,
    list_tenures,
)
from lagoonpost.margins.line import DutyCall, LeaseChange, Line
from lagoonpost.margins.margin import Margin

BOUND = 3.0


def make_call(
    at: float,
    holder: str,
    fence: int,
    outcome: str = "done",
    subject: str = "usage",
) -> SentCall:
    return SentCall(subject, at, holder, fence, outcome, "call", holder, True)


def find_return(*calls: SentCall) -> Margin:
    (margin,) = find_holder_returns(calls, BOUND)
    return margin


def make_tenure(
    holder: str, fence: int, since: float, until: float | None
) -> Tenure:
    return Tenure("lease/duties", holder, fence, since, until=until)


class TestReturns:
    def test_a_holder_that_is_back_counts_from_its_last_call(self):
        """Measured from A's last call before B's to A's first one after."""
        margin = find_return(
            make_call(0.0, "a", 3),
            make_call(1.0, "a", 3),
            make_call(2.0, "b", 4),
            make_call(3.5, "a", 5),
            make_call(9.0, "a", 5),
        )
        assert margin.value == pytest.approx(2.5)
        assert margin.distance == pytest.approx(-0.5)
        assert margin.at == 3.5
        assert margin.gateways == ("a", "b")

    def test_the_soonest_of_several_returns_is_told(self):
        """A later but faster return must be reported instead of the first."""
        margin = find_return(
            make_call(0.0, "a", 1),
            make_call(1.0, "b", 2),
            make_call(8.0, "a", 3),
            make_call(8.5, "b", 4),
            make_call(9.0, "a", 5),
        )
        assert margin.value == pytest.approx(1.0)
        assert margin.at == 9.0

    def test_several_others_between_are_one_return(self):
        """A, B, C, A is one return of A, however many holders intervene."""
        margin = find_return(
            make_call(0.0, "a", 1),
            make_call(0.5, "b", 2),
            make_call(1.0, "c", 3),
            make_call(2.0, "a", 4),
        )
        assert margin.value == pytest.approx(2.0)

    def test_a_change_without_a_return_has_no_value(self):
        """Repeated calls or a change of the holder are not a return."""
        margin = find_return(
            make_call(0.0, "a", 1),
            make_call(1.0, "a", 1),
            make_call(1.1, "b", 2),
        )
        assert margin.value is None
        assert not margin.untold

    @pytest.mark.parametrize("outcome", ["fenced", "refused"])
    def test_a_call_without_effect_is_no_act(self, outcome):
        """Calls rejected by the platform are ignored."""
        margin = find_return(
            make_call(0.0, "a", 1),
            make_call(1.0, "b", 2, outcome),
            make_call(2.0, "a", 1),
        )
        assert margin.value is None

    def test_a_call_without_an_answer_may_have_acted(self):
        """An unanswered call counts and is reported as such."""
        margin = find_return(
            make_call(0.0, "a", 1),
            make_call(1.0, "b", 2, "unknown"),
            make_call(2.0, "a", 3),
        )
        assert margin.value == pytest.approx(2.0)
        assert "no answer" in margin.what

    def test_subjects_are_apart(self):
        """Usage by A, an order by B and usage by A are not a return."""
        margins = find_holder_returns(
            [
                make_call(0.0, "a", 1),
                make_call(1.0, "b", 2, subject="model in north"),
                make_call(2.0, "a", 3),
            ],
            BOUND,
        )
        assert [margin.subject for margin in margins] == [
            "model in north",
            "usage",
        ]
        assert [margin.value for margin in margins] == [None, None]

    def test_no_call_at_all_is_told(self):
        """Logs without calls yield a margin without a value."""
        (margin,) = find_holder_returns([], BOUND)
        assert margin.rule == RETURN_BY_CALLS
        assert margin.value is None


class TestCalls:
    def test_takes_holder_and_time_of_the_sending(self):
        """A slow reply must not shift the time of its call."""
        message = DutyCall(
            EPOCH + 2.0,
            outcome="done",
            fence=3,
            holder="a",
            sent_at=EPOCH + 0.5,
            window=7,
        )
        (call,) = list_calls([Line(102.0, "other", message)])
        assert call.at == pytest.approx(100.5)
        assert call.holder == "a"
        assert call.recorded_at_send

    def test_takes_the_logs_name_and_time_without_them(self):
        """Without holder and sending time, the line's own values are used."""
        message = DutyCall(
            EPOCH, outcome="done", fence=3, service="m", failure_domain="d"
        )
        (call,) = list_calls([Line(EPOCH, "a", message)])
        assert (call.at, call.holder, call.subject) == (EPOCH, "a", "m in d")
        assert not call.recorded_at_send

    def test_puts_calls_in_the_order_of_sending(self):
        """Calls are not ordered by the arrival of their replies."""
        slow = DutyCall(5.0, outcome="done", fence=1, sent_at=1.0, window=1)
        fast = DutyCall(3.0, outcome="done", fence=2, sent_at=2.0, window=1)
        calls = list_calls([Line(3.0, "b", fast), Line(5.0, "a", slow)])
        assert [call.holder for call in calls] == ["a", "b"]


class TestSharedFences:
    def test_two_holders_with_one_fence_on_a_subject(self):
        """Counted even if the platform rejected one of the calls."""
        margin = find_shared_fences(
            [make_call(0.0, "a", 3), make_call(1.0, "b", 3, "fenced")]
        )
        assert margin.value == 1
        assert margin.distance == -1
        assert margin.gateways == ("a", "b")

    def test_the_same_fence_on_other_subjects_or_by_one_holder(self):
        """Neither case counts as a shared fence."""
        margin = find_shared_fences(
            [
                make_call(0.0, "a", 3),
                make_call(1.0, "a", 3),
                make_call(1.0, "b", 3, subject="model in north"),
            ]
        )
        assert margin.value == 0

    def test_says_if_the_fence_is_that_after_the_call(self):
        """Older logs may contain a fence that was never sent."""
        call_with_late_fence = make_call(1.0, "b", 3)._replace(
            recorded_at_send=False
        )
        margin = find_shared_fences(
            [make_call(0.0, "a", 3), call_with_late_fence]
        )
        assert "as it was after the call" in margin.what

    def test_two_holders_of_a_lease_with_one_fence(self):
        """A store restored from an older copy may issue a fence twice."""
        margin = find_shared_lease_fences(
            [
                make_tenure("a", 3, 0.0, None),
                make_tenure("b", 3, 5.0, 6.0),
                make_tenure("b", 4, 7.0, 8.0),
            ]
        )
        assert margin.value == 1
        assert margin.gateways == ("a", "b")


class TestTenures:
    def read(self, *changes: tuple[float, str, bool, int]) -> list[Tenure]:
        return list_tenures(
            Line(
                at,
                holder,
                LeaseChange(
                    at,
                    lease="lease/duties",
                    holder=holder,
                    held=held,
                    fence=fence,
                ),
            )
            for at, holder, held, fence in changes
        )

    def test_tell_how_long_each_held_it(self):
        """A tenure lasts from acquiring the lease to losing it."""
        tenures = self.read(
            (1.0, "a", True, 1), (3.0, "a", False, 1), (3.5, "b", True, 2)
        )
        assert [tenure.seconds for tenure in tenures] == [2.0, None]

    def test_a_killed_holders_end_is_not_guessed(self):
        """The end is unknown if the holder was killed before logging it."""
        tenures = self.read((1.0, "a", True, 1), (9.0, "a", True, 3))
        assert [tenure.until for tenure in tenures] == [None, None]

    def test_the_soonest_return_to_the_lease(self):
        """Reported with the duration of the other holder's tenure."""
        (margin,) = find_lease_returns(
            [
                make_tenure("a", 1, 0.0, 1.0),
                make_tenure("b", 2, 1.2, 2.0),
                make_tenure("a", 3, 3.1, 9.0),
            ],
            BOUND,
        )
        assert margin.value == pytest.approx(2.1)
        assert "b held it for 0.800 s" in margin.what

    def test_the_soonest_of_several_returns_to_the_lease(self):
        """A later but faster return must be reported instead of the first."""
        (margin,) = find_lease_returns(
            [
                make_tenure("a", 1, 0.0, 1.0),
                make_tenure("b", 2, 1.2, 2.0),
                make_tenure("a", 3, 3.1, 4.0),
                make_tenure("b", 4, 4.1, 4.2),
                make_tenure("a", 5, 4.5, 9.0),
            ],
            BOUND,
        )
        assert margin.value == pytest.approx(0.5)

    def test_no_lease_at_all_is_told(self):
        """Logs without a lease yield a margin that states so."""
        (margin,) = find_lease_returns([], BOUND)
        assert margin.what == "no lease was taken"

    def test_a_return_after_a_kill_is_not_told(self):
        """Without the end of the first tenure there is no value."""
        (margin,) = find_lease_returns(
            [
                make_tenure("a", 1, 0.0, None),
                make_tenure("b", 2, 1.2, 2.0),
                make_tenure("a", 3, 3.1, 9.0),
            ],
            BOUND,
        )
        assert margin.value is None
        assert margin.untold


class TestCommand:
    def run(self, *arguments: str | Path) -> Result:
        texts = [str(argument) for argument in arguments]
        return CliRunner().invoke(main, ["margins", *texts])

    @pytest.fixture
    def logs(self, tmp_path):
        first = write(
            tmp_path / "a.log",
            make_started(0, "edge-a"),
            make_usage(7.682, 3),
            make_usage(10.655, 5),
        )
        second = write(
            tmp_path / "b.log",
            make_started(0.5, "edge-b"),
            make_usage(8.77, 4),
        )
        return "--logs", first, "--logs", second

    def test_tells_a_return_over_several_logs(self, logs):
        """Lines of two gateways are merged by time."""
        result = self.run(*logs)
        assert result.exit_code == ExitCode.OK
        row = next(
            line
            for line in result.output.splitlines()
            if line.startswith(RETURN_BY_CALLS)
        )
        assert "2.973 s" in row
        assert "-0.027 s" in row
        assert "10.655" in row
        assert "[edge-a, edge-b]" in row

    def test_says_what_no_log_tells(self, logs):
        """Rules that cannot be checked have a row without a value."""
        output = self.run(*logs).output
        assert "requests that run more than once" in output
        assert "not told by the logs" in output

    def test_the_same_for_programs(self, logs):
        """The JSON document contains the distance of each margin."""
        document = json.loads(self.run(*logs, "--json").output)
        margin = document["margins"][0]
        assert margin["rule"] == RETURN_BY_CALLS
        assert margin["distance"] == pytest.approx(-0.027, abs=1e-6)
        assert margin["gateways"] == ["edge-a", "edge-b"]
        assert margin["at"] - document["start"] == pytest.approx(10.655)

    def test_tells_who_held_the_duties(self, tmp_path):
        """The output has one row per tenure."""
        change = {
            "lease": "lease/duties",
            "holder": "edge-a",
            "held": True,
            "fence": 3,
            "timestamp": EPOCH,
            "message_type": "lagoonpost:controller:lease",
        }
        end = {**change, "held": False, "timestamp": EPOCH + 2.859}
        path = write(tmp_path / "edge-a.log", change, end)
        assert "2.859    edge-a" in self.run("--logs", path).output

    def test_tells_of_lines_that_were_dropped(self, tmp_path):
        """Logs with gaps may hide smaller margins, so the gaps are shown."""
        path = tmp_path / "edge-a.log"
        dropped = {"message_type": "lagoonpost:log:dropped", "lines": 12}
        write(path, make_usage(0, 1), dropped)
        assert "12 lines are missing" in self.run("--logs", path).output

    def test_names_a_line_that_cant_be_read(self, tmp_path):
        """The command fails with an error and prints no table."""
        path = tmp_path / "edge-a.log"
        path.write_text("no log\n")
        result = self.run("--logs", path)
        assert result.exit_code == ExitCode.FAILED
        assert "edge-a.log, line 1: no JSON object" in result.output
