"""Gives runners their orders under a lease."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

import eliot

from lagoonpost.http.client import Client
from lagoonpost.http.message import parse_address
from lagoonpost.runners.engine import EngineOrder, send_order
from lagoonpost.store.clock import read_clock
from lagoonpost.store.lease import LeaseKeeper
from lagoonpost.systems.order import DesiredState, SentOrder, find_due_runners
from lagoonpost.tables.entity import Runner

MAX_CONCURRENT_ORDERS = 16


class OrderSender:
    """Orders of one shard, repeated until its runners are as wanted.

    Args:
        client: HTTP client.
        keeper: Lease of the shard.
    """

    def __init__(self, client: Client, keeper: LeaseKeeper) -> None:
        self._client = client
        self._keeper = keeper
        self._last_orders: dict[str, SentOrder] = {}

    async def reconcile(
        self, runners: Iterable[Runner], wanted: Mapping[str, DesiredState]
    ) -> None:
        """Order the runners that are due, and wait for their answers.

        Args:
            runners: All runners of the shard.
            wanted: Wanted state by name of the runner.
        """
        fence = self._keeper.fence
        due = set(
            find_due_runners(wanted, self._last_orders, fence, read_clock())
        )
        slots = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)

        async def order(runner: Runner) -> None:
            async with slots:
                await self._order(runner, wanted[runner.name], fence)

        async with asyncio.TaskGroup() as group:
            for runner in runners:
                if runner.name in due:
                    group.create_task(order(runner))

    async def _order(
        self, runner: Runner, wanted: DesiredState, fence: int
    ) -> None:
        may_send = self._make_guard(runner, fence)
        if not may_send():
            return
        with self._keeper.call() as call:
            answer = await send_order(
                self._client,
                parse_address(runner.endpoint),
                EngineOrder(fence, list(wanted.versions), wanted.role),
                timeout=self._keeper.lease.policy.order,
                may_send=may_send,
            )
            call.answered = answer is not None
        confirmed = answer is not None and answer.status == 200
        self._last_orders[runner.name] = SentOrder(
            wanted, fence, read_clock(), confirmed
        )
        eliot.log_message(
            message_type="lagoonpost:controller:ordered",
            runner=runner.name,
            versions=wanted.versions,
            role=wanted.role,
            fence=fence,
            confirmed=confirmed,
        )

    def _make_guard(self, runner: Runner, fence: int) -> Callable[[], bool]:
        # Asked again when the bytes leave: the lease may have ended, or may
        # have been taken anew, while the connection was made.
        def may_send() -> bool:
            same = self._keeper.fence == fence
            return same and self._keeper.may_order(runner.checks_fence)

        return may_send
