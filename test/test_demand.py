"""The measured demand for model runners."""

import pytest

from lagoonpost.systems.demand import (
    DemandMeter,
    Sample,
    estimate_initial_busy,
)
from lagoonpost.tables.configuration import Workspace

PACE = 1 / 30_000


def play(meter, seconds, rate, waiting=0.0, start=0.0, total=0.0):
    steps = int(seconds * 2)
    for step in range(steps):
        at = start + step / 2
        meter.note(Sample(at, total + rate * step / 2, waiting, PACE))
    return start + seconds, total + rate * seconds


class TestDemandMeter:
    def test_the_rate_in_runners(self):
        meter = DemandMeter(starts_idle=True)
        play(meter, 20, 45_000)
        assert meter.busy() == pytest.approx(1.5, rel=0.01)

    def test_what_waits_counts_where_the_rate_says_nothing(self):
        """Guards against a slow runner that the token rate does not show.

        A runner becomes five times slower while the rate of prompts stays the
        same, and each caller of that runner waits for seconds.
        """
        meter = DemandMeter(starts_idle=True)
        at, total = play(meter, 10, 30_000)
        play(meter, 4, 30_000, waiting=90_000, start=at, total=total)
        assert meter.busy() > 3

    def test_one_long_prompt_is_no_burst(self):
        meter = DemandMeter(starts_idle=True)
        at, total = play(meter, 10, 20_000, waiting=2_000)
        meter.note(Sample(at, total, 42_000, PACE))
        assert meter.busy() < 1.5

    def test_it_falls_slowly(self):
        meter = DemandMeter(starts_idle=True)
        at, total = play(meter, 10, 60_000)
        at, total = play(meter, 10, 0, start=at, total=total)
        assert meter.busy() > 0.8
        play(meter, 60, 0, start=at, total=total)
        assert meter.busy() < 0.1

    def test_nothing_is_known_in_the_first_seconds_after_a_restart(self):
        meter = DemandMeter(starts_idle=False)
        at, total = play(meter, 4, 30_000)
        assert meter.busy() is None
        play(meter, 4, 30_000, start=at, total=total)
        assert meter.busy() == pytest.approx(1.0, rel=0.05)

    def test_a_counter_that_begins_anew_is_no_negative_load(self):
        meter = DemandMeter(starts_idle=True)
        meter.note(Sample(0.0, 1e6, 0, PACE))
        meter.note(Sample(5.0, 0.0, 0, PACE))
        assert meter.busy() == 0


class TestExpected:
    LARGE = Workspace("large", ("k",), rate=400_000, by_tokens=True)
    COUNTED = Workspace("counted", ("k",), rate=50)

    def test_runners_wait_for_the_first_callers(self):
        """Guards against removing runners before the first request.

        A system starts some seconds before its callers arrive. Runners that
        are removed in these seconds are missing for a start-up.
        """
        pace = 1 / 30_000
        expected = estimate_initial_busy([self.LARGE, self.COUNTED], pace)
        assert expected == pytest.approx(200_000 * pace)
        meter = DemandMeter(True, expected)
        for tick in range(40):
            meter.note(Sample(tick * 0.5, 0.0, 0.0, pace))
        assert meter.busy() == expected

    def test_what_was_expected_is_forgotten_once_callers_came(self):
        pace = 1 / 30_000
        meter = DemandMeter(True, 10.0)
        for tick in range(100):
            meter.note(Sample(tick * 0.5, 3_000.0 * tick, 0.0, pace))
        assert meter.busy() < 1.0
