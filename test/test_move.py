"""Tests of lagoonpost.systems.move, including simulated moves."""

from collections import Counter
from functools import reduce

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.moves import CASES, GATEWAYS, Result, play
from lagoonpost.systems.move import (
    GOSSIP_SECONDS,
    STAGES,
    DeadlineTooNear,
    MoveRow,
    begin_move,
    compute_earliest_deadline,
    compute_share,
    find_stage,
    finish_move,
    merge_moves,
    roll_back,
)
from lagoonpost.tables.entity import VersionMove

SEEDS = 5
"""In CI; bench/moves.py simulates 1,000."""
GOOD = [name for name, case in CASES.items() if case.good]
BAD = [
    name
    for name in CASES
    if name not in (*GOOD, "deadline too near", "bad with little traffic")
]


def begin(by: float, load_seconds: float = 0.0) -> MoveRow:
    move = VersionMove("booking", "v1", "v2", by, ticket=7)
    row = begin_move(move, 0.0, load_seconds)
    assert isinstance(row, MoveRow)
    return row


def list_shares(row: MoveRow, now: float) -> list[float]:
    return [compute_share(row, name, GATEWAYS, now, now) for name in GATEWAYS]


class TestDeadline:
    def test_too_near_deadline_is_rejected_at_once(self) -> None:
        """A deadline that cannot be met must be rejected at once.

        A ticket allows two minutes for a version that takes three to load. The
        operator gets the earliest feasible deadline instead of a late failure.
        """
        move = VersionMove("booking", "v1", "v2", deadline=120.0)
        begun = begin_move(move, 0.0, load_seconds=180.0)
        assert begun == DeadlineTooNear(compute_earliest_deadline(0.0, 180.0))
        later = move._replace(deadline=compute_earliest_deadline(0.0, 180.0))
        assert isinstance(begin_move(later, 0.0, 180.0), MoveRow)

    @given(st.floats(0, 5000), st.floats(0, 1000))
    def test_feasible_move_ends_before_its_deadline(
        self, extra: float, load: float
    ) -> None:
        row = begin(compute_earliest_deadline(0.0, load) + extra, load)
        assert row.end + GOSSIP_SECONDS < row.move.deadline
        assert finish_move(row, row.end).outcome == "moving"
        assert finish_move(row, row.end + GOSSIP_SECONDS).outcome == "done"

    @given(st.floats(0, 200))
    def test_each_stage_has_its_least_time(self, extra: float) -> None:
        """A near deadline must not cut the bake time."""
        row = begin(compute_earliest_deadline(0.0, 0.0) + extra)
        seconds = Counter(find_stage(row, now) for now in range(int(row.end)))
        for index, stage in enumerate(STAGES):
            assert seconds[index] >= stage.min_seconds - 1


class TestEnd:
    def test_trip_is_final(self) -> None:
        """No request may go back to a version that was rolled back.

        A gateway receives the rollback after the move was done, or both
        together.
        """
        row = begin(600.0)
        tripped = roll_back(row, "failed on bookings", 50.0)
        assert finish_move(tripped, 1e6) == tripped
        assert roll_back(tripped, "other", 60.0) == tripped
        done = finish_move(row, 1e6)
        assert merge_moves(done, tripped) == tripped
        assert merge_moves(tripped, row) == tripped

    @given(st.permutations(range(4)))
    def test_merges_in_any_order(self, order: list[int]) -> None:
        row = begin(600.0)
        facts = [
            row,
            finish_move(row, 600.0),
            roll_back(row, "failed on bookings", 50.0),
            roll_back(row, "slow on checks/*", 49.0),
        ]
        merged = reduce(merge_moves, [facts[index] for index in order])
        assert merged == facts[3]


class TestShare:
    def test_adds_up_over_gateways(self) -> None:
        row, seen = begin(600.0), set()
        for now in range(int(row.end)):
            stage = find_stage(row, now)
            shares = list_shares(row, now)
            mean = sum(shares) / len(shares)
            assert mean == pytest.approx(STAGES[stage].share)
            users = sum(share > 0 for share in shares)
            assert users == (3 if stage == 0 else 9)
            seen.add(stage)
        assert seen == set(range(len(STAGES)))

    def test_unloaded_and_ended_moves_have_one_version(self) -> None:
        row = begin(600.0, load_seconds=100.0)
        back = roll_back(row, "", 1.0)
        done = finish_move(row, 1e6)
        assert set(list_shares(row, 99.0)) == {0.0}
        assert set(list_shares(back, 300.0)) == {0.0}
        assert set(list_shares(done, 1e6)) == {1.0}

    def test_gateway_cut_off_sends_the_new_version_nothing(self) -> None:
        """A partitioned gateway must not keep using a bad version.

        It loses its peers and cannot receive a rollback decided elsewhere, so
        it stops sending requests to the new version on its own.
        """
        row, now = begin(600.0), 500.0
        heard = now - GOSSIP_SECONDS - 0.1
        share = compute_share(row, GATEWAYS[0], GATEWAYS, now, heard)
        assert share == 0.0


class TestPlayed:
    """Simulated moves with fixed seeds; bench/moves.py runs more."""

    @pytest.mark.parametrize("name", BAD)
    def test_bad_is_taken_back_with_little_harm(self, name: str) -> None:
        for result in self._play(name):
            assert result.outcome == "taken_back"
            assert result.harmed <= 0.01 * result.traffic

    @pytest.mark.parametrize("name", GOOD)
    def test_good_is_done_in_time(self, name: str) -> None:
        for result in self._play(name):
            assert result.outcome == "done"
            assert result.ended <= CASES[name].seconds

    def test_bad_with_little_traffic_is_taken_back(self) -> None:
        # There are only 600 requests in all, and the evidence takes more than
        # 6 bad ones.
        for result in self._play("bad with little traffic"):
            assert result.outcome == "taken_back"

    def test_two_at_once_end_each_by_its_own(self) -> None:
        for seed in range(SEEDS):
            bad, good = play(["bad at once", "good"], seed)
            assert (bad.outcome, good.outcome) == ("taken_back", "done")

    def _play(self, name: str) -> list[Result]:
        return [play([name], seed)[0] for seed in range(SEEDS)]
