"""Runs a controller's work on each shard while it holds the lease."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable, Collection

from lagoonpost.store.clock import read_clock
from lagoonpost.store.lease import DEFAULT_POLICY, LeaseManager
from lagoonpost.store.store import Store
from lagoonpost.systems.lease import LeasePolicy
from lagoonpost.systems.shard import Claim, choose_claim, rank_controller

TICK_SECONDS = 0.2
NONCE_BYTES = 16

Work = Callable[[str, LeaseManager], Awaitable[None]]


class Controller:
    """Contends for the leases of shards and works on the shards it holds.

    Args:
        store: Table store that holds the leases.
        name: Name of this controller.
        shards: Names of all shards.
        work: Works on one shard until cancelled. Must check with its lease
            keeper before each side effect that the lease is still held.
        list_live: Returns the names of the live controllers.
        policy: Durations and timeouts of the leases.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        shards: Collection[str],
        work: Work,
        list_live: Callable[[], Collection[str]],
        policy: LeasePolicy = DEFAULT_POLICY,
    ) -> None:
        nonce = secrets.token_hex(NONCE_BYTES)
        self._name = name
        self._work = work
        self._list_live = list_live
        self._policy = policy
        self._keepers = {
            shard: LeaseManager(store, shard, name, nonce, policy)
            for shard in shards
        }

    async def run(self, stop: asyncio.Event) -> None:
        """Work until ``stop`` is set, then release all leases.

        Raises:
            ExceptionGroup: If the work on a shard raised an exception.
        """
        async with asyncio.TaskGroup() as group:
            for shard, keeper in self._keepers.items():
                group.create_task(self._contend(shard, keeper, stop))

    async def _contend(
        self, shard: str, keeper: LeaseManager, stop: asyncio.Event
    ) -> None:
        keeping = asyncio.create_task(keeper.run())
        try:
            while not stop.is_set():
                keeper.set_wanted(*self._choose_claim(shard, None))
                if keeper.is_held():
                    await self._run_while_held(shard, keeper, stop)
                await _wait(stop)
            await keeper.release()
        finally:
            keeping.cancel()

    async def _run_while_held(
        self, shard: str, keeper: LeaseManager, stop: asyncio.Event
    ) -> None:
        """Work on a shard until its lease ends or is handed over."""
        began = read_clock()
        work = asyncio.ensure_future(self._work(shard, keeper))
        while keeper.is_held() and not stop.is_set() and not work.done():
            if not self._choose_claim(shard, read_clock() - began).wanted:
                break
            await _wait(stop)
        # The work must end before the lease is released.
        work.cancel()
        await asyncio.wait([work])
        if not work.cancelled():
            work.result()
        if keeper.is_held():
            await keeper.release()

    def _choose_claim(self, shard: str, held: float | None) -> Claim:
        rank = rank_controller(shard, self._name, self._list_live())
        return choose_claim(rank, held, self._policy.duration)


async def _wait(stop: asyncio.Event) -> None:
    try:
        async with asyncio.timeout(TICK_SECONDS):
            await stop.wait()
    except TimeoutError:
        pass
