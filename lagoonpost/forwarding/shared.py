"""What gateways tell each other: reports, runners and configurations."""

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Sequence

import eliot
import msgspec

from lagoonpost.forwarding.belief import Belief
from lagoonpost.http.message import Address
from lagoonpost.peers.datagram import Datagrams
from lagoonpost.peers.message import Document
from lagoonpost.peers.node import Peers, PeerSettings
from lagoonpost.platform.settings import HostSettings
from lagoonpost.store.store import Condition, Store, Unavailable, Write
from lagoonpost.systems.poison import Break
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.gateway_report import (
    GatewayReport,
    RunnerWork,
    decode_report,
    encode_report,
)
from lagoonpost.tables.peer import Member

CONFIGURATION_DOCUMENT = "configuration"
DIRECT_PEERS = 32
"""Peers up to which each gets a report each time; beyond it the pause grows
with their number, so that a gateway's datagrams a second stay the same."""
REPORT_SECONDS = 0.4
"""Pause between reports. What others let through meanwhile is not known:
at 350,000 tokens a second, six times a large workspace's usual, that is
140,000 tokens of a quota; a longer pause would leave more."""
SOON_SECONDS = 0.1
"""Pause between reports while there is much to tell."""
FRESH_SECONDS = 2.0
"""Age from which a report no longer tells what its gateway does: four more
should have come since."""
KEEP_SECONDS = 60.0
"""How long a report is kept for usage that is still to be reported."""
ENTRY_SECONDS = 3600.0
"""How long the news of a runner's entry is kept."""
FETCH_PAUSE = 0.15
"""Wait for the store's feed before a peer is asked for a configuration."""
LOST_SECONDS = 4.0
"""How long a gateway's word that it had lost the store is remembered: entries
that lapsed are judged for some two seconds after the return, and gateways
notice it up to a report's pause apart."""
SEED_PREFIX = "member/"


class Shared:
    """This gateway among the others.

    Args:
        settings: Of this host.
        belief: What to keep up to date by peers' news.
        make_report: Returns the own report's contents.
        on_report: Told each new report of another gateway.
        on_break: Told each answer that broke off, at any gateway.
        rng: Source of random choices.
    """

    def __init__(
        self,
        settings: HostSettings,
        belief: Belief,
        make_report: Callable[[str, str], GatewayReport],
        on_report: Callable[[GatewayReport], None],
        on_break: Callable[[Break], None],
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._belief = belief
        self._make_report = make_report
        self._on_report = on_report
        self._on_break = on_break
        self._rng = rng
        self.run_id = secrets.token_hex(4)
        self._started = time.time() - time.monotonic()
        self.reports: dict[str, tuple[float, GatewayReport]] = {}
        self._lost_at: dict[str, float] = {}
        self._rank = 0
        self._wanted_version = 0
        self._wanted = asyncio.Event()
        self._nudged = asyncio.Event()
        self._datagrams = Datagrams(self._take_datagram)
        peer_settings = PeerSettings(
            name=settings.name,
            role="gateway",
            region=settings.region,
            failure_domain=settings.failure_domain,
            address=settings.peer,
            seeds=settings.seeds,
            entry=settings.entry,
        )
        self.peers = Peers(
            peer_settings,
            self._learn_facts,
            lambda members: None,
            self._give_documents,
            rng=rng,
        )

    async def start(self) -> None:
        """Listen for peers."""
        await self.peers.start()
        await self._datagrams.start(self._settings.peer)

    async def close(self) -> None:
        """Leave the others and stop listening."""
        await self.peers.close()
        self._datagrams.close()

    async def run(self) -> None:
        """Publish reports and fetch configurations until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._publish_reports())
            group.create_task(self._fetch_configurations())

    async def keep_seeds(self, store: Store) -> None:
        """Write the own peer address into the store and read the others'.

        Settings name three seeds at most, which may all be gone; those
        that start later are found here.
        """
        key = f"{SEED_PREFIX}{self._settings.name}"
        written = False
        while not written:
            rows = await store.read([key])
            if not isinstance(rows, Unavailable):
                outcome = await store.transact(
                    [Condition(key, rows[0].version)],
                    [Write(key, str(self._settings.peer))],
                )
                written = not isinstance(outcome, Unavailable)
            if not written:
                await asyncio.sleep(REPORT_SECONDS)
        while len(self.peers.members()) < 2:
            rows = await store.scan(SEED_PREFIX)
            if not isinstance(rows, Unavailable):
                self.peers.add_seeds([_parse(row.value) for row in rows])
            await asyncio.sleep(REPORT_SECONDS)

    # Publishing

    def publish_entry(self, key: str) -> None:
        """Tell others of a runner's entry."""
        entry = self._belief.entries[key]
        body = msgspec.msgpack.encode(entry.raw)
        self.peers.publish(
            Fact(
                "endpoint", key, entry.version, body, self._end(ENTRY_SECONDS)
            )
        )

    def publish_configuration(self) -> None:
        """Tell others which configuration is in force here."""
        self.peers.publish(Fact("configuration", "", self._belief.version))

    def publish_break(self, seen: Break) -> None:
        """Tell others of an answer that broke off."""
        key = f"{seen.fingerprint}/{seen.runner}/{seen.attempt}"
        body = msgspec.msgpack.encode(seen)
        end = self._end(KEEP_SECONDS)
        self.peers.publish(Fact("crash_seen", key, 1, body, end))

    async def _publish_reports(self) -> None:
        while True:
            report = self._make_report(self._settings.name, self.run_id)
            self._rank += 1
            report = report._replace(rank=self._rank)
            self._keep_report(report)
            targets = [_parse(each.address) for each in self.find_others()]
            self._datagrams.send(encode_report(report), targets)
            crowd = max(1.0, len(targets) / DIRECT_PEERS)
            await asyncio.sleep(SOON_SECONDS * crowd)
            await self._wait_nudge((REPORT_SECONDS - SOON_SECONDS) * crowd)

    async def _wait_nudge(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._nudged.wait()
        except TimeoutError:
            pass
        self._nudged.clear()

    def nudge(self) -> None:
        """Send the next report soon, as it has much to tell."""
        self._nudged.set()

    def _end(self, seconds: float) -> float:
        # Counted from the start and not by the time of day, which may jump.
        return self._started + time.monotonic() + seconds

    # Learning

    def _learn_facts(self, facts: Sequence[Fact]) -> None:
        for fact in facts:
            learn = _LEARNERS.get(fact.kind)
            if learn is not None:
                learn(self, fact)

    def _take_datagram(self, body: bytes) -> None:
        try:
            report = decode_report(body)
        except msgspec.DecodeError as error:
            eliot.log_message(
                message_type="lagoonpost:peers:unreadable", detail=str(error)
            )
            return
        if report.run != self.run_id and self._keep_report(report):
            self._on_report(report)

    def _keep_report(self, report: GatewayReport) -> bool:
        """Keep a report unless a later one of the same run came before."""
        key = f"{report.name}/{report.run}"
        now = asyncio.get_running_loop().time()
        held = self.reports.get(key)
        if held is not None and held[1].rank >= report.rank:
            return False
        self.reports[key] = (now, report)
        if report.store_lost:
            self._lost_at[report.name] = now
        for old, (at, _) in list(self.reports.items()):
            if at < now - KEEP_SECONDS:
                del self.reports[old]
        return True

    def _learn_entry(self, fact: Fact) -> None:
        raw = msgspec.msgpack.decode(fact.body, type=bytes | None)
        self._belief.take_entry(fact.key, fact.rank, raw, "peer")

    def _learn_break(self, fact: Fact) -> None:
        self._on_break(msgspec.msgpack.decode(fact.body, type=Break))

    def _learn_version(self, fact: Fact) -> None:
        if fact.rank > self._belief.version:
            self._wanted_version = max(self._wanted_version, fact.rank)
            self._wanted.set()

    async def _fetch_configurations(self) -> None:
        while True:
            await self._wanted.wait()
            await asyncio.sleep(FETCH_PAUSE)
            if self._belief.version >= self._wanted_version:
                self._wanted.clear()
                continue
            others = [
                member
                for member in self.peers.members()
                if member.name != self._settings.name
            ]
            if not others:
                continue
            peer = self._rng.choice(others)
            documents = await self.peers.fetch(
                peer, CONFIGURATION_DOCUMENT, self._belief.version
            )
            for document in documents or ():
                if self._belief.take_configuration(document.body, peer.name):
                    self.publish_configuration()

    def _give_documents(self, kind: str, after: int) -> Sequence[Document]:
        version = self._belief.version
        if kind != CONFIGURATION_DOCUMENT or version <= after:
            return ()
        return (Document(version, self._belief.raw_configuration),)

    # Views

    def fresh_reports(self, with_own: bool = False) -> list[GatewayReport]:
        """Return the gateways' reports that are not too old."""
        oldest = asyncio.get_running_loop().time() - FRESH_SECONDS
        return [
            report
            for at, report in self.reports.values()
            if at > oldest and (with_own or report.run != self.run_id)
        ]

    def sum_work(self) -> dict[str, RunnerWork]:
        """Return the other gateways' open work by runner."""
        total: dict[str, RunnerWork] = {}
        for report in self.fresh_reports():
            for runner, work in report.work.items():
                before = total.get(runner, RunnerWork())
                total[runner] = RunnerWork(
                    before.requests + work.requests,
                    before.tokens + work.tokens,
                )
        return total

    def was_store_away(self) -> bool:
        """Tell whether most gateways had lost the store lately.

        True if no other gateway is heard: nobody can say that it was not.
        """
        heard = {report.name for report in self.fresh_reports()}
        if not heard:
            return True
        oldest = asyncio.get_running_loop().time() - LOST_SECONDS
        lost = {name for name in heard if self._lost_at.get(name, 0) > oldest}
        return 2 * len(lost) >= len(heard)

    def entries(self) -> list[Address]:
        """Return where callers may connect: all gateways that serve."""
        members = self.peers.members()
        sure = [each for each in members if each.state == "alive"]
        return [_parse(each.entry) for each in sure or members if each.entry]

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

    def heard_part(self) -> float:
        """Return the part of all gateways that is heard, with this one."""
        heard = {report.name for report in self.fresh_reports()}
        others = {each.name for each in self.find_others()}
        return (1 + len(heard)) / (1 + len(heard | others))


def _parse(text: str) -> Address:
    host, _, port = str(text).rpartition(":")
    return Address(host, int(port))


_LEARNERS = {
    "endpoint": Shared._learn_entry,
    "configuration": Shared._learn_version,
    "crash_seen": Shared._learn_break,
}
