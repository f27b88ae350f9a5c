"""Quotas while gateways are partitioned from each other."""

from random import Random

import pytest

from lagoonpost.systems.quota import Quotas
from lagoonpost.systems.reachability import (
    DEAD_MAY_SERVE_SECONDS,
    compute_reachable_share,
    find_unreachable,
)
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.peer import Member, MemberState
from lagoonpost.tables.quota import QuotaBounds

BOUNDS = QuotaBounds(window=8.0, overage=0.1, slack=110_000)
HOT = Workspace("hot", ("k",), rate=90_000, burst=100_000, by_tokens=True)
GATEWAYS = 9
CUT_FROM, CUT_UNTIL = 1.0, 25.0
REPORT_SECONDS = 0.2
UNREACHABLE_SECONDS = 2.0
"""Time without reports after which a gateway counts as unreachable."""
DEAD_SECONDS = 5.0
"""Time after which a gateway that does not answer is marked dead."""


def make_member(
    number: int, state: MemberState = "alive", changed: float = 0.0
) -> Member:
    return Member(
        name=f"gateway-{number}",
        address="",
        role="gateway",
        region="here",
        failure_domain="domain",
        incarnation=1,
        state=state,
        changed=changed,
    )


class Fleet:
    """Gateways that report their quota usage to the reachable gateways.

    Args:
        cut: Indexes of the gateways that are partitioned from the others.
        together: Whether the partitioned gateways reach each other.
    """

    def __init__(self, cut: frozenset[int], together: bool) -> None:
        self.cut = cut
        self.together = together
        self.quotas = [Quotas(BOUNDS) for _ in range(GATEWAYS)]

    def can_reach(self, one: int, other: int, now: float) -> bool:
        if not CUT_FROM <= now < CUT_UNTIL or one == other:
            return True
        if one in self.cut and other in self.cut:
            return self.together
        return one not in self.cut and other not in self.cut

    def compute_share(self, one: int, now: float) -> float:
        since = now - CUT_FROM
        late = since > UNREACHABLE_SECONDS
        heard = {
            f"gateway-{each}"
            for each in range(GATEWAYS)
            if self.can_reach(one, each, now) or not late
        }
        members = [
            make_member(each, "dead", CUT_FROM + DEAD_SECONDS)
            if not self.can_reach(one, each, now) and since > DEAD_SECONDS
            else make_member(each)
            for each in range(GATEWAYS)
        ]
        unheard = find_unreachable(members, heard, now)
        return compute_reachable_share(len(heard), len(unheard))

    def send_reports(self, now: float) -> None:
        for one, quota in enumerate(self.quotas):
            quota.mark_published()
            for other, receiver in enumerate(self.quotas):
                if one != other and self.can_reach(one, other, now):
                    recent = quota.list_own_usage(now)
                    receiver.update_from_peers(
                        str(one), dict(quota.used), recent, now
                    )


def play(fleet: Fleet, rate: float, seed: int) -> float:
    """Return the largest number of units admitted within one window."""
    rng = Random(seed)
    passed: list[tuple[float, float]] = []
    now = reported_at = 0.0
    while now < CUT_UNTIL:
        cost = rng.choice([1000.0, 3000.0, 9000.0, 20000.0])
        now += rng.expovariate(rate / cost)
        one = rng.randrange(GATEWAYS)
        share = fleet.compute_share(one, now)
        if fleet.quotas[one].take(HOT, cost, share, now) is None:
            passed.append((now, cost))
        if now - reported_at > REPORT_SECONDS:
            reported_at = now
            fleet.send_reports(now)
    return max(
        sum(cost for at, cost in passed if start <= at < start + 8.0)
        for start, _ in passed
    )


class TestCutOff:
    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize("together", [False, True])
    @pytest.mark.parametrize("cut", [frozenset({0}), frozenset({0, 1, 2})])
    def test_sides_of_a_cut_share_a_quota(
        self, cut: frozenset[int], together: bool, seed: int
    ):
        """Each side of a partition admits the whole quota.

        A workspace sends three times its quota. After five seconds each side
        has marked the other dead and considers itself the whole system.
        """
        quota = HOT.rate * BOUNDS.window + HOT.burst
        most = quota * (1 + BOUNDS.overage) + BOUNDS.slack
        assert play(Fleet(cut, together), 3 * HOT.rate, seed) <= most

    def test_members_that_left_are_not_counted(self):
        members = [make_member(0), make_member(1, "left", 10.0)]
        assert not find_unreachable(members, {"gateway-0"}, 11.0)

    def test_the_dead_are_forgotten_in_the_end(self):
        members = [make_member(0), make_member(1, "dead", 10.0)]
        heard = {"gateway-0"}
        assert find_unreachable(members, heard, 11.0) == {"gateway-1"}
        assert not find_unreachable(
            members, heard, 11.0 + DEAD_MAY_SERVE_SECONDS
        )
