"""Test fixture: gateways and stand-ins in one event loop."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack
from typing import Any, Self, TypeVar

import msgspec

from lagoonpost.caller.client import Caller
from lagoonpost.gateway.access import digest_key
from lagoonpost.gateway.daemon import GatewayDaemon
from lagoonpost.http.client import Client
from lagoonpost.http.message import Address, Headers, Response
from lagoonpost.http.server import Server
from lagoonpost.settings import GatewaySettings
from lagoonpost_standins.engine import EngineStandin
from lagoonpost_standins.engine_batch import EngineOptions
from lagoonpost_standins.platform import Platform
from lagoonpost_standins.service import Service

LOOPBACK = Address("127.0.0.1", 0)
OPERATOR_KEY = "operator-key"
SIGNING_KEY = "signing-key-of-the-tests"
READY_SECONDS = 20.0
DOMAINS = ("domain-a", "domain-b", "domain-c")
FAST = EngineOptions(token_rate=400.0, prefill_rate=1e6)
CHAT = "/v1/chat/completions"

_T = TypeVar("_T")


def play(story: Callable[["Stack"], Awaitable[_T]], **options: Any) -> _T:
    """Run a test scenario against a new stack and return its result."""

    async def run() -> _T:
        async with Stack(**options) as stack:
            return await story(stack)

    return asyncio.run(run())


def make_chat(prompt: str, tokens: int, **more: Any) -> bytes:
    """Return the body of a chat-completions request."""
    return msgspec.json.encode(
        {
            "model": "assistant",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            **more,
        }
    )


class Stack:
    """Platform, engines, a booking runner and gateways in one event loop.

    Args:
        gateways: Number of gateways to start.
        engines: Number of model engines to start.
        options: Speed and capacity of the engines.
        grace: Shutdown grace period of each gateway, in seconds.
    """

    def __init__(
        self,
        gateways: int = 1,
        engines: int = 2,
        options: EngineOptions = FAST,
        grace: float = 5.0,
    ) -> None:
        self.platform = Platform()
        self.service = Service("booking-1")
        self.engines = {
            f"engine-{n + 1}": EngineStandin(f"engine-{n + 1}", options)
            for n in range(engines)
        }
        self.gateways: list[GatewayDaemon] = []
        self.entries: list[Address] = []
        self.client = Client()
        self.addresses: dict[str, Address] = {}
        self._count = gateways
        self._grace = grace
        self._exit = AsyncExitStack()

    async def __aenter__(self) -> Self:
        for name, handler in (
            ("platform", self.platform.handle),
            ("booking-1", self.service.handle),
        ):
            server = Server(handler)
            self.addresses[name] = await server.start(LOOPBACK)
            self._exit.push_async_callback(server.close, 0.0)
        for name, engine in self.engines.items():
            self.addresses[name] = await engine.start(LOOPBACK)
            self._exit.push_async_callback(engine.close)
        for number in range(self._count):
            await self._start_gateway(number)
        await self.submit(1, self._declare())
        await self.wait_ready()
        return self

    async def __aexit__(self, *error: object) -> None:
        self.client.close()
        await self._exit.aclose()

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        key: str | None = "demo-key",
        headers: Headers = (),
        gateway: int = 0,
    ) -> Response:
        """Call a gateway on a new connection."""
        if key is not None:
            headers = (*headers, ("authorization", f"Bearer {key}"))
        entry = self.entries[gateway]
        return await self.client.call(
            entry, method, path, body, headers, timeout=30, fresh=True
        )

    def make_caller(self, key: str = "demo-key") -> Caller:
        """Return a client that is configured with all entries."""
        return Caller(self.entries, key)

    async def submit(self, number: int, objects: Mapping[str, Any]) -> None:
        """Submit a ticket and check that it is accepted."""
        content = {"ticket": number, "reason": "test", **objects}
        answer = await self.call(
            "POST",
            "/v1/tickets",
            msgspec.json.encode(content),
            key=OPERATOR_KEY,
        )
        assert answer.status == 200, answer.body

    async def wait_ready(self) -> None:
        """Wait until every gateway serves the newest declaration."""
        async with asyncio.timeout(READY_SECONDS):
            for gateway in range(len(self.entries)):
                while True:
                    answer = await self.call("GET", "/readyz", gateway=gateway)
                    state = msgspec.json.decode(answer.body)
                    if answer.status == 200 and state["revision"]:
                        break
                    await asyncio.sleep(0.02)

    async def wait_answer(self, gateway: int = 0) -> None:
        """Wait until a chat answer is in progress on a gateway."""
        async with asyncio.timeout(READY_SECONDS):
            daemon = self.gateways[gateway]
            while not daemon.count_answers():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def cut(self, daemon: GatewayDaemon) -> None:
        """Close a gateway's connections abruptly, as a crash does."""
        await daemon._server.close(0.0)
        await daemon._peering.peers.close()

    async def _start_gateway(self, number: int) -> None:
        seeds = tuple(daemon.peer_address for daemon in self.gateways[:1])
        daemon = GatewayDaemon(
            GatewaySettings(
                name=f"gateway-{number + 1}",
                listen=LOOPBACK,
                platform=self.addresses["platform"],
                signing_key=SIGNING_KEY,
                seeds=seeds,
                failure_domain=DOMAINS[number % len(DOMAINS)],
                host=f"host-gateway-{number + 1}",
                operator_digests=(digest_key(OPERATOR_KEY),),
                grace=self._grace,
                seed=number,
            )
        )
        await daemon.start()
        self.gateways.append(daemon)
        self.entries.append(daemon.address)
        self._exit.push_async_callback(daemon.leave, 0.0)

    def _declare(self) -> dict[str, Any]:
        chat = {"path": CHAT, "class": "draft", "repeatable": True}
        chat |= {"first": 1.9, "between": 0.038, "timeout": 60}
        booking = {"path": "bookings", "class": "booking"}
        booking |= {"repeatable": False, "first": 2.0, "timeout": 5}
        check = {"path": "checks/*", "class": "check", "repeatable": True}
        check |= {"first": 0.5, "timeout": 5}
        runners = {
            name: self.declare_runner(name, place)
            for place, name in enumerate([*self.engines, "booking-1"])
        }
        return {
            "services": {
                "assistant": {"kind": "model", "routes": [chat]},
                "booking": {"kind": "plain", "routes": [booking, check]},
            },
            "versions": {
                "assistant/v1": {"share": 1.0},
                "booking/v1": {"share": 1.0},
            },
            "workspaces": {
                "pottery": {"key_sha256": digest_key("demo-key")},
                "market": {"key_sha256": digest_key("market-key")},
            },
            "runners": runners,
        }

    def declare_runner(self, name: str, place: int) -> dict[str, Any]:
        """Return the declaration of one of this stack's runners."""
        return {
            "endpoint": str(self.addresses[name]),
            "service": "booking" if name == "booking-1" else "assistant",
            "version": "v1",
            "host": f"host-{name}",
            "failure_domain": DOMAINS[place % len(DOMAINS)],
        }
