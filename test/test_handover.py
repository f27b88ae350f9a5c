"""Work that passes between processes: shards, sweeps, claims, usage."""

import asyncio
from collections import deque
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from lease_model import World
from ledger_model import World as LedgerWorld
from memory_store import MemoryStore
from played_loop import play_time

from lagoonpost.controller.loop import Controller
from lagoonpost.forwarding.duties import LeaderDuties
from lagoonpost.forwarding.usage_gossip import UsageGossip
from lagoonpost.store.lease import DEFAULT_POLICY, LeaseManager
from lagoonpost.store.ledger import delete_expired
from lagoonpost.store.store import Condition, Write
from lagoonpost.systems.shard import MIN_HOLD_SECONDS
from lagoonpost.tables.gateway_report import GatewayReport
from lagoonpost.tables.ledger import LedgerEntry


@pytest.fixture
def played_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make leases and shards use the simulated clock."""
    for module in ("store.lease", "controller.loop"):
        monkeypatch.setattr(f"lagoonpost.{module}.read_clock", read_played)


def read_played() -> float:
    return asyncio.get_running_loop().time()


class Turn:
    """One period in which a controller worked on a shard."""

    def __init__(self, name: str, fence: int) -> None:
        self.name = name
        self.fence = fence
        self.began = read_played()
        self.ended: float | None = None


class Shards:
    """Controllers of one shard over one store.

    Args:
        ending: Seconds for which the work continues after its cancellation.
    """

    def __init__(self, ending: float = 0.0) -> None:
        self.store = MemoryStore()
        self.turns: list[Turn] = []
        self._ending = ending
        self._runs: dict[str, tuple[asyncio.Event, asyncio.Task[None]]] = {}

    def start(self, name: str, list_live: Callable[[], set[str]]) -> None:
        async def work(shard: str, keeper: LeaseManager) -> None:
            turn = Turn(name, keeper.fence)
            self.turns.append(turn)
            try:
                await asyncio.Event().wait()
            finally:
                await asyncio.sleep(self._ending)
                turn.ended = read_played()

        stop = asyncio.Event()
        controller = Controller(self.store, name, ["s"], work, list_live)
        task = asyncio.create_task(controller.run(stop))
        self._runs[name] = stop, task

    async def stop(self, name: str) -> None:
        stop, task = self._runs.pop(name)
        stop.set()
        await task

    async def close(self) -> None:
        for name in [*self._runs]:
            await self.stop(name)

    def check(self) -> None:
        """Check that turns do not overlap and that fences increase."""
        for before, after in zip(self.turns, self.turns[1:], strict=False):
            assert before.ended is not None
            assert before.ended <= after.began
            assert before.fence < after.fence


REST_SECONDS = DEFAULT_POLICY.order + DEFAULT_POLICY.handback_delay
"""Time after a start for which the previous holder does not take a lease."""


@pytest.mark.usefixtures("played_clock")
class TestShards:
    def test_a_flapping_list_moves_a_shard_once_a_while(self):
        """Guards against a shard that moves with each change of the list."""

        async def story() -> Shards:
            shards = Shards()
            names = {"one", "two", "three"}

            def list_live(own: str, period: float) -> set[str]:
                # Each controller sees only itself from time to time.
                seen = int(read_played() / period) % 3
                return names if seen else {own}

            for number, name in enumerate(sorted(names)):
                period = 0.7 + 0.4 * number
                shards.start(name, lambda n=name, p=period: list_live(n, p))
            await asyncio.sleep(20 * MIN_HOLD_SECONDS)
            await shards.close()
            return shards

        shards = play_time(story())
        shards.check()
        assert len(shards.turns) <= 21

    def test_restarts_in_turn_work_one_after_another(self):
        """Guards against two at work when A, B and A again hold a shard."""

        async def story() -> Shards:
            shards = Shards()
            live = {"one", "two"}
            for name in ("one", "two"):
                shards.start(name, lambda: live)
            await asyncio.sleep(40.0)
            for name in ("one", "two") * 3:
                live.discard(name)
                await shards.stop(name)
                await asyncio.sleep(REST_SECONDS + 2.0)
                live.add(name)
                shards.start(name, lambda: live)
            await shards.close()
            return shards

        shards = play_time(story())
        shards.check()
        names = [turn.name for turn in shards.turns]
        assert names == ["one", "two"] * 3 or names == ["two", "one"] * 3

    def test_a_shard_is_given_away_after_its_work(self):
        """Guards against work that continues under a released lease."""

        async def story() -> Shards:
            shards = Shards(ending=20.0)
            live = {"one", "two"}
            for name in ("one", "two"):
                shards.start(name, lambda: live)
            await asyncio.sleep(40.0)
            first = shards.turns[0].name
            live.discard(first)
            await shards.stop(first)
            await asyncio.sleep(30.0)
            await shards.close()
            return shards

        shards = play_time(story())
        shards.check()
        assert len({turn.name for turn in shards.turns}) == 2


class TestOrdersOfTurns:
    def test_orders_of_three_turns_stay_in_order(self):
        """Guards against orders applied out of order in the turns A, B, A.

        A's late order could come after B's, and B's after A's next. The
        runner ignores fencing numbers, and each holder releases the lease
        right after it has sent its order.
        """
        world = World([1.0, 1.0])
        one, two = world.holders
        for holder in (one, two, one):
            world.acquire(holder)
            world.order(holder, 0.0)
            world.wait(5.1)
            world.order(holder, 0.0)
            holder.lease = holder.lease._replace(wanted=False)
            for _ in range(2):
                world.go_on(holder)
            holder.lease = holder.lease._replace(wanted=True)
        assert [order.fence for order in world.orders] == [3]
        assert world.applied == [1, 2]


EXPIRED = LedgerEntry("lost", "n", "d", "gateway", 0.0, 0.0, 1.0)


class TestSweepers:
    def test_a_late_deletion_leaves_a_new_claim(self):
        """Guards against a booking that runs twice after two sweeps.

        The first sweeper's deletion is applied late, after a new claim.
        """

        async def story() -> MemoryStore:
            store = MemoryStore()
            key = "ledger/w/1"
            row = msgspec.to_builtins(EXPIRED)
            await store.transact([], [Write(key, row)])
            faults = deque(["", "late"])
            store.fault = lambda call: faults.popleft() if faults else ""
            assert await delete_expired(store, "") is None
            assert await delete_expired(store, "") == ""
            gone = (await store.read([key]))[0]
            assert gone.value is None
            claim = msgspec.to_builtins(EXPIRED._replace(expires_at=9e9))
            await store.transact(
                [Condition(key, gone.version)], [Write(key, claim)]
            )
            store.deliver()
            return store

        store = asyncio.run(story())
        assert store.rows["ledger/w/1"].value is not None


class TestClaims:
    def test_a_key_that_goes_to_and_fro_runs_once(self):
        """Guards against a booking that runs under an old claim.

        The first claim's write hangs and times out, another gateway's claim
        is voided, and the first gateway claims the key again. Then all
        pending writes are applied.
        """
        world = LedgerWorld()
        for faults in (("late",) * 4, ("none", "no_runner", "none")):
            world.call("key", "same", 0.0)
            for fault in faults:
                world.serve(world.callers[-1], fault)
        world.call("key", "same", 0.0)
        third = world.callers[-1]
        for _ in range(2):
            world.serve(third)
        assert len(world.late) == 4
        for late in world.late:
            world.write(*late)
            world.check()
        world.finish()
        assert len(world.runs) == 1


class TestUsage:
    def test_all_turns_report_the_same_counts(self):
        """Guards against two bills of one window when A, B, A are leaders."""
        store = MemoryStore()
        faults = deque(["late"])
        store.fault = lambda call: faults.popleft() if faults else ""

        async def story() -> list[dict[str, int] | None]:
            one, two = make_duties(store, 3), make_duties(store, 5)
            found = [await each._persist_counts(7) for each in (one, two)]
            store.deliver()
            return [*found, await one._persist_counts(7)]

        assert asyncio.run(story()) == [None, {"pottery": 5}, {"pottery": 5}]


def make_duties(store: MemoryStore, begun: int) -> LeaderDuties:
    """Return the duties of a gateway that received a usage count."""
    report = GatewayReport(
        "g", "r", {}, {}, {}, {7: {"pottery": begun}}, {}, {}, {}, 1, {}
    )
    written = UsageGossip(
        "g", lambda fact: None, lambda s: s, lambda *recorded: None
    )
    shared = SimpleNamespace(
        reports=SimpleNamespace(run_id="r", list_reports=lambda: [report]),
        usage_gossip=written,
        find_others=tuple,
    )
    settings = SimpleNamespace(
        name="g",
        bounds=SimpleNamespace(lease_seconds=3.0, usage_window=5.0),
        first_start=False,
    )
    parts: list[Any] = [settings, store, None, None, shared, lambda: 0.0, 1]
    return LeaderDuties(*parts)
