"""System under test: gateway processes, and stand-ins in this process."""

import asyncio
import tempfile
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Self

from bench.system import Process, find_port, find_port_pair
from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Request
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
from soak.gateway import CUT_VARIABLE
from soak.proxy import Proxy
from soak.record import (
    Change,
    CrashTime,
    DepartureTime,
    Drain,
    Falls,
    LimitTime,
    RepeatTime,
    Span,
)

STREAM_EVENTS = 6
"""Number of events of a stream."""
EVENT_SECONDS = 0.05
"""Pause between events, long enough for faults to occur in mid-stream."""
SLOTS = 2
"""Slots of a runner, few enough for the callers to fill them."""
DRAIN_SECONDS = 2.0
"""Longest time until a draining runner gets no new work."""
APPLY_SECONDS = 2.0
"""Longest time until a new configuration is in force."""
RETRY_RATIO, RETRY_FLOOR, RETRY_WINDOW_SECONDS = 0.05, 12, 10.0
"""Repeats of a service in a window that are allowed, as a part of its
requests, and further ones: few enough for some faults to use them up."""
QUOTA_RATE, QUOTA_BURST, QUOTA_SLACK = 8.0, 8.0, 20.0
"""Quota of the workspace that asks for more, in requests a second, requests
and further ones that may run in a window."""
QUOTA_WINDOW_SECONDS, QUOTA_OVERAGE = 8.0, 0.1
QUOTA_WORKSPACE, QUOTA_KEY = "market", "key-of-market"
HEARTBEAT_SECONDS = 1.0
"""Interval at which a runner's entry is renewed; runners take turns in it."""
ENTRY_TTL_SECONDS = 2.0
"""Time after which the entry of an unknown runner is deleted."""
START_TIMEOUT_SECONDS = 40.0
"""Longest time until all gateways serve; dozens may start concurrently."""


class RunnerSlot:
    """An address at which successive runners are started.

    Attributes:
        service: Service of the runners.
        number: Number of the slot among those of its service.
        domain: Failure domain.
        runner: Current runner.
        previous: Runners that it replaced, oldest first.
        proxy: Proxy in front of the current runner.
        state: State in the runner's entry, or ``down``.
        seq: Sequence number of the entry's last write.
        leaves_ms: Time until the runner's host is reclaimed, in milliseconds;
            None if it is not to be.
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
        self.leaves_ms: int | None = None

    def _make(self, generation: int) -> RunnerStandin:
        id_ = f"{self.service}-{self.number}.{generation}"
        runner = RunnerStandin(id_, STREAM_EVENTS)
        runner.pause = EVENT_SECONDS
        return runner

    async def start(self) -> None:
        """Start the first runner and the proxy in front of it."""
        self.proxy.target = await self.runner.start()
        self.runner.proxy = await self.proxy.start()

    async def replace(self) -> None:
        """Stop the current runner and start a new one."""
        await self.runner.close()
        self.previous.append(self.runner)
        self.runner = self._make(len(self.previous))
        self.runner.proxy = self.proxy.address
        self.state, self.leaves_ms = "ready", None
        self.proxy.target = await self.runner.start()

    def all_runners(self) -> list[RunnerStandin]:
        """Return the previous runners and the current one."""
        return [*self.previous, self.runner]


class SoakSystem:
    """Gateways with the runners, the store and the cloud around them.

    Args:
        gateways: Number of gateways.
        runners: Number of runners of each of two services.
        metrics: Whether gateways export metrics.

    Attributes:
        store: Metadata store of the gateways.
        cloud: API to which gateways report usage.
        gateways: Gateway processes.
        runs: Number of starts of each gateway.
        started: Time of each gateway's last start, monotonic clock.
        entries: Address of each gateway for callers.
        metrics_addresses: Address of each gateway's metrics, if enabled.
        settings: Settings file of each gateway.
        cuts: File by which each gateway's paths to runners are cut.
        peers: Address of each gateway for the others.
        store_proxies: Proxy between each gateway and the store.
        runners: Slots of runners.
        drains: Drains of runners, in order.
        changes: Configurations, in order.
        spans: Faults that are over.
        falls: Services whose runners were brittle, and how often these fell
            over meanwhile.
        limit_times: Times in which runners named a limit.
        departure_times: Times in which runners said in their answers that
            they leave, and their entries that they are ready.
        crash_times: Times in which a part of prompts crashed runners.
        repeat_times: Times in which one request crashed runners.
        version: Newest configuration.
        folder: Temporary folder of settings and logs.
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
        self.cuts: list[Path] = []
        self.peers: list[Address] = []
        self.drains: list[Drain] = []
        self.changes: list[Change] = []
        self.spans: list[Span] = []
        self.falls: list[Falls] = []
        self.limit_times: list[LimitTime] = []
        self.departure_times: list[DepartureTime] = []
        self.crash_times: list[CrashTime] = []
        self.repeat_times: list[RepeatTime] = []
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
        for slot in self.runners:
            await slot.start()
            self._exit.push_async_callback(slot.runner.close)
            self._exit.callback(slot.proxy.close)
            await self.register(slot)
        await self.configure(1)
        peers = self.peers
        for number in range(1, self._count + 1):
            link = Proxy(store_address)
            await link.start()
            self._exit.callback(link.close)
            self.store_proxies.append(link)
            self._add_gateway(number, link.address, cloud_address, peers)
        for number in range(self._count):
            self.start_gateway(number)
            self._exit.callback(self.gateways[number].stop)
        heartbeats = asyncio.create_task(self._send_heartbeats())
        self._exit.callback(heartbeats.cancel)
        await self._wait_serving()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._exit.aclose()
        # Lets the handlers of blocked connections finish.
        await asyncio.sleep(0.1)

    def _add_gateway(
        self,
        number: int,
        store: Address,
        cloud: Address,
        peers: list[Address],
    ) -> None:
        ports = (find_port(), find_port(), find_port(), find_port_pair())
        addresses = GatewayAddresses(
            *(Address("127.0.0.1", port) for port in ports)
        )
        path = self.folder / f"gateway-{number}.toml"
        path.write_text(
            make_settings(
                number,
                addresses,
                store,
                cloud,
                seeds=peers[:3],
                bounds={
                    "drain_ms": int(DRAIN_SECONDS * 1000),
                    "grace_s": 8,
                    "retry_budget_ratio": RETRY_RATIO,
                    "budget_min_retries": RETRY_FLOOR,
                    "budget_window_s": RETRY_WINDOW_SECONDS,
                    "quota_window_s": QUOTA_WINDOW_SECONDS,
                    "quota_overage": QUOTA_OVERAGE,
                    "quota_slack": QUOTA_SLACK,
                },
                duties=("usage_report",),
            )
        )
        peers.append(addresses.peer)
        log = self.folder / f"gateway-{number}.log"
        arguments = ["soak.gateway", "--config", str(path)]
        if self._metrics:
            collected = Address("127.0.0.1", find_port())
            self.metrics_addresses.append(collected)
            arguments += ["--metrics-port", str(collected.port)]
        cut = self.folder / f"gateway-{number}.cut"
        self.cuts.append(cut)
        environment = {CUT_VARIABLE: str(cut)}
        self.gateways.append(
            Process(f"gateway-{number}", arguments, log, environment)
        )
        self.runs.append(0)
        self.started.append(0.0)
        self.settings.append(path)
        self.entries.append(addresses.entry)

    def start_gateway(self, number: int) -> None:
        """Start or restart a gateway's process."""
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

    # Writes of operators and runners

    async def configure(self, version: int) -> None:
        """Write a configuration that adds a route and removes the last one."""
        self.version = version
        await self.write_configuration()
        self.changes.append(Change(version, time.monotonic()))

    async def write_configuration(self) -> None:
        """Write the newest configuration."""
        routes = make_configuration()["routes"]
        routes.append(make_route(f"added-{self.version}", "safe", "desk"))
        limited = {
            "name": QUOTA_WORKSPACE,
            "api_keys": [QUOTA_KEY],
            "rate_per_s": QUOTA_RATE,
            "burst": QUOTA_BURST,
        }
        configuration = make_configuration(self.version, routes=routes)
        configuration["tenants"].append(limited)
        await self.store.put("op", "config", configuration)

    async def _expire_entries(self) -> None:
        """Delete entries of ended runners that a store restore revived."""
        now = asyncio.get_running_loop().time()
        known = {slot.runner.id for slot in self.runners}
        unknown = set(self.store.list_keys("servers")) - known
        self._unknown_since = {
            id_: self._unknown_since.get(id_, now) for id_ in unknown
        }
        for id_, since in self._unknown_since.items():
            if now > since + ENTRY_TTL_SECONDS:
                await self.delete_entry(id_)

    def recent_versions(self) -> tuple[int, ...]:
        """Return the newest version and the one before it."""
        return tuple(v for v in (self.version - 1, self.version) if v > 0)

    async def register(self, slot: RunnerSlot) -> None:
        """Write the entry of a slot's runner."""
        slot.seq += 1
        crashes = sum(len(each.crashes) for each in slot.all_runners())
        entry = make_entry(
            slot.service,
            slot.proxy.address,
            slot.domain,
            state="ready" if slot.state == "unreported" else slot.state,
            seq=slot.seq,
            born=len(slot.previous) + crashes + 1,
            slots=SLOTS,
        )
        slot.runner.born = entry["born"] if slot.service == "chat" else 0
        if slot.leaves_ms is not None:
            entry |= {"spot": True, "leaves_ms": slot.leaves_ms}
        await self.store.put("servers", slot.runner.id, entry)

    async def drain(self, slot: RunnerSlot) -> None:
        """Announce in its entry that a slot's runner drains."""
        slot.state = "draining"
        await self.register(slot)
        self.drains.append(Drain(slot.runner.id, time.monotonic()))

    async def reclaim(self, slot: RunnerSlot, seconds: float) -> None:
        """Announce that the host of a slot's runner will be reclaimed.

        Args:
            slot: The slot.
            seconds: Time until then.
        """
        slot.leaves_ms = int(seconds * 1000)
        await self.drain(slot)

    async def delete_entry(self, id_: str) -> None:
        """Delete a runner's entry."""
        await self.store.delete("servers", id_)

    async def _send_heartbeats(self) -> None:
        while True:
            for slot in self.runners:
                await asyncio.sleep(HEARTBEAT_SECONDS / len(self.runners))
                if slot.state != "down":
                    await self.register(slot)
                await self._expire_entries()

    # Observations

    def count_runs(self) -> dict[str, int]:
        """Return the number of runs of each attempt, over all runners."""
        total: dict[str, int] = {}
        for slot in self.runners:
            for runner in slot.all_runners():
                for id_, count in runner.runs.items():
                    total[id_] = total.get(id_, 0) + count
        return total

    def list_arrivals(self, id_: str) -> list[float]:
        """Return the times of the requests that a runner ran, in order."""
        return sorted(
            received.at
            for slot in self.runners
            for runner in slot.all_runners()
            if runner.id == id_
            for received in runner.received
            if received.ran
        )

    def list_offers(self, service: str) -> list[tuple[str, float]]:
        """Return id and time of each request that reached a service."""
        return [
            (received.request.header("attempt-id") or "", received.at)
            for slot in self.runners
            if slot.service == service
            for runner in slot.all_runners()
            for received in runner.received
        ]

    def list_arrivals_with(self, part: str) -> list[float]:
        """Return the times at which requests with a part reached runners."""
        return self._list_arrivals(
            lambda request: (
                f"{part}:" in (request.header("prompt-prefix") or "")
            )
        )

    def list_arrivals_of(self, path: str) -> list[float]:
        """Return the times at which requests for a path reached runners."""
        return self._list_arrivals(lambda request: request.path == path)

    def list_runs_of(self, workspace: str) -> list[float]:
        """Return the times at which requests of a workspace were run."""
        return sorted(
            received.at
            for slot in self.runners
            for runner in slot.all_runners()
            for received in runner.received
            if received.ran and received.request.header("tenant") == workspace
        )

    def _list_arrivals(self, counts: Callable[[Request], bool]) -> list[float]:
        return sorted(
            received.at
            for slot in self.runners
            for runner in slot.all_runners()
            for received in runner.received
            if counts(received.request)
        )

    def count_falls(self, service: str) -> int:
        """Return how often brittle runners of a service have fallen over."""
        return sum(
            runner.falls
            for slot in self.runners
            if slot.service == service
            for runner in slot.all_runners()
        )

    def find_requests(
        self, is_late: Callable[[str, float], bool]
    ) -> list[tuple[str, str, float]]:
        """Return runner, attempt and time of late requests that ran.

        Args:
            is_late: Whether a request was late, by the runner's id and the
                time of arrival.
        """
        return [
            (
                runner.id,
                received.request.header("attempt-id") or "",
                received.at,
            )
            for slot in self.runners
            for runner in slot.all_runners()
            for received in runner.received
            if received.ran and is_late(runner.id, received.at)
        ]
