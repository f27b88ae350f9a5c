"""Orders of runners: prices, reclaims, and what is there meanwhile."""

import math

from lagoonpost.http.message import Address
from lagoonpost.systems.scaling import (
    MAX_BUSY_SHARE_AFTER_LOSS,
    CapacityPool,
    Demand,
    count_runners,
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
    return sum(n for tenure, n in orders.items() if tenure.spot is spot)


SETTLED = {CapacityPool("a", False): 1} | {
    CapacityPool(d, True): 1 for d in PRICES
}


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
                    for tenure, count in orders.items()
                    if not (tenure.spot and tenure.domain == lost)
                )
                assert left >= max(
                    2, math.ceil(busy / MAX_BUSY_SHARE_AFTER_LOSS)
                )

    def test_full_price_takes_the_place_of_what_is_not_to_be_had(self):
        """All reclaimable runners are announced to go, none are offered.

        Without others ordered at the notice the last one alone gets all
        prompts for the rest of the drought.
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
        """Reclaimable runners are sent away while the load is low for a while.

        Half a second later one at full price is ordered for what they did,
        as none of the others are to be had.
        """
        there = {CapacityPool("a", False): 1, CapacityPool("b", True): 3}
        orders = plan(Demand(0.4), there, dry={"a": 200.0, "c": 200.0})
        assert orders[CapacityPool("b", True)] == 3

    def test_a_drought_prepares_for_the_next_reclaim(self):
        """Domains are reclaimed one after the other, seconds apart.

        What replaced the second one was ordered at its notice, and callers
        of the four seconds of its start-up waited behind each other.
        """
        busy = 2.2
        there = {CapacityPool("a", False): 1, CapacityPool("b", True): 3}
        orders = plan(Demand(busy), there, dry={"a": 200.0, "c": 200.0})
        left = total(orders, spot=False)
        assert left >= math.ceil(busy / MAX_BUSY_SHARE_AFTER_LOSS)

    def test_cheap_runners_are_more_than_dear_ones(self):
        """Drafts are slow beside prompts that are read.

        While reclaimable runners are to be had, so many run that most
        steps read nothing; at full price only as many as waits need.
        """
        large = SCALING._replace(max_runners=12)
        wet = plan(Demand(2.0), scaling=large)
        dry = plan(Demand(2.0), scaling=large, dry=DRY)
        assert total(wet, spot=True) == 7
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
