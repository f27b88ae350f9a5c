"""Tests of what runners say of themselves in the heads of their answers."""

import math

import pytest

from lagoonpost.platform.headers import read_notice
from lagoonpost.tables.runner_notice import NO_NOTICE, RunnerNotice
from lagoonpost.tables.stated_limits import NO_LIMITS, StatedLimits


class TestStatedLimits:
    @pytest.mark.parametrize(
        ("text", "rate"), [("8", 8.0), ("0.5", 0.5), (" 12.25 ", 12.25)]
    )
    def test_a_decimal_number(self, text, rate):
        headers = (("server-limit", text), ("server-brittle", "4"))
        assert read_notice(200, headers).limits == StatedLimits(rate, 4.0)

    def test_a_limit_of_0_is_one(self):
        assert read_notice(200, (("server-limit", "0"),)).limits.rate == 0.0

    @pytest.mark.parametrize("text", ["", "many", "nan", "inf", "-1", "1e999"])
    def test_what_is_no_limit(self, text):
        """Guards against rates with which no time can be computed."""
        headers = (("server-limit", text), ("server-brittle", text))
        assert read_notice(200, headers).limits == NO_LIMITS


class TestNotices:
    def test_an_answer_that_says_nothing(self):
        assert read_notice(200, (("content-length", "3"),)) == NO_NOTICE

    def test_a_runner_that_leaves_says_so_in_any_answer(self):
        for status in (200, 404, 500):
            notice = read_notice(status, (("server-leaving", "1"),))
            assert notice == RunnerNotice(leaving=True)
        assert not read_notice(200, (("server-leaving", "0"),)).leaving

    @pytest.mark.parametrize(
        ("text", "rest"), [("3", 3.0), ("0.25", 0.25), (" 2 ", 2.0)]
    )
    def test_a_rest_in_seconds(self, text, rest):
        headers = (("not-executed", "1"), ("retry-after", text))
        assert read_notice(503, headers) == RunnerNotice(True, rest=rest)
        assert read_notice(503, headers[1:]).rest == rest

    @pytest.mark.parametrize(
        "text", ["soon", "nan", "Fri, 04 Dec 2026 03:00:00 GMT"]
    )
    def test_a_rest_of_unreadable_length(self, text):
        """Guards against a wish for rest that is lost with its length."""
        rest = read_notice(503, (("retry-after", text),)).rest
        assert rest is not None
        assert math.isnan(rest)

    def test_other_answers_ask_for_no_rest(self):
        """Guards against limits of workspaces that are taken for a rest."""
        assert read_notice(429, (("retry-after", "3"),)).rest is None
        assert read_notice(503, (("not-executed", "1"),)).rest is None
