"""Headroom in simulation: accepted work survives a lost failure domain."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.cases import (
    LOST_AT,
    compute_good_share,
    list_recovery_seconds,
    play_lost_domain,
)
from lagoonpost.systems.headroom import moved_limit, protected_limit


class TestLimits:
    @given(st.integers(1, 64), st.integers(2, 8))
    def test_a_lost_domain_fits_on_the_others(self, slots, domains):
        assert moved_limit(slots, domains) * (domains - 1) >= slots * domains

    @given(st.integers(4, 64), st.integers(1, 8))
    def test_moved_work_goes_before_protected(self, slots, domains):
        assert protected_limit(slots) <= moved_limit(slots, domains)


class TestLostDomain:
    """Guards against answers that stop midway when a zone is reclaimed.

    All slots are in use when one of three failure domains is lost, with or
    without notice. Its requests need slots where none is free, and compete
    with new requests.
    """

    @pytest.mark.parametrize("notice", [True, False])
    @pytest.mark.parametrize("gateways", [1, 5])
    def test_accepted_requests_go_on_at_once(self, notice, gateways):
        outcomes = play_lost_domain(0.95, notice, gateways)
        moved = [o for o in outcomes if o.attempts > 1]
        assert all(o.finished is not None for o in moved)
        waits = list_recovery_seconds(outcomes)
        assert len(waits) > 10
        assert max(waits) < 0.2

    def test_new_work_gets_what_is_left(self):
        """Checks are answered on time again some seconds after the loss."""
        outcomes = play_lost_domain(0.6, True, 1)
        assert (
            compute_good_share(
                o
                for o in outcomes
                if o.arrived >= LOST_AT + 3 and o.call.request_class == "check"
            )
            >= 0.95
        )
