"""Polls the runners of this gateway's subset for load and cache events."""

import asyncio

from lagoonpost.gateway.state import Gateway
from lagoonpost.http.message import parse_address
from lagoonpost.runners.engine import fetch_cache_events, fetch_load
from lagoonpost.systems.event import CacheEvents, Reported
from lagoonpost.tables.entity import Runner

# Own in-flight work corrects a report, so that only other gateways' work
# shows late; a second is a few percent of a draft's length.
POLL_SECONDS = 1.0
# Engines report with a lag that they do not state.
REPORT_AGE = 0.5


class LoadPoll:
    """Asks each engine of the subset once a second."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._seen: dict[str, int] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.gather(*map(self._ask, self._choose()))
            await asyncio.sleep(POLL_SECONDS)

    def _choose(self) -> list[Runner]:
        tables = self._gateway.dispatcher.tables
        return [
            load.runner
            for pool in tables.pools.values()
            if pool.service.kind == "model"
            for load in pool.loads.values()
        ]

    async def _ask(self, runner: Runner) -> None:
        client = self._gateway.client
        address = parse_address(runner.endpoint)
        now = asyncio.get_running_loop().time()
        report = await fetch_load(
            client, address, runner.name, REPORT_AGE, now
        )
        if report is None:
            return
        self._gateway.dispatcher.notify(Reported(report))
        after = self._seen.get(runner.name, 0)
        events = await fetch_cache_events(client, address, after)
        if not events:
            return
        self._seen[runner.name] = events[-1].seq
        stored = tuple(block for event in events for block in event.stored)
        dropped = tuple(block for event in events for block in event.dropped)
        self._gateway.dispatcher.notify(
            CacheEvents(runner.name, stored, dropped)
        )
