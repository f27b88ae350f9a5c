"""Polls the runners in this gateway's subset for their load.

Cache events are not polled: an engine identifies blocks by hashes of its own
tokens, which the gateway does not have. The gateway estimates cache contents
from the prefixes that it sent to each runner itself.
"""

import asyncio

from lagoonpost.gateway.state import Gateway
from lagoonpost.http.message import parse_address
from lagoonpost.runners.engine import fetch_load
from lagoonpost.systems.event import Reported
from lagoonpost.tables.entity import Runner

# In simulations at five times the capacity, reports once a second reduced
# goodput from 0.98 to 0.78 (docs/design/load.md). Idle runners are polled as
# often: a suspect request goes to a runner that looks idle, and with reports
# 2 s old it shared the runner with other gateways' requests, so that a third
# runner was lost.
POLL_SECONDS = 0.25
TICK_SECONDS = 0.125
# Assumed age of a report on arrival; engines do not state their lag.
REPORT_AGE_SECONDS = 0.2


class LoadPoll:
    """Polls each engine of the subset, with one call at a time to each."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._loop = asyncio.get_running_loop()
        self._due: dict[str, float] = {}
        self._pending: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            now = self._loop.time()
            for runner in self._list_runners():
                # A runner that hangs gets no second call and delays no other.
                pending = runner.name in self._pending
                if not pending and now >= self._due.get(runner.name, 0.0):
                    self._start(runner)
            await asyncio.sleep(TICK_SECONDS)

    def _list_runners(self) -> list[Runner]:
        tables = self._gateway.dispatcher.tables
        return [
            load.runner
            for pool in tables.pools.values()
            if pool.service.kind == "model"
            for load in pool.loads.values()
        ]

    def _start(self, runner: Runner) -> None:
        task = asyncio.create_task(self._fetch(runner))
        self._pending[runner.name] = task
        task.add_done_callback(lambda _: self._pending.pop(runner.name))

    async def _fetch(self, runner: Runner) -> None:
        client = self._gateway.client
        address = parse_address(runner.endpoint)
        now = self._loop.time()
        report = await fetch_load(
            client, address, runner.name, REPORT_AGE_SECONDS, now
        )
        self._due[runner.name] = now + POLL_SECONDS
        if report is None:
            return
        self._gateway.dispatcher.notify(Reported(report))
