"""Exchanges facts, members, snapshots and requests with peers."""

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence
from typing import cast

import msgspec

from lagoonpost.gateway.answer import HandedOverRequest
from lagoonpost.gateway.quarantine import QuarantineTracker
from lagoonpost.gateway.reclaim import mark_runner_leaving
from lagoonpost.gateway.state import EntryMember, Gateway
from lagoonpost.http.account import ClientAccount
from lagoonpost.http.message import Address
from lagoonpost.peers.message import Document, FetchRequest, HandOver
from lagoonpost.peers.node import Peers, PeerSettings
from lagoonpost.settings import GatewaySettings
from lagoonpost.store.watch import PEER_TIMEOUT_SECONDS, DeclarationWatch
from lagoonpost.systems.event import GatewaysChanged
from lagoonpost.tables.decoding import Unreadable, decode_json, decode_msgpack
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.peer import Member
from lagoonpost.tables.ticket import Snapshot, TicketRecord
from lagoonpost.unreadable import log_unreadable, read_fact

SNAPSHOT = "snapshot"
# With one peer dead and another one behind, a third still has the current
# snapshot.
MAX_SNAPSHOT_PEERS = 3
# Less than the watch waits for all fetches together, so that one silent peer
# does not discard the replies of the others.
FETCH_TIMEOUT_SECONDS = 0.8 * PEER_TIMEOUT_SECONDS
LEAVING_TTL_SECONDS = 3600.0
HANDED_OVER_TTL_SECONDS = 600.0


class Peering:
    """Connects a gateway to its peers.

    Args:
        settings: Settings of the gateway.
        gateway: Shared state of the gateway.

    Attributes:
        peers: Node in the gossip group; set by `start`.
    """

    def __init__(self, settings: GatewaySettings, gateway: Gateway) -> None:
        self._settings = settings
        self._gateway = gateway
        self._watch: DeclarationWatch | None = None
        self.peers: Peers
        self._accepted_by = ""
        gateway.quarantine = QuarantineTracker(gateway, self.publish)
        self._fact_handlers: dict[str, Callable[[Fact], None]] = {
            "crash_seen": gateway.quarantine.handle_fact,
            "poison_verdict": gateway.quarantine.handle_fact,
            "revision": self._handle_revision,
            "runner_leaving": self._handle_runner_leaving,
        }

    def set_watch(self, watch: DeclarationWatch) -> None:
        """Set the watch that is notified of newer revisions."""
        self._watch = watch

    async def start(self, entry: Address) -> Address:
        """Join the gossip group.

        Args:
            entry: Address at which callers reach this gateway.

        Returns:
            Address at which peers reach this gateway.
        """
        settings = self._settings
        self.peers = Peers(
            PeerSettings(
                name=settings.name,
                role="gateway",
                region=settings.region,
                failure_domain=settings.failure_domain,
                address=settings.peer_listen,
                seeds=settings.seeds,
                entry=entry,
            ),
            self._handle_facts,
            self._handle_members,
            self._list_documents,
            self._accept_hand_over,
            account=ClientAccount(self._gateway.budget.peers),
        )
        address = await self.peers.start()
        self._gateway.members = self.list_entries
        return address

    def publish(self, fact: Fact) -> None:
        """Publish a fact to all gateways, including this one."""
        self.peers.publish(fact)

    def is_current(self) -> bool:
        """Return whether the facts here are as recent as those of peers."""
        return self.peers.current()

    def add_fact_handlers(
        self, handlers: Mapping[str, Callable[[Fact], None]]
    ) -> None:
        """Register handlers of facts, by kind of fact."""
        self._fact_handlers.update(handlers)

    def publish_revision(self, record: TicketRecord) -> None:
        """Announce a declaration revision that this gateway accepted."""
        name = self.peers.me.name.encode()
        self.peers.publish(Fact("revision", "", record.revision, name))

    def publish_leaving(self, runner: str, deadline: float) -> None:
        """Announce that a runner is leaving.

        Args:
            runner: Name of the runner.
            deadline: Time of its shutdown, in seconds since the epoch.
        """
        body = msgspec.msgpack.encode(deadline)
        end = deadline + LEAVING_TTL_SECONDS
        self.peers.publish(Fact("runner_leaving", runner, 1, body, end))

    def list_entries(self) -> tuple[EntryMember, ...]:
        """Return the gateways that accept callers."""
        return tuple(
            EntryMember(row.name, row.entry, row.region, row.failure_domain)
            for row in self.peers.members()
            if row.role == "gateway" and row.entry
        )

    def list_others(self) -> list[Member]:
        """Return the other gateways."""
        me = self.peers.me.name
        return [
            row
            for row in self.peers.members()
            if row.role == "gateway" and row.name != me
        ]

    async def fetch_snapshots(self) -> Sequence[Snapshot]:
        """Return the declaration snapshots that a few peers have in force."""
        others = self.list_others()
        self._gateway.rng.shuffle(others)
        others.sort(key=lambda row: row.name != self._accepted_by)
        fetches = [
            self._fetch_snapshot(row) for row in others[:MAX_SNAPSHOT_PEERS]
        ]
        found = await asyncio.gather(*fetches)
        return [snapshot for snapshot in found if snapshot is not None]

    async def hand_over(self, request: HandOver) -> str | None:
        """Hand a request to a peer; return its entry address or None."""
        others = self.list_others()
        self._gateway.rng.shuffle(others)
        for row in others:
            if await self.peers.hand_over(row, request):
                return row.entry
        return None

    async def _fetch_snapshot(self, member: Member) -> Snapshot | None:
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_SECONDS):
                found = await self.peers.fetch(
                    member, FetchRequest(SNAPSHOT, -1)
                )
        except TimeoutError:
            return None
        if not found:
            return None
        snapshot = decode_msgpack(found[-1].body, Snapshot)
        if isinstance(snapshot, Unreadable):
            log_unreadable("document", member.name, snapshot.reason)
            return None
        return cast(Snapshot, snapshot)

    def _list_documents(self, kind: str, after: int) -> Sequence[Document]:
        snapshot = self._watch.get_current_snapshot() if self._watch else None
        if kind != SNAPSHOT or snapshot is None:
            return ()
        if snapshot.revision <= after:
            return ()
        body = msgspec.msgpack.encode(snapshot)
        return (Document(snapshot.revision, body),)

    async def _accept_hand_over(self, request: HandOver) -> bool:
        if self._gateway.phase != "serving":
            return False
        body = decode_json(request.body)
        if not isinstance(body, dict):
            reason = getattr(body, "reason", "the body is no object")
            log_unreadable("hand-over", request.request_id, reason)
            return False
        now = asyncio.get_running_loop().time()
        requests = self._gateway.handed_over
        for request_id in [
            key for key in requests if requests[key].expires_at < now
        ]:
            del requests[request_id]
        requests[request.request_id] = HandedOverRequest(
            request.service,
            request.workspace,
            body,
            request.tokens,
            now + HANDED_OVER_TTL_SECONDS,
        )
        return True

    def _handle_facts(self, facts: Sequence[Fact]) -> None:
        for fact in facts:
            handler = self._fact_handlers.get(fact.kind)
            if handler is not None:
                handler(fact)

    def _handle_revision(self, fact: Fact) -> None:
        self._accepted_by = fact.body.decode(errors="replace")
        if self._watch is not None:
            self._watch.observe_revision(fact.rank)

    def _handle_runner_leaving(self, fact: Fact) -> None:
        deadline = read_fact(fact, float)
        if isinstance(deadline, Unreadable):
            return
        mark_runner_leaving(self._gateway, fact.key, deadline - time.time())

    def _handle_members(self, members: Sequence[Member]) -> None:
        count = max(1, len(self.list_entries()))
        self._gateway.dispatcher.notify(GatewaysChanged(count))
