"""Tests of lagoonpost.systems.order and lagoonpost.controller.order."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from memory_store import MemoryStore

from lagoonpost.controller.order import OrderSender
from lagoonpost.http.client import Client
from lagoonpost.http.message import Address, parse_address
from lagoonpost.store.lease import LeaseManager
from lagoonpost.systems.lease import LeasePolicy
from lagoonpost.systems.order import (
    REPEAT_SECONDS,
    RETRY_SECONDS,
    DesiredState,
    SentOrder,
    find_due_runners,
)
from lagoonpost.tables.entity import Runner
from lagoonpost_standins.engine import EngineStandin
from lagoonpost_standins.engine_batch import EngineOptions

OLD = DesiredState(("v1",))
NEW = DesiredState(("v1", "v2"))
POLICY = LeasePolicy(2.0, 0.2, 0.2, 0.1, 0.1, 0.5)


class TestChooseDue:
    def test_new_changed_and_overdue_runners_are_due(self) -> None:
        given = {
            "fresh": SentOrder(NEW, 3, 90.0, True),
            "changed": SentOrder(OLD, 3, 90.0, True),
            "other lease": SentOrder(NEW, 2, 90.0, True),
            "silent": SentOrder(NEW, 3, 100.0 - RETRY_SECONDS, False),
            "waiting": SentOrder(NEW, 3, 101.0 - RETRY_SECONDS, False),
            "repeated": SentOrder(NEW, 3, 100.0 - REPEAT_SECONDS, True),
        }
        wanted = dict.fromkeys([*given, "new"], NEW)
        due = set(find_due_runners(wanted, given, 3, 100.0))
        assert due == {"changed", "other lease", "silent", "repeated", "new"}


class World:
    """Lease keepers of two controllers for one lease, and an engine."""

    def __init__(self, engine: EngineStandin, address: Address) -> None:
        checks = engine.state.options.checks_fence
        self.engine = engine
        self.client = Client()
        self.runner = Runner(
            "engine", str(address), "assistant", "v1", "host", "a", checks
        )
        store = MemoryStore()
        self.keepers = [
            LeaseManager(store, "shard", name, name, POLICY) for name in "ab"
        ]
        self.orders = [OrderSender(self.client, each) for each in self.keepers]

    async def order(self, controller: int, wanted: DesiredState) -> None:
        await self.orders[controller].reconcile(
            [self.runner], {"engine": wanted}
        )

    async def hold(self, controller: int) -> asyncio.Task[None]:
        keeper = self.keepers[controller]
        task = asyncio.create_task(keeper.run())
        async with asyncio.timeout(20.0):
            while not keeper.may_order(self.runner.checks_fence):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        return task


def play(
    story: Callable[[World], Awaitable[None]], checks_fence: bool
) -> None:
    async def run() -> None:
        options = EngineOptions(checks_fence=checks_fence)
        engine = EngineStandin("engine", options)
        address = await engine.start(Address("127.0.0.1", 0))
        world = World(engine, address)
        try:
            await story(world)
        finally:
            world.client.close()
            await engine.close()

    asyncio.run(run())


class TestOrders:
    def test_paused_holder_orders_nothing_after_its_lease(self) -> None:
        """A controller sends a pending order after its lease has expired.

        It was paused while another controller took over. The runner ignores
        fencing numbers and would revert to the old state.
        """

        async def story(world: World) -> None:
            paused = await world.hold(0)
            await world.order(0, OLD)
            paused.cancel()
            await world.hold(1)
            await world.order(1, NEW)
            await world.order(0, OLD._replace(role="draining"))
            assert world.engine.state.role == "serving"
            assert world.engine.state.describe()["versions"] == ["v1", "v2"]
            assert world.engine.state.fence == 2

        play(story, checks_fence=False)

    def test_late_order_is_undone(self) -> None:
        """An order of the previous holder arrives after the new holder's.

        The runner ignores fencing numbers. The new holder cannot detect this,
        but it repeats the desired state.
        """

        async def story(world: World) -> None:
            await world.hold(0)
            await world.order(0, NEW)
            late = {"fence": 0, "versions": ["v1"], "role": "serving"}
            await world.client.call(
                parse_address(world.runner.endpoint),
                "POST",
                "/v1/orders",
                msgspec.json.encode(late),
                timeout=5.0,
            )
            orders = world.orders[0]._last_orders
            orders["engine"] = orders["engine"]._replace(
                sent_at=-REPEAT_SECONDS
            )
            await world.order(0, NEW)
            assert world.engine.state.describe()["versions"] == ["v1", "v2"]

        play(story, checks_fence=False)

    def test_old_fence_is_refused_where_it_is_checked(self) -> None:
        async def story(world: World) -> None:
            await world.hold(0)
            world.engine.state.fence = 9
            await world.order(0, NEW)
            assert world.engine.state.fence == 9
            assert not world.orders[0]._last_orders["engine"].confirmed

        play(story, checks_fence=True)
