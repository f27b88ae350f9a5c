"""Tests with crowds of clients that don't behave, over real processes."""

import asyncio
from pathlib import Path

import pytest
from crowd_play import (
    LEGAL_BYTES,
    MANY_MEMBERS,
    MAX_FDS,
    MEMORY_MB,
    Crowd,
    Gateway,
    PeerMember,
    Play,
    frame_chunk,
    make_crowd,
    make_head,
    make_members,
    play_crowd,
    run_forwarding_gateway,
    run_product_gateway,
)

from lagoonpost.http.message import Address

pytestmark = pytest.mark.crowd

BODIES = (
    "length",
    "length by pieces",
    "large chunk",
    "small chunks",
    "few small chunks",
    "extensions",
    "complete",
    "complete in chunks",
    "announced beyond",
    "sent beyond",
    "pipelined",
    "pipelined unread",
    "trailers",
    "unread",
    "expects",
)
CONNECTIONS = ("silent", "head", "head by bytes", "body begun")


def play(run: Gateway, folder: Path, door: str, crowd: Crowd) -> Play:
    """Run a gateway, and let a crowd come to one of its doors."""

    async def scenario() -> Play:
        async with run(folder) as target:
            return await play_crowd(target, door, crowd)

    return asyncio.run(scenario())


def check(play: Play) -> None:
    """Check all that must hold of a gateway that a crowd has come to."""
    assert play.alive
    assert play.memory <= MEMORY_MB * 1_000_000, play
    assert play.descriptors <= MAX_FDS, play
    assert (play.beside, play.after) == (200, 200), play


class TestCallersOfThePlatform:
    @pytest.mark.parametrize("kind", BODIES)
    def test_bodies(self, tmp_path, kind):
        """Guards against bodies that together take a host's memory."""
        check(
            play(run_forwarding_gateway, tmp_path, "entry", make_crowd(kind))
        )

    @pytest.mark.parametrize("kind", CONNECTIONS)
    def test_connections(self, tmp_path, kind):
        """Guards against connections that take all descriptors."""
        crowd = make_crowd(kind, count=MANY_MEMBERS)
        check(play(run_forwarding_gateway, tmp_path, "entry", crowd))

    def test_all_kinds(self, tmp_path):
        """Guards against bounds that hold for each kind but not for all."""
        crowd = make_crowd(*BODIES, *CONNECTIONS, count=3 * MANY_MEMBERS // 4)
        check(play(run_forwarding_gateway, tmp_path, "entry", crowd))


class TestOtherDoorsOnThePlatform:
    @pytest.mark.parametrize("kind", ["length", "small chunks", "pipelined"])
    @pytest.mark.parametrize("door", ["directory", "ready", "metrics"])
    def test_bodies(self, tmp_path, door, kind):
        """Guards against bodies where no body is needed."""
        crowd = make_crowd(kind, path="/v1/resolve")
        check(play(run_forwarding_gateway, tmp_path, door, crowd))

    @pytest.mark.parametrize(
        "door", ["directory", "ready", "metrics", "peer", "tunnel"]
    )
    def test_connections(self, tmp_path, door):
        """Guards against connections to any door that take all descriptors."""
        crowd = make_crowd("silent", "head", count=MANY_MEMBERS)
        check(play(run_forwarding_gateway, tmp_path, door, crowd))

    def test_messages_of_peers(self, tmp_path):
        """Guards against a message between gateways that never ends."""
        crowd = Crowd((PeerMember(),))
        check(play(run_forwarding_gateway, tmp_path, "peer", crowd))


class TestCallersOfTheProduct:
    PATH = "/v1/services/booking/bookings"

    @pytest.mark.parametrize(
        "kind",
        [
            "length",
            "small chunks",
            "complete",
            "complete in chunks",
            "sent beyond",
            "pipelined",
        ],
    )
    def test_bodies(self, tmp_path, kind):
        """Guards against bodies that together take a host's memory."""
        crowd = make_crowd(kind, path=self.PATH, key="demo-key")
        check(play(run_product_gateway, tmp_path, "entry", crowd))

    def test_connections(self, tmp_path):
        """Guards against connections that take all descriptors."""
        crowd = make_crowd("silent", "head", count=MANY_MEMBERS)
        check(play(run_product_gateway, tmp_path, "entry", crowd))

    def test_messages_of_peers(self, tmp_path):
        """Guards against a message between gateways that never ends."""
        crowd = Crowd((PeerMember(),))
        check(play(run_product_gateway, tmp_path, "peer", crowd))


class TestOneCaller:
    """A single request inside the limits is served in calm."""

    @pytest.mark.parametrize(
        "body",
        [
            b"a" * LEGAL_BYTES,
            frame_chunk(b"a" * LEGAL_BYTES) + b"0\r\n\r\n",
            b"1\r\na\r\n" * LEGAL_BYTES + b"0\r\n\r\n",
            frame_chunk(b"a" * LEGAL_BYTES) + b"0\r\nx: y\r\n\r\n",
        ],
        ids=["length", "chunk", "small chunks", "trailer"],
    )
    def test_is_served(self, tmp_path, body):
        """Guards against bounds that a legal request meets in calm."""
        is_whole = len(body) == LEGAL_BYTES
        framing = (
            f"content-length: {LEGAL_BYTES}"
            if is_whole
            else "transfer-encoding: chunked"
        )

        async def call(address: Address) -> bytes:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(make_head(framing, "/check/1"))
            writer.write(body)
            line = await reader.readline()
            writer.transport.abort()
            return line

        async def scenario() -> bytes:
            async with run_forwarding_gateway(tmp_path) as target:
                return await call(target.doors["entry"])

        assert asyncio.run(scenario()).split()[1] == b"200"

    def test_names_each_kind(self):
        """Guards against a kind of member that no test plays."""
        assert {*BODIES, *CONNECTIONS} == set(make_members())
