"""Fetches configurations that this gateway lacks, from peers or the store."""

import asyncio
import zlib
from collections.abc import Awaitable, Callable, Collection

import eliot

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.peers.message import Document, FetchRequest
from lagoonpost.peers.node import Peers
from lagoonpost.store.store import Unavailable
from lagoonpost.systems.version_fetch import (
    HEDGE_SECONDS,
    AskPeer,
    AskStore,
    Step,
    VersionFetch,
    Wait,
)
from lagoonpost.tables.peer import Member

CONFIGURATION_DOCUMENT = "configuration"
FETCH_TIMEOUT_SECONDS = 2.0
"""Timeout of a fetch. On a full link a body takes seconds, and starting again
would take even longer; other peers are asked meanwhile."""
HELD_SECONDS = 2 * HEDGE_SECONDS
"""Longest wait for a version at a peer that is itself about to get it."""
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024
"""Largest configuration to unpack."""

ReadConfiguration = Callable[[], Awaitable[bytes | Unavailable | None]]


class ConfigurationFetcher:
    """Gets the newest configuration that other gateways know of.

    Args:
        cluster: State in which configurations come into force.
        peers: Fetches documents.
        find_member: Returns the row of a gateway, or None.
        choose_peer: Returns a gateway that is none of the given ones.
        reads_store: Tells whether this gateway follows the store itself.
        read_configuration: Reads the configuration from the store.
        publish: Tells the others which version is in force.
    """

    def __init__(
        self,
        cluster: ClusterState,
        peers: Peers,
        find_member: Callable[[str], Member | None],
        choose_peer: Callable[[Collection[str]], str | None],
        reads_store: Callable[[], bool],
        read_configuration: ReadConfiguration,
        publish: Callable[[], None],
    ) -> None:
        self._cluster = cluster
        self._peers = peers
        self._find_member = find_member
        self._choose_peer = choose_peer
        self._reads_store = reads_store
        self._read_configuration = read_configuration
        self._publish = publish
        self._fetch = VersionFetch()
        self._changed = asyncio.Event()
        self._applied = asyncio.Event()
        self._packed = Document(0, b"")
        cluster.on_configuration.append(lambda routes: self._note_in_force())

    def note_version(self, version: int, member: str, message: str) -> None:
        """Note that a gateway knows of a version.

        Args:
            version: The version.
            member: Name of the gateway.
            message: Kind of message that told it.
        """
        now = asyncio.get_running_loop().time()
        if self._fetch.note_version(version, member, now):
            eliot.log_message(
                message_type="lagoonpost:configuration:heard",
                version=version,
                member=member,
                message=message,
            )
            self._changed.set()

    def _note_in_force(self) -> None:
        self._fetch.note_in_force(self._cluster.version)
        self._changed.set()
        self._applied.set()
        self._applied = asyncio.Event()

    def find_wanted_seconds(self) -> float:
        """Return for how long a newer version has been known of."""
        now = asyncio.get_running_loop().time()
        return self._fetch.find_wanted_seconds(now)

    # Answers to peers

    def list_documents(self, after: int) -> tuple[Document, ...]:
        """Return the configuration in force, packed, if it is newer."""
        version = self._cluster.version
        if version <= after:
            return ()
        if self._packed.number != version:
            raw = self._cluster.raw_configuration
            self._packed = Document(version, zlib.compress(raw, 1))
        return (self._packed,)

    async def wait_for(self, request: FetchRequest) -> None:
        """Wait until this gateway has the version that a peer asks for."""
        if request.kind != CONFIGURATION_DOCUMENT:
            return
        try:
            async with asyncio.timeout(min(request.wait, HELD_SECONDS)):
                while self._cluster.version < request.least:
                    await self._applied.wait()
        except TimeoutError:
            pass

    # Fetches

    async def run(self) -> None:
        """Fetch wanted versions until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._changed.clear()
                step = self._decide()
                while isinstance(step, AskPeer | AskStore):
                    group.create_task(self._take(step))
                    step = self._decide()
                await self._wait(step)

    def _decide(self) -> Step | None:
        now = asyncio.get_running_loop().time()
        return self._fetch.decide(now, self._reads_store(), self._choose_peer)

    async def _wait(self, step: Wait | None) -> None:
        try:
            async with asyncio.timeout_at(step.until if step else None):
                await self._changed.wait()
        except TimeoutError:
            pass

    async def _take(self, step: AskPeer | AskStore) -> None:
        loop = asyncio.get_running_loop()
        started, wanted_before = loop.time(), self.find_wanted_seconds()
        if isinstance(step, AskPeer):
            source = step.peer
            outcome = await self._ask_peer(source)
            self._fetch.note_peer_ended(source, loop.time())
        else:
            source = "store"
            outcome = await self._ask_store()
            self._fetch.note_store_ended()
        seconds = loop.time() - started
        eliot.log_message(
            message_type="lagoonpost:configuration:fetch",
            peer=source,
            outcome=outcome,
            seconds=round(seconds, 3),
            wanted=self._fetch.wanted,
            in_force=self._cluster.version,
            wanted_seconds=round(wanted_before + seconds, 3),
        )
        self._changed.set()

    async def _ask_peer(self, name: str) -> str:
        """Fetch from a peer and return the outcome."""
        member = self._find_member(name)
        if member is None:
            return "unknown"
        request = FetchRequest(
            CONFIGURATION_DOCUMENT,
            self._cluster.version,
            self._fetch.wanted,
            HELD_SECONDS,
        )
        documents = await self._peers.fetch(
            member, request, FETCH_TIMEOUT_SECONDS
        )
        if documents is None:
            return "failed"
        if not documents:
            return "has none newer"
        raw = unpack(documents[-1].body)
        if raw is None:
            return "unreadable"
        return self._apply(raw, name)

    async def _ask_store(self) -> str:
        """Read from the store and return the outcome."""
        raw = await self._read_configuration()
        if isinstance(raw, Unavailable):
            return "failed"
        return "has none" if raw is None else self._apply(raw, "store")

    def _apply(self, raw: bytes, source: str) -> str:
        if not self._cluster.apply_configuration(raw, source):
            return "has none newer"
        self._publish()
        return f"version {self._cluster.version}"


def unpack(body: bytes) -> bytes | None:
    """Return a packed configuration, or None if it can't be read."""
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(body, MAX_CONFIGURATION_BYTES)
    except zlib.error:
        return None
    return raw if unpacker.eof else None
