"""Retry budgets over all gateways, in simulated time without a network."""

import asyncio
from random import Random

import pytest
from memory_store import MemoryStore
from played_loop import play_time
from retry_play import (
    SERVICE,
    Cut,
    Day,
    Fleet,
    Kill,
    Shift,
    Silence,
)

from lagoonpost.forwarding.retry_budgets import RetryBudgets
from lagoonpost.store.store import Row
from lagoonpost.tables.bounds import Bounds
from lagoonpost.tables.decoding import Unreadable

RATES = {3: 30, 9: 30, 82: 90, 195: 120}
"""Requests a second by the number of gateways."""


def make_day(gateways: int, **faults) -> Day:
    """Return a day on which most offers fail from 5 s on."""
    rate = RATES[gateways]
    shifts = (Shift(0.0, rate, 0.0), Shift(5.0, rate, 0.95))
    return Day(gateways, shifts, seconds=22.0, **faults)


def make_rolls(gateways: int) -> list[Kill]:
    """Return restarts of all gateways, some at a time, within 9 s."""
    return [Kill(6.0 + step, max(1 / gateways, 0.11)) for step in range(10)]


FAULTS = {
    "none": {},
    "kill of all": {"kills": [Kill(8.0)]},
    "kills of all within a window": {
        "kills": [Kill(7.0), Kill(10.0), Kill(13.0)]
    },
    "kills of some": {"kills": [Kill(at, 0.6) for at in (6, 7.5, 9, 11, 14)]},
    "cut": {"cuts": [Cut(7.0, 17.0, 0.34)]},
    "silent store": {"silences": [Silence(8.0, 15.0)]},
    "all at once": {
        "kills": [
            Kill(6.0, 0.6),
            Kill(8.0),
            Kill(11.0),
            Kill(13.0, 0.6),
            Kill(14.5, 0.9),
        ],
        "cuts": [Cut(7.0, 15.0, 0.34)],
        "silences": [Silence(12.0, 17.0)],
    },
}


class TestSums:
    @pytest.mark.parametrize("fault", FAULTS)
    @pytest.mark.parametrize("gateways", RATES)
    def test_repeats_stay_within_the_budget(self, gateways, fault):
        """Guards against a budget that a restart or a wrong count renews."""
        fleet = Fleet(make_day(gateways, **FAULTS[fault]))
        play_time(fleet.play())
        most, allowed = fleet.find_worst()
        assert most <= allowed

    @pytest.mark.parametrize("gateways", RATES)
    def test_rolled_gateways_stay_within_the_budget(self, gateways):
        """Guards against the same while gateways restart one after another."""
        fleet = Fleet(make_day(gateways, kills=make_rolls(gateways)))
        play_time(fleet.play())
        most, allowed = fleet.find_worst()
        assert most <= allowed

    @pytest.mark.parametrize("seed", range(3))
    def test_bursts_before_and_in_a_window_stay_within_the_budget(self, seed):
        """Guards against credits of a burst that are spent in the next one."""
        shifts = (
            Shift(0.0, 12, 0.0),
            Shift(11.8, 1600, 0.0),
            Shift(13.0, 120, 0.95),
            Shift(18.2, 840, 0.95),
        )
        fleet = Fleet(Day(3, shifts, seconds=23.0), seed)
        play_time(fleet.play())
        most, allowed = fleet.find_worst()
        assert most <= allowed

    @pytest.mark.parametrize("seed", range(12))
    def test_drawn_days_stay_within_the_budget(self, seed):
        """Guards against the same on days of drawn load and faults."""
        rng = Random(seed)
        rate = rng.choice((5, 15, 40))
        shifts = [Shift(0.0, rate, 0.0)]
        while shifts[-1].at < 20.0:
            load = rate * rng.choice((0.1, 0.3, 1, 2, 7))
            failing = rng.choice((0.0, 0.1, 0.6, 0.95, 1.0))
            at = shifts[-1].at + rng.uniform(0.5, 6.0)
            shifts.append(Shift(at, load, failing))
        kills = [
            Kill(rng.uniform(3.0, 20.0), rng.choice((0.1, 0.6, 1.0)))
            for _ in range(rng.choice((0, 1, 3, 6)))
        ]
        begin = rng.uniform(3.0, 15.0)
        cut = Cut(begin, begin + rng.uniform(1.0, 9.0), rng.uniform(0.1, 0.9))
        begin = rng.uniform(3.0, 15.0)
        silence = Silence(begin, begin + rng.uniform(1.0, 9.0))
        day = Day(rng.choice((3, 9)), shifts, kills, [cut], [silence], 24.0)
        fleet = Fleet(day, seed)
        play_time(fleet.play())
        most, allowed = fleet.find_worst()
        assert most <= allowed


class TestUse:
    @pytest.mark.parametrize("gateways", RATES)
    def test_the_floor_is_spent_where_it_is_wanted(self, gateways):
        """Guards against parts of the floor too small for a single retry.

        One gateway in ten has all of the failures.
        """
        day = make_day(gateways)
        fleet = Fleet(day, failing_gateways=max(1, gateways // 10))
        play_time(fleet.play())
        most, _ = fleet.find_worst()
        assert most >= 0.5 * fleet.bounds.budget_floor

    def test_repeats_come_back_after_a_restart(self):
        """Guards against a start that refuses what is certainly left.

        Little of the budget was used before the kill of all gateways.
        """
        shifts = (Shift(0, 30, 0.0), Shift(5, 30, 0.1), Shift(8, 30, 0.95))
        day = Day(9, shifts, kills=[Kill(8.0)], seconds=12.0)
        fleet = Fleet(day)
        play_time(fleet.play())
        assert sum(8.0 < at < 10.0 for at in fleet.retries) >= 10

    def test_credits_are_spent_while_the_store_is_silent(self):
        """Guards against a service without repeats for want of the store."""
        faults = {"kills": [Kill(8.5)], "silences": [Silence(8.0, 16.0)]}
        fleet = Fleet(make_day(9, **faults))
        play_time(fleet.play())
        assert sum(10.0 < at < 16.0 for at in fleet.retries) >= 10


class _ClockedStore(MemoryStore):
    def __init__(self) -> None:
        super().__init__()
        self.clock = self
        self.seconds = 0.0

    async def _inject_fault(self, call: str) -> str:
        await asyncio.sleep(self.seconds)
        return await super()._inject_fault(call)

    def estimate_now(self) -> float:
        return 1000.0 + asyncio.get_running_loop().time()


def make_budgets(store: MemoryStore, lost: bool = False) -> RetryBudgets:
    """Return the budgets of a gateway that knows no other one."""
    return RetryBudgets(
        "a",
        Bounds(budget_ratio=0.0, budget_floor=16.0),
        store,
        lambda: lost,
        lambda: ("a",),
        tuple,
        lambda: 1,
        Random(1),
        lambda: asyncio.get_running_loop().time(),
    )


async def count_granted(budgets: RetryBudgets, wanted: int) -> int:
    """Return how many of some retries are granted that are wanted at once."""
    asked = [budgets.acquire(SERVICE) for _ in range(wanted)]
    return sum(await asyncio.gather(*asked))


class TestStore:
    def test_gateways_that_know_nobody_share_the_floor(self):
        """Guards against a floor for each side of a cut."""

        async def play() -> list[int]:
            store = _ClockedStore()
            budgets = [make_budgets(store) for _ in range(3)]
            return list(
                await asyncio.gather(
                    *(count_granted(each, 20) for each in budgets)
                )
            )

        assert sum(play_time(play())) == 14

    @pytest.mark.parametrize("fault", ["down", "lost"])
    def test_a_reservation_without_an_answer_grants_nothing(self, fault):
        """Guards against retries that the store may not have counted."""

        async def play() -> tuple[int, int, int]:
            store = _ClockedStore()
            budgets = make_budgets(store)
            store.fault = lambda call: fault if call == "transact" else ""
            first = await count_granted(budgets, 20)
            store.fault = lambda call: ""
            at_once = await count_granted(budgets, 20)
            await asyncio.sleep(2.0)
            return first, at_once, await count_granted(budgets, 20)

        first, at_once, later = play_time(play())
        assert first == at_once == 0
        assert later == (14 if fault == "down" else 0)

    def test_a_slow_store_leaves_the_floor_open(self):
        """Guards against a floor closed as those that waited had given up.

        Two gateways reserve at once, and one has to try again.
        """

        async def play() -> list[bool]:
            store = _ClockedStore()
            store.seconds = 0.3
            both = [make_budgets(store) for _ in range(2)]
            await asyncio.gather(*(each.acquire(SERVICE) for each in both))
            await asyncio.sleep(2.5)
            store.seconds = 0.0
            return [await each.acquire(SERVICE) for each in both]

        assert play_time(play()) == [True, True]

    def test_a_lost_store_is_not_called(self):
        """Guards against waits for a store that is known not to answer."""

        async def play() -> tuple[int, int]:
            store = _ClockedStore()
            granted = await count_granted(make_budgets(store, lost=True), 5)
            return granted, len(store.calls)

        assert play_time(play()) == (0, 0)

    @pytest.mark.parametrize(
        "value",
        [
            Unreadable("malformed"),
            {"other": "writer"},
            [[1000.0, -5]],
            [[1e300, 1]],
            [[1000.0, 10**400]],
        ],
    )
    def test_an_unreadable_row_grants_nothing_for_a_window(self, value):
        """Guards against a floor that is renewed, or lost, with its record."""

        async def play() -> tuple[int, int]:
            store = _ClockedStore()
            key = f"retries/{SERVICE}"
            store.rows[key] = Row(key, 3, value)
            budgets = make_budgets(store)
            soon = await count_granted(budgets, 5)
            await asyncio.sleep(12.0)
            return soon, await count_granted(budgets, 20)

        assert play_time(play()) == (0, 14)

    def test_changed_settings_grant_no_floor_again(self):
        """Guards against reservations that are forgotten with old bounds."""

        async def play() -> tuple[int, int]:
            budgets = make_budgets(_ClockedStore())
            before = await count_granted(budgets, 10)
            budgets.set_bounds(Bounds(budget_ratio=0.0, budget_floor=16.0))
            return before, await count_granted(budgets, 20)

        assert play_time(play()) == (10, 4)

    def test_a_restored_store_grants_nothing_for_a_window(self):
        """Guards against a floor that is renewed by an older copy."""

        async def play() -> tuple[int, int]:
            budgets = make_budgets(_ClockedStore())
            budgets.handle_new_era()
            soon = await count_granted(budgets, 20)
            await asyncio.sleep(12.0)
            return soon, await count_granted(budgets, 20)

        assert play_time(play()) == (0, 14)
