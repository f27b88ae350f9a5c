"""The gateway process: builds, starts and stops its components."""

import asyncio
import signal
import time
from collections.abc import Coroutine
from typing import Any

import eliot

from lagoonpost.gateway import server
from lagoonpost.gateway.booking import Bookings
from lagoonpost.gateway.entries import EntryLists
from lagoonpost.gateway.load import LoadPoll
from lagoonpost.gateway.moves import VersionMoves
from lagoonpost.gateway.peering import Peering
from lagoonpost.gateway.reclaim import NoticeWatch, mark_runner_leaving
from lagoonpost.gateway.shutdown import move_answers
from lagoonpost.gateway.state import Gateway
from lagoonpost.gateway.tickets import TicketHandlers
from lagoonpost.http.account import ClientAccount
from lagoonpost.http.message import Request
from lagoonpost.http.responder import Responder
from lagoonpost.http.server import Server
from lagoonpost.settings import GatewaySettings
from lagoonpost.store.ledger import Ledger
from lagoonpost.store.table import TableStore
from lagoonpost.store.ticket import TicketStore
from lagoonpost.store.watch import DeclarationWatch
from lagoonpost.systems.event import Declared
from lagoonpost.tables.entity import Declaration

PHASE_CHECK_SECONDS = 0.1
# A gossip exchange takes at most a second, and the third one at the latest
# reaches a live peer.
PEER_GRACE_SECONDS = 5.0
# Part of the notice reserved for sockets to drain after the last answer has
# moved to another gateway.
RECLAIM_MARGIN_SECONDS = 1.0
# Time for callers to read the redirect to another gateway.
REDIRECT_SECONDS = 2.0


class GatewayDaemon:
    """A gateway process, from its settings to its shutdown.

    Attributes:
        address: Address that callers connect to.
        peer_address: Address that peers connect to.
    """

    def __init__(self, settings: GatewaySettings) -> None:
        self._settings = settings
        gateway = self._gateway = Gateway(settings)
        store = TableStore(gateway.client, settings.platform)
        self._peering = Peering(settings, gateway)
        self._watch = DeclarationWatch(
            store, self._apply_declaration, self._peering.fetch_snapshots
        )
        self._peering.set_watch(self._watch)
        gateway.entries = EntryLists(gateway)
        gateway.bookings = Bookings(
            Ledger(store, settings.name), gateway.client, gateway.rng
        )
        gateway.tickets = TicketHandlers(
            TicketStore(store), self._watch, self._peering.publish_revision
        )
        self._notices = NoticeWatch(
            gateway,
            settings.host,
            self._handle_runner_reclaim,
            self._handle_own_reclaim,
        )
        self._loads = LoadPoll(gateway)
        self._moves = VersionMoves(
            gateway,
            store,
            self._peering.publish,
            self._peering.is_current,
        )
        gateway.moves = self._moves
        self._peering.add_fact_handlers(self._moves.fact_handlers)
        self._server = Server(
            self._handle, account=ClientAccount(gateway.budget.clients)
        )
        self.address = settings.listen
        self.peer_address = settings.peer_listen
        self._facts_stale_since: float | None = None
        self._stop = asyncio.Event()
        self._grace = settings.grace
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Serve until SIGTERM or a reclaim notice, then shut down."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        await self.start()
        await self._stop.wait()
        await self.leave(self._grace)

    async def start(self) -> None:
        """Listen for callers and peers and start the background tasks."""
        self.address = await self._server.start(self._settings.listen)
        entry = self._settings.advertise or self.address
        self.peer_address = await self._peering.start(entry)
        self._gateway.dispatcher.start()
        self._spawn(self._watch.run())
        self._spawn(self._update_phase())
        self._spawn(self._notices.run())
        self._spawn(self._loads.run())
        self._spawn(self._moves.run())
        self._spawn(self._moves.run_records())
        eliot.log_message(
            message_type="lagoonpost:gateway:started",
            gateway=self._settings.name,
            address=str(self.address),
        )

    def count_answers(self) -> int:
        """Return the number of chat answers in progress on this gateway."""
        return len(self._gateway.answers)

    def count_handed_over(self) -> int:
        """Return the number of requests that peers handed over here."""
        return len(self._gateway.handed_over)

    async def leave(self, grace: float) -> None:
        """Shut down: refuse new requests, finish or move accepted ones.

        Args:
            grace: Time for accepted requests to finish here, in seconds.
                Answers still in progress then move to another gateway.
        """
        self._gateway.phase = "leaving"
        eliot.log_message(
            message_type="lagoonpost:gateway:leaving",
            gateway=self._settings.name,
            answers=len(self._gateway.answers),
            grace=grace,
        )
        await self._peering.peers.leave()
        await self._server.drain(grace)
        await move_answers(self._gateway, self._peering)
        await self._server.close(REDIRECT_SECONDS)
        await self._gateway.bookings.close(REDIRECT_SECONDS)
        await self._peering.peers.close()
        for task in self._tasks:
            task.cancel()
        self._gateway.dispatcher.close()
        self._gateway.client.close()

    async def _handle(self, request: Request, responder: Responder) -> None:
        await server.handle(self._gateway, request, responder)

    def _apply_declaration(self, declaration: Declaration) -> None:
        self._gateway.declaration = declaration
        in_force = self._moves.apply_shares(declaration)
        self._gateway.dispatcher.notify(Declared(in_force))

    def _handle_runner_reclaim(self, runner: str, deadline: float) -> None:
        mark_runner_leaving(self._gateway, runner, deadline - time.time())
        self._peering.publish_leaving(runner, deadline)

    def _handle_own_reclaim(self, deadline: float) -> None:
        left = (
            deadline - time.time() - RECLAIM_MARGIN_SECONDS - REDIRECT_SECONDS
        )
        self._grace = min(self._grace, max(0.0, left))
        self._stop.set()

    async def _update_phase(self) -> None:
        gateway = self._gateway
        while gateway.phase != "leaving":
            current = self._watch.is_current() and self._may_serve_by_facts()
            gateway.phase = (
                "serving" if current else _choose_unready_phase(gateway)
            )
            await asyncio.sleep(PHASE_CHECK_SECONDS)

    def _may_serve_by_facts(self) -> bool:
        """Return whether facts are current or no peer is reachable.

        A process that was frozen has missed which runners have left and
        which versions were rolled back in the meantime. `Peering.is_current`
        reports this: it is false as soon as the process runs again. If no
        peer answers for `PEER_GRACE_SECONDS`, serving with the store's data
        alone is better than refusing all requests.
        """
        now = asyncio.get_running_loop().time()
        if self._peering.is_current():
            self._facts_stale_since = None
            return True
        if self._facts_stale_since is None:
            self._facts_stale_since = now
        return now - self._facts_stale_since > PEER_GRACE_SECONDS

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))


def _choose_unready_phase(gateway: Gateway) -> Any:
    return "starting" if gateway.phase == "starting" else "stale"
