"""Tests of claims by which one gateway issues a runner's permits."""

from random import Random

import pytest

from bench.limited_play import acquire, make_endpoint
from lagoonpost.systems.permit_claims import (
    CLAIM_PAUSE_SECONDS,
    CLAIM_SECONDS,
    SUCCESSORS,
    PermitClaims,
)
from lagoonpost.systems.permit_group import PermitGroup
from lagoonpost.systems.permit_issuer import Granted
from lagoonpost.systems.runner_limits import RunnerLimits
from lagoonpost.tables.permit import PermitClaim

RUNNER = "desk-0"
NAMES = [f"gateway-{number}" for number in range(9)]


def make_group(name: str, names: list[str] = NAMES) -> PermitGroup:
    group = PermitGroup(name, -60.0)
    group.note_gateways(names, names, ())
    return group


def rank() -> list[str]:
    """Return the gateways in the order in which they would issue."""
    group = make_group(NAMES[0])
    return [
        group.find_issuer(RUNNER),
        *group.list_successors(RUNNER, len(NAMES)),
    ]


class TestClaims:
    def test_a_higher_one_is_believed_for_a_while(self):
        """Guards against two issuers in views that differ."""
        first, second, *others = rank()
        group = make_group(second, [second, *others])
        claims = PermitClaims(second, group)
        assert claims.find_issuer(RUNNER, 0.0) == second
        claims.handle_claim(PermitClaim(RUNNER, first), 0.0)
        assert claims.find_issuer(RUNNER, CLAIM_SECONDS - 0.1) == first
        assert claims.find_issuer("desk-1", 0.1) != first
        assert claims.find_issuer(RUNNER, CLAIM_SECONDS) == second

    def test_a_lower_one_is_not(self):
        """Guards against two gateways that stop issuing for each other."""
        first, second, *_ = rank()
        claims = PermitClaims(first, make_group(first))
        claims.handle_claim(PermitClaim(RUNNER, second), 0.0)
        assert claims.find_issuer(RUNNER, 0.1) == first

    def test_the_next_ones_are_told_now_and_then(self):
        first, *others = rank()
        claims = PermitClaims(first, make_group(first))
        assert claims.list_due(RUNNER, 0.0) == others[:SUCCESSORS]
        assert claims.list_due(RUNNER, CLAIM_PAUSE_SECONDS - 0.1) == []
        assert claims.list_due(RUNNER, CLAIM_PAUSE_SECONDS) != []

    def test_a_runner_that_started_anew_is_claimed_anew(self):
        first, second, *others = rank()
        claims = PermitClaims(second, make_group(second, [second, *others]))
        claims.handle_claim(PermitClaim(RUNNER, first), 0.0)
        claims.forget(RUNNER)
        assert claims.find_issuer(RUNNER, 0.1) == second


class TestIssuers:
    @pytest.mark.parametrize("is_told", [True, False])
    def test_one_that_was_told_sends_others_to_their_own_part(self, is_told):
        """Guards against a whole rate at each of two issuers."""
        first, second, third, *others = rank()
        known = [second, third, *others]
        gateways = {n: RunnerLimits(n, -60.0, Random(n)) for n in known}
        endpoint = make_endpoint(0)
        for limits in gateways.values():
            limits.note_gateways(known, known, (), 0.0)
            limits.cold.note_entry(endpoint.id, 60.0, 0.0)
        if is_told:
            gateways[second].handle_claim(PermitClaim(RUNNER, first), 0.0)
        granted = 0
        for step in range(100):
            decision = acquire(
                gateways, third, endpoint, 10.0, 0.0, step / 100
            )
            granted += isinstance(decision, Granted)
        assert granted <= 2 if is_told else granted >= 8
