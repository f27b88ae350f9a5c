"""The load that a new leader measures."""

from types import SimpleNamespace

import pytest

from lagoonpost.forwarding import duties
from lagoonpost.forwarding.duties import LeaderDuties
from lagoonpost.tables.gateway_report import GatewayReport

PACE = 1 / 30_000
RATE = 30_000.0
GATEWAYS = 9


class Meter:
    """A gateway that measures a load which keeps one runner busy."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 600.0
        self.reporting = [f"run-{n}" for n in range(GATEWAYS)]
        monkeypatch.setattr(duties, "read_clock", lambda: self.now)
        settings = SimpleNamespace(
            name="one",
            bounds=SimpleNamespace(lease_seconds=3.0),
            first_start=False,
        )
        reports = SimpleNamespace(
            run_id="run-0",
            receives_reports=lambda: True,
            list_reports=self.list_reports,
            list_fresh_reports=lambda with_own: self.list_reports(),
        )
        shared = SimpleNamespace(reports=reports)
        self.duties = LeaderDuties(
            settings, None, None, None, shared, lambda: self.now, 1
        )
        self.duties._list_scaled = lambda: {"chat": None}

    def list_reports(self) -> list[GatewayReport]:
        sent = int(RATE / GATEWAYS * self.now)
        return [
            GatewayReport(
                run,
                run,
                {},
                {},
                {},
                {},
                {"chat": sent},
                {},
                {"chat": PACE},
                1,
                {},
            )
            for run in self.reporting
        ]

    def measure(self, seconds: float) -> list[float]:
        measured = []
        for _ in range(int(2 * seconds)):
            self.duties._measure()
            busy = self.duties._meter("chat").busy()
            measured += [] if busy is None else [busy]
            self.now += 0.5
        return measured


class TestMeasure:
    def test_those_heard_a_moment_later_are_no_new_load(self, monkeypatch):
        """Guards against needless orders of runners at a leader change."""
        meter = Meter(monkeypatch)
        everyone, meter.reporting = meter.reporting, meter.reporting[:1]
        meter.measure(0.5)
        meter.reporting = everyone
        assert max(meter.measure(20.0)) == pytest.approx(1.0, rel=0.2)

    def test_one_that_is_forgotten_takes_no_load_away(self, monkeypatch):
        """Guards against releasing runners a minute after a restart."""
        meter = Meter(monkeypatch)
        meter.measure(20.0)
        meter.reporting = meter.reporting[1:]
        assert min(meter.measure(20.0)) > 0.8
