"""Runs the gossip protocol for one process of the system."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from functools import lru_cache
from typing import NamedTuple

from eliot import log_message

from lagoonpost.http.account import ClientAccount
from lagoonpost.http.message import Address, parse_address
from lagoonpost.peers.codec import MessagePackCodec
from lagoonpost.peers.datagram_request import (
    REPLY_TIMEOUT_SECONDS,
    DatagramRequests,
)
from lagoonpost.peers.message import (
    Document,
    FetchReply,
    FetchRequest,
    HandOver,
)
from lagoonpost.peers.messenger import DatagramMessenger
from lagoonpost.peers.service import (
    FETCH,
    GOSSIP,
    HAND_OVER,
    OnFetch,
    OnHandOver,
    OnWait,
    PeerService,
    refuse_fetch,
    refuse_hand_over,
    skip_wait,
)
from lagoonpost.peers.transport import GrpcTransport, Transport
from lagoonpost.systems.gossip import TICK_SECONDS, Gossip
from lagoonpost.systems.membership import PROBE_SECONDS, first_incarnation
from lagoonpost.systems.packet import (
    Action,
    Answered,
    Call,
    ChangedRows,
    Compared,
    Event,
    Failed,
    Flush,
    Leave,
    Packet,
    Publish,
    Received,
    Reply,
    Tick,
    Unanswered,
)
from lagoonpost.systems.view import FactOrigin
from lagoonpost.tables.control_traffic import ControlTraffic
from lagoonpost.tables.fact import Fact, FactKind, RecentFact
from lagoonpost.tables.peer import Member, PeerRole
from lagoonpost.unreadable import log_unreadable

# Batches a burst of changes into one packet; ten hops still take only 0.2 s.
FLUSH_SECONDS = 0.02
FETCH_TIMEOUT_SECONDS = 5.0
HAND_OVER_TIMEOUT_SECONDS = 2.0
HAND_OVER_ATTEMPTS = 2
MAX_CHECKED_ROWS = 1024
"""Member rows whose addresses are remembered as checked, more than a large
system has gateways."""


class PeerSettings(NamedTuple):
    """Identity of a process and the addresses of its peers.

    Attributes:
        name: Unique name of the process.
        role: Role of the process.
        region: Region in which it runs.
        failure_domain: Failure domain in which it runs.
        address: Address at which it listens for peers. Port 0 selects a
            free port.
        seeds: Addresses used to discover other members.
        entry: Address for callers, published to all members, or None.
        seniority_delay: Seconds by which the process ranks as if it had
            started later.
    """

    name: str
    role: PeerRole
    region: str
    failure_domain: str
    address: Address
    seeds: tuple[Address, ...] = ()
    entry: Address | None = None
    seniority_delay: float = 0.0


def make_clock() -> Callable[[], float]:
    """Return a monotonic clock in seconds since the epoch.

    Unlike the event loop's clock, it includes the time for which the host
    was suspended, so that a resumed process detects the gap.
    """
    kind = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    offset = time.time() - time.clock_gettime(kind)
    return lambda: offset + time.clock_gettime(kind)


def _drop_unreadable(rows: tuple[Member, ...]) -> tuple[Member, ...]:
    """Return the rows without those whose addresses can't be read.

    Messages are sent to all members, and one address that can't be read would
    end all of them.
    """
    return tuple(row for row in rows if _is_readable(row))


@lru_cache(maxsize=MAX_CHECKED_ROWS)
def _is_readable(row: Member) -> bool:
    try:
        for address in filter(None, (row.address, row.entry)):
            parse_address(address)
    except ValueError as error:
        log_unreadable("member", row.name, error)
        return False
    return bool(row.address)


class Peers:
    """This process's view of and connection to the other members."""

    def __init__(
        self,
        settings: PeerSettings,
        on_facts: Callable[[Sequence[Fact]], None],
        on_members: Callable[[Sequence[Member]], None],
        on_fetch: OnFetch = refuse_fetch,
        on_hand_over: OnHandOver = refuse_hand_over,
        clock: Callable[[], float] | None = None,
        rng: random.Random | None = None,
        traffic: ControlTraffic | None = None,
        messenger: DatagramMessenger | None = None,
        transport: Transport | None = None,
        on_wait: OnWait = skip_wait,
        account: ClientAccount | None = None,
    ) -> None:
        """Initialize without network access; call ``start`` to join.

        Args:
            settings: Identity of this process and its seeds.
            on_facts: Called with facts that became valid, including those
                published by this process.
            on_members: Called with changed member rows, including the row
                of this process.
            on_fetch: Returns documents of a kind with numbers above a
                given one.
            on_hand_over: Returns whether it accepts a leaving peer's
                request.
            clock: Monotonic clock in seconds since the epoch.
            rng: Source of random choices.
            traffic: Counts messages and bytes sent and received.
            messenger: Sends gossip requests in datagrams. Without one, or
                if the peer has none, gossip uses gRPC.
            transport: Carries the gRPC calls.
            account: Accounts for what connections from peers hold, if there
                is no ``transport``.
            on_wait: Waits for the documents that a request to fetch wants.
        """
        self._settings = settings
        self._on_facts = on_facts
        self._on_members = on_members
        self._clock = clock or make_clock()
        self._rng = rng or random.Random()
        self._service = PeerService(
            self._receive, on_fetch, on_hand_over, on_wait
        )
        self._datagram_requests = (
            DatagramRequests(messenger, self._answer_datagram)
            if messenger
            else None
        )
        self._transport = transport or GrpcTransport(
            MessagePackCodec(traffic), account
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._current = asyncio.Event()
        self._closed = False
        self._serving: tuple[Member, ...] | None = None
        self._gossip: Gossip

    async def start(self) -> Address:
        """Listen, start joining the other members, and return the address."""
        address = await self._transport.start(
            self._service, self._settings.address
        )
        now = self._clock()
        seeds = [str(seed) for seed in self._settings.seeds]
        self._gossip = Gossip(self._make_own_row(address, now), seeds, now)
        self._tick()
        return address

    def _make_own_row(self, address: Address, now: float) -> Member:
        settings = self._settings
        return Member(
            name=settings.name,
            address=str(address),
            role=settings.role,
            region=settings.region,
            failure_domain=settings.failure_domain,
            incarnation=first_incarnation(now, settings.seniority_delay),
            changed=now,
            entry=str(settings.entry) if settings.entry else "",
        )

    async def leave(self) -> None:
        """Announce that this process leaves, but keep answering peers."""
        self._step(Leave())
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=PROBE_SECONDS)

    async def close(self) -> None:
        """Leave, unless already done, and stop."""
        if self._gossip.view.me.state != "left":
            await self.leave()
        self._closed = True
        for timer in self._timers.values():
            timer.cancel()
        tasks = set(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._transport.close_calls()
        await self._transport.close()

    # Views

    @property
    def me(self) -> Member:
        """The member row of this process."""
        return self._gossip.view.me

    def members(self) -> tuple[Member, ...]:
        """Return all members considered running, including this one."""
        if self._serving is None:
            rows = self._gossip.view.members.rows.values()
            self._serving = tuple(row for row in rows if row.serving)
        return self._serving

    def all_members(self) -> tuple[Member, ...]:
        """Return all known members, including those that left or are dead."""
        return tuple(self._gossip.view.members.rows.values())

    def facts(self, kind: FactKind) -> tuple[Fact, ...]:
        """Return all valid facts of a kind."""
        return self._gossip.view.facts.of_kind(kind)

    def find_origin(self, fact: Fact) -> FactOrigin:
        """Return how a current fact was received."""
        return self._gossip.view.fact_origins[fact.id]

    def current(self) -> bool:
        """Return whether the facts are as recent as those of the peers.

        False after a start or a suspension of the process, until it has
        synchronized with its peers. Meanwhile its state is stale and must
        not be used to serve requests.
        """
        return self._gossip.current(self._clock())

    async def wait_current(self, timeout: float) -> bool:
        """Wait until ``current``, for at most ``timeout`` seconds.

        Returns:
            Whether the facts are current.
        """
        if not self.current():
            # The event may still be set from before a suspension.
            self._current.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._current.wait()
        return self.current()

    def find_senders(self, fact: Fact) -> tuple[str, ...]:
        """Return the members that sent the current version of a fact."""
        origin = self._gossip.view.fact_origins.get(fact.id)
        return origin.senders if origin else ()

    def list_recent_facts(self) -> tuple[RecentFact, ...]:
        """Return the facts that this process received recently."""
        return self._gossip.view.list_recent_facts(self._clock())

    # Operations

    def compare(self, member: str, recent: tuple[RecentFact, ...]) -> None:
        """Compare all facts with a member if it has one that is lacking here.

        Args:
            member: Name of the member.
            recent: Facts that it received recently.
        """
        if recent:
            self._step(Compared(member, recent))

    def add_seeds(self, addresses: Sequence[Address]) -> None:
        """Add addresses used to discover members."""
        self._gossip.add_seeds(str(address) for address in addresses)

    def publish(self, fact: Fact) -> None:
        """Publish a fact to all members."""
        self._step(Publish(fact))

    async def fetch(
        self,
        peer: Member,
        request: FetchRequest,
        timeout: float = FETCH_TIMEOUT_SECONDS,
    ) -> tuple[Document, ...] | None:
        """Return a peer's documents.

        Args:
            peer: Peer to fetch from.
            request: Which documents to fetch.
            timeout: Timeout in seconds of each page.

        Returns:
            All documents in ascending order, or None if a call failed.
        """
        address = parse_address(peer.address)
        documents: list[Document] = []
        while True:
            reply: FetchReply | None = await self._transport.call_apart(
                address, FETCH, request, timeout
            )
            if reply is None:
                return None
            documents.extend(reply.documents)
            # A page that adds nothing would be asked for again and again.
            if not reply.more or not reply.documents:
                return tuple(documents)
            request = request._replace(after=reply.documents[-1].number)

    async def hand_over(self, member: Member, request: HandOver) -> bool:
        """Transfer an accepted request to a peer.

        Returns:
            True if the peer confirmed that it accepted the request. False
            if it refused or did not reply. Without a reply it may still have
            accepted, so a non-idempotent request needs its own protection
            against running twice.
        """
        address = parse_address(member.address)
        for _ in range(HAND_OVER_ATTEMPTS):
            reply = await self._transport.call_apart(
                address, HAND_OVER, request, HAND_OVER_TIMEOUT_SECONDS
            )
            if reply is not None:
                accepted: bool = reply.accepted
                break
        else:
            accepted = False
        log_message(
            message_type="lagoonpost:peers:handed_over",
            request=request.request_id,
            to=member.name,
            accepted=accepted,
        )
        return accepted

    # Protocol events and actions

    def _tick(self) -> None:
        # The next tick is scheduled only after this one has succeeded: an
        # error stops the ticks, and ``current`` turns False within seconds.
        self._step(Tick())
        self._arm("tick", TICK_SECONDS, self._tick)

    def _flush(self) -> None:
        del self._timers["flush"]
        self._step(Flush())

    def _arm(
        self, name: str, delay: float, function: Callable[[], None]
    ) -> None:
        loop = asyncio.get_running_loop()
        self._timers[name] = loop.call_later(delay, function)

    def _answer_datagram(self, packet: Packet) -> Reply | None:
        return None if self._closed else self._receive(packet)

    def _receive(self, packet: Packet) -> Reply:
        packet = packet._replace(members=_drop_unreadable(packet.members))
        for action in self._step(Received(packet)):
            if isinstance(action, Reply):
                return action
        raise AssertionError("gossip gave no reply")

    def _step(self, event: Event) -> list[Action]:
        actions = self._gossip.step(event, self._clock(), self._rng)
        for action in actions:
            if isinstance(action, Call):
                self._spawn(action)
            elif isinstance(action, ChangedRows):
                self._notify(action)
        if self._gossip.view.has_updates() and "flush" not in self._timers:
            self._arm("flush", FLUSH_SECONDS, self._flush)
        if self.current():
            self._current.set()
        return actions

    def _spawn(self, call: Call) -> None:
        if self._closed:
            # Peers may still send requests while the server closes; a call
            # made in response would open a channel that is never closed.
            return
        task = asyncio.create_task(self._call(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, call: Call) -> None:
        address = parse_address(call.address)
        seconds = PROBE_SECONDS
        reply = None
        delayed = False
        if self._datagram_requests is not None and not call.packet.buckets:
            reply = await self._datagram_requests.request(address, call.packet)
            seconds -= REPLY_TIMEOUT_SECONDS
            delayed = reply is None
        if delayed:
            self._step(Unanswered(call))
        if reply is None:
            reply = await self._transport.call(
                address, GOSSIP, call.packet, seconds
            )
        if reply is None:
            self._step(Failed(call, delayed))
        else:
            members = _drop_unreadable(reply.members)
            self._step(Answered(call, reply._replace(members=members)))

    def _notify(self, changes: ChangedRows) -> None:
        for row in changes.members:
            log_message(
                message_type="lagoonpost:peers:member",
                member=row.name,
                state=row.state,
                incarnation=row.incarnation,
            )
        if changes.members:
            self._serving = None
            self._on_members(changes.members)
        if changes.facts:
            self._on_facts(changes.facts)
