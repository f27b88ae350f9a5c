"""Letters between gateways, and requests that go by letter or by call."""

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


async def start_with_posts(
    count: int, change: Callable[[DatagramMessenger], None] = lambda post: None
) -> tuple[list[Peers], list[ControlTraffic]]:
    """Start peers that have posts, changed by a test before they start."""
    members: list[Peers] = []
    traffics = [ControlTraffic() for _ in range(count)]
    seeds: list[Address] = []
    for number, traffic in enumerate(traffics):
        post = DatagramMessenger(traffic)
        change(post)
        # Others may have a port that is free for connections alone.
        place = Address("127.0.0.1", find_port())
        peers = make_peers(
            f"gateway-{number}", seeds, place, traffic=traffic, post=post
        )
        address = await peers.start()
        await post.start(address)
        seeds.append(address)
        assert await peers.wait_current(20)
        members.append(peers)
    return members, traffics


def count(traffic: ControlTraffic, kind: str) -> int:
    """Return the messages of one kind that came."""
    return sum(
        messages
        for flow, messages, _ in traffic.list_flows()
        if flow == (kind, "received")
    )


async def wait_known(members: list[Peers]) -> None:
    await wait_for(
        lambda: all(p.facts("runner_leaving") == (LEAVING,) for p in members)
    )


class TestAsk:
    def test_news_goes_by_letter(self):
        """Calls over HTTP/2 were a fifth of a gateway's busy time."""

        async def refuse(*call: object) -> None:
            return None

        async def story() -> None:
            members, traffics = await start_with_posts(3)
            await wait_for(lambda: all(len(p.members()) == 3 for p in members))
            for peers in members:
                peers._pool.call = refuse
            members[0].publish(LEAVING)
            await wait_known(members)
            assert sum(count(each, "ask") for each in traffics) >= 2
            await close_all(members)

        asyncio.run(story())

    @pytest.mark.parametrize("lost", [GossipRequest, GossipReply])
    def test_a_call_is_made_where_a_letter_is_lost(self, lost):
        """News is lost with a datagram, or a peer is held dead for it."""

        def lose(post: DatagramMessenger) -> None:
            send = post.send
            post.send = lambda letter, targets: (
                None if isinstance(letter, lost) else send(letter, targets)
            )

        async def story() -> None:
            members, _ = await start_with_posts(3, lose)
            await wait_for(lambda: all(len(p.members()) == 3 for p in members))
            members[0].publish(LEAVING)
            await wait_known(members)
            assert all(len(p.members()) == 3 for p in members)
            await close_all(members)

        asyncio.run(story())

    def test_a_peer_without_a_post_is_called(self):
        """Gateways of two releases run side by side for a while."""

        async def story() -> None:
            members, _ = await start_with_posts(2)
            old = make_peers("gateway-old", [_address(members[0])])
            await old.start()
            await wait_for(lambda: len(old.members()) == 3)
            members[1].publish(LEAVING)
            await wait_known([*members, old])
            await close_all([*members, old])

        asyncio.run(story())

    def test_peers_without_posts_need_none(self):
        async def story() -> None:
            members = await start_all(2)
            members[0].publish(LEAVING)
            await wait_known(members)
            await close_all(members)

        asyncio.run(story())


def _address(peers: Peers) -> Address:
    host, _, port = peers.me.address.rpartition(":")
    return Address(host, int(port))


class TestPost:
    def test_letters_are_read_as_written(self):
        for letter in (
            GossipRequest(7, Packet("gateway-1", facts=(LEAVING,), root=3)),
            GossipReply(7, Reply("gateway-2", True, differs=True)),
        ):
            assert decode_message(encode_message(letter)) == letter

    def test_an_answer_to_nobody_is_passed_over(self):
        """A late answer came to a request that was given up."""

        async def story() -> None:
            post = DatagramMessenger()
            asking = DatagramRequests(post, lambda packet: None)
            late = encode_message(GossipReply(1, Reply("gateway-9", True)))
            post.send = lambda letter, targets: None
            assert await asking.ask(SENDER, Packet("gateway-1")) is None
            post._take(late, SENDER)

        asyncio.run(story())

    @pytest.mark.parametrize(
        "data", [b"", b"\xc1", msgspec.msgpack.encode(("no such", {}))]
    )
    def test_what_is_no_letter_is_passed_over(self, data):
        taken: list[object] = []
        post = DatagramMessenger()
        post.receive(
            GossipRequest, lambda letter, sender: taken.append(letter)
        )
        post._take(data, SENDER)
        assert not taken
