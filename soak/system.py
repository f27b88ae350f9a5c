"""Gateways as processes, and all around them as stand-ins in this one."""

import asyncio
import tempfile
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Self

from bench.system import Process, find_port
from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address
from lagoonpost.http.server import Server
from lagoonpost_standins.cloud_api import CloudStandin
from lagoonpost_standins.deployment import (
    DOMAINS,
    GatewayAddresses,
    make_configuration,
    make_entry,
    make_route,
    make_settings,
)
from lagoonpost_standins.rows import RowStore
from lagoonpost_standins.runner import RunnerStandin
from soak.proxy import Proxy
from soak.record import Change, Drain, Span

STREAM_EVENTS = 6
"""Events of a stream."""
EVENT_SECONDS = 0.05
"""Pause between events: a stream is long enough to be hit in its middle."""
DRAIN_SECONDS = 2.0
"""Bound on new work for a runner that leaves."""
APPLY_SECONDS = 2.0
"""Bound on the time until a configuration is in force."""
HEARTBEAT_SECONDS = 1.0
"""Pause between renewals of a runner's entry; each has a time of its own."""
ENTRY_TTL_SECONDS = 2.0
"""Time in which a runner's entry is gone if nobody writes it anew."""
START_TIMEOUT_SECONDS = 40.0
"""Longest time for all gateways to serve; some dozens start side by side."""


class RunnerSlot:
    """One place for runners: each start there is a new one.

    Attributes:
        runner: The one that runs now.
        past: All that ran here before.
        proxy: The way to it.
    """

    def __init__(self, service: str, number: int) -> None:
        self.service = service
        self.number = number
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.previous: list[RunnerStandin] = []
        self.runner = self._make(0)
        self.proxy = Proxy(Address("127.0.0.1", 0))
        self.state = "ready"
        self.seq = 0

    def _make(self, generation: int) -> RunnerStandin:
        id_ = f"{self.service}-{self.number}.{generation}"
        runner = RunnerStandin(id_, STREAM_EVENTS)
        runner.pause = EVENT_SECONDS
        return runner

    async def start(self) -> None:
        """Start the first runner here, and the way to it."""
        self.proxy.target = await self.runner.start()
        await self.proxy.start()

    async def replace(self) -> None:
        """End the runner that is here and start a new one."""
        await self.runner.close()
        self.previous.append(self.runner)
        self.runner = self._make(len(self.previous))
        self.state = "ready"
        self.proxy.target = await self.runner.start()

    def all_runners(self) -> list[RunnerStandin]:
        """Return all runners that ever were here."""
        return [*self.previous, self.runner]


class SoakSystem:
    """Everything that a soak runs.

    Args:
        gateways: Number of gateways.
        runners: Runners of each of two services.
        metrics: Whether gateways tell their metrics.

    Attributes:
        store: Where gateways read and write rows.
        cloud: Where they report usage.
        gateways: Processes by number.
        runs: How often each was started.
        started: When each was started last.
        entries: Where callers connect.
        collected: Where metrics are told.
        store_links: Each gateway's way to the store.
        runners: Places of runners.
        drains: Runners that left, with the time of the acknowledgement.
        changes: Configurations, in their order.
        spans: Disturbances so far.
        version: Newest configuration.
    """

    def __init__(
        self, gateways: int, runners: int, metrics: bool = False
    ) -> None:
        self._count = gateways
        self._metrics = metrics
        self.store = RowStore()
        self.cloud = CloudStandin()
        self.store_proxies: list[Proxy] = []
        self.runners = [
            RunnerSlot(service, number)
            for service in ("chat", "desk")
            for number in range(runners)
        ]
        self.gateways: list[Process] = []
        self.runs: list[int] = []
        self.started: list[float] = []
        self.entries: list[Address] = []
        self.metrics_addresses: list[Address] = []
        self.settings: list[Path] = []
        self.drains: list[Drain] = []
        self.changes: list[Change] = []
        self.spans: list[Span] = []
        self.version = 1
        self._unknown_since: dict[str, float] = {}
        self.folder = Path()
        self._exit = AsyncExitStack()

    async def __aenter__(self) -> Self:
        self.folder = Path(
            self._exit.enter_context(tempfile.TemporaryDirectory())
        )
        store, cloud = Server(self.store.handle), Server(self.cloud.handle)
        store_address = await store.start(Address("127.0.0.1", 0))
        cloud_address = await cloud.start(Address("127.0.0.1", 0))
        self._exit.push_async_callback(store.close, 0.0)
        self._exit.push_async_callback(cloud.close, 0.0)
        for place in self.runners:
            await place.start()
            self._exit.push_async_callback(place.runner.close)
            self._exit.callback(place.proxy.close)
            await self.register(place)
        await self.configure(1)
        peers: list[Address] = []
        for number in range(1, self._count + 1):
            link = Proxy(store_address)
            await link.start()
            self._exit.callback(link.close)
            self.store_proxies.append(link)
            self._add_gateway(number, link.address, cloud_address, peers)
        for number in range(self._count):
            self.start_gateway(number)
            self._exit.callback(self.gateways[number].stop)
        beat = asyncio.create_task(self._send_heartbeats())
        self._exit.callback(beat.cancel)
        await self._wait_serving()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._exit.aclose()
        # Connections that were held back end at the loop's next turns.
        await asyncio.sleep(0.1)

    def _add_gateway(
        self,
        number: int,
        store: Address,
        cloud: Address,
        peers: list[Address],
    ) -> None:
        addresses = GatewayAddresses(
            *(Address("127.0.0.1", find_port()) for _ in range(4))
        )
        path = self.folder / f"gateway-{number}.toml"
        path.write_text(
            make_settings(
                number,
                addresses,
                store,
                cloud,
                seeds=peers[:3],
                bounds={"drain_ms": int(DRAIN_SECONDS * 1000), "grace_s": 8},
                duties=("usage_report",),
            )
        )
        peers.append(addresses.peer)
        log = self.folder / f"gateway-{number}.log"
        arguments = ["lagoonpost.serve", "--config", str(path)]
        if self._metrics:
            collected = Address("127.0.0.1", find_port())
            self.metrics_addresses.append(collected)
            arguments += ["--metrics-port", str(collected.port)]
        self.gateways.append(Process(f"gateway-{number}", arguments, log))
        self.runs.append(0)
        self.started.append(0.0)
        self.settings.append(path)
        self.entries.append(addresses.entry)

    def start_gateway(self, number: int) -> None:
        """Start a gateway's process, or start it again."""
        self.runs[number] += 1
        self.started[number] = time.monotonic()
        self.gateways[number].start()

    async def _wait_serving(self) -> None:
        client = Client()
        try:
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                for entry in self.entries:
                    while not await self._serves(client, entry):  # noqa: ASYNC110
                        await asyncio.sleep(0.05)
        finally:
            client.close()

    async def _serves(self, client: Client, entry: Address) -> bool:
        headers = (("host", "desk.example"), ("attempt-id", "start"))
        try:
            answer = await client.call(
                entry, "GET", "/open/1", b"", headers, timeout=1.0
            )
        except CallFailedError:
            return False
        return answer.status == 200

    # What operators and runners write

    async def configure(self, version: int) -> None:
        """Put a configuration in force that adds one route and drops one."""
        self.version = version
        await self.write_configuration()
        self.changes.append(Change(version, time.monotonic()))

    async def write_configuration(self) -> None:
        """Write the newest configuration."""
        routes = make_configuration()["routes"]
        routes.append(make_route(f"added-{self.version}", "safe", "desk"))
        await self.store.put(
            "op", "config", make_configuration(self.version, routes=routes)
        )

    async def _expire_entries(self) -> None:
        """Delete entries of runners that ended, which a copy brought back."""
        now = asyncio.get_running_loop().time()
        known = {place.runner.id for place in self.runners}
        strange = set(self.store.list_keys("servers")) - known
        self._unknown_since = {
            id_: self._unknown_since.get(id_, now) for id_ in strange
        }
        for id_, since in self._unknown_since.items():
            if now > since + ENTRY_TTL_SECONDS:
                await self.delete_entry(id_)

    def recent_versions(self) -> tuple[int, ...]:
        """Return the newest version and the one before it."""
        return tuple(v for v in (self.version - 1, self.version) if v > 0)

    async def register(self, place: RunnerSlot) -> None:
        """Write the entry of the runner at a place."""
        place.seq += 1
        entry = make_entry(
            place.service,
            place.proxy.address,
            place.domain,
            state=place.state,
            seq=place.seq,
            born=len(place.previous) + 1,
        )
        await self.store.put("servers", place.runner.id, entry)

    async def drain(self, place: RunnerSlot) -> None:
        """Let the runner at a place say that it leaves."""
        place.state = "draining"
        await self.register(place)
        self.drains.append(Drain(place.runner.id, time.monotonic()))

    async def delete_entry(self, id_: str) -> None:
        """Delete a runner's entry."""
        await self.store.delete("servers", id_)

    async def _send_heartbeats(self) -> None:
        while True:
            for place in self.runners:
                await asyncio.sleep(HEARTBEAT_SECONDS / len(self.runners))
                if place.state != "down":
                    await self.register(place)
                await self._expire_entries()

    # What was seen

    def count_runs(self) -> dict[str, int]:
        """Return how often each attempt was begun, over all runners."""
        total: dict[str, int] = {}
        for place in self.runners:
            for runner in place.all_runners():
                for id_, count in runner.runs.items():
                    total[id_] = total.get(id_, 0) + count
        return total

    def find_requests(
        self, is_late: Callable[[str, float], bool]
    ) -> list[tuple[str, str, float]]:
        """Return runner, attempt and time of requests that ran too late."""
        return [
            (runner.id, seen.request.header("attempt-id") or "", seen.at)
            for place in self.runners
            for runner in place.all_runners()
            for seen in runner.received
            if seen.ran and is_late(runner.id, seen.at)
        ]
