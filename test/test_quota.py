"""Quotas over several gateways: which requests are admitted or refused."""

from random import Random

import pytest
from quota_play import run_once

from lagoonpost.systems.quota import Quotas
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.quota import QuotaBounds, QuotaCharge, count_units

BOUNDS = QuotaBounds(window=8.0, overage=0.1, slack=110_000)
LARGE = Workspace("large", ("k",), rate=35_000, burst=70_000, by_tokens=True)
HUGE = Workspace("huge", ("k",), rate=350_000, burst=700_000, by_tokens=True)
NEWS_SECONDS = 0.2
"""Age of the usage that gateways report to each other. Half of it is the
interval between reports; the network latency is the smaller part of the
rest."""


def play_hot_workspace(
    gateways: int,
    rate: float,
    seconds: float,
    seed: int,
    workspace: Workspace = LARGE,
    pause: tuple[float, float] = (0.0, 0.0),
) -> list[tuple[float, float]]:
    """Return time and units of the requests that all gateways admitted.

    Each gateway reports to the others at once when it has admitted much, and
    otherwise every 0.4 s; a report takes some milliseconds. No requests
    arrive between the two times of ``pause``.
    """
    rng = Random(seed)
    quotas = [Quotas(BOUNDS) for _ in range(gateways)]
    reported_at = [0.0] * gateways
    admitted = []
    now = 0.0
    while now < seconds:
        cost = rng.choice([1000.0, 3000.0, 9000.0, 20000.0])
        now += rng.expovariate(rate / cost)
        if pause[0] <= now < pause[1]:
            now = pause[1]
        number = rng.randrange(gateways)
        quota = quotas[number]
        sender = str(number)
        if (
            run_once(quota, sender, quotas[0], workspace, cost, now, gateways)
            is None
        ):
            admitted.append((now, cost))
        for other, quota in enumerate(quotas):
            wait = 0.1 if quota.needs_publishing(workspace, gateways) else 0.4
            if now - reported_at[other] < wait:
                continue
            reported_at[other] = now
            quota.mark_published()
            for receiver in quotas:
                if receiver is not quota:
                    receiver.update_from_peers(
                        str(other),
                        dict(quota.used),
                        quota.list_own_usage(now),
                        now,
                    )
    return admitted


def find_most(admitted: list[tuple[float, float]], window: float) -> float:
    return max(
        sum(u for t, u in admitted if start <= t < start + window)
        for start, _ in admitted
    )


class TestQuotas:
    @pytest.mark.parametrize("seed", range(4))
    def test_a_hot_workspace_stays_within_what_is_tolerated(self, seed):
        """Guards against usage that the gateways have not yet reported.

        One workspace sends seven times its usual load through nine gateways.
        Each admits units that the others have already used but not reported,
        and the sum exceeds the tolerance.
        """
        admitted = play_hot_workspace(9, 260_000, 20.0, seed)
        quota = LARGE.rate * 8 + LARGE.burst
        most = find_most(admitted, 8.0)
        assert most <= quota * 1.1 + 110_000
        assert most >= quota * 0.95

    @pytest.mark.parametrize("seed", range(4))
    def test_refused_callers_that_return_at_once_do_not_pass_it(self, seed):
        """Guards against units that several gateways reuse at once.

        Half of a quota was used within half a second, leaves the window as
        fast, and all refused callers return. Each gateway would admit the
        same units before it receives the reports of the others.
        """
        big = LARGE._replace(rate=140_000.0)
        admitted = play_hot_workspace(
            9, 3_000_000, 10.0, seed, big, pause=(0.6, 8.0)
        )
        quota = big.rate * 8 + big.burst
        assert find_most(admitted, 8.0) <= quota * 1.1 + 110_000

    def test_usual_use_is_never_refused(self):
        admitted = play_hot_workspace(9, LARGE.rate, 30.0, 1)
        total = sum(units for _, units in admitted)
        assert total > 0.9 * LARGE.rate * 30

    def test_a_gateway_that_is_cut_off_keeps_to_its_part(self):
        quota = Quotas(BOUNDS)
        admitted = 0.0
        for step in range(1000):
            if quota.take(LARGE, 1000.0, 1 / 9, step * 0.008) is None:
                admitted += 1000.0
        assert admitted <= quota.limit(LARGE) / 9

    def test_a_refusal_says_when_to_come_back(self):
        quota = Quotas(QuotaBounds(window=8.0, overage=0.0, slack=0.0))
        small = Workspace("small", ("k",), rate=1.0, burst=2.0)
        for _ in range(10):
            quota.note_recorded("small", 0.0)
            assert quota.take(small, 1.0, 1.0, 0.0) is None
        wait = quota.take(small, 1.0, 1.0, 6.0)
        assert wait == pytest.approx(2.0)
        assert quota.take(small, 1.0, 1.0, 6.0 + wait) is None

    def test_the_inputs_of_a_decision_are_kept_for_the_log(self):
        quota = Quotas(BOUNDS)
        quota.take(LARGE, 1000.0, 1.0, 0.0, gateways=9)
        quota.take(LARGE, 1000.0, 1.0, 0.1, gateways=9)
        limit, burst = quota.limit(LARGE), 70_000 + 0.3 * 145_000
        used = 1000.0
        assert quota.decision_inputs == (used, 16_000.0, limit, 0.0, burst)
        quota.take(LARGE._replace(rate=0.0), 1000.0, 1.0, 0.2)
        assert quota.decision_inputs is None

    def test_what_did_not_run_is_given_back(self):
        quota = Quotas(QuotaBounds(window=8.0, overage=0.0, slack=0.0))
        small = Workspace("small", ("k",), rate=1.0, burst=0.0)
        for _ in range(8):
            quota.take(small, 1.0, 1.0, 0.0)
            quota.note_recorded("small", 0.0)
        assert quota.take(small, 1.0, 1.0, 0.15) is not None
        quota.refund(small, QuotaCharge(0.0, 1.0), 0.15)
        assert quota.take(small, 1.0, 1.0, 0.2) is None
        assert quota.used["small"] == 8.0

    def test_use_before_a_start_is_not_let_through_again(self):
        """Guards against usage that is forgotten in a restart.

        All gateways are killed right after a quota was used up and restart
        within a second without its counts. The whole quota would be admitted
        again within the same window.
        """
        before = Quotas(BOUNDS)
        admitted = sum(
            1000.0
            for step in range(1000)
            if before.take(LARGE, 1000.0, 1.0, step * 0.005) is None
        )
        after = Quotas(BOUNDS, started=5.6)
        for step in range(240):
            if after.take(LARGE, 1000.0, 1.0, 5.6 + step * 0.005) is None:
                admitted += 1000.0
        quota = LARGE.rate * 8 + LARGE.burst
        assert admitted <= quota * 1.1 + 110_000
        late = after.take(LARGE, 1000.0, 1.0, 20.0)
        assert late is None

    def test_a_newcomer_does_not_count_what_was_long_ago(self):
        """Guards against counting a peer's total since its start as recent.

        A gateway joins peers that have served for minutes. If their totals
        counted as usage within the window, it would refuse all requests for
        the length of a window.
        """
        quota = Quotas(BOUNDS, started=0.0)
        quota.update_from_peers("old", {"large": 1e9}, {"large": 1e4}, 0.5)
        assert quota.take(LARGE, 9000.0, 1.0, 1.0) is None
        quota.update_from_peers(
            "old", {"large": 1e9 + 1e7}, {"large": 1e7}, 1.5
        )
        assert quota.take(LARGE, 9000.0, 1.0, 2.0) is not None

    def test_what_a_late_acquaintance_let_through_counts(self):
        """Guards against usage from before a peer's first report.

        Two groups of gateways start without a connection and connect after
        the first has admitted most of a quota. If usage counted only from the
        first report, the other group would admit the quota again.
        """
        quota = Quotas(BOUNDS, started=0.0)
        used = {"large": 0.98 * quota.limit(LARGE)}
        quota.update_from_peers("old", used, used, 8.5)
        assert quota.take(LARGE, 9000.0, 1.0, 9.0) is not None

    def test_a_burst_that_is_not_recorded_is_bounded(self):
        """Guards against usage that starting gateways cannot know."""
        quota = Quotas(BOUNDS)
        admitted = 0.0
        while quota.take(LARGE, 1000.0, 1.0, 0.0) is None:
            admitted += 1000.0
        assert admitted <= LARGE.burst + 0.3 * 145_000
        quota.note_recorded("large", 0.0)
        assert quota.take(LARGE, 1000.0, 1.0, 0.1) is None

    def test_no_rate_is_no_limit(self):
        free = Workspace("free", ("k",))
        quota = Quotas(BOUNDS)
        assert all(quota.take(free, 1e9, 1.0, 0.0) is None for _ in range(100))

    def test_units(self):
        assert count_units(LARGE, 500) == 500
        assert count_units(LARGE._replace(default_tokens=200), None) == 200
        assert count_units(LARGE._replace(by_tokens=False), 500) == 1


class TestHub:
    """Quotas of many gateways that receive a hub's summaries."""

    def play(
        self,
        gateways: int,
        rate: float,
        seed: int,
        changes: tuple[float, ...] = (),
    ) -> float:
        """Return the most units of one window, with delayed reports.

        At each time of ``changes`` the next gateway becomes the hub.
        """
        rng = Random(seed)
        quotas = [Quotas(BOUNDS) for _ in range(gateways)]
        hub, heard = 0, set(range(gateways))
        shares = [1.0] * gateways
        reported_at = [0.0] * gateways
        published_at = 0.0
        admitted: list[tuple[float, float]] = []
        now = 0.0
        while now < 15.0:
            cost = rng.choice([1000.0, 3000.0, 9000.0, 20000.0])
            now += rng.expovariate(rate / cost)
            if hub < sum(at <= now for at in changes):
                hub += 1
                heard = {hub}
            shares[hub] = len(heard) / gateways
            number = rng.randrange(gateways)
            wait = run_once(
                quotas[number],
                str(number),
                quotas[hub],
                HUGE,
                cost,
                now,
                gateways,
                shares[hub],
            )
            if wait is None:
                admitted.append((now, cost))
            for other, quota in enumerate(quotas):
                pause = 0.1 if quota.needs_publishing(HUGE, gateways) else 0.4
                if other != hub and now >= reported_at[other] + pause:
                    reported_at[other] = now
                    heard.add(other)
                    quota.mark_published()
                    quotas[hub].update_from_peers(
                        str(other),
                        dict(quota.used),
                        quota.list_own_usage(now),
                        now,
                    )
            pause = 0.1 if quotas[hub].is_near_limit([HUGE], now) else 0.4
            if now >= published_at + pause:
                published_at = now
                taken = quotas[hub].list_taken(now)
                for other, quota in enumerate(quotas):
                    if other == hub:
                        continue
                    shares[other] = shares[hub]
                    since = reported_at[other] if other in heard else 0.0
                    quota.replace_with_summary(taken, since, now)
        window = BOUNDS.window
        return max(
            sum(cost for at, cost in admitted if start <= at < start + window)
            for start, _ in admitted
        )

    @pytest.mark.parametrize("gateways", [20, 40])
    def test_a_hot_workspace_stays_within_what_is_tolerated(self, gateways):
        """Guards against usage that the hub's summary does not include yet.

        A workspace sends seven times its usual load through many gateways.
        Each gets summaries that are some tenths of a second old; the units
        that all admit meanwhile would exceed the tolerance.
        """
        quota = HUGE.rate * BOUNDS.window + HUGE.burst
        most = quota * (1 + BOUNDS.overage) + BOUNDS.slack
        assert self.play(gateways, 4 * HUGE.rate, 1) <= most

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("changes", [(5.0,), (4.0, 4.5, 5.0, 5.5, 6.0)])
    def test_a_hot_workspace_stays_within_it_while_hubs_change(
        self, changes, seed
    ):
        """Guards against usage that is lost with the role of a hub."""
        quota = HUGE.rate * BOUNDS.window + HUGE.burst
        most = quota * (1 + BOUNDS.overage) + BOUNDS.slack
        assert self.play(20, 4 * HUGE.rate, seed, changes) <= most

    @pytest.mark.parametrize("seed", range(2))
    def test_what_is_within_the_quota_is_let_through(self, seed):
        """Guards against refusals below the quota by delayed reports."""
        quota = HUGE.rate * BOUNDS.window
        assert self.play(20, 0.85 * HUGE.rate, seed) >= 0.75 * quota

    def test_a_new_hub_counts_the_usage_of_its_summary_once(self):
        """Guards against refusals by a gateway that has become a hub.

        It knows the usage of all gateways from its last summary and gets it
        again in the first report of each of them.
        """
        quota = Quotas(BOUNDS)
        half = quota.limit(HUGE) / 2
        ages = [(0.5 + age, half / 8) for age in range(8)]
        quota.replace_with_summary({"huge": ages}, 0.0, 10.0)
        for peer in range(8):
            used, recent = {"huge": 1e8}, {"huge": half / 8}
            quota.update_from_peers(str(peer), used, recent, 10.1)
        assert quota.take(HUGE, half / 4, 1.0, 10.2) is None
        assert quota.take(HUGE, half, 1.0, 10.2) is not None

    def test_a_hub_again_counts_the_usage_between_once(self):
        """Guards against usage that reports and summaries both have told."""
        quota = Quotas(BOUNDS)
        half = quota.limit(HUGE) / 2
        quota.update_from_peers("peer", {"huge": 1e6}, {}, 1.0)
        ages = [(0.5 + age, half / 8) for age in range(8)]
        quota.replace_with_summary({"huge": ages}, 0.0, 20.0)
        used = {"huge": 1e6 + 5 * half}
        quota.update_from_peers("peer", used, {"huge": half}, 20.1)
        assert quota.take(HUGE, half / 4, 1.0, 20.2) is None
        used = {"huge": 1e6 + 5.9 * half}
        quota.update_from_peers("peer", used, {"huge": 1.9 * half}, 20.3)
        assert quota.take(HUGE, half / 4, 1.0, 20.4) is not None

    def test_a_new_hub_counts_what_its_summary_did_not_have(self):
        """Guards against a quota admitted twice while hubs change."""
        quota = Quotas(BOUNDS)
        limit = quota.limit(HUGE)
        quota.replace_with_summary({"huge": [(1.0, limit / 4)]}, 0.0, 10.0)
        used = {"huge": 0.97 * limit}
        quota.update_from_peers("peer", used, used, 11.0)
        assert quota.take(HUGE, limit / 8, 1.0, 11.1) is not None

    def test_own_use_is_counted_once(self):
        quota = Quotas(BOUNDS)
        quota.take(HUGE, 1000.0, 1.0, 1.0)
        quota.take(HUGE, 500.0, 1.0, 2.0)
        quota.replace_with_summary({"huge": [(3.5, 5000.0)]}, 1.5, 5.0)
        assert quota.list_taken(5.0) == {
            "huge": [(3.5, 5500.0)],
        }
