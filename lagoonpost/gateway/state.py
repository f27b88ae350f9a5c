"""State that the request handlers of one gateway share."""

import asyncio
import secrets
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Literal, NamedTuple

from lagoonpost.gateway.answer import ActiveAnswer, HandedOverRequest
from lagoonpost.gateway.booking import Bookings
from lagoonpost.gateway.dispatcher import Dispatcher
from lagoonpost.gateway.metrics import Metrics
from lagoonpost.gateway.tickets import TicketHandlers
from lagoonpost.http.account import read_descriptor_limit
from lagoonpost.http.client import Client
from lagoonpost.runners.kv import KvMover
from lagoonpost.settings import GatewaySettings
from lagoonpost.systems.process_budget import divide
from lagoonpost.tables.entity import (
    Declaration,
    Route,
    Runner,
    Service,
)

if TYPE_CHECKING:
    from lagoonpost.gateway.entries import EntryLists
    from lagoonpost.gateway.moves import VersionMoves
    from lagoonpost.gateway.quarantine import QuarantineTracker

Phase = Literal["starting", "serving", "stale", "leaving"]


class EntryMember(NamedTuple):
    """A gateway that accepts callers.

    Attributes:
        name: Name of the gateway.
        address: Entry address for callers.
        region: Region of the gateway.
        failure_domain: Failure domain of the gateway.
    """

    name: str
    address: str
    region: str
    failure_domain: str


class Gateway:
    """Shared state of one gateway process: tables, clients and phase.

    Attributes:
        answers: Chat answers in progress.
        handed_over: Requests that peers handed over, by request id.
        leaving_runners: Names of the runners known to leave.
        members: Returns the gateways that accept callers.
    """

    tickets: TicketHandlers
    bookings: Bookings
    quarantine: "QuarantineTracker"
    entries: "EntryLists"
    moves: "VersionMoves"

    def __init__(self, settings: GatewaySettings) -> None:
        self.settings = settings
        self.metrics = Metrics(settings.statsd)
        seed = settings.seed
        rng = Random(secrets.randbits(64) if seed is None else seed)
        self.rng = rng
        self.dispatcher = Dispatcher(settings.name, rng, self.metrics)
        self.budget = divide(
            settings.memory_mb, settings.max_fds or read_descriptor_limit()
        )
        self.client = Client(max_buffered=2 * self.budget.answer_bytes)
        self.declaration = Declaration()
        self.phase: Phase = "starting"
        self.signing_key = settings.signing_key.encode()
        self.started = asyncio.get_running_loop().time()
        self.answers: set[ActiveAnswer] = set()
        self.handed_over: dict[str, HandedOverRequest] = {}
        self.mover = KvMover(self.client)
        self.leaving_runners: set[str] = set()
        self.members: Callable[[], tuple[EntryMember, ...]] = tuple

    def is_leaving(self, runner: str) -> bool:
        """Return whether a runner is known to be leaving."""
        return runner in self.leaving_runners

    def describe_runner(self, runner: str) -> str:
        """Return the state of a runner for the operators' status page."""
        return "leaving" if self.is_leaving(runner) else "serving"

    def find_service(self, name: str) -> Service | None:
        """Return the declared service with this name, if any."""
        for service in self.declaration.services:
            if service.name == name:
                return service
        return None

    def find_runner(self, name: str) -> Runner | None:
        """Return the declared runner with this name, if any."""
        for runner in self.declaration.runners:
            if runner.name == name:
                return runner
        return None


def find_route(service: Service, path: str) -> Route | None:
    """Return the route of a service that matches ``path``, if any."""
    for route in service.routes:
        if route.path == path:
            return route
        if route.path.endswith("*") and path.startswith(route.path[:-1]):
            return route
    return None


def make_request_id() -> str:
    """Return a random request id of 96 bits."""
    return secrets.token_hex(12)
