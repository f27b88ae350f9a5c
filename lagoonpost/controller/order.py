"""Sends orders to the runners of a shard while its lease is held."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

import eliot

from lagoonpost.http.client import Client
from lagoonpost.http.message import parse_address
from lagoonpost.runners.engine import EngineOrder, send_order
from lagoonpost.store.clock import read_clock
from lagoonpost.store.lease import LeaseManager
from lagoonpost.systems.order import DesiredState, SentOrder, find_due_runners
from lagoonpost.tables.entity import Runner

MAX_CONCURRENT_ORDERS = 16


class OrderSender:
    """Sends the orders of one shard until its runners match their state.

    Args:
        client: HTTP client for calls to runners.
        keeper: Keeper of the shard's lease.
    """

    def __init__(self, client: Client, keeper: LeaseManager) -> None:
        self._client = client
        self._keeper = keeper
        self._last_orders: dict[str, SentOrder] = {}

    async def reconcile(
        self, runners: Iterable[Runner], wanted: Mapping[str, DesiredState]
    ) -> None:
        """Send orders to the runners that are due and wait for the replies.

        Args:
            runners: All runners of the shard.
            wanted: Desired state by runner name.
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
        # Checked again just before sending: while the connection was set up,
        # the lease may have ended or been acquired again under a new fence.
        def may_send() -> bool:
            same = self._keeper.fence == fence
            return same and self._keeper.may_order(runner.checks_fence)

        return may_send
