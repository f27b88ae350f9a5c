"""Quotas counted by runs, over many gateways and their faults."""

from random import Random

import pytest
from quota_play import Outcome, Story, find_promise, play_runs

from lagoonpost.systems.quota import MAX_REFUND_SECONDS, Quotas
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.gateway_report import GatewayReport
from lagoonpost.tables.quota import QuotaBounds, QuotaCharge, QuotaOrder

BOUNDS = QuotaBounds(window=8.0, overage=0.1, slack=110_000)
RETRY_BUDGET = 0.2
"""Largest part of a service's runs that are repeats."""
LONGEST_DEADLINE_SECONDS = 12.0
GATEWAYS = (3, 9, 20, 72)
LOADS = ((35_000.0, 1.5), (35_000.0, 10.0), (350_000.0, 4.0))
"""Rates of a quota, and how many times as much is asked for."""


def make_workspace(rate: float) -> Workspace:
    return Workspace("hot", ("k",), rate=rate, burst=rate, by_tokens=True)


def play(
    gateways: int,
    load: tuple[float, float],
    seed: int = 1,
    **faults: object,
) -> tuple[Outcome, float]:
    """Return what a play shows, and its fullest window of the promise."""
    rate, times = load
    workspace = make_workspace(rate)
    story = Story(gateways, workspace, times, **faults)  # type: ignore[arg-type]
    outcome = play_runs(story, BOUNDS, seed)
    promise = find_promise(workspace, BOUNDS)
    return outcome, outcome.find_most(BOUNDS.window) / promise


def wait_for_room(now: float, rng: Random) -> float:
    """Return a wait for runners that have no room until 8 s, and again."""
    ends = (end - now for start, end in ((4.0, 8.0), (10.0, 12.0)))
    waits = [left for left in ends if 0.0 < left <= 4.0]
    return waits[0] if waits else rng.uniform(0.0, 0.4)


def wait_long(now: float, rng: Random) -> float:
    return rng.uniform(0.0, LONGEST_DEADLINE_SECONDS)


@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("gateways", GATEWAYS)
class TestRuns:
    """A workspace that asks for more than its quota."""

    def test_what_is_asked_for_beyond_a_quota_does_not_run(
        self, gateways: int, load: tuple[float, float]
    ):
        """Guards against usage that the others have not reported."""
        outcome, most = play(gateways, load)
        assert most <= 1.0
        asked = min(1.0, load[1])
        served = outcome.sum_between(4.0, 20.0) / (16.0 * load[0])
        assert served >= 0.95 * asked

    def test_runs_count_when_they_begin(
        self, gateways: int, load: tuple[float, float]
    ):
        """Guards against a wait that moves usage into the next window."""
        _, most = play(gateways, load, wait=wait_for_room)
        assert most <= 1.0

    def test_a_wait_to_the_longest_deadline_passes_no_limit(
        self, gateways: int, load: tuple[float, float]
    ):
        """Guards against charges that leave the window before their run."""
        outcome, most = play(gateways, load, wait=wait_long, seconds=30.0)
        assert most <= 1.0
        if load[1] >= 4.0:
            served = outcome.sum_between(12.0, 30.0) / (18.0 * load[0])
            assert served >= 0.95

    def test_each_run_of_a_request_counts(
        self, gateways: int, load: tuple[float, float]
    ):
        """Guards against second tries that are not charged."""
        _, most = play(
            gateways, load, wait=wait_for_room, repeats=RETRY_BUDGET
        )
        assert most <= 1.0

    def test_moved_runs_count(self, gateways: int, load: tuple[float, float]):
        """Guards against runs that begin again at another runner."""
        _, most = play(gateways, load, moved=0.5)
        assert most <= 1.0

    def test_a_refund_is_worth_its_charge(
        self, gateways: int, load: tuple[float, float]
    ):
        """Guards against refunds that outlive their charges."""
        _, most = play(gateways, load, turned_away=0.3)
        assert most <= 1.0

    def test_lost_reports_let_through_nothing_more(
        self, gateways: int, load: tuple[float, float]
    ):
        """Guards against usage of which the report was lost."""
        _, most = play(gateways, load, lost=0.1)
        assert most <= 1.0

    @pytest.mark.parametrize("share", [0.04, 0.5, 1.0])
    def test_a_kill_forgets_no_usage(
        self, gateways: int, load: tuple[float, float], share: float
    ):
        """Guards against usage that only the killed gateways knew."""
        _, most = play(gateways, load, kills=((6.0, share), (10.0, share)))
        assert most <= 1.0

    def test_an_older_copy_of_the_store_renews_no_quota(
        self, gateways: int, load: tuple[float, float]
    ):
        """Guards against records of use that are older than the last ones."""
        _, most = play(gateways, load, kills=((6.0, 1.0),), record_age=1.5)
        assert most <= 1.0

    def test_late_messages_let_through_nothing_more(
        self, gateways: int, load: tuple[float, float]
    ):
        """Guards against news that is overtaken by newer ones."""
        _, most = play(gateways, load, late=0.2, wait=wait_for_room)
        assert most <= 1.0

    @pytest.mark.parametrize("share", [0.04, 0.4])
    def test_a_pause_of_hubs_admits_nothing_twice(
        self, gateways: int, load: tuple[float, float], share: float
    ):
        """Guards against issuers that go on by what they knew before."""
        freezes = ((5.0, 5.5, share), (7.0, 11.0, share))
        _, most = play(gateways, load, freezes=freezes)
        assert most <= 1.0

    def test_a_cut_admits_no_quota_on_both_sides(
        self, gateways: int, load: tuple[float, float]
    ):
        """Guards against two issuers that do not hear each other."""
        _, most = play(gateways, load, cuts=((5.0, 9.0, 0.33),))
        assert most <= 1.0

    def test_all_faults_together_stay_within_the_promise(
        self, gateways: int, load: tuple[float, float]
    ):
        """Guards against faults that are harmless only one at a time."""
        _, most = play(
            gateways,
            load,
            wait=wait_for_room,
            repeats=RETRY_BUDGET / 2,
            moved=0.1,
            turned_away=0.1,
            lost=0.05,
            kills=((6.0, 0.3),),
            cuts=((9.0, 12.0, 0.2),),
        )
        assert most <= 1.0


SMALL_BOUNDS = QuotaBounds(window=8.0, overage=0.1, slack=5.0)
SMALL_LOADS = ((10.0, 1.5), (10.0, 4.0), (60.0, 10.0))


def play_small(
    gateways: int, load: tuple[float, float], seed: int = 1, **faults: object
) -> tuple[Outcome, float]:
    """Return what a play of a quota of requests shows, as `play` does."""
    rate, times = load
    workspace = Workspace("hot", ("k",), rate=rate, burst=rate)
    story = Story(gateways, workspace, times, costs=(1.0,), **faults)  # type: ignore[arg-type]
    outcome = play_runs(story, SMALL_BOUNDS, seed)
    promise = find_promise(workspace, SMALL_BOUNDS)
    return outcome, outcome.find_most(SMALL_BOUNDS.window) / promise


@pytest.mark.parametrize("load", SMALL_LOADS)
@pytest.mark.parametrize("gateways", GATEWAYS)
class TestSmallQuotas:
    """A quota of few requests, of which many gateways send some at once."""

    def test_it_is_used_and_not_passed(
        self, gateways: int, load: tuple[float, float]
    ):
        """Guards against parts of a quota that nobody may use."""
        outcome, most = play_small(gateways, load)
        assert most <= 1.0
        served = outcome.sum_between(4.0, 20.0) / (16.0 * load[0])
        assert served >= 0.95

    def test_requests_that_waited_for_the_same_runner_stay_within_it(
        self, gateways: int, load: tuple[float, float]
    ):
        """Guards against requests to an issuer that overtake each other."""
        _, most = play_small(
            gateways, load, wait=wait_for_room, repeats=RETRY_BUDGET
        )
        assert most <= 1.0

    @pytest.mark.parametrize("seed", [1, 2])
    def test_lost_datagrams_make_no_second_issuer(
        self, gateways: int, load: tuple[float, float], seed: int
    ):
        """Guards against two issuers that grant the same units."""
        _, most = play_small(gateways, load, seed, lost=0.1)
        assert most <= 1.0


class TestCutsInSeries:
    @pytest.mark.parametrize("gateways", [3, 9, 20])
    def test_sides_that_part_again_and_again_admit_nothing_twice(
        self, gateways: int
    ):
        """Guards against two issuers until each notices that it is alone."""
        cuts = tuple((4.5 + 1.5 * n, 5.2 + 1.5 * n, 0.33) for n in range(8))
        _, most = play_small(gateways, (60.0, 10.0), seed=2, cuts=cuts)
        assert most <= 1.0


class TestKillsInSeries:
    def test_hubs_that_are_killed_again_and_again_let_through_nothing_twice(
        self,
    ):
        """Guards against use that each next hub has to assume."""
        kills = tuple((5.0 + 1.5 * n, 0.04) for n in range(9))
        _, most = play_small(20, (10.0, 4.0), kills=kills)
        assert most <= 1.0

    @pytest.mark.parametrize(
        ("gateways", "share"),
        [
            (1, 0.04),
            (3, 0.04),
            (9, 0.04),
            (20, 0.15),
            (72, 0.04),
            (195, 0.005),
            (195, 0.015),
        ],
    )
    def test_a_series_stays_within_it_at_any_number(
        self, gateways: int, share: float
    ):
        """Guards against use that is lost with all hubs at once."""
        kills = tuple((5.0 + 1.5 * n, share) for n in range(9))
        _, most = play_small(gateways, (60.0, 10.0), kills=kills)
        assert most <= 1.0


class TestManyGateways:
    @pytest.mark.parametrize("load", LOADS)
    def test_a_quota_holds_at_the_largest_deployment(
        self, load: tuple[float, float]
    ):
        """Guards against a bound that grows with the number of gateways."""
        _, most = play(
            232,
            load,
            seconds=14.0,
            wait=wait_for_room,
            repeats=RETRY_BUDGET / 2,
            kills=((6.0, 0.04),),
        )
        assert most <= 1.0


class TestAlone:
    @pytest.mark.parametrize("gateways", [3, 9, 20, 72, 232])
    @pytest.mark.parametrize("cost", [300.0, 2_000.0, 9_000.0])
    def test_what_is_not_reported_yet_fits_into_the_tolerance(
        self, gateways: int, cost: float
    ):
        """Guards against a quota that is granted beside what nobody reported.

        All gateways admit what they may alone, then one takes the rest.
        """
        workspace = Workspace(
            "hot", ("k",), rate=35_000.0, burst=3_500_000.0, by_tokens=True
        )
        run = 0.0
        fleet = [Quotas(BOUNDS) for _ in range(gateways)]
        for quotas in fleet:
            for number in range(gateways):
                quotas.update_from_peers(f"g{number}", {"hot": 0.0}, {}, 10.0)
        for quotas in fleet[1:]:
            while quotas.may_decide_alone(
                workspace, cost, 1.0, 10.01, gateways
            ):
                quotas.charge(workspace, cost, 10.01)
                run += cost
        part = 10_000.0
        while fleet[0].grant(workspace, part, 1.0, 10.02) is None:
            run += part
        assert run <= find_promise(workspace, BOUNDS)


class TestOvertaking:
    """Messages to an issuer that do not arrive in the order of their sending.

    A gateway has asked for two runs, numbers 1 and 2, of which none is
    answered yet.
    """

    def make_issuer(self) -> Quotas:
        issuer = Quotas(BOUNDS)
        issuer.update_from_peers("peer", {"hot": 0.0}, {}, 1.0)
        return issuer

    def ask(self, issuer: Quotas, number: int, first_open: int = 1) -> None:
        order = QuotaOrder(number, first_open)
        wait = issuer.grant(
            make_workspace(35_000.0), 1_000.0, 1.0, 1.1, "peer", order=order
        )
        assert wait is None

    def sum(self, issuer: Quotas) -> float:
        return sum(units for _, units in issuer.list_taken(1.3)["hot"])

    @pytest.mark.parametrize("numbers", [(1, 2), (2, 1)])
    def test_an_older_request_is_no_refund(self, numbers: tuple[int, int]):
        """Guards against a grant that is forgotten by the next one."""
        issuer = self.make_issuer()
        for number in numbers:
            self.ask(issuer, number)
        assert self.sum(issuer) == 2_000.0

    def test_a_report_from_before_the_reply_is_no_refund(self):
        """Guards against a grant that a report does not have yet."""
        issuer = self.make_issuer()
        self.ask(issuer, 1)
        self.ask(issuer, 2)
        order = QuotaOrder(3, 2)
        issuer.update_from_peers("peer", {"hot": 1_000.0}, {}, 1.2, order)
        assert self.sum(issuer) == 2_000.0

    def test_an_older_report_is_no_refund(self):
        """Guards against a report that requests have overtaken."""
        issuer = self.make_issuer()
        self.ask(issuer, 2, first_open=2)
        issuer.update_from_peers(
            "peer", {"hot": 0.0}, {}, 1.2, QuotaOrder(1, 1)
        )
        assert self.sum(issuer) == 1_000.0

    def test_reports_without_an_order_count(self):
        """Guards against usage of gateways that run an older build."""
        issuer = self.make_issuer()
        for used in (1_000.0, 2_000.0):
            report = GatewayReport(
                "peer", "", {}, {"hot": used}, {}, {}, {}, {}, {}, 1, {}
            )
            issuer.update_from_peers(
                "peer", report.used, {}, 1.2, report.quota_order
            )
        assert self.sum(issuer) == 2_000.0

    def test_what_was_not_received_is_given_back(self):
        """Guards against units of which the reply was lost."""
        issuer = self.make_issuer()
        self.ask(issuer, 1)
        issuer.update_from_peers(
            "peer", {"hot": 0.0}, {}, 1.2, QuotaOrder(2, 2)
        )
        assert issuer.list_taken(1.3) == {}

    def test_a_request_that_was_given_up_is_not_granted(self):
        """Guards against units that nobody will use."""
        issuer = self.make_issuer()
        self.ask(issuer, 2, first_open=2)
        workspace = make_workspace(35_000.0)
        order = QuotaOrder(1, 1)
        wait = issuer.grant(workspace, 1_000.0, 1.0, 1.1, "peer", order=order)
        assert wait is not None
        assert self.sum(issuer) == 1_000.0


class TestRefunds:
    def test_a_late_refund_frees_nothing_once_its_charge_has_left(self):
        """Guards against a sum below what has run."""
        quotas = Quotas(BOUNDS)
        workspace = make_workspace(1_000.0)
        quotas.charge(workspace, 5_000.0, 0.0)
        quotas.charge(workspace, 4_000.0, 7.0)
        charge = QuotaCharge(0.0, 5_000.0)
        assert not quotas.refund(workspace, charge, 8.5)
        assert quotas.list_own_usage(8.5) == {"hot": 4_000.0}

    def test_a_refund_leaves_the_window_with_its_charge(self):
        """Guards against a negative sum after a charge has left."""
        quotas = Quotas(BOUNDS)
        workspace = make_workspace(1_000.0)
        quotas.charge(workspace, 5_000.0, 0.0)
        now = MAX_REFUND_SECONDS / 2
        assert quotas.refund(workspace, QuotaCharge(0.0, 5_000.0), now)
        quotas.charge(workspace, 3_000.0, 4.0)
        assert quotas.list_own_usage(8.2) == {"hot": 3_000.0}

    def test_a_peers_refund_outlives_no_charge(self):
        """Guards against a peer's lower total that counts as a late refund."""
        quotas = Quotas(BOUNDS)
        for at, used in ((1.8, 0.0), (2.0, 5_000.0), (2.4, 1_000.0)):
            quotas.update_from_peers("peer", {"hot": used}, {}, at)
        assert quotas.list_taken(2.5) == {"hot": [(0.5, 1_000)]}
        workspace = make_workspace(1_000.0)
        assert quotas.reserve(workspace, 1_000.0, 1.0, 10.1) is None
        assert quotas.decision_inputs is not None
        assert quotas.decision_inputs.used >= 0.0


class TestReservations:
    def test_waiting_requests_leave_no_room_for_others(self):
        """Guards against a wait for what cannot be served."""
        quotas = Quotas(QuotaBounds(8.0, 0.0, 0.0))
        small = Workspace("small", ("k",), rate=1.0, burst=2.0)
        taken = [quotas.reserve(small, 1.0, 1.0, 0.0) for _ in range(3)]
        assert taken[:2] == [None, None]
        assert taken[2] is not None
        quotas.release(small, 1.0, 0.0)
        assert quotas.reserve(small, 1.0, 1.0, 0.0) is None
