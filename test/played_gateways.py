"""Many gateways in simulated time that follow the store and gossip.

Each gateway is the real `PeerSync` and `StoreFollower` over a network that
delays, cuts and loses messages, and over links of a given speed.
"""

import asyncio
import itertools
import json
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import msgspec
from played_store import PlayedClient

from lagoonpost.forwarding import reports
from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.peer_sync import PeerLinks, PeerSync
from lagoonpost.forwarding.store_follower import (
    StoreFollower,
    find_feed_wait,
    read_configuration,
)
from lagoonpost.http.client import CallFailedError
from lagoonpost.http.message import Address, Headers, Response
from lagoonpost.peers.messenger import DatagramMessenger, encode_message
from lagoonpost.peers.pool import Method
from lagoonpost.peers.service import PeerService
from lagoonpost.platform.settings import HostSettings
from lagoonpost.platform.store import PlatformStore
from lagoonpost.systems.hub import READER_LONG_POLL_SECONDS
from lagoonpost.tables.bounds import Bounds
from lagoonpost.tables.gateway_report import GatewayReport, UsageByAge
from lagoonpost_standins.deployment import make_configuration, make_route
from lagoonpost_standins.rows import RowStore

DELAY_SECONDS = (0.0005, 0.004)
"""Least and largest delay of a message."""
PEER_PORT = 7000
STORE = Address("10.9.9.9", 80)
FAST_LINK_MBPS = 1000.0


class Link:
    """A host's link; transfers in one direction wait for each other."""

    def __init__(self, mbps: float) -> None:
        self._bits_per_second = mbps * 1e6
        self._free = {"out": 0.0, "in": 0.0}

    def reserve(self, direction: str, size: int, now: float) -> float:
        """Queue a transfer; return the time at which it has passed."""
        start = max(now, self._free[direction])
        end = start + 8 * size / self._bits_per_second
        self._free[direction] = end
        return end


class PlayedNetwork:
    """Carries datagrams and calls between hosts.

    Attributes:
        cut: Returns whether two hosts can't reach each other.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.cut: Callable[[str, str], bool] = lambda one, other: False
        self.messengers: dict[Address, PlayedMessenger] = {}
        self.services: dict[Address, PeerService] = {}
        self._links: dict[str, Link] = {}

    def add_host(self, host: str, mbps: float) -> None:
        """Connect a host by a new link."""
        self._links[host] = Link(mbps)

    async def transfer(self, sender: str, receiver: str, size: int) -> bool:
        """Carry bytes; return whether they can arrive."""
        loop = asyncio.get_running_loop()
        delay = self.rng.uniform(*DELAY_SECONDS)
        sent = self._reserve(sender, "out", size)
        arrival = self._reserve(receiver, "in", size)
        await asyncio.sleep(max(sent, arrival) + delay - loop.time())
        return not self.cut(sender, receiver)

    def _reserve(self, host: str, direction: str, size: int) -> float:
        now = asyncio.get_running_loop().time()
        link = self._links.get(host)
        return link.reserve(direction, size, now) if link else now


class PlayedMessenger(DatagramMessenger):
    """Exchanges datagrams over a played network."""

    def __init__(self, network: PlayedNetwork, address: Address) -> None:
        super().__init__()
        self._network = network
        self._address = address
        self._sending: set[asyncio.Task[None]] = set()

    async def start(self, address: Address) -> None:
        self._network.messengers[self._address] = self

    def close(self) -> None:
        """Stop sending and receiving, as in a crash."""
        if self._network.messengers.get(self._address) is self:
            del self._network.messengers[self._address]
        for task in self._sending:
            task.cancel()

    def send(self, message: Any, targets: Sequence[Address]) -> None:
        if self._network.messengers.get(self._address) is not self:
            return
        size = len(encode_message(message)) + 28
        for target in targets:
            task = asyncio.create_task(self._carry(message, size, target))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    async def _carry(self, message: Any, size: int, target: Address) -> None:
        here = self._address.host
        arrives = await self._network.transfer(here, target.host, size)
        receiver = self._network.messengers.get(target)
        if arrives and receiver is not None:
            handler = receiver._handlers.get(type(message))
            if handler is not None:
                handler(message, self._address)


class _PlayedStream:
    """The server's side of one call, as grpclib's handlers see it."""

    def __init__(self, request: Any) -> None:
        self._request = request
        self.reply: Any = None

    async def recv_message(self) -> Any:
        return self._request

    async def send_message(self, reply: Any) -> None:
        self.reply = reply


class PlayedTransport:
    """Carries peers' calls over a played network."""

    def __init__(self, network: PlayedNetwork) -> None:
        self._network = network
        self._address = Address("", 0)

    async def start(self, service: PeerService, address: Address) -> Address:
        self._address = address
        self._network.services[address] = service
        return address

    async def call(
        self, address: Address, method: Method, request: Any, timeout: float
    ) -> Any | None:
        try:
            async with asyncio.timeout(timeout):
                return await self._exchange(address, method, request)
        except TimeoutError:
            return None

    call_apart = call

    async def _exchange(
        self, address: Address, method: Method, request: Any
    ) -> Any:
        here, there = self._address.host, address.host
        size = 100 + len(encode(request))
        arrives = await self._network.transfer(here, there, size)
        service = self._network.services.get(address)
        if arrives and service is not None:
            stream = _PlayedStream(request)
            await service.__mapping__()[method.path].func(stream)
            size = 100 + len(encode(stream.reply))
            if await self._network.transfer(there, here, size):
                return stream.reply
        await asyncio.Event().wait()
        raise AssertionError("a lost call was answered")

    def close_calls(self) -> None:
        pass

    async def close(self) -> None:
        """Stop serving, as in a crash."""
        self._network.services.pop(self._address, None)


def encode(message: Any) -> bytes:
    """Return the encoding of a message, for its size."""
    return msgspec.msgpack.encode(message)


class PlayedStoreClient(PlayedClient):
    """Calls the store over a host's link."""

    def __init__(
        self, rows: RowStore, network: PlayedNetwork, host: str
    ) -> None:
        super().__init__(rows)
        self._network = network
        self._host = host

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Headers = (),
        *,
        timeout: float,
    ) -> Response:
        try:
            async with asyncio.timeout(timeout):
                response = await super().call(
                    address, method, target, body, headers, timeout=timeout
                )
                size = len(response.body)
                await self._network.transfer("store", self._host, size)
                return response
        except TimeoutError as error:
            raise CallFailedError("no answer in time", sent=True) from error


class PlayedGateway:
    """The parts of a gateway that follow the store and the peers.

    Attributes:
        view: Its view of the configuration and the runners.
        sync: Its exchange with the other gateways.
        applied: Time at which each version came into force.
        client: Its access to the store.
    """

    def __init__(
        self,
        settings: HostSettings,
        network: PlayedNetwork,
        rows: RowStore,
    ) -> None:
        loop = asyncio.get_running_loop()
        rng = Random(f"{settings.name}/{network.rng.random()}")
        self.settings = settings
        self.started = loop.time()
        self.applied: dict[int, float] = {}
        self.view = ClusterState(loop.time, settings.name, {}, rng)
        self.view.on_configuration.append(self._note_configuration)
        self.client = PlayedStoreClient(rows, network, settings.peer.host)
        self.store = PlatformStore(self.client, STORE)
        self.transport = PlayedTransport(network)
        self.sync = PeerSync(
            settings,
            self.view,
            self,
            lambda news: None,
            lambda departure: None,
            lambda fact: None,
            lambda workspace, age: None,
            self.store.eras.note,
            rng,
            PeerLinks(
                PlayedMessenger(network, settings.peer),
                self.transport,
                loop.time,
            ),
            lambda: read_configuration(self.store),
        )
        self.follower = StoreFollower(
            self.store,
            self.view,
            self.sync.publish_entry,
            self.sync.publish_configuration,
            self.sync.publish_evacuation,
            self.sync.find_read_pause,
            self._find_feed_timeout,
            lambda row: None,
        )
        self.connect()
        self._tasks: list[asyncio.Task[None]] = []

    def connect(self) -> None:
        """Connect the parts that a daemon connects."""

    def _note_configuration(self, routes: Any) -> None:
        now = asyncio.get_running_loop().time()
        self.applied[routes.configuration.version] = now

    def _find_feed_timeout(self) -> float:
        contact = self.settings.bounds.contact_seconds
        wait = find_feed_wait(contact, self.sync.find_read_pause() or 0.0)
        if self.sync.find_roles().mesh:
            return wait
        return min(wait, READER_LONG_POLL_SECONDS)

    async def start(self) -> None:
        """Start all parts, in the order of the daemon."""
        self._spawn(self.follower.run())
        await self.sync.start()
        self._spawn(self.sync.run())
        self._spawn(self._maintain())

    def _spawn(self, work: Any) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            self.sync.publish_store_lost(self.follower.lost)

    async def kill(self) -> None:
        """End without a word to the others."""
        self.sync.messenger.close()
        await self.transport.close()
        peers = self.sync.peers
        peers._closed = True
        for timer in peers._timers.values():
            timer.cancel()
        tasks = [*self._tasks, *peers._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Reports, without requests of callers

    def make_report(self, name: str, run: str) -> GatewayReport:
        age = self.follower.find_age()
        version = self.view.version
        return GatewayReport(
            name, run, {}, {}, {}, {}, {}, {}, {}, version, {}, read_age=age
        )

    def handle_report(self, report: GatewayReport) -> None:
        pass

    def list_taken(self) -> UsageByAge:
        return {}

    def apply_taken(self, taken: UsageByAge, since: float) -> None:
        pass


class Deployment:
    """Gateways in three failure domains, and their store.

    Args:
        count: Number of gateways.
        apply_seconds: Time within which a configuration must be in force.
        seed: Seed of all random choices.
        link_mbps: Speed of all hosts' links.
        routes: Number of routes in each configuration.

    Attributes:
        gateways: Running gateways by name.
        acknowledged: Time at which the store acknowledged each version.
    """

    def __init__(
        self,
        count: int,
        apply_seconds: float,
        seed: int,
        link_mbps: float = FAST_LINK_MBPS,
        routes: int = 20,
    ) -> None:
        self.network = PlayedNetwork(seed)
        self.rng = Random(seed)
        self.rows = RowStore()
        self.gateways: dict[str, PlayedGateway] = {}
        self.acknowledged: dict[int, float] = {}
        self._bounds = Bounds(
            apply_seconds=apply_seconds,
            drain_seconds=apply_seconds,
            contact_seconds=apply_seconds + 1.0,
        )
        self._link_mbps = link_mbps
        self._routes = routes
        self._versions = itertools.count(1)
        self.addresses = {
            f"gateway-{number:03}": Address(f"10.0.0.{number}", PEER_PORT)
            for number in range(count)
        }
        self._tasks: list[asyncio.Task[None]] = []

    def make_gateway(self, name: str) -> PlayedGateway:
        """Create a gateway on its host."""
        address = self.addresses[name]
        self.network.add_host(address.host, self._link_mbps)
        number = int(name[-3:])
        seeds = tuple(other for other in list(self.addresses.values())[:3])
        settings = HostSettings(
            name=name,
            failure_domain=f"domain-{number % 3}",
            region="north",
            regions={},
            entry=Address(address.host, 8000),
            ready=None,
            directory=None,
            peer=address,
            tunnel=None,
            seeds=seeds,
            store=STORE,
            cloud=None,
            reports_usage=False,
            orders_runners=False,
            first_start=True,
            bounds=self._bounds,
            link_mbps=self._link_mbps,
        )
        gateway = PlayedGateway(settings, self.network, self.rows)
        self.gateways[name] = gateway
        return gateway

    async def start(self) -> None:
        """Start all gateways, which know each other."""
        await self.change_configuration()
        for name in self.addresses:
            await self.make_gateway(name).start()
        now = asyncio.get_running_loop().time()
        views = [g.sync.peers._gossip.view for g in self.gateways.values()]
        rows = [view.me for view in views]
        for view in views:
            view.settled = True
            for row in rows:
                view.merge_member(row, view.me.name, now)
            view.take_updates()
            view.take_learned()
        for gateway in self.gateways.values():
            gateway.sync.peers._serving = None
            gateway.sync._forget_roles()
        self._tasks.append(asyncio.create_task(self._renew_runners()))
        await asyncio.sleep(5.0)

    async def close(self) -> None:
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways.values():
            await gateway.kill()

    async def _renew_runners(self) -> None:
        """Let runners come and go, so that there is other news as well."""
        for number in itertools.count():
            await asyncio.sleep(0.4)
            state = "ready" if number % 2 else "draining"
            entry = {"service": "desk", "address": "10.5.0.1:80"}
            entry |= {"zone": "domain-0", "version": "v1", "slots": 8}
            entry |= {"state": state, "seq": number, "born": 1000}
            key = f"desk-{number % 7}"
            await self.rows.put("servers", key, entry)

    async def change_configuration(self) -> int:
        """Write the next version and return it."""
        version = next(self._versions)
        configuration = make_configuration(
            version,
            routes=[
                make_route(
                    f"{number}-{self.rng.getrandbits(64):x}", "safe", "desk"
                )
                for number in range(self._routes)
            ],
        )
        body = json.dumps(configuration).encode()
        await self.rows.put("op", "config", body)
        now = asyncio.get_running_loop().time()
        self.acknowledged[version] = now
        return version

    # Faults

    def draw(self, share: float) -> list[str]:
        """Draw a share of the gateways, at least one."""
        names = sorted(self.gateways)
        return self.rng.sample(names, max(1, round(share * len(names))))

    def list_readers(self, backups: bool = False) -> list[str]:
        """Return the hubs and readers, and perhaps the backups."""
        roles = next(iter(self.gateways.values())).sync.find_roles()
        others = roles.backups if backups else ()
        return sorted({*roles.hubs, *roles.readers, *others})

    def is_mesh(self) -> bool:
        """Tell whether all gateways read the store."""
        return next(iter(self.gateways.values())).sync.find_roles().mesh

    def cut_off(self, names: Sequence[str]) -> None:
        """Cut some gateways off from all others, but not from the store."""
        hosts = {self.addresses[name].host for name in names}
        self.network.cut = lambda one, other: (
            "store" not in (one, other) and (one in hosts or other in hosts)
        )

    def heal(self) -> None:
        """End all cuts."""
        self.network.cut = lambda one, other: False

    def cut_pairs(self, share: float) -> None:
        """Cut a share of the pairs of gateways off from each other."""
        hosts = [address.host for address in self.addresses.values()]
        lost = {
            frozenset(pair)
            for pair in itertools.combinations(hosts, 2)
            if self.rng.random() < share
        }
        self.network.cut = lambda one, other: frozenset((one, other)) in lost

    async def kill(self, names: Sequence[str]) -> None:
        """Kill gateways; the others take them for alive for seconds."""
        for name in names:
            await self.gateways.pop(name).kill()

    # Outcomes

    def find_delays(
        self, names: Sequence[str], since: float = 0.0
    ) -> dict[tuple[str, int], float]:
        """Return how long each version took to each gateway, in seconds.

        A version counts as in force with it or a later one. Versions that
        were acknowledged before a gateway started count from its start.

        Args:
            names: Names of the gateways.
            since: Time of the first acknowledgement to consider.
        """
        delays = {}
        for name in names:
            gateway = self.gateways[name]
            for version, at in self.acknowledged.items():
                if at < since:
                    continue
                times = [t for v, t in gateway.applied.items() if v >= version]
                end = min(times, default=float("inf"))
                delays[name, version] = end - max(at, gateway.started)
        return delays

    def count_store_calls(self) -> int:
        """Return the number of calls to the store so far."""
        return sum(g.client.calls for g in self.gateways.values())


def use_played_clock(monkeypatch: Any) -> None:
    """Let reports run in simulated time."""
    monkeypatch.setattr(
        reports, "read_clock", lambda: asyncio.get_running_loop().time()
    )
