"""Test fixture: forwarding gateways with simulated back ends, in one loop."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, Self, TypeVar

from bench.system import (
    find_port,
    find_port_pair,
    release_port,
    release_port_pair,
)
from lagoonpost.forwarding.daemon import ForwardingDaemon
from lagoonpost.http.client import Client, Stream
from lagoonpost.http.message import Address, Headers, Response
from lagoonpost.http.server import Server
from lagoonpost_standins.cloud_api import CloudStandin
from lagoonpost_standins.deployment import (
    DOMAINS,
    HOST,
    KEY,
    GatewayAddresses,
    make_configuration,
    make_entry,
    make_route,
    make_settings,
)
from lagoonpost_standins.rows import RowStore
from lagoonpost_standins.runner import RunnerStandin

LOOPBACK = Address("127.0.0.1", 0)
PATIENCE = 20.0
"""Timeout of waits and calls in seconds."""
__all__ = ["HOST", "KEY", "make_configuration", "make_route"]
_T = TypeVar("_T")
_attempts = itertools.count(1)


def play(scenario: Callable[["Stack"], Awaitable[_T]], **options: Any) -> _T:
    """Run a scenario against a new stack and return its result."""

    async def run() -> _T:
        async with Stack(**options) as stack:
            return await scenario(stack)

    return asyncio.run(run())


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, or fail after a timeout."""
    async with asyncio.timeout(PATIENCE):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


class Stack:
    """A deployment: simulated store, cloud and runners, and real gateways.

    Args:
        gateways: Number of gateways.
        chat: Number of runners of the service "chat".
        desk: Number of runners of the service "desk".
        configuration: Initial configuration; None for the default one.
        bounds: Bounds in the gateways' settings that differ from the
            defaults.
        duties: Optional control duties enabled in the gateways' settings.
    """

    def __init__(
        self,
        gateways: int = 1,
        chat: int = 2,
        desk: int = 2,
        configuration: dict[str, Any] | None = None,
        bounds: dict[str, Any] | None = None,
        duties: tuple[str, ...] = (),
    ) -> None:
        self.store = RowStore()
        self.cloud = CloudStandin()
        self.runners = {
            f"{service}-{number}": RunnerStandin(f"{service}-{number}")
            for service, count in (("chat", chat), ("desk", desk))
            for number in range(1, count + 1)
        }
        self.gateways: list[ForwardingDaemon] = []
        self.entries: list[Address] = []
        self.directories: list[Address] = []
        self.client = Client()
        self._first = configuration or make_configuration()
        self._count = gateways
        self._bounds = bounds or {}
        self._duties = duties
        self._exit = AsyncExitStack()
        self.folder = Path()

    async def __aenter__(self) -> Self:
        self.folder = Path(self._exit.enter_context(TemporaryDirectory()))
        store, cloud = Server(self.store.handle), Server(self.cloud.handle)
        self.store_address = await store.start(LOOPBACK)
        self.cloud_address = await cloud.start(LOOPBACK)
        self._exit.push_async_callback(store.close, 0.0)
        self._exit.push_async_callback(cloud.close, 0.0)
        for runner in self.runners.values():
            self._exit.callback(runner.release)
            await runner.start()
            self._exit.push_async_callback(runner.close)
        await self.store.put("op", "config", self._first)
        for id_ in self.runners:
            await self.register(id_)
        for _ in range(self._count):
            await self.add_gateway()
        await self.wait_ready()
        return self

    async def __aexit__(self, *error: object) -> None:
        self.client.close()
        await self._exit.aclose()

    async def register(self, id_: str, **more: Any) -> None:
        """Write a runner's entry to the store."""
        runner = self.runners[id_]
        number = int(id_.rpartition("-")[2])
        entry = make_entry(
            id_.partition("-")[0],
            runner.address,
            DOMAINS[(number - 1) % len(DOMAINS)],
        )
        entry |= more
        runner.born = entry["born"] if entry["service"] == "chat" else 0
        await self.store.put("servers", id_, entry)

    async def add_gateway(self) -> ForwardingDaemon:
        """Start one more gateway."""
        number = len(self.gateways) + 1
        ports = [find_port() for _ in range(3)]
        for port in ports:
            self._exit.callback(release_port, port)
        pair = find_port_pair()
        self._exit.callback(release_port_pair, pair)
        addresses = GatewayAddresses(
            *(Address("127.0.0.1", port) for port in (*ports, pair))
        )
        path = self.folder / f"gateway-{number}.toml"
        path.write_text(
            make_settings(
                number,
                addresses,
                self.store_address,
                self.cloud_address,
                bounds=self._bounds,
                duties=self._duties,
            )
        )
        daemon = ForwardingDaemon(str(path))
        await daemon.start()
        self.gateways.append(daemon)
        self.entries.append(addresses.entry)
        self.directories.append(addresses.directory)
        self._exit.push_async_callback(daemon.abort)
        return daemon

    async def wait_ready(self) -> None:
        """Wait until every gateway has the configuration, runners and peers.

        Raises:
            TimeoutError: If a gateway does not become ready in time.
        """
        for daemon in self.gateways:
            await wait_until(lambda d=daemon: self._is_ready(d))

    def _is_ready(self, daemon: ForwardingDaemon) -> bool:
        known = [key for key in self.runners if daemon.view.is_known(key)]
        peers = len(daemon._cluster.peers.members())
        return (
            daemon.view.version > 0
            and len(known) == len(self.runners)
            and peers == len(self.gateways)
        )

    async def call(
        self,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        *,
        key: str | None = KEY,
        headers: Headers = (),
        gateway: int = 0,
        deadline: float = 5.0,
    ) -> Response:
        """Call a gateway on a new connection."""
        return await self.client.call(
            self.entries[gateway],
            method,
            path,
            body,
            make_headers(key, headers, deadline),
            timeout=PATIENCE,
            fresh=True,
        )

    async def open(self, path: str, headers: Headers = ()) -> Stream:
        """Send a request and return the open stream of its answer."""
        return await self.client.open(
            self.entries[0],
            "POST",
            path,
            b"{}",
            make_headers(headers=headers),
            fresh=True,
        )

    def count_runs(self, attempt: str) -> int:
        """Return how often an attempt ran, summed over the runners."""
        return sum(runner.runs[attempt] for runner in self.runners.values())

    def set_fault(self, fault: Any, service: str = "") -> None:
        """Set the same fault for all runners of a service.

        Args:
            fault: Name of the fault.
            service: The service; empty for all services.
        """
        for id_, runner in self.runners.items():
            if id_.startswith(service):
                runner.fault = fault


def find_holders(stack: Stack) -> list[int]:
    """Return the indexes of the gateways that hold the duties lease."""
    return [
        number
        for number, daemon in enumerate(stack.gateways)
        if daemon._duties is not None and daemon._duties.is_held()
    ]


def make_headers(
    key: str | None = KEY, headers: Headers = (), deadline: float = 5.0
) -> Headers:
    """Return a caller's headers, with a new attempt id unless one is given."""
    own: Headers = (("host", HOST), ("deadline-ms", str(int(deadline * 1000))))
    if not any(name == "attempt-id" for name, _ in headers):
        own += (("attempt-id", f"attempt-{next(_attempts)}"),)
    if key is not None:
        own += (("authorization", f"Bearer {key}"),)
    return own + headers


def make_prompt(prompt: int = 100, output: int = 20, **more: str) -> Headers:
    """Return the headers of a request to a model.

    Args:
        prompt: Prompt tokens.
        output: Output tokens.
        **more: Further headers.
    """
    return (
        ("model", "m"),
        ("token-count", f"{prompt},{output}"),
        ("prompt-prefix", f"aa:{prompt // 2},bb:{prompt - prompt // 2}"),
        *more.items(),
    )
