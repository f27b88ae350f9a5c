"""Tests of lagoonpost.systems.rollout."""

from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.systems.evidence import INTERVAL_SECONDS
from lagoonpost.systems.move import MoveRow
from lagoonpost.systems.rollout import Outcome, Report, Rollout
from lagoonpost.tables.entity import VersionMove

MOVE = VersionMove("assistant", "v1", "v2", deadline=10_000.0, ticket=3)
ROW = MoveRow(MOVE, 0.0, 1000.0)
SHARE = 0.05
OUTCOMES = st.lists(
    st.tuples(
        st.integers(min_value=0, max_value=2),
        st.sampled_from(["v1", "v2", "other"]),
        st.booleans(),
        st.booleans(),
        st.floats(min_value=0.0, max_value=20.0),
    ),
    max_size=40,
)


def collect_reports(
    outcomes: list[tuple[int, str, bool, bool, float]],
) -> list[Report]:
    rollouts = [Rollout(ROW, 1) for _ in range(3)]
    for gateway, version, failed, slow, at in outcomes:
        outcome = Outcome("/chat", version, SHARE, failed, slow)
        rollouts[gateway].record(outcome, at)
    reports = []
    for number, rollout in enumerate(rollouts):
        reports += rollout.close_intervals(f"gateway-{number}", 100.0)
    return reports


def evaluate_reports(reports: list[Report]) -> tuple[bool, str]:
    rollout = Rollout(ROW, 1)
    for report in reports:
        rollout.add_report(report)
    return rollout.evaluate(100.0), rollout.describe_evidence()


class TestRollout:
    @given(OUTCOMES, st.randoms(use_true_random=False))
    def test_all_gateways_judge_alike(self, outcomes, random) -> None:  # type: ignore[no-untyped-def]
        reports = collect_reports(outcomes)
        shuffled = reports * 2
        random.shuffle(shuffled)
        assert evaluate_reports(shuffled)[0] == evaluate_reports(reports)[0]

    @given(OUTCOMES)
    def test_counts_each_bad_request_once(self, outcomes) -> None:  # type: ignore[no-untyped-def]
        counted = sum(
            tally.counts.new_bad + tally.counts.old_bad
            for report in collect_reports(outcomes)
            for tally in report.tallies
        )
        wanted = sum(
            failed + slow
            for _, version, failed, slow, _ in outcomes
            if version != "other"
        )
        assert counted == wanted

    def test_an_outage_of_both_versions_trips_nothing(self) -> None:
        """An outage of both versions must not roll the new one back.

        The hosts of both versions are reclaimed at once and all requests fail
        for a while, one in twenty of them at the new version, according to its
        share.
        """
        outcomes = [
            (n % 3, "v2" if n % 20 == 0 else "v1", True, False, n / 50)
            for n in range(1000)
        ]
        assert evaluate_reports(collect_reports(outcomes)) == (
            False,
            "failed on /chat",
        )

    def test_a_version_that_fails_alone_trips(self) -> None:
        outcomes = [(n % 3, "v2", True, False, n / 2) for n in range(12)]
        assert evaluate_reports(collect_reports(outcomes))[0]

    def test_an_interval_is_judged_only_when_gossip_had_its_time(
        self,
    ) -> None:
        rollout = Rollout(ROW, 1)
        for n in range(12):
            rollout.record(Outcome("/chat", "v2", SHARE, True, False), n / 10)
        (report,) = rollout.close_intervals("gateway-1", INTERVAL_SECONDS)
        rollout.add_report(report)
        assert not rollout.evaluate(1.9 * INTERVAL_SECONDS)
        assert rollout.evaluate(2.0 * INTERVAL_SECONDS)
