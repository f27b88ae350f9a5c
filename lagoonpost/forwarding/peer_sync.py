"""State that gateways exchange: reports, runners and configurations."""

import asyncio
import random
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple

import msgspec

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.configuration_fetcher import (
    CONFIGURATION_DOCUMENT,
    ConfigurationFetcher,
    ReadConfiguration,
)
from lagoonpost.forwarding.news_fact import News, make_fact, read_news
from lagoonpost.forwarding.reports import ReportDelegate, ReportExchange
from lagoonpost.forwarding.usage_gossip import UsageGossip
from lagoonpost.http.account import ClientAccount
from lagoonpost.http.message import Address, parse_address
from lagoonpost.peers.codec import MessagePackCodec
from lagoonpost.peers.message import Document
from lagoonpost.peers.messenger import DatagramMessenger
from lagoonpost.peers.node import Peers, PeerSettings, make_clock
from lagoonpost.peers.transport import GrpcTransport, Transport
from lagoonpost.platform.settings import HostSettings
from lagoonpost.store.store import Row, Store, Unavailable, Write
from lagoonpost.systems.crash_causes import News as CrashNews
from lagoonpost.systems.hub import (
    Roles,
    choose_issuers,
    choose_roles,
    find_reading_reason,
    find_seniority_delay,
)
from lagoonpost.tables.bounds import Bounds
from lagoonpost.tables.control_traffic import ControlTraffic
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.tables.fact import Fact, RecentFact
from lagoonpost.tables.peer import Member
from lagoonpost.tables.runner_notice import Departure
from lagoonpost.tables.stamp import find_era
from lagoonpost.unreadable import log_unreadable, read_fact, read_row

ENTRY_TTL_SECONDS = 3600.0
"""How long a fact about a runner's entry is kept."""
LOCAL_FETCH_SHARE = 0.8
"""Share of configuration fetches that go to the own failure domain."""
STORE_LOSS_MEMORY_SECONDS = 4.0
"""How long a gateway's loss of the store is remembered after its recovery:
lapsed entries are judged for about two seconds after it, and gateways notice
it up to one report pause apart."""
MESH_READ_PAUSE_SECONDS = 0.2
"""Pause after an answer of the store, in which changes are batched. Rows of 45
runners change 37 times a second, and each change would be a billed call. A
reclaim is announced 2 s ahead, so the pause does not delay it too much."""
READER_PAUSE_SECONDS = 0.6
"""The same pause when a few readers serve all gateways: three readers with
independent timing see a change after a sixth of a second on average, and two
readers after a third."""
MIN_SEED_PAUSE_SECONDS = 0.4
"""First pause between reads of the seed addresses in the store."""
MAX_SEED_PAUSE_SECONDS = 30.0
"""Longest pause between these reads: each read doubles the pause."""
DISCOVERY_GATEWAYS = 3
"""Gateways of a group that search the store for other groups: with one lost
and one cut off from the store, one is left."""
DISCOVERY_CHECK_SECONDS = 5.0
"""Pause between checks by the other gateways whether they have to search."""
SEED_PREFIX = "member/"


class PeerLinks(NamedTuple):
    """What carries messages between this gateway and its peers.

    Attributes:
        messenger: Exchanges datagrams.
        transport: Carries gRPC calls.
        clock: Monotonic clock in seconds since the epoch.
    """

    messenger: DatagramMessenger
    transport: Transport
    clock: Callable[[], float]


def make_links(traffic: ControlTraffic, account: ClientAccount) -> PeerLinks:
    """Return links over the network.

    Args:
        traffic: Counts sent and received messages and bytes.
        account: Accounts for what connections from peers hold.
    """
    return PeerLinks(
        DatagramMessenger(traffic),
        GrpcTransport(MessagePackCodec(traffic), account),
        make_clock(),
    )


class PeerSync:
    """Gossip, reports and fetches between this gateway and its peers.

    Args:
        settings: Settings of this host.
        cluster: State to update from peers' facts.
        delegate: Makes the own reports and handles those of others.
        on_crash_news: Called with other gateways' evidence on crashes.
        on_departure: Called with runners that leave by what they told other
            gateways.
        on_shift: Called with each fact about a version shift.
        on_recorded: Called with a workspace whose quota use the store has
            recorded, and the age of that use in seconds.
        on_era: Called with the store's era that a peer knows.
        rng: Source of random choices.
        links: What carries messages to and from the other gateways.
        read_configuration: Reads the configuration from the store.

    Attributes:
        peers: Membership, gossip and document fetches.
        usage_gossip: Facts about usage rows in the store.
        reports: Load reports and summaries.
        messenger: Exchanges datagrams with the other gateways.
    """

    def __init__(
        self,
        settings: HostSettings,
        cluster: ClusterState,
        delegate: ReportDelegate,
        on_crash_news: Callable[[CrashNews], None],
        on_departure: Callable[[Departure], None],
        on_shift: Callable[[Fact], None],
        on_recorded: Callable[[str, float], None],
        on_era: Callable[[int], None],
        rng: random.Random,
        links: PeerLinks,
        read_configuration: ReadConfiguration,
    ) -> None:
        self._settings = settings
        self._bounds = settings.bounds
        self._cluster = cluster
        self._on_crash_news = on_crash_news
        self._on_departure = on_departure
        self._on_shift = on_shift
        self._on_era = on_era
        self._seed_written = False
        self._rng = rng
        self._clock = links.clock
        self._store_losses: dict[str, _StoreLoss] = {}
        self._roles: Roles | None = None
        self._names: dict[str, str] = {}
        peer_settings = PeerSettings(
            name=settings.name,
            role="gateway",
            region=settings.region,
            failure_domain=settings.failure_domain,
            address=settings.peer,
            seeds=settings.seeds,
            entry=settings.entry,
            seniority_delay=find_seniority_delay(settings.link_mbps),
        )
        post = self.messenger = links.messenger
        self.peers = Peers(
            peer_settings,
            self._handle_facts,
            lambda members: self._forget_members(),
            self._list_documents,
            clock=links.clock,
            rng=rng,
            messenger=post,
            transport=links.transport,
            on_wait=lambda request: self._fetcher.wait_for(request),
        )
        self._fetcher = ConfigurationFetcher(
            cluster,
            self.peers,
            self._find_member,
            self._choose_fetch_peer,
            lambda: self.find_read_pause() is not None,
            read_configuration,
            self.publish_configuration,
        )
        self.usage_gossip = UsageGossip(
            settings.name, self.peers.publish, self._find_end, on_recorded
        )
        self.reports = ReportExchange(
            settings.name,
            settings.peer,
            delegate,
            self.peers.members,
            self.peers.all_members,
            self.find_roles,
            links.clock,
            post,
            rng,
            self,
        )

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new bounds."""
        self._bounds = bounds

    async def start(self) -> None:
        """Listen for peers."""
        await self.peers.start()
        await self.reports.start()

    async def close(self) -> None:
        """Close the peer connections and stop listening."""
        await self.peers.close()
        self.reports.close()

    async def run(self) -> None:
        """Publish reports and fetch configurations until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.reports.run())
            group.create_task(self._fetcher.run())

    async def discover_gateways(self, store: Store) -> None:
        """Write the own peer address to the store and read those of others.

        Settings name three seeds at most, which may all be unavailable or
        not listen yet; gateways that start later are found in the store.
        Gateways that start together may form groups that do not know each
        other, and each group would admit whole quotas, so the search is
        repeated. A few gateways of each group search; a lone gateway is a
        group of its own.
        """
        pause = MIN_SEED_PAUSE_SECONDS
        # If all hosts start together, the configured seeds mostly answer
        # within this delay and make the search needless.
        await asyncio.sleep(self._rng.uniform(0.0, MIN_SEED_PAUSE_SECONDS / 2))
        while True:
            if not self._searches_peers():
                await asyncio.sleep(DISCOVERY_CHECK_SECONDS)
                continue
            if not self._seed_written:
                self._seed_written = await self._write_seed(store)
            rows = await store.scan(SEED_PREFIX)
            if not isinstance(rows, Unavailable):
                self.peers.add_seeds(_read_seeds(rows))
            await asyncio.sleep(pause)
            if self._seed_written:
                pause = min(2 * pause, MAX_SEED_PAUSE_SECONDS)

    async def _write_seed(self, store: Store) -> bool:
        key = f"{SEED_PREFIX}{self._settings.name}"
        writes = [Write(key, str(self._settings.peer))]
        outcome = await store.transact([], writes)
        return not isinstance(outcome, Unavailable)

    def _searches_peers(self) -> bool:
        """Tell whether this gateway searches the store for unknown peers."""
        return (
            self._settings.name
            in self.find_roles().store_hubs[:DISCOVERY_GATEWAYS]
        )

    def handle_new_era(self) -> None:
        """Write the own address again, as the store has lost some rows."""
        self._seed_written = False

    # Publishing

    def publish_entry(self, key: str) -> None:
        """Publish a runner's entry to peers."""
        entry = self._cluster.entries[key]
        body = msgspec.msgpack.encode(entry.raw)
        self.peers.publish(
            Fact(
                "endpoint",
                key,
                entry.version,
                body,
                self._find_end(ENTRY_TTL_SECONDS),
            )
        )

    def publish_configuration(self) -> None:
        """Publish the version of the configuration in force."""
        self.peers.publish(Fact("configuration", "", self._cluster.version))

    def publish_evacuation(
        self, domain: str, version: int, active: bool
    ) -> None:
        """Publish an order to evacuate a failure domain, or its end."""
        body = msgspec.msgpack.encode(active)
        self.peers.publish(Fact("evacuation", domain, version, body))

    def publish_news(self, news: News) -> None:
        """Publish news of crashes, or of a runner that leaves."""
        self.peers.publish(make_fact(news, self._find_end(0.0)))

    def publish_store_lost(self, lost: bool) -> None:
        """Publish whether this gateway has lost the store.

        Nothing is published if the last published state is the same.
        """
        name = self._settings.name
        published = self._store_losses.get(name, _StoreLoss(0, False, 0.0))
        if published.lost == lost:
            return
        # Ranks above facts of an earlier run, even if the clock went back.
        rank = max(published.rank + 1, int(self._find_end(0.0) * 1000))
        end = self._find_end(ENTRY_TTL_SECONDS)
        self.peers.publish(
            Fact("store_lost", name, rank, _STORE_STATES[lost], end)
        )

    def _find_end(self, seconds: float) -> float:
        return self._clock() + seconds

    # Receiving

    def _handle_facts(self, facts: Sequence[Fact]) -> None:
        for fact in facts:
            handler = _FACT_HANDLERS.get(fact.kind)
            if handler is not None:
                handler(self, fact)

    def _handle_entry(self, fact: Fact) -> None:
        self._on_era(find_era(fact.rank))
        raw = read_fact(fact, bytes | None)
        if isinstance(raw, Unreadable):
            return
        self._cluster.apply_entry(fact.key, fact.rank, raw, "peer")

    def _handle_evacuation(self, fact: Fact) -> None:
        self._on_era(find_era(fact.rank))
        active = read_fact(fact, bool)
        if isinstance(active, Unreadable):
            return
        self._cluster.apply_evacuation(fact.key, fact.rank, active, "peer")

    def _handle_news(self, fact: Fact) -> None:
        news = read_news(fact)
        if isinstance(news, Departure):
            self._on_departure(news)
        elif news is not None:
            self._on_crash_news(news)

    def _handle_shift(self, fact: Fact) -> None:
        self._on_shift(fact)

    def _handle_recorded(self, fact: Fact) -> None:
        self.usage_gossip.handle_recorded(fact)

    def _handle_usage(self, fact: Fact) -> None:
        self.usage_gossip.handle_usage(fact)

    def _handle_store_lost(self, fact: Fact) -> None:
        now = asyncio.get_running_loop().time()
        lost = fact.body == _STORE_STATES[True]
        self._store_losses[fact.key] = _StoreLoss(fact.rank, lost, now)
        self._forget_roles()

    def _handle_version(self, fact: Fact) -> None:
        origin = self.peers.find_origin(fact)
        self._fetcher.note_version(
            fact.rank, origin.senders[0], origin.message
        )

    # News in reports and summaries

    def list_recent_facts(self) -> tuple[RecentFact, ...]:
        """Return the facts that this gateway received recently."""
        return self.peers.list_recent_facts()

    def handle_news(
        self, sender: Address, version: int, recent: tuple[RecentFact, ...]
    ) -> None:
        """Handle what another gateway knows.

        Copies of a fact may all be lost with gateways that are gone but count
        as alive, so each gateway also compares its news with a hub.
        """
        name = self._find_names().get(str(sender))
        if name is not None:
            self._fetcher.note_version(version, name, "report")
            self.peers.compare(name, recent)

    def _find_names(self) -> dict[str, str]:
        if not self._names:
            self._names = {
                row.address: row.name for row in self.peers.members()
            }
        return self._names

    # Fetches of configurations

    def _find_member(self, name: str) -> Member | None:
        found = [each for each in self.find_others() if each.name == name]
        return found[0] if found else None

    def _choose_fetch_peer(self, excluded: Collection[str]) -> str | None:
        """Return the peer to fetch a configuration from.

        Those that sent the news are near to its source. Others are mostly
        chosen in the own failure domain, as traffic between domains is
        billed.
        """
        others = [
            peer for peer in self.find_others() if peer.name not in excluded
        ]
        if not others:
            return None
        senders = self.peers.find_senders(_CONFIGURATION_FACT)
        for name in senders:
            if any(peer.name == name for peer in others):
                return name
        here = self._settings.failure_domain
        near = [peer for peer in others if peer.failure_domain == here]
        if near and self._rng.random() < LOCAL_FETCH_SHARE:
            return self._rng.choice(near).name
        return self._rng.choice(others).name

    def _list_documents(self, kind: str, after: int) -> Sequence[Document]:
        if kind != CONFIGURATION_DOCUMENT:
            return ()
        return self._fetcher.list_documents(after)

    # Views

    def find_roles(self) -> Roles:
        """Return which gateways are hubs and which read the store."""
        if self._roles is None:
            lost = {
                name
                for name, state in self._store_losses.items()
                if state.lost
            }
            self._roles = choose_roles(self.peers.members(), lost)
        return self._roles

    def _forget_members(self) -> None:
        self._names = {}
        self._forget_roles()

    def _forget_roles(self) -> None:
        self._roles = None

    def is_reader(self) -> bool:
        """Tell whether this gateway is one of the store's readers."""
        return self._settings.name in self.find_roles().readers

    def find_read_pause(self) -> float | None:
        """Return the seconds between store reads; None for no reads."""
        roles = self.find_roles()
        heard = self.reports.find_contact_ages()
        bound = self._bounds.propagation_seconds
        name = self._settings.name
        reason = find_reading_reason(name, roles, heard, bound)
        if reason is None:
            return None
        own = self._store_losses.get(name)
        if reason == "last_resort" and own is not None and own.lost:
            # The store is probably down for all, which probe it now and then.
            return None
        return MESH_READ_PAUSE_SECONDS if roles.mesh else READER_PAUSE_SECONDS

    def was_store_unavailable(self) -> bool:
        """Tell whether half of the other gateways had lost the store recently.

        True without other gateways, as none can report that it had not.
        """
        others = [peer.name for peer in self.find_others()]
        if not others:
            return True
        oldest = asyncio.get_running_loop().time() - STORE_LOSS_MEMORY_SECONDS
        never = _StoreLoss(0, False, 0.0)
        states = [self._store_losses.get(name, never) for name in others]
        affected = [
            state
            for state in states
            if state.lost or (state.rank and state.at > oldest)
        ]
        return 2 * len(affected) >= len(others)

    def entries(self) -> list[Address]:
        """Return the entry addresses of serving gateways, for callers.

        Only gateways of this one's region are named: requests of some routes
        must not leave the callers' region.
        """
        members = [
            member
            for member in self.peers.members()
            if member.region == self._settings.region
        ]
        alive = [member for member in members if member.state == "alive"]
        entries = [member.entry for member in alive or members if member.entry]
        return [parse_address(entry) for entry in entries]

    def find_others(self) -> tuple[Member, ...]:
        """Return the other gateways that are considered alive."""
        return tuple(
            member
            for member in self.peers.members()
            if member.name != self._settings.name
        )

    def find_quota_issuers(self, window: float) -> tuple[str, ...]:
        """Return the gateways that may be asked about quotas.

        Args:
            window: Length of the quotas' window in seconds.
        """
        members = self.peers.members()
        return choose_issuers(
            members, self.find_roles().hubs, self._clock() - window
        )

    def count_gateways(self) -> int:
        """Return the number of gateways, including this one."""
        return max(1, len(self.peers.members()))


def _read_seeds(rows: Iterable[Row]) -> list[Address]:
    """Return the addresses in rows, without those that can't be read."""
    seeds = []
    for row in rows:
        text = read_row(row.key, row.value, str)
        if isinstance(text, Unreadable):
            continue
        try:
            seeds.append(parse_address(text))
        except ValueError as error:
            log_unreadable("row", row.key, error)
    return seeds


class _StoreLoss(NamedTuple):
    """The last published state of a gateway's access to the store.

    Attributes:
        rank: Rank of the fact; 0 if none was received.
        lost: Whether the gateway had lost the store.
        at: Time of arrival, by the event loop's clock in seconds.
    """

    rank: int
    lost: bool
    at: float


_CONFIGURATION_FACT = Fact("configuration", "", 0)
_STORE_STATES = {True: b"lost", False: b"answers"}


_FACT_HANDLERS = {
    "endpoint": PeerSync._handle_entry,
    "configuration": PeerSync._handle_version,
    "evacuation": PeerSync._handle_evacuation,
    "poison_verdict": PeerSync._handle_news,
    "store_lost": PeerSync._handle_store_lost,
    "shift": PeerSync._handle_shift,
    "recorded": PeerSync._handle_recorded,
    "usage": PeerSync._handle_usage,
}
