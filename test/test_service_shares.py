"""Shares of workspaces in a service that is short, over all gateways."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.systems.service_load import BEARABLE_SHARE
from lagoonpost.systems.service_shares import (
    MAX_SUMMED_WORKSPACES,
    Request,
    ServiceShares,
    find_level,
    find_weights,
    list_largest,
    subtract_demand,
    sum_demand,
)
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.service_share import UNLISTED, ServiceLoad

SERVICE = "llm"
OBJECTIVE = 0.5
RATE = 400.0
"""Requests a second that the played service takes, each of one unit."""


class Arrival(NamedTuple):
    """A request: time by which it must begin, and its workspace."""

    due: float
    name: str


class Played:
    """Requests of one service over many gateways that share it.

    Requests within their share are served first, in order of arrival; those
    that can't begin within the objective count as not served. What counts
    begins a second after the rise.

    Attributes:
        deaf: Gateways that hear nothing of the others.
        marked: Requests over their share, by workspace.
    """

    def __init__(self, gateways: int) -> None:
        self.gateways = [ServiceShares() for _ in range(gateways)]
        self.deaf: range = range(0)
        self.marked: Counter[str] = Counter()
        self._asked: Counter[str] = Counter()
        self._served: Counter[str] = Counter()
        self._queues: dict[bool, list[Arrival]] = {False: [], True: []}
        self._room = 0.0

    def play(
        self,
        usual: dict[str, float],
        risen: dict[str, float],
        choose: Callable[[Random, str], int] | None = None,
    ) -> dict[str, float]:
        """Return the share served of each workspace's requests.

        Args:
            usual: Requests a second by workspace in the first two seconds.
            risen: Requests a second in the next seven, where they differ.
            choose: Returns the gateway that a request comes to.
        """
        rng = Random(1)
        now = told = 0.0
        while now < 9.0:
            rates = usual | risen if now >= 2.0 else usual
            pause = rng.expovariate(sum(rates.values()))
            now += pause
            self._serve(pause * RATE, now)
            if now >= told:
                told = now + 0.3
                self._tell(now)
            name = rng.choices(list(rates), list(rates.values()))[0]
            number = rng.randrange(len(self.gateways))
            shares = self.gateways[choose(rng, name) if choose else number]
            over = shares.is_over_share(SERVICE, name, 1.0, now, rng)
            self.marked[name] += over
            self._asked[name] += now >= COUNTED_SECONDS
            self._queues[over].append(Arrival(now + OBJECTIVE, name))
        return {name: self._served[name] / self._asked[name] for name in usual}

    def _serve(self, room: float, now: float) -> None:
        self._room = min(1.0, self._room) + room
        for over, queue in self._queues.items():
            queue = [each for each in queue if each.due > now]
            count = min(int(self._room), len(queue))
            self._room -= count
            self._served.update(
                each.name
                for each in queue[:count]
                if each.due >= COUNTED_SECONDS + OBJECTIVE
            )
            self._queues[over] = queue[count:]

    def _tell(self, now: float) -> None:
        """Exchange the gateways' reports, as sums of a hub."""
        wait = sum(map(len, self._queues.values())) / RATE
        load = ServiceLoad(wait / (BEARABLE_SHARE * OBJECTIVE), RATE)
        reports = [each.make_report(now) for each in self.gateways]
        total = sum_demand(reports)
        for number, shares in enumerate(self.gateways):
            others = total and subtract_demand(total, reports[number])
            known = None if number in self.deaf else others
            shares.update({SERVICE: load}, known, {}, now)


COUNTED_SECONDS = 3.0
USUAL = {f"w{number}": 29.0 for number in range(11)}
HEAVY = {"w0": 174.0}
PAID_MOST = 0.03
"""Most of its requests that a workspace below its share may lose to others."""


def find_lost(
    play: Played,
    usual: dict[str, float],
    risen: dict[str, float],
    choose: Callable[[Random, str], int] | None = None,
) -> float:
    """Return the share of their requests that the others lose by a rise."""
    alone = Played(len(play.gateways)).play(usual, {}, choose)
    served = play.play(usual, risen, choose)
    others = usual.keys() - risen.keys()
    lost = sum(alone[name] - served[name] for name in others)
    # What the others leave is used.
    left = RATE - sum(usual[name] for name in others)
    used = sum(served[name] * risen[name] for name in risen)
    assert used >= 0.8 * left
    return lost / len(others)


class TestServiceShares:
    @pytest.mark.parametrize("gateways", [1, 20, 72])
    def test_one_heavy_workspace_takes_nothing_from_the_others(self, gateways):
        """Guards against room in proportion to what is asked."""
        assert find_lost(Played(gateways), USUAL, HEAVY) <= PAID_MOST

    def test_three_heavy_workspaces_take_nothing_from_the_others(self):
        three = {"w0": 174.0, "w1": 174.0, "w2": 174.0}
        assert find_lost(Played(20), USUAL, three) <= PAID_MOST

    def test_many_small_workspaces_keep_theirs(self):
        """Guards against reports that list the largest workspaces only."""
        small = {f"w{number}": 5.0 for number in range(64)}
        assert find_lost(Played(20), small, {"w0": 174.0}) <= PAID_MOST

    def test_one_gateway_may_get_all_requests_of_a_workspace(self):
        """Guards against equal parts of a share for all gateways."""

        def choose(rng: Random, name: str) -> int:
            return 7 if name in ("w0", "w1") else rng.randrange(20)

        assert find_lost(Played(20), USUAL, HEAVY, choose) <= PAID_MOST

    def test_gateways_that_hear_nobody_mark_nothing(self):
        """Guards against one gateway's requests taken for the whole load."""
        played = Played(20)
        played.deaf = range(20)
        played.play(USUAL, HEAVY)
        assert not played.marked.total()

    def test_a_few_gateways_that_hear_nobody_cost_little(self):
        """Guards against a cut that leaves all others without shares."""
        played = Played(20)
        played.deaf = range(2)
        assert find_lost(played, USUAL, HEAVY) <= PAID_MOST

    def test_nothing_is_over_its_share_while_there_is_room(self):
        played = Played(20)
        played.play(USUAL, {"w0": 75.0})
        assert not played.marked.total()


REQUESTS = st.lists(
    st.builds(Request, st.floats(0, 100), st.floats(0.1, 10)), min_size=1
)


class TestFindLevel:
    @given(REQUESTS, st.floats(0, 500))
    def test_what_is_left_is_used_and_no_more(self, requests, capacity):
        level = find_level(requests, capacity)
        given = sum(min(each.units, level * each.weight) for each in requests)
        asked = sum(each.units for each in requests)
        assert given == pytest.approx(min(asked, capacity), abs=1e-6)


class TestFindWeights:
    def test_weights_are_in_the_ratio_of_quotas(self):
        large = Workspace("large", (), rate=300.0, by_tokens=True)
        small = Workspace("small", (), rate=100.0, by_tokens=True)
        free = Workspace("free", ())
        assert find_weights([large, small, free]) == {
            "large": 1.5,
            "small": 0.5,
            "free": 1.0,
        }

    def test_quotas_in_different_units_are_no_weights(self):
        tokens = Workspace("tokens", (), rate=300.0, by_tokens=True)
        requests = Workspace("requests", (), rate=1.0)
        weights = find_weights([tokens, requests])
        assert set(weights.values()) == {1.0}


class TestDemand:
    def test_a_sum_is_bounded_and_keeps_what_it_does_not_list(self):
        """Guards against reports that grow with the workspaces."""
        parts = [
            {SERVICE: {f"w{number}": 1.0 + number}} for number in range(500)
        ]
        total = sum_demand([*parts, None])
        assert total is not None
        assert len(total[SERVICE]) == MAX_SUMMED_WORKSPACES + 1
        assert sum(total[SERVICE].values()) == sum(range(1, 501))

    def test_requests_without_a_workspace_are_not_listed_as_one(self):
        assert list_largest({UNLISTED: 9.0, "w": 1.0, "v": 2.0}, 1) == {
            "v": 2.0,
            UNLISTED: 10.0,
        }

    def test_no_reports_are_not_an_empty_demand(self):
        assert sum_demand([None, None]) is None
