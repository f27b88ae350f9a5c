"""Usage that passes from hub to hub, while gateways run or are gone."""

from collections.abc import Sequence

import pytest

from lagoonpost.systems.quota import REPORTED_SECONDS, Quotas
from lagoonpost.systems.sliding_window import Charge
from lagoonpost.systems.summarized_usage import SummarizedUsage
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.quota import QuotaBounds

BOUNDS = QuotaBounds(window=8.0, overage=0.1, slack=0.0)
HOT = Workspace("hot", ("k",), rate=1_000.0, burst=8_000.0)


def report(
    hub: Quotas, gateways: Sequence[Quotas], now: float, is_dated: bool = True
) -> None:
    """Send a hub the reports of gateways."""
    for number, each in enumerate(gateways):
        if each is not hub:
            hub.update_from_peers(
                str(number),
                dict(each.used),
                each.list_own_usage(now),
                now,
                dated=each.list_dated_usage(now) if is_dated else None,
            )
        each.note_report(now)


def sum_known(quotas: Quotas, now: float) -> float:
    return sum(units for _, units in quotas.list_taken(now).get("hot", []))


class TestHubsInSeries:
    """Gateways of which one after the other is the hub."""

    def test_a_role_that_passes_on_adds_no_usage(self):
        """Guards against assumed usage that the next hub takes for known."""
        gateways = [Quotas(BOUNDS) for _ in range(6)]
        for number, each in enumerate(gateways):
            each.charge(HOT, 100.0, 1.0 + 0.1 * number)
        hub, *others = gateways
        report(hub, gateways, 2.0)
        now = 2.2
        while others:
            taken = hub.list_taken(now)
            for each in others:
                each.replace_with_summary(taken, 2.0, now)
            hub = others.pop()
            report(hub, gateways, now + 0.3)
            assert sum_known(hub, now + 0.4) == 600.0
            now += 1.0

    @pytest.mark.parametrize("is_dated", [True, False])
    def test_a_burst_that_a_new_hub_hears_of_stays_for_a_window(
        self, is_dated: bool
    ):
        """Guards against usage dated back to before a summary."""
        hub, peer = Quotas(BOUNDS), Quotas(BOUNDS)
        peer.charge(HOT, 10.0, 0.1)
        hub.replace_with_summary({"hot": [(0.5, 10.0)]}, 0.0, 5.0)
        peer.charge(HOT, 2_000.0, 5.2)
        report(hub, [peer], 5.4, is_dated)
        assert sum_known(hub, 13.1) >= 2_000.0

    def test_usage_of_gateways_that_are_gone_stays_for_a_window(self):
        """Guards against a report that stands for another's usage."""
        hub, peer = Quotas(BOUNDS), Quotas(BOUNDS)
        peer.charge(HOT, 300.0, 3.0)
        taken = {"hot": [(2.5, 700.0)]}
        hub.replace_with_summary(taken, 0.0, 5.0)
        peer.charge(HOT, 900.0, 5.2)
        report(hub, [peer], 5.4)
        # The summary's 700 has 300 of the peer.
        assert sum_known(hub, 5.5) >= 400.0 + 1_200.0
        assert sum_known(hub, 10.9) >= 400.0

    def test_a_grant_before_the_first_report_counts(self):
        """Guards against grants of a hub that has heard nobody yet."""
        hub, peer = Quotas(BOUNDS), Quotas(BOUNDS)
        hub.replace_with_summary({"hot": [(0.5, 100.0)]}, 0.0, 5.0)
        assert hub.grant(HOT, 50.0, 1.0, 5.1, "other") is None
        report(hub, [peer], 5.2)
        assert sum_known(hub, 5.3) >= 150.0


class TestSummarizedUsage:
    def summarize(self, *rows: tuple[float, float]) -> SummarizedUsage:
        """Return a summary of time 10, of pairs of age and units."""
        return SummarizedUsage(
            [Charge(10.0 - age, units) for age, units in rows],
            10.0,
            8.0,
            2 * REPORTED_SECONDS,
        )

    def sum(self, usage: SummarizedUsage, now: float) -> float:
        return sum(row.units for row in usage.list_unreported(now))

    def test_what_gateways_report_is_left_out(self):
        """Guards against usage that is counted twice."""
        usage = self.summarize((2.5, 30.0), (3.5, 50.0))
        usage.note_reported([Charge(7.2, 30.0), Charge(6.8, 40.0)], 9.6)
        assert usage.list_unreported(10.5) == [Charge(7.0, 10.0)]

    def test_a_late_date_is_not_taken_for_other_usage(self):
        """Guards against usage counted twice as it came in another bucket."""
        usage = self.summarize((2.5, 30.0), (3.5, 50.0))
        usage.note_reported([Charge(6.9, 80.0)], 9.6)
        assert self.sum(usage, 10.5) == 0.0

    def test_usage_after_the_summary_stands_for_nothing_in_it(self):
        """Guards against later usage that hides that of a gone gateway."""
        usage = self.summarize((2.5, 30.0))
        usage.note_reported([Charge(9.9, 30.0), Charge(10.2, 30.0)], 9.6)
        assert self.sum(usage, 10.5) == 30.0

    def test_it_stays_until_the_end_of_its_bucket_has_left(self):
        usage = self.summarize((2.5, 30.0))
        assert self.sum(usage, 15.9) == 30.0
        assert self.sum(usage, 16.1) == 0.0

    def test_what_gone_gateways_did_after_it_is_assumed(self):
        """Guards against usage after the last summary, which is never told."""
        usage = self.summarize((0.5, 100.0))
        assert self.sum(usage, 10.5) == 100.0 + 2 * REPORTED_SECONDS * 100.0
        usage.note_reported([Charge(9.5, 100.0)], 9.6)
        assert self.sum(usage, 10.5) == 0.0

    def test_undated_usage_beyond_the_summary_counts(self):
        """Guards against usage after the summary, of builds that date none."""
        usage = self.summarize((2.5, 30.0))
        usage.note_undated(50.0, 10.4)
        assert self.sum(usage, 10.5) == 50.0
