"""Recovery of facts whose gossip push to a gateway was lost."""

import pytest
from peer_network import Network, start_settled

from lagoonpost.systems.packet import Call
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.stamp import make_stamp

GATEWAYS = 195
VICTIM = "north-20"
LOSS_SECONDS = 0.6
"""How long pushes are dropped; one hop takes at most 0.03 s."""
DELIVERY_SECONDS = 3.0
"""Time within which all gateways must have a fact: a leaving runner must get
no new requests four seconds after the store knows of it, and readers read
every 0.6 s."""


def measure(seed: int) -> float:
    """Return the seconds until the gateway receives the lost fact."""
    network = Network(seed)
    start_settled(network, GATEWAYS)
    network.run(5.0 + seed / 10)
    send = network._send

    def lose(name: str, node: object, call: Call) -> None:
        if call.address != place or not call.packet.facts:
            send(name, node, call)

    place = network.nodes[VICTIM].view.me.address
    network._send = lose
    published = network.now
    fact = Fact("endpoint", "runner", 1)
    network.publish("north-0", fact)
    network.run(LOSS_SECONDS)
    assert not network.facts(VICTIM)
    network._send = send
    network.run(10.0)
    return network.known[VICTIM, fact.id] - published


class TestLostPush:
    @pytest.mark.parametrize("seed", range(1, 9))
    def test_is_recovered_soon(self, seed):
        """One gateway sends requests to a runner for seconds after it left.

        The gateway's neighbours skipped it because it answered too slowly.
        """
        assert measure(seed) < DELIVERY_SECONDS


class TestReturnOfTheStore:
    @pytest.mark.parametrize("gateways", [9, 67, 195])
    def test_fact_of_a_later_era_reaches_resumed_members(self, gateways: int):
        """Some gateways keep a version from before a store rollback.

        They were suspended when the new version was published.
        """
        network = Network(3)
        start_settled(network, gateways)
        network.run(5.0)
        network.publish("north-0", Fact("endpoint", "r", make_stamp(0, 900)))
        network.run(5.0)
        names = sorted(network.serving("north-0"))
        suspended = names[1::2]
        for name in suspended:
            network.freeze(name)
        news = Fact("endpoint", "r", make_stamp(1, 12))
        network.publish("north-0", news)
        network.run(2.0)
        for name in suspended:
            network.thaw(name)
        network.publish(
            suspended[0], Fact("endpoint", "r", make_stamp(0, 901))
        )
        network.run(10.0)
        ranks = {network.facts(name)[news.id].rank for name in names}
        assert ranks == {news.rank}
