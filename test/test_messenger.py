"""Tests of datagram messages and of gossip over datagrams or gRPC."""

import asyncio
from collections.abc import Callable

import msgspec
import pytest
from test_node import LEAVING, close_all, make_peers, start_all, wait_for

from bench.system import find_port
from lagoonpost.http.message import Address
from lagoonpost.peers.datagram_request import DatagramRequests
from lagoonpost.peers.message import GossipReply, GossipRequest
from lagoonpost.peers.messenger import (
    DatagramMessenger,
    decode_message,
    encode_message,
)
from lagoonpost.peers.node import Peers
from lagoonpost.systems.packet import Packet, Reply
from lagoonpost.tables.control_traffic import ControlTraffic

SENDER = Address("127.0.0.1", 9)


async def start_with_messengers(
    count: int,
    change: Callable[[DatagramMessenger], None] = lambda messenger: None,
) -> tuple[list[Peers], list[ControlTraffic]]:
    """Start peers with messengers, which ``change`` modifies before."""
    members: list[Peers] = []
    traffics = [ControlTraffic() for _ in range(count)]
    seeds: list[Address] = []
    for number, traffic in enumerate(traffics):
        messenger = DatagramMessenger(traffic)
        change(messenger)
        # Needs a port that is free for both TCP and UDP; port 0 selects
        # one that is free for TCP only.
        address = Address("127.0.0.1", find_port())
        peers = make_peers(
            f"gateway-{number}",
            seeds,
            address,
            traffic=traffic,
            messenger=messenger,
        )
        address = await peers.start()
        await messenger.start(address)
        seeds.append(address)
        assert await peers.wait_current(20)
        members.append(peers)
    return members, traffics


def count(traffic: ControlTraffic, kind: str) -> int:
    """Return the number of messages received of a kind."""
    return sum(
        messages
        for flow, messages, _ in traffic.list_flows()
        if flow == (kind, "received")
    )


async def wait_known(members: list[Peers]) -> None:
    await wait_for(
        lambda: all(p.facts("runner_leaving") == (LEAVING,) for p in members)
    )


class TestDatagramRequests:
    def test_gossip_uses_datagrams(self):
        """Guards against gossip over HTTP/2, which costs more CPU time.

        Gossip over HTTP/2 took a fifth of a gateway's busy time.
        """

        async def refuse(*call: object) -> None:
            return None

        async def run() -> None:
            members, traffics = await start_with_messengers(3)
            await wait_for(lambda: all(len(p.members()) == 3 for p in members))
            for peers in members:
                peers._transport.call = refuse
            members[0].publish(LEAVING)
            await wait_known(members)
            assert sum(count(traffic, "ask") for traffic in traffics) >= 2
            await close_all(members)

        asyncio.run(run())

    @pytest.mark.parametrize("lost", [GossipRequest, GossipReply])
    def test_lost_datagram_falls_back_to_grpc(self, lost):
        """Guards against losing an update, or a peer, with one datagram."""

        def lose(messenger: DatagramMessenger) -> None:
            send = messenger.send
            messenger.send = lambda message, targets: (
                None if isinstance(message, lost) else send(message, targets)
            )

        async def run() -> None:
            members, _ = await start_with_messengers(3, lose)
            await wait_for(lambda: all(len(p.members()) == 3 for p in members))
            members[0].publish(LEAVING)
            await wait_known(members)
            assert all(len(p.members()) == 3 for p in members)
            await close_all(members)

        asyncio.run(run())

    def test_peer_without_messenger_is_called_over_grpc(self):
        """During an upgrade, gateways of two releases run side by side."""

        async def run() -> None:
            members, _ = await start_with_messengers(2)
            old = make_peers("gateway-old", [_address(members[0])])
            await old.start()
            await wait_for(lambda: len(old.members()) == 3)
            members[1].publish(LEAVING)
            await wait_known([*members, old])
            await close_all([*members, old])

        asyncio.run(run())

    def test_gossip_works_without_messengers(self):
        async def run() -> None:
            members = await start_all(2)
            members[0].publish(LEAVING)
            await wait_known(members)
            await close_all(members)

        asyncio.run(run())


def _address(peers: Peers) -> Address:
    host, _, port = peers.me.address.rpartition(":")
    return Address(host, int(port))


class TestDatagramMessenger:
    def test_messages_round_trip(self):
        for message in (
            GossipRequest(7, Packet("gateway-1", facts=(LEAVING,), root=3)),
            GossipReply(7, Reply("gateway-2", True, differs=True)),
        ):
            assert decode_message(encode_message(message)) == message

    def test_a_kind_that_only_newer_builds_know_is_skipped(self):
        """Guards against a rolling restart for each new kind of message."""
        datagram = msgspec.msgpack.encode(("newer", {"any": 1}))
        assert decode_message(datagram) is None
        DatagramMessenger()._dispatch(datagram, SENDER)

    def test_late_reply_is_ignored(self):
        """A reply may arrive after its request has timed out."""

        async def run() -> None:
            messenger = DatagramMessenger()
            requests = DatagramRequests(messenger, lambda packet: None)
            late = encode_message(GossipReply(1, Reply("gateway-9", True)))
            messenger.send = lambda message, targets: None
            assert await requests.request(SENDER, Packet("gateway-1")) is None
            messenger._dispatch(late, SENDER)

        asyncio.run(run())

    @pytest.mark.parametrize(
        "data", [b"", b"\xc1", msgspec.msgpack.encode(("no such", {}))]
    )
    def test_invalid_datagram_is_ignored(self, data):
        taken: list[object] = []
        messenger = DatagramMessenger()
        messenger.set_handler(
            GossipRequest, lambda message, sender: taken.append(message)
        )
        messenger._dispatch(data, SENDER)
        assert not taken
