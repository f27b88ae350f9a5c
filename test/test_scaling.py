"""Orders of runners: prices, reclaims and shortages of spot capacity."""

import math

import pytest

from lagoonpost.http.message import Address
from lagoonpost.systems.scaling import (
    MAX_BUSY_SHARE_AFTER_LOSS,
    CapacityPool,
    Demand,
    RunnerOrder,
    count_runners,
    keep_present,
    plan_orders,
)
from lagoonpost.tables.configuration import Scaling
from lagoonpost.tables.endpoint import Endpoint

PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}
SCALING = Scaling(
    min_runners=1,
    max_runners=3,
    boot_seconds=4.0,
    spot_price=0.2,
    prices=PRICES,
)
DRY = dict.fromkeys(PRICES, math.inf)


QUIET = Demand(0.5)


def plan(demand=QUIET, there=None, dry=None, scaling=SCALING):
    orders = plan_orders(scaling, demand, there or {}, dry or {}, 100.0)
    return {order.capacity_pool: order.runners for order in orders}


def total(orders, spot):
    return sum(n for pool, n in orders.items() if pool.spot is spot)


SETTLED = {CapacityPool("a", False): 1} | {
    CapacityPool(d, True): 1 for d in PRICES
}


class TestMoves:
    def test_no_runner_is_ordered_away_while_a_service_moves(self):
        """Guards against orders that stop all runners of a new version."""
        present = {pool: 2 * count for pool, count in SETTLED.items()}
        orders = [RunnerOrder(pool, n) for pool, n in plan().items()]
        kept = {
            order.capacity_pool: order.runners
            for order in keep_present(orders, present)
        }
        assert all(kept[pool] >= present.get(pool, 0) for pool in kept)
        assert kept.keys() == plan().keys()

    def test_missing_runners_are_ordered_all_the_same(self):
        orders = [RunnerOrder(CapacityPool("a", True), 3)]
        assert keep_present(orders, {CapacityPool("a", True): 1}) == orders


class TestPlanOrders:
    def test_reclaimable_runners_carry_the_load(self):
        orders = plan(there=SETTLED)
        assert total(orders, spot=True) == 3
        assert orders[CapacityPool("a", False)] == 1
        assert total(orders, spot=False) == 1

    def test_the_loss_of_any_domain_leaves_enough(self):
        for busy in (0.1, 0.8, 1.5, 2.0):
            orders = plan(Demand(busy), there=SETTLED)
            for lost in PRICES:
                left = sum(
                    count
                    for pool, count in orders.items()
                    if not (pool.spot and pool.domain == lost)
                )
                assert left >= max(
                    2, math.ceil(busy / MAX_BUSY_SHARE_AFTER_LOSS)
                )

    def test_full_price_takes_the_place_of_what_is_not_to_be_had(self):
        """Guards against a shortage of spot capacity.

        All spot runners get a reclaim notice, and no new ones are available.
        Unless others are ordered at the notice, the only remaining runner
        gets all prompts until the shortage ends.
        """
        orders = plan(there={CapacityPool("a", False): 1}, dry=DRY)
        assert total(orders, spot=False) == 3
        assert total(orders, spot=True) == 0

    def test_runners_that_are_there_are_kept_before_new_ones_start(self):
        there = {CapacityPool("b", False): 2, CapacityPool("c", False): 1}
        orders = plan(there=there)
        kept = (
            orders[CapacityPool("b", False)] + orders[CapacityPool("c", False)]
        )
        assert kept == 2
        assert orders[CapacityPool("a", False)] == 1

    def test_full_price_goes_once_reclaimable_ones_are_back(self):
        there = SETTLED | {CapacityPool("a", False): 3}
        assert plan(there=there)[CapacityPool("a", False)] == 1

    def test_in_a_drought_nothing_cheap_is_given_back(self):
        """Guards against releasing spot runners that cannot be replaced.

        During a shortage, spot runners are released in a short period of low
        load. Half a second later a runner at full price is ordered in their
        place.
        """
        there = {CapacityPool("a", False): 1, CapacityPool("b", True): 3}
        orders = plan(Demand(0.4), there, dry={"a": 200.0, "c": 200.0})
        assert orders[CapacityPool("b", True)] == 3

    def test_a_drought_prepares_for_the_next_reclaim(self):
        """Guards against reclaims of several domains, seconds apart.

        If the replacements for the second domain are ordered only at its
        notice, callers wait behind each other during the four seconds of the
        start-up.
        """
        busy = 2.2
        there = {CapacityPool("a", False): 1, CapacityPool("b", True): 3}
        orders = plan(Demand(busy), there, dry={"a": 200.0, "c": 200.0})
        left = total(orders, spot=False)
        assert left >= math.ceil(busy / MAX_BUSY_SHARE_AFTER_LOSS)

    @pytest.mark.parametrize("busy", [1.5, 14.0])
    def test_a_shortage_prepares_for_the_loss_of_all_spot_runners(self, busy):
        """Guards against reclaims of all other domains at one moment.

        One domain is reclaimed in a shortage; the others follow six seconds
        later, and replacements take a start-up and a cold start.
        """
        large = SCALING._replace(max_runners=30)
        there = {
            CapacityPool("a", False): 1,
            CapacityPool("b", True): 20,
            CapacityPool("c", True): 20,
        }
        orders = plan(Demand(busy), there, {"a": 200.0}, large)
        assert total(orders, spot=False) >= busy / MAX_BUSY_SHARE_AFTER_LOSS

    def test_cheap_runners_are_more_than_dear_ones(self):
        """Guards against drafts that are slow beside prefills.

        While spot capacity is available, enough runners run that most steps
        have no prefill; at full price, only as many as the waits require.
        """
        large = SCALING._replace(max_runners=12)
        with_spot = plan(Demand(2.0), scaling=large)
        dry = plan(Demand(2.0), scaling=large, dry=DRY)
        assert total(with_spot, spot=True) == 7
        assert total(dry, spot=False) == 4

    def test_bounds_of_a_domain_hold(self):
        for busy in (0.0, 3.0, 50.0):
            for dry in ({}, DRY):
                orders = plan(Demand(busy), dry=dry)
                for domain in PRICES:
                    both = [
                        orders.get(CapacityPool(domain, spot), 0)
                        for spot in (True, False)
                    ]
                    assert sum(both) <= SCALING.max_runners

    def test_without_reclaimable_runners_all_are_at_full_price(self):
        orders = plan(scaling=SCALING._replace(spot_price=0.0))
        assert total(orders, spot=True) == 0
        assert total(orders, spot=False) == 3

    def test_without_prices_nothing_is_ordered(self):
        assert plan(scaling=SCALING._replace(prices={})) == {}


class TestCountRunners:
    def test_leaving_ones_do_not_count(self):
        stays = Endpoint(
            "1", "chat", Address("127.0.0.1", 1), "a", "v1", 8, spot=True
        )
        leaves = stays._replace(id="2", leaving=True)
        assert count_runners([stays, leaves]) == {CapacityPool("a", True): 1}
