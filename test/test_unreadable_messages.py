"""Messages of peers, runners and the cloud that can't be read, by source."""

import asyncio
from collections import Counter
from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from grpclib.exceptions import GRPCError
from hypothesis import given, settings
from hypothesis import strategies as st
from test_node import make_peers

from lagoonpost.caller.client import Caller, _Draft
from lagoonpost.forwarding.news_fact import read_news
from lagoonpost.forwarding.peer_sync import PeerSync
from lagoonpost.forwarding.usage_gossip import UsageGossip
from lagoonpost.forwarding.version_shifts import VersionShifts
from lagoonpost.gateway.moves import VersionMoves
from lagoonpost.gateway.peering import Peering
from lagoonpost.gateway.prompt import InvalidCall, read_chat_call
from lagoonpost.gateway.quarantine import QuarantineTracker
from lagoonpost.gateway.tickets import TicketHandlers
from lagoonpost.http.client import CallFailedError
from lagoonpost.http.events import ServerEvent
from lagoonpost.http.message import Address, Response
from lagoonpost.peers.codec import MessagePackCodec
from lagoonpost.peers.message import (
    Document,
    FetchReply,
    FetchRequest,
    HandOver,
)
from lagoonpost.runners.engine import fetch_cache_events, fetch_load
from lagoonpost.runners.kv import KvMover
from lagoonpost.runners.sse import EngineError, EventReader
from lagoonpost.store.era import EraTracker
from lagoonpost.store.reclaim_notices import fetch_notices
from lagoonpost.store.store import Unavailable
from lagoonpost.store.table import TableStore
from lagoonpost.systems.evacuation import PendingTransfer
from lagoonpost.systems.gossip import Gossip
from lagoonpost.systems.packet import Packet, Received, Reply
from lagoonpost.systems.shift import ExposureBounds
from lagoonpost.tables.entity import Runner
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.peer import Member
from lagoonpost.tables.stamp import MAX_ERA

ADDRESS = Address("127.0.0.1", 9)
NESTED = b'{"a":' * 5_000
BODIES = (b"", b"\xc1", b"\xff\xfe", b"\x91" * 5_000, b"\xa1x", NESTED)
KINDS = ("endpoint", "evacuation", "poison_verdict", "shift", "recorded")
NEWS = ("crash", "cut-off", "sound", "verdict", "departure", "other")


def make_member(**fields: Any) -> Member:
    row = Member("b", "127.0.0.1:9", "gateway", "north", "north-1", 1)
    return row._replace(**fields)


class Sync:
    """What a gateway does with facts, and what they have changed."""

    def __init__(self) -> None:
        self.changes: Counter[str] = Counter()
        note = self.note
        self.shifts = VersionShifts(
            ExposureBounds(share=0.1, slack=5),
            Random(1),
            lambda fact: note("published"),
            lambda: 1.8e9,
        )
        self.gossip = UsageGossip(
            "a",
            lambda fact: note("published"),
            lambda seconds: 1.8e9 + seconds,
            lambda name, age: note("recorded"),
        )
        self.sync: Any = SimpleNamespace(
            _on_era=lambda era: None,
            _cluster=SimpleNamespace(
                apply_entry=lambda *args: note("entry"),
                apply_evacuation=lambda *args: note("evacuation"),
            ),
            _on_crash_news=lambda news: note("crash"),
            _on_departure=lambda news: note("departure"),
            _on_shift=self.shifts.handle_fact,
            usage_gossip=self.gossip,
        )

    def note(self, kind: str) -> bool:
        self.changes[kind] += 1
        return False

    def handle(self, *facts: Fact) -> None:
        PeerSync._handle_facts(self.sync, facts)


class TestFacts:
    @pytest.mark.parametrize("body", BODIES)
    @pytest.mark.parametrize("kind", KINDS)
    def test_the_other_facts_of_a_message_hold(self, kind: str, body: bytes):
        """Guards against facts that are lost beside one that is unreadable."""
        sync = Sync()
        good = Fact("usage", "7", 1, msgspec.msgpack.encode({"pottery": 3}))
        sync.handle(Fact(kind, "x/y", 1, body), good)
        assert sync.gossip.usage == {7: {"pottery": 3}}
        assert not sync.changes

    @settings(max_examples=300)
    @given(
        st.sampled_from((*KINDS, "usage", "of a newer build")),
        st.one_of(st.text(max_size=20), st.sampled_from(NEWS)),
        st.one_of(
            st.binary(max_size=60),
            st.recursive(
                st.none() | st.booleans() | st.floats() | st.text(max_size=5),
                lambda inner: st.lists(inner, max_size=4),
            ).map(msgspec.msgpack.encode),
        ),
    )
    def test_any_fact_is_read_or_dropped(self, kind, key, body):
        """Guards against a fact that ends its reader."""
        Sync().handle(Fact(kind, key, 1, body))

    @pytest.mark.parametrize("kind", NEWS)
    @pytest.mark.parametrize("body", BODIES)
    def test_news_that_cannot_be_read_is_none(self, kind: str, body: bytes):
        """Guards against crash news that ends the gateways that hear it."""
        assert read_news(Fact("poison_verdict", f"{kind}/x", 1, body)) is None

    @pytest.mark.parametrize("key", ["", "x", "9" * 5_000])
    def test_the_counts_of_no_window_are_dropped(self, key: str):
        """Guards against counts under a key that is no number."""
        sync = Sync()
        body = msgspec.msgpack.encode({"pottery": 3})
        sync.handle(Fact("usage", key, 1, body))
        assert sync.gossip.usage == {}

    def test_counts_that_are_known_stay(self):
        """Guards against a window whose counts a spoilt fact replaces."""
        sync = Sync()
        sync.gossip.publish_usage(7, {"pottery": 3})
        sync.handle(Fact("usage", "7", 2, b"\xc1"))
        assert sync.gossip.usage == {7: {"pottery": 3}}

    def test_an_era_of_which_no_stamp_can_be_made_is_passed_over(self):
        """Guards against stamps that no message to a gateway can hold."""
        eras = EraTracker()
        eras.note(MAX_ERA + 1)
        assert eras.era == 0


class TestCalls:
    @settings(max_examples=300)
    @given(
        st.sampled_from((Packet, Reply, FetchRequest, FetchReply, HandOver)),
        st.one_of(st.binary(max_size=80), st.sampled_from(BODIES)),
    )
    def test_a_body_that_cannot_be_read_fails_the_call(self, type_, body):
        """Guards against a reply that ends the task of its caller."""
        try:
            message = MessagePackCodec().decode(body, type_)
        except GRPCError:
            return
        assert isinstance(message, type_)

    def test_a_fact_of_a_newer_build_spoils_no_message(self):
        """Guards against messages refused for one kind of fact in them."""
        packet = Packet("b", facts=(Fact("of a newer build", "k", 1),))
        codec = MessagePackCodec()
        assert codec.decode(codec.encode(packet, Packet), Packet) == packet

    def test_another_number_of_buckets_is_answered(self):
        """Guards against gossip that ends between two builds."""
        gossip = Gossip(make_member(name="a"), (), 1.8e9)
        packet = Packet("b", buckets=(1, 2, 3))
        actions = gossip.step(Received(packet), 1.8e9, Random(1))
        assert any(isinstance(each, Reply) for each in actions)

    def test_members_whose_address_cannot_be_read_are_dropped(self):
        """Guards against reports to all gateways that end for one row."""

        async def play() -> list[str]:
            peers = make_peers("a", ())
            await peers.start()
            rows = (
                make_member(name="c", address="host:1"),
                make_member(name="d", address=""),
                make_member(name="e", entry="127.0.0.1:0"),
                make_member(),
            )
            peers._receive(Packet("b", members=rows))
            names = [row.name for row in peers.members()]
            await peers.close()
            return names

        assert asyncio.run(play()) == ["a", "b"]

    def test_pages_without_documents_end_a_fetch(self):
        """Guards against a fetch that ends its process, or never ends."""

        async def call(*args: object) -> FetchReply:
            return FetchReply((), more=True)

        async def play() -> tuple[Document, ...] | None:
            transport: Any = SimpleNamespace(call_apart=call)
            peers = make_peers("a", (), transport=transport)
            return await peers.fetch(make_member(), FetchRequest("x", 0))

        assert asyncio.run(play()) == ()


def answer_with(*bodies: bytes) -> Any:
    """Return a client whose calls are answered with these bodies."""
    left = list(bodies)

    async def call(*args: object, **more: object) -> Response:
        answer = left.pop(0)
        length = ("content-length", str(len(answer)))
        return Response(200, (length,), answer)

    return SimpleNamespace(call=call)


class TestRunners:
    @pytest.mark.parametrize("body", (*BODIES, b"{}", b"[]"))
    def test_a_move_ends_whatever_an_import_answers(self, body: bytes):
        """Guards against an answer that waits for ever for its KV cache."""

        async def play() -> list[bool]:
            mover = KvMover(answer_with(b"kv", body, b"kv", b'{"tokens": 3}'))
            later = asyncio.get_running_loop().time() + 60.0
            runners = [
                Runner(name, f"127.0.0.1:{port}", "chat", "v", "h", "d")
                for name, port in (("from", 1), ("to", 2))
            ]
            moves = (
                mover.move(PendingTransfer(name, 9_000, later), *runners)
                for name in ("r-1", "r-2")
            )
            async with asyncio.timeout(20):
                return await asyncio.gather(*moves)

        assert sorted(asyncio.run(play())) == [False, True]

    @pytest.mark.parametrize("body", BODIES)
    def test_a_report_that_cannot_be_read_is_none(self, body: bytes):
        """Guards against a load report that ends the poll of a runner."""

        async def play() -> list[object]:
            client = answer_with(body, body)
            return [
                await fetch_load(client, ADDRESS, "r", 0.1, 1.0),
                await fetch_cache_events(client, ADDRESS, 0),
            ]

        assert asyncio.run(play()) == [None, None]

    @pytest.mark.parametrize(
        "data", [NESTED, b'{"error": "\xff"}', b"[]", b"\xff"]
    )
    def test_an_event_that_cannot_be_read_is_an_error(self, data: bytes):
        """Guards against an event that ends the relay of its answer."""
        events = EventReader().feed(b"data: " + data + b"\n\n")
        assert isinstance(events[0], EngineError)


class TestCloudAndStore:
    @pytest.mark.parametrize("body", BODIES)
    def test_notices_that_cannot_be_read_are_none(self, body: bytes):
        """Guards against notices that end the watch of reclaims."""
        found = asyncio.run(fetch_notices(answer_with(body), ADDRESS))
        assert isinstance(found, Unavailable)

    @pytest.mark.parametrize("body", BODIES)
    def test_rows_that_cannot_be_read_are_no_answer(self, body: bytes):
        """Guards against an answer that ends a reader of the table service."""
        store = TableStore(answer_with(body), ADDRESS)
        assert isinstance(asyncio.run(store.read(["k"])), Unavailable)


class TestCallerLibrary:
    @pytest.mark.parametrize("kind", ["message", "moved"])
    @pytest.mark.parametrize(
        "data",
        (
            *BODIES,
            b"[]",
            b'{"choices": []}',
            b'{"entry": ""}',
            b'{"entry": 1}',
        ),
    )
    def test_an_event_that_cannot_be_read_breaks_the_stream(self, kind, data):
        """Guards against a draft that is not resumed for one event."""
        event = ServerEvent("7", kind, data)
        with pytest.raises(CallFailedError):
            _Draft({}).handle_event(event)

    def test_entries_that_cannot_be_read_are_asked_for_elsewhere(self):
        """Guards against a caller that ends for one gateway's list."""

        async def play() -> list[Address]:
            caller = Caller([ADDRESS, ADDRESS], "key")
            entry = {"name": "a", "region": "r", "failure_domain": "d"}
            bad, good = (
                msgspec.json.encode(
                    {"entries": [entry | {"address": text}], "ttl": 1.0}
                )
                for text in ("host:1", "127.0.0.1:80")
            )
            caller._client = answer_with(bad, good)
            return await caller.list_entries()

        assert asyncio.run(play()) == [Address("127.0.0.1", 80)]


class TestCallers:
    @pytest.mark.parametrize("body", BODIES)
    def test_a_body_that_cannot_be_read_is_refused(self, body: bytes):
        """Guards against a caller's body that gets no answer."""
        assert isinstance(read_chat_call(body), InvalidCall)
        api: Any = SimpleNamespace()
        request: Any = SimpleNamespace(body=body)
        answer = asyncio.run(TicketHandlers.submit(api, request, "operator"))
        assert answer.status == 400


class TestPeering:
    """Facts and calls between gateways of the product's own interface."""

    @pytest.mark.parametrize("body", BODIES)
    @pytest.mark.parametrize("key", ["", "x", "a/b/c/d"])
    def test_losses_that_cannot_be_read_are_dropped(self, key, body):
        """Guards against a fact that ends the handling of those after it."""
        gateway: Any = SimpleNamespace()
        tracker = QuarantineTracker(gateway, lambda fact: None)
        tracker._update_verdicts = lambda service: None
        tracker.handle_fact(Fact("crash_seen", key, 1, body))
        tracker.handle_fact(Fact("poison_verdict", key, 1, body))

    @pytest.mark.parametrize("body", BODIES)
    def test_facts_of_moves_that_cannot_be_read_are_dropped(self, body):
        """Guards against a move that no gateway goes on with."""
        gateway: Any = SimpleNamespace(
            _rollouts={}, _pending_rows={}, _pending_reports={}
        )
        VersionMoves._handle_row(gateway, Fact("move_begun", "s/1", 1, body))
        evidence = Fact("move_evidence", "s/1/2/gateway-1", 1, body)
        VersionMoves._handle_report(gateway, evidence)
        assert not gateway._pending_rows
        assert not gateway._pending_reports

    @pytest.mark.parametrize("body", BODIES)
    def test_a_hand_over_that_cannot_be_read_is_refused(self, body: bytes):
        """Guards against a request accepted that nobody can go on with."""
        peering: Any = SimpleNamespace(
            _gateway=SimpleNamespace(phase="serving", handed_over={})
        )
        request = HandOver("r", "w", "s", body, (), "", 9.0, True)
        accepted = asyncio.run(Peering._accept_hand_over(peering, request))
        assert accepted is False

    @pytest.mark.parametrize("body", BODIES)
    def test_a_snapshot_that_cannot_be_read_is_none(self, body: bytes):
        """Guards against a start that ends for one peer's snapshot."""

        async def fetch(*args: object) -> tuple[Document, ...]:
            return (Document(1, body),)

        peering: Any = SimpleNamespace(peers=SimpleNamespace(fetch=fetch))
        found = asyncio.run(Peering._fetch_snapshot(peering, make_member()))
        assert found is None
