"""What gateways tell each other: reports, runners and configurations."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.reports import ReportDelegate, ReportExchange
from lagoonpost.forwarding.usage_gossip import UsageGossip
from lagoonpost.http.message import Address, parse_address
from lagoonpost.peers.message import Document
from lagoonpost.peers.node import Peers, PeerSettings, make_clock
from lagoonpost.peers.post import Post
from lagoonpost.platform.settings import Bounds, HostSettings
from lagoonpost.store.store import Store, Unavailable, Write
from lagoonpost.systems.hub import Roles, choose_roles, should_read_store
from lagoonpost.systems.poison import BrokenAnswer
from lagoonpost.tables.control_traffic import ControlTraffic
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.peer import Member
from lagoonpost.tables.stamp import find_era

CONFIGURATION_DOCUMENT = "configuration"
BREAK_TTL_SECONDS = 60.0
"""How long the news of an answer that broke off is kept."""
ENTRY_TTL_SECONDS = 3600.0
"""How long the news of a runner's entry is kept."""
LOCAL_FETCH_SHARE = 0.8
"""Part of the questions for a configuration that stay in the own domain."""
FETCH_DELAY_SECONDS = 0.15
"""Wait for the store's feed before a peer is asked for a configuration."""
FETCH_TIMEOUT_SECONDS = 0.6
"""Longest wait for a peer's configuration. A host that has just gone does not
answer, and is held to run for seconds; two of them in a row leave time for a
third within the two seconds in which a configuration is to be in force. One of
100 KB takes 0.2 s on the slowest links."""
STORE_LOSS_MEMORY_SECONDS = 4.0
"""How long a gateway's word that it had lost the store is remembered: entries
that lapsed are judged for some two seconds after the return, and gateways
notice it up to a report's pause apart."""
MESH_READ_PAUSE_SECONDS = 0.2
"""Pause after an answer of the store, in which changes gather for the next.
Rows of 45 runners change 37 times a second, and each change would be a priced
call; a reclaim is told 2 s ahead."""
READER_PAUSE_SECONDS = 0.6
"""The same where a few read for all: three of them at times of their own have
news after a sixth of a second, and two that are left after a third."""
MIN_SEED_PAUSE_SECONDS = 0.4
"""First pause between looks for other gateways in the store."""
MAX_SEED_PAUSE_SECONDS = 30.0
"""Longest pause between them: each look doubles the one before."""
DISCOVERY_GATEWAYS = 3
"""Gateways of a group that look for other groups: one may be lost, one cut
off from the store, and one is left."""
DISCOVERY_CHECK_SECONDS = 5.0
"""Pause after which the others see whether they have to look."""
SEED_PREFIX = "member/"


class PeerSync:
    """This gateway among the others.

    Args:
        settings: Of this host.
        belief: What to keep up to date by peers' news.
        party: What this gateway reports, and hears of others.
        on_break: Told each answer that broke off, at any gateway.
        on_shift: Told how far services' moves to other versions are.
        on_recorded: Told whose use the store has, and its age in seconds.
        on_era: Told the store's era that a peer knows.
        rng: Source of random choices.
        traffic: Counts what is sent and received.
    """

    def __init__(
        self,
        settings: HostSettings,
        cluster: ClusterState,
        party: ReportDelegate,
        on_break: Callable[[BrokenAnswer], None],
        on_shift: Callable[[Fact], None],
        on_recorded: Callable[[str, float], None],
        on_era: Callable[[int], None],
        rng: random.Random,
        traffic: ControlTraffic,
    ) -> None:
        self._settings = settings
        self._bounds = settings.bounds
        self._cluster = cluster
        self._on_break = on_break
        self._on_shift = on_shift
        self._on_era = on_era
        self._seed_written = False
        self._rng = rng
        self._started = time.time() - time.monotonic()
        self._lost: dict[str, _Lost] = {}
        self._roles: Roles | None = None
        self._wanted_version = 0
        self._wanted = asyncio.Event()
        peer_settings = PeerSettings(
            name=settings.name,
            role="gateway",
            region=settings.region,
            failure_domain=settings.failure_domain,
            address=settings.peer,
            seeds=settings.seeds,
            entry=settings.entry,
        )
        post = Post(traffic)
        self.peers = Peers(
            peer_settings,
            self._learn_facts,
            lambda members: self._forget_roles(),
            self._give_documents,
            rng=rng,
            traffic=traffic,
            post=post,
        )
        self.usage_gossip = UsageGossip(
            settings.name, self.peers.publish, self._end, on_recorded
        )
        self.reports = ReportExchange(
            settings.name,
            settings.peer,
            party,
            self.peers.members,
            self.peers.all_members,
            self.find_roles,
            make_clock(),
            post,
        )

    def set_bounds(self, bounds: Bounds) -> None:
        """Keep to other bounds from now on."""
        self._bounds = bounds

    async def start(self) -> None:
        """Listen for peers."""
        await self.peers.start()
        await self.reports.start()

    async def close(self) -> None:
        """Leave the others and stop listening."""
        await self.peers.close()
        self.reports.close()

    async def run(self) -> None:
        """Publish reports and fetch configurations until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.reports.run())
            group.create_task(self._fetch_configurations())

    async def discover_gateways(self, store: Store) -> None:
        """Write the own peer address into the store and read the others'.

        Settings name three seeds at most, which may all be gone or not
        listen yet; those that start later are found here. Gateways that
        start together may join in groups that know nothing of each other,
        each of which lets whole quotas through, so they look again. A few
        of each group do; who is alone is a group.
        """
        pause = MIN_SEED_PAUSE_SECONDS
        # Seeds that answer at once make most looks needless where all hosts
        # start together.
        await asyncio.sleep(self._rng.uniform(0.0, MIN_SEED_PAUSE_SECONDS / 2))
        while True:
            if not self._is_looker():
                await asyncio.sleep(DISCOVERY_CHECK_SECONDS)
                continue
            if not self._seed_written:
                self._seed_written = await self._write_seed(store)
            rows = await store.scan(SEED_PREFIX)
            if not isinstance(rows, Unavailable):
                seeds = [parse_address(row.value) for row in rows]
                self.peers.add_seeds(seeds)
            await asyncio.sleep(pause)
            if self._seed_written:
                pause = min(2 * pause, MAX_SEED_PAUSE_SECONDS)

    async def _write_seed(self, store: Store) -> bool:
        key = f"{SEED_PREFIX}{self._settings.name}"
        writes = [Write(key, str(self._settings.peer))]
        outcome = await store.transact([], writes)
        return not isinstance(outcome, Unavailable)

    def _is_looker(self) -> bool:
        """Tell whether this gateway looks for others that it doesn't know."""
        return (
            self._settings.name in self.find_roles().hubs[:DISCOVERY_GATEWAYS]
        )

    def handle_new_era(self) -> None:
        """Write the own address again, as the store lost some rows."""
        self._seed_written = False

    # Publishing

    def publish_entry(self, key: str) -> None:
        """Tell others of a runner's entry."""
        entry = self._cluster.entries[key]
        body = msgspec.msgpack.encode(entry.raw)
        self.peers.publish(
            Fact(
                "endpoint",
                key,
                entry.version,
                body,
                self._end(ENTRY_TTL_SECONDS),
            )
        )

    def publish_configuration(self) -> None:
        """Tell others which configuration is in force here."""
        self.peers.publish(Fact("configuration", "", self._cluster.version))

    def publish_break(self, seen: BrokenAnswer) -> None:
        """Tell others of an answer that broke off."""
        key = f"{seen.fingerprint}/{seen.runner}/{seen.attempt}"
        body = msgspec.msgpack.encode(seen)
        end = self._end(BREAK_TTL_SECONDS)
        self.peers.publish(Fact("crash_seen", key, 1, body, end))

    def publish_store_lost(self, lost: bool) -> None:
        """Tell others whether the store answers here.

        Nothing is sent while they hold it for true already.
        """
        name = self._settings.name
        held = self._lost.get(name, _Lost(0, False, 0.0))
        if held.lost == lost:
            return
        # Above what a run before may have told, also if the clock went back.
        rank = max(held.rank + 1, int(self._end(0.0) * 1000))
        end = self._end(ENTRY_TTL_SECONDS)
        self.peers.publish(Fact("store_lost", name, rank, _WORDS[lost], end))

    def _end(self, seconds: float) -> float:
        # Counted from the start and not by the time of day, which may jump.
        return self._started + time.monotonic() + seconds

    # Learning

    def _learn_facts(self, facts: Sequence[Fact]) -> None:
        for fact in facts:
            learn = _LEARNERS.get(fact.kind)
            if learn is not None:
                learn(self, fact)

    def _learn_entry(self, fact: Fact) -> None:
        self._on_era(find_era(fact.rank))
        raw = msgspec.msgpack.decode(fact.body, type=bytes | None)
        self._cluster.apply_entry(fact.key, fact.rank, raw, "peer")

    def _learn_break(self, fact: Fact) -> None:
        self._on_break(msgspec.msgpack.decode(fact.body, type=BrokenAnswer))

    def _learn_shift(self, fact: Fact) -> None:
        self._on_shift(fact)

    def _learn_recorded(self, fact: Fact) -> None:
        self.usage_gossip.handle_recorded(fact)

    def _learn_usage(self, fact: Fact) -> None:
        self.usage_gossip.handle_usage(fact)

    def _learn_store_lost(self, fact: Fact) -> None:
        now = asyncio.get_running_loop().time()
        lost = fact.body == _WORDS[True]
        self._lost[fact.key] = _Lost(fact.rank, lost, now)
        self._forget_roles()

    def _learn_version(self, fact: Fact) -> None:
        if fact.rank > self._cluster.version:
            self._wanted_version = max(self._wanted_version, fact.rank)
            self._wanted.set()

    async def _fetch_configurations(self) -> None:
        while True:
            await self._wanted.wait()
            await asyncio.sleep(FETCH_DELAY_SECONDS)
            if self._cluster.version >= self._wanted_version:
                self._wanted.clear()
                continue
            peer = self._choose_source()
            if peer is None:
                continue
            documents = await self.peers.fetch(
                peer,
                CONFIGURATION_DOCUMENT,
                self._cluster.version,
                FETCH_TIMEOUT_SECONDS,
            )
            for document in documents or ():
                if self._cluster.apply_configuration(document.body, peer.name):
                    self.publish_configuration()

    def _choose_source(self) -> Member | None:
        """Return whom to ask for a configuration: mostly a neighbour.

        Bytes between failure domains cost, and each domain has gateways
        that read it themselves. If all of them are cut off, others do.
        """
        others = self.find_others()
        here = self._settings.failure_domain
        near = [each for each in others if each.failure_domain == here]
        if near and self._rng.random() < LOCAL_FETCH_SHARE:
            return self._rng.choice(near)
        return self._rng.choice(others) if others else None

    def _give_documents(self, kind: str, after: int) -> Sequence[Document]:
        version = self._cluster.version
        if kind != CONFIGURATION_DOCUMENT or version <= after:
            return ()
        return (Document(version, self._cluster.raw_configuration),)

    # Views

    def find_roles(self) -> Roles:
        """Return who hears all reports and who reads the store."""
        if self._roles is None:
            lost = {name for name, each in self._lost.items() if each.lost}
            self._roles = choose_roles(self.peers.members(), lost)
        return self._roles

    def _forget_roles(self) -> None:
        self._roles = None

    def is_reader(self) -> bool:
        """Tell whether this gateway reads the store for others."""
        return self._settings.name in self.find_roles().readers

    def find_read_pause(self) -> float | None:
        """Return the pause between reads of the store; None to read none."""
        roles = self.find_roles()
        heard = self.reports.find_contact_ages()
        bound = self._bounds.news_seconds
        if not should_read_store(self._settings.name, roles, heard, bound):
            return None
        return MESH_READ_PAUSE_SECONDS if roles.mesh else READER_PAUSE_SECONDS

    def was_store_unavailable(self) -> bool:
        """Tell whether half of the gateways had lost the store lately.

        True if there is no other gateway: nobody can say that it was not.
        """
        others = [each.name for each in self.find_others()]
        if not others:
            return True
        oldest = asyncio.get_running_loop().time() - STORE_LOSS_MEMORY_SECONDS
        never = _Lost(0, False, 0.0)
        told = [self._lost.get(name, never) for name in others]
        away = [
            each
            for each in told
            if each.lost or (each.rank and each.at > oldest)
        ]
        return 2 * len(away) >= len(others)

    def entries(self) -> list[Address]:
        """Return where callers may connect: all gateways that serve."""
        members = self.peers.members()
        sure = [each for each in members if each.state == "alive"]
        told = [each.entry for each in sure or members if each.entry]
        return [parse_address(each) for each in told]

    def find_others(self) -> tuple[Member, ...]:
        """Return the other gateways that are held to run."""
        return tuple(
            each
            for each in self.peers.members()
            if each.name != self._settings.name
        )

    def count_gateways(self) -> int:
        """Return how many gateways there are, this one included."""
        return max(1, len(self.peers.members()))


class _Lost(NamedTuple):
    """What a gateway said last of the store, and when it was heard."""

    rank: int
    lost: bool
    at: float


_WORDS = {True: b"lost", False: b"answers"}


_LEARNERS = {
    "endpoint": PeerSync._learn_entry,
    "configuration": PeerSync._learn_version,
    "crash_seen": PeerSync._learn_break,
    "store_lost": PeerSync._learn_store_lost,
    "shift": PeerSync._learn_shift,
    "recorded": PeerSync._learn_recorded,
    "usage": PeerSync._learn_usage,
}
