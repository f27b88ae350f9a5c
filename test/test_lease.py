"""Tests of lagoonpost.systems.lease, its driver and the controller loop."""

import asyncio
import time
from collections import Counter

import msgspec
import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from lease_model import Holder, World
from memory_store import MemoryStore

from lagoonpost.controller.loop import Controller
from lagoonpost.store.lease import LEASE_PREFIX, LeaseManager
from lagoonpost.store.store import Row
from lagoonpost.systems.lease import LeasePolicy
from lagoonpost.systems.shard import (
    MIN_HOLD_SECONDS,
    choose_claim,
    rank_controller,
)
from lagoonpost.tables.lease import LeaseRow

RATES = strategies.sampled_from([0.99, 1.0, 1.01])
FAULTS = strategies.sampled_from(
    ["none", "none", "none", "lost_reply", "late", "dropped"]
)
SECONDS = strategies.sampled_from([0.5, 2.0, 4.0, 5.0, 9.0, 14.5, 40.0])
INDEXES = strategies.integers(0, 2)
DUTIES = LeasePolicy(4.0, 0.5, 1.5, 0.3, 1.0, 10.0, 3.5)


class LeaseMachine(RuleBasedStateMachine):
    """Controllers that are paused at any point, with a failing store.

    A paused or dead controller takes no step while time passes. When it
    resumes, it acts on its old state.
    """

    world: World

    @initialize(rates=strategies.lists(RATES, min_size=3, max_size=3))
    def begin(self, rates: list[float]) -> None:
        self.world = World(rates)

    def holder(self, index: int) -> Holder:
        return self.world.holders[index]

    @rule(index=INDEXES, fault=FAULTS)
    def go_on(self, index: int, fault: str) -> None:
        self.world.go_on(self.holder(index), fault)

    @rule(index=INDEXES, steps=strategies.integers(2, 7))
    def go_on_well(self, index: int, steps: int) -> None:
        for _ in range(steps):
            self.world.go_on(self.holder(index))

    @rule(index=INDEXES)
    def acquire(self, index: int) -> None:
        self.world.acquire(self.holder(index))

    @rule(pause=strategies.sampled_from([0.0, 4.0]))
    def order(self, pause: float) -> None:
        for holder in self.world.holders:
            self.world.order(holder, pause)

    @precondition(lambda self: self.world.orders)
    @rule(data=strategies.data())
    def arrive(self, data: strategies.DataObject) -> None:
        order = data.draw(strategies.sampled_from(self.world.orders))
        if order.leaves <= self.world.now:
            self.world.apply(order)

    @precondition(lambda self: self.world.late)
    @rule()
    def arrive_late(self) -> None:
        self.world.write(self.world.late.pop())

    @rule(index=INDEXES, wanted=strategies.booleans())
    def want(self, index: int, wanted: bool) -> None:
        self.world.want(self.holder(index), wanted)

    @rule(index=INDEXES, other=INDEXES)
    def hand_over(self, index: int, other: int) -> None:
        self.world.hand_over(self.holder(index), self.holder(other))

    @rule(index=INDEXES)
    def restart(self, index: int) -> None:
        self.world.restart(self.holder(index))

    @rule(index=INDEXES)
    def begin_call(self, index: int) -> None:
        self.world.begin_call(self.holder(index))

    @precondition(lambda self: self.world.calls)
    @rule(data=strategies.data(), answered=strategies.booleans())
    def end_call(self, data: strategies.DataObject, answered: bool) -> None:
        call = data.draw(strategies.sampled_from(self.world.calls))
        self.world.end_call(call, answered)

    @precondition(lambda self: self.world.lost_calls)
    @rule(data=strategies.data())
    def take_effect(self, data: strategies.DataObject) -> None:
        calls = list(self.world.lost_calls)
        self.world.take_effect(data.draw(strategies.sampled_from(calls)))

    @rule(seconds=SECONDS)
    def wait(self, seconds: float) -> None:
        self.world.wait(seconds)

    @invariant()
    def keep_promises(self) -> None:
        self.world.check()

    def teardown(self) -> None:
        self.world.finish()


class ReturnMachine(LeaseMachine):
    """LeaseMachine with a store that is rolled back to older snapshots."""

    @rule(transactions=strategies.integers(1, 4))
    def go_back(self, transactions: int) -> None:
        self.world.go_back(transactions)


class TestFences:
    def test_number_is_not_given_out_again_after_returns(self) -> None:
        """A fencing number is issued twice.

        A controller unaware of a store rollback overwrites the row.
        """
        world = World([1.0, 1.0])
        second, first = world.holders
        world.acquire(first)
        world.hand_over(first, second)
        world.check()
        world.go_back(1)
        for holder in (second, first):
            world.acquire(holder)
            assert holder.is_held(world.now)
            world.check()


class TestLeaseOverReturns(ReturnMachine.TestCase):
    """Two holders at once or a reused fencing number, over rollbacks."""

    settings = settings(max_examples=300, stateful_step_count=50)


class TestLease(LeaseMachine.TestCase):
    settings = settings(max_examples=300, stateful_step_count=50)


class TestOrders:
    def test_new_holder_waits_for_orders_of_the_one_before(self) -> None:
        """A controller hands a lease over with an order still in flight.

        The runner ignores fencing numbers. If the next controller sent an
        order at once, the older order could arrive last and undo the newer.
        """
        world = World([1.0, 1.0])
        old, new = world.holders
        world.acquire(old)
        world.wait(6.0)
        world.order(old, 0.0)
        world.want(old, False)
        world.go_on(old)
        world.go_on(old)
        world.acquire(new)
        world.order(new, 0.0)
        assert [order.holder for order in world.orders] == [old]
        world.wait(5.5)
        world.order(new, 0.0)
        world.wait(5.5)
        assert world.applied == [1, 2]

    def test_short_pause_before_an_order_does_no_harm(self) -> None:
        """A controller is paused between checking the lease and sending.

        Its lease expires during the pause and the next holder sends an order.
        Unless enough of the lease was left, the older order arrives last.
        """
        world = World([1.0, 1.0])
        old, new = world.holders
        world.acquire(old)
        for _ in range(3):
            world.go_on(new)
        world.wait(13.0)
        world.order(old, 4.0)
        world.acquire(new)
        world.wait(5.1)
        world.order(new, 0.0)
        for order in reversed(world.orders):
            world.apply(order)
        world.check()

    def test_released_lease_is_held_by_one_only(self) -> None:
        """Two controllers hold a lease whose release has a slow reply.

        Another controller acquires the lease before the first one receives
        the reply to its release.
        """
        world = World([1.0, 1.0])
        old, new = world.holders
        world.acquire(old)
        world.want(old, False)
        world.go_on(old)
        world.go_on(old)
        world.acquire(new)
        assert new.is_held(world.now)
        assert not old.is_held(world.now)


class TestTurns:
    def take_turns(self, world: World) -> None:
        """Let one controller hold the lease and then another one."""
        old, new = world.holders
        world.wait(60.0)
        world.acquire(old)
        world.check()
        world.hand_over(old, new)
        world.check()

    def test_released_lease_is_not_taken_back_from_the_next_holder(
        self,
    ) -> None:
        """Work moves from A to B and back too soon."""
        world = World([1.0, 1.0])
        old, new = world.holders
        self.take_turns(world)
        world.hand_over(new, old)
        world.check()

    def test_restarted_holder_does_not_take_it_back_from_the_next_one(
        self,
    ) -> None:
        """Work moves from A to B and back to a new process of host A."""
        world = World([1.0, 1.0])
        old, new = world.holders
        self.take_turns(world)
        world.restart(old)
        world.hand_over(new, old)
        world.check()

    def test_call_that_takes_effect_late_counts_as_work(self) -> None:
        """Work moves from A to B and back, after A lost an answer.

        The unanswered call of A may take effect later and counts as work.
        """
        world = World([1.0, 1.0])
        old, new = world.holders
        world.acquire(old)
        world.begin_call(old)
        (call,) = world.calls
        world.end_call(call, answered=False)
        world.want(old, False)
        world.acquire(old)
        world.acquire(new)
        world.wait(4.0)
        world.take_effect(call)
        world.begin_call(new)
        world.end_call(world.calls[0], answered=True)
        world.want(new, False)
        world.acquire(new)
        world.want(old, True)
        world.acquire(old)
        assert not old.is_held(world.now)
        world.finish()

    def test_lease_is_not_taken_back_under_an_earlier_call(self) -> None:
        """A holder reacquires an expired lease during its earlier call."""
        world = World([1.0, 1.0])
        old, new = world.holders
        world.acquire(old)
        world.begin_call(old)
        world.wait(60.0)
        world.acquire(new)
        assert new.is_held(world.now)
        world.want(new, False)
        world.acquire(new)
        world.acquire(old)
        world.acquire(old)
        assert not old.is_held(world.now)
        world.end_call(world.calls[0], answered=True)
        world.finish()

    def test_lapsed_lease_is_not_taken_back_from_the_next_holder(self) -> None:
        """Work moves from A to B and back, after A lost the store."""
        world = World([1.0, 1.0])
        old, new = world.holders
        world.wait(60.0)
        for _ in range(4):
            world.go_on(new)
        world.acquire(old)
        for _ in range(4):
            world.go_on(new)
        world.wait(15.2)
        world.acquire(new)
        world.check()
        world.want(new, False)
        world.acquire(new)
        world.acquire(old)
        world.check()

    def test_lease_is_not_released_under_a_call(self) -> None:
        """A call is still in flight when the next holder starts working."""
        world = World([1.0, 1.0])
        old, new = world.holders
        world.acquire(old)
        world.begin_call(old)
        world.want(old, False)
        for _ in range(4):
            world.go_on(old)
            world.go_on(new)
        assert new.lease.row is not None
        assert new.lease.row.holder == old.lease.holder
        world.begin_call(old)
        assert len(world.calls) == 1

    def test_sole_holder_reacquires_at_once(self) -> None:
        """Work stops although no other host held the lease in between."""
        world = World([1.0])
        (holder,) = world.holders
        world.acquire(holder)
        world.want(holder, False)
        world.acquire(holder)
        assert not holder.is_held(world.now)
        world.want(holder, True)
        for _ in range(8):
            world.go_on(holder)
        assert holder.is_held(world.now)

    def test_call_of_an_ended_process_counts_as_work(self) -> None:
        """Work moves from A to B and back, with A restarted during a call."""
        world = World([1.0, 1.0], DUTIES)
        old, new = world.holders
        world.acquire(old)
        world.begin_call(old)
        (call,) = world.calls
        world.end_call(call, answered=False)
        world.want(old, False)
        world.acquire(old)
        world.wait(3.7)
        world.restart(old)
        world.acquire(new)
        world.wait(3.3)
        world.take_effect(call)
        world.begin_call(new)
        world.end_call(world.calls[0], answered=True)
        world.want(new, False)
        world.acquire(new)
        world.wait(0.3)
        world.acquire(old)
        world.begin_call(old)
        for each in world.calls:
            world.take_effect(each)


class TestReturns:
    @pytest.mark.parametrize("transactions", [1, 3])
    def test_late_call_counts_as_work_after_a_return(
        self, transactions: int
    ) -> None:
        """Work moves from A to B and back, with B's row lost in a rollback."""
        world = World([1.0, 1.0], DUTIES)
        old, new = world.holders
        world.acquire(old)
        world.begin_call(old)
        (lost,) = world.calls
        world.end_call(lost, answered=False)
        world.want(old, False)
        world.acquire(old)
        world.acquire(new)
        assert new.is_held(world.now)
        world.go_back(transactions)
        world.want(old, True)
        for _ in range(8):
            world.go_on(old)
        assert old.era == 1
        world.wait(3.4)
        world.begin_call(new)
        (call,) = world.calls
        world.wait(0.7)
        world.take_effect(lost)
        world.end_call(call, answered=True)
        for _ in range(8):
            world.go_on(old)
        world.begin_call(old)
        for each in world.calls:
            world.take_effect(each)

    def test_late_write_of_an_earlier_era_gives_no_number_twice(self) -> None:
        """Two holders get the same fencing number.

        After a rollback the store reuses the version that an older renewal
        expects, so that the renewal overwrites a newer holder's row.
        """
        world = World([1.0, 1.0, 1.0], DUTIES)
        first, old, new = world.holders
        world.acquire(first)
        world.acquire(old)
        world.wait(2.0)
        world.go_on(old)
        assert old.call is not None
        world.go_back(1)
        world.acquire(new)
        assert new.is_held(world.now)
        world.check()
        world.go_on(old)
        world.wait(4.0)
        world.acquire(first)
        assert first.is_held(world.now)
        world.check()


REST_SECONDS = 3600.0


class TestKeeper:
    def test_process_that_starts_does_not_take_a_released_lease_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Work moves from A to B and back to a new process of host A."""
        monkeypatch.setattr(
            "lagoonpost.store.lease.read_clock",
            lambda: time.monotonic() + 2 * REST_SECONDS,
        )

        async def play() -> None:
            store = MemoryStore()
            released = LeaseRow("", "nonce-b", 2, 0.1, ("a", "b"))
            store.rows[f"{LEASE_PREFIX}shard"] = Row(
                f"{LEASE_PREFIX}shard", 3, msgspec.to_builtins(released)
            )
            policy = LeasePolicy(0.2, 0.01, 0.1, 0.01, 0.01, 0.1, REST_SECONDS)
            keeper = LeaseManager(store, "shard", "a", "nonce-a", policy)
            task = asyncio.create_task(keeper.run())
            while len(store.calls) < 10:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            task.cancel()
            assert set(store.calls) == {"read"}

        asyncio.run(play())


QUICK = LeasePolicy(0.6, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1)
SHARDS = ("a", "b", "c", "d")


class TestController:
    def test_shards_move_when_a_controller_stops(self) -> None:
        async def play() -> None:
            store = MemoryStore()
            working: Counter[str] = Counter()
            live = {"one", "two"}
            fences: dict[str, list[int]] = {shard: [] for shard in SHARDS}

            async def work(shard: str, keeper: LeaseManager) -> None:
                working[shard] += 1
                fences[shard].append(keeper.fence)
                assert working[shard] == 1
                try:
                    await asyncio.Event().wait()
                finally:
                    working[shard] -= 1

            async def wait_for_all() -> None:
                while working.total() < len(SHARDS):  # noqa: ASYNC110
                    await asyncio.sleep(0.01)

            stops = {name: asyncio.Event() for name in live}
            tasks = {
                name: asyncio.create_task(
                    Controller(
                        store, name, SHARDS, work, lambda: live, QUICK
                    ).run(stops[name])
                )
                for name in live
            }
            async with asyncio.timeout(30.0):
                await wait_for_all()
                live.discard("one")
                stops["one"].set()
                await tasks["one"]
                await wait_for_all()
                stops["two"].set()
                await tasks["two"]
            assert working.total() == 0
            assert all(each == sorted(set(each)) for each in fences.values())

        asyncio.run(play())


class TestShard:
    def test_ranks_are_one_order_for_all(self) -> None:
        live = [f"controller-{each}" for each in range(9)]
        ranks = [rank_controller("shard", name, live) for name in live]
        assert sorted(ranks) == list(range(9))

    def test_holder_that_is_not_preferred_hands_over_after_a_while(
        self,
    ) -> None:
        assert choose_claim(1, MIN_HOLD_SECONDS - 1, 15.0).wanted
        assert not choose_claim(1, MIN_HOLD_SECONDS, 15.0).wanted
        assert choose_claim(0, MIN_HOLD_SECONDS, 15.0).wanted

    def test_few_contend_however_many_there_are(self) -> None:
        live = [f"controller-{n}" for n in range(320)]
        wanted = [
            choose_claim(rank_controller("s", name, live), None, 15.0).wanted
            for name in live
        ]
        assert sum(wanted) == 4

    def test_contender_leaves_time_to_those_before_it(self) -> None:
        assert choose_claim(0, None, 15.0).delay == 0.0
        assert choose_claim(2, None, 15.0).delay == 30.0
