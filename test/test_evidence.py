"""Tests of lagoonpost.systems.evidence."""

from math import comb, exp

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.systems.evidence import (
    TOLERABLE_RISK_RATIO,
    WORSE_RISK_RATIOS,
    Counts,
    Evidence,
    add_interval,
    compute_log_ratios,
    is_worse,
)

INTERVALS = 300.0


def gather(counts: Counts, times: int) -> Evidence:
    evidence = Evidence()
    for _ in range(times):
        evidence = add_interval(
            evidence, [compute_log_ratios(counts)], INTERVALS
        )
    return evidence


class TestWeigh:
    @given(st.floats(0.001, 0.999), st.integers(0, 30))
    def test_expects_one_at_tolerable_risk(
        self, share: float, bad: int
    ) -> None:
        """The mean ratio is 1, however many requests are bad.

        This makes repeated tests safe, also during an outage of both versions.
        """
        new = (
            TOLERABLE_RISK_RATIO
            * share
            / (TOLERABLE_RISK_RATIO * share + 1 - share)
        )
        chances = [
            comb(bad, new_bad) * new**new_bad * (1 - new) ** (bad - new_bad)
            for new_bad in range(bad + 1)
        ]
        for index in range(len(WORSE_RISK_RATIOS)):
            ratios = [
                exp(
                    compute_log_ratios(Counts(share, new_bad, bad - new_bad))[
                        index
                    ]
                )
                for new_bad in range(bad + 1)
            ]
            pairs = zip(chances, ratios, strict=True)
            mean = sum(chance * ratio for chance, ratio in pairs)
            assert mean == pytest.approx(1.0)

    @pytest.mark.parametrize("share", [0.0, 1.0])
    def test_one_version_alone_says_nothing(self, share: float) -> None:
        assert compute_log_ratios(Counts(share, 10, 0)) == (0.0, 0.0)


class TestIsWorse:
    def test_total_outage_of_both_says_nothing(self) -> None:
        """An outage of both versions must not roll the new one back.

        All requests of both versions fail for ten minutes.
        """
        assert not is_worse(gather(Counts(0.5, 5, 5), 300), 4)

    def test_version_that_turns_bad_late_is_found_as_fast(self) -> None:
        """Earlier good results must not delay the detection of a fault.

        A version serves well for nine minutes and then fails.
        """
        fault = [compute_log_ratios(Counts(0.5, 4, 0))]
        late, early = gather(Counts(0.5, 0, 1), 270), Evidence()
        while not is_worse(early, 4):
            late = add_interval(late, fault, INTERVALS)
            early = add_interval(early, fault, INTERVALS)
        assert is_worse(late, 4)

    def test_gateways_add_up(self) -> None:
        counts = Counts(0.2, 2, 0)
        alone = add_interval(
            Evidence(), [compute_log_ratios(counts)], INTERVALS
        )
        all_nine = add_interval(
            Evidence(), [compute_log_ratios(counts)] * 9, INTERVALS
        )
        assert not is_worse(alone, 4)
        assert is_worse(all_nine, 4)
