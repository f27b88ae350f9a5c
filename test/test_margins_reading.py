"""Tests of the log reader: both log formats and invalid lines."""

import json

import pytest
from margin_logs import EPOCH, make_started, make_usage, write

from lagoonpost.margins.duties import list_calls
from lagoonpost.margins.line import DutyCall
from lagoonpost.margins.log_reader import LogError, read_logs


class TestReading:
    def test_a_restarted_gateway_is_the_same_in_another_file(self, tmp_path):
        """A gateway is identified by its settings, not by its log file."""
        path = write(
            tmp_path / "1.log", make_usage(0, 1), make_started(1, "edge-1")
        )
        after = write(
            tmp_path / "2.log", make_started(9, "edge-1"), make_usage(10, 1)
        )
        lines = read_logs([path, after]).find(DutyCall)
        assert [line.gateway for line in lines] == ["edge-1", "edge-1"]

    def test_a_log_that_names_no_gateway_has_its_files_name(self, tmp_path):
        """A log may begin after the gateway's start line."""
        path = write(tmp_path / "edge-1.log", make_usage(0, 1))
        (line,) = read_logs([path]).find(DutyCall)
        assert line.gateway == "edge-1"

    def test_two_gateways_in_one_log_are_a_fault(self, tmp_path):
        """The lines in between could not be attributed."""
        path = write(
            tmp_path / "a.log", make_started(0, "a"), make_started(1, "b")
        )
        with pytest.raises(LogError, match=r"a\.log, line 2: .*log of a"):
            read_logs([path])

    @pytest.mark.parametrize(
        "bad",
        [
            "Traceback (most recent call last):",
            '{"message_type": "lagoonpost:du',
            "[1, 2]",
            "",
            '{"message_type": "lagoonpost:duties:usage", "fence": "x"}',
        ],
    )
    def test_a_line_that_cant_be_read_is_named(self, tmp_path, bad):
        """Invalid lines must not be skipped: they may hold the minimum."""
        good = json.dumps(make_usage(0, 1))
        path = tmp_path / "a.log"
        path.write_text(f"{good}\n{bad}\n{good}\n")
        with pytest.raises(LogError, match=r"a\.log, line 2: "):
            read_logs([path])

    def test_text_before_the_first_line_is_a_fault(self, tmp_path):
        """Only a combined log may contain other text."""
        path = tmp_path / "a.log"
        path.write_text(f"built\n{json.dumps(make_usage(0, 1))}\n")
        with pytest.raises(LogError, match="line 1: no JSON object"):
            read_logs([path])

    def test_text_after_the_last_line_is_a_fault(self, tmp_path):
        """A gateway's own log contains only JSON objects."""
        path = tmp_path / "a.log"
        path.write_text(f"{json.dumps(make_usage(0, 1))}\nended")
        with pytest.raises(LogError, match="line 2: no JSON object"):
            read_logs([path])

    def test_lines_of_several_logs_are_in_the_order_of_time(self, tmp_path):
        """The order of the arguments does not matter."""
        late = write(tmp_path / "a.log", make_usage(5, 2))
        early = write(tmp_path / "b.log", make_usage(1, 1))
        lines = read_logs([late, early]).find(DutyCall)
        assert [line.gateway for line in lines] == ["b", "a"]

    def test_a_file_without_any_line_is_a_fault(self, tmp_path):
        """A wrong file must not be read as a log without events."""
        path = tmp_path / "a.log"
        path.write_text("a report\n")
        with pytest.raises(LogError, match="line 1: no JSON object"):
            read_logs([path])

    def test_the_end_of_a_killed_process_is_passed_over(self, tmp_path):
        """Its last line may be truncated and is skipped."""
        path = tmp_path / "a.log"
        path.write_text(f'{json.dumps(make_usage(0, 1))}\n{{"message_ty')
        assert len(read_logs([path]).find(DutyCall)) == 1

    def test_lines_of_other_kinds_are_not_looked_into(self, tmp_path):
        """Their fields may have the same names but other types."""
        other = {"message_type": "lagoonpost:gateway:moved", "version": "x"}
        path = write(tmp_path / "a.log", other, make_usage(0, 1))
        assert len(read_logs([path]).find(DutyCall)) == 1

    def test_a_log_of_many_gateways(self, tmp_path):
        """Lines are prefixed by time and name; other text is skipped."""
        usage = json.dumps(make_usage(900.0, 4, sent_at=EPOCH + 899.5))
        path = tmp_path / "day.txt"
        path.write_text(
            "built in 9.9 s\n"
            f" -11.9950 edge-1 {json.dumps(make_started(-11.995, 'edge-1'))}\n"
            "  13.2000 edge-1 Traceback (most recent call last):\n"
            f"  13.2684 edge-2 {usage}\n"
            "rules broken: none\n"
            '    0.220 s  the client gets {"a": 1}\n'
        )
        logs = read_logs([path])
        (line,) = logs.find(DutyCall)
        assert line.gateway == "edge-2"
        assert logs.start == pytest.approx(EPOCH, abs=1e-3)
        # The host's clock may be wrong; the elapsed time of the prefix is
        # not.
        (call,) = list_calls([line])
        assert call.at - logs.start == pytest.approx(13.2684 - 0.5)

    def test_a_line_of_many_that_cant_be_read_is_named(self, tmp_path):
        """A line with a valid prefix must hold a valid object."""
        path = tmp_path / "day.txt"
        path.write_text('built\n  13.2684 edge-2 {"message_type": "lag\n')
        with pytest.raises(LogError, match=r"day\.txt, line 2: "):
            read_logs([path])

    def test_bounds_are_those_that_gateways_were_told(self, tmp_path):
        """Bounds come from the logged settings, not from defaults."""
        path = write(tmp_path / "a.log", make_started(0, "a"))
        assert read_logs([path]).find_bound("lease_seconds") == 3.0
        bare = write(tmp_path / "b.log", make_usage(0, 1))
        assert read_logs([bare]).find_bound("lease_seconds") is None
