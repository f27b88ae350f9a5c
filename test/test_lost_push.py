"""News that a gateway was pushed and did not get."""

import pytest
from peer_network import Network, start_settled

from lagoonpost.systems.packet import Call
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.stamp import make_stamp

GATEWAYS = 195
DEAF = "north-20"
LOSS_SECONDS = 0.6
"""How long nothing that is pushed arrives: a hop takes 0.03 s at most."""
NEWS_SECONDS = 3.0
"""In which news has to be everywhere: a runner that leaves is to get nothing
new four seconds after the store knows, and readers read each 0.6 s."""


def measure(seed: int) -> float:
    """Return the seconds until the gateway that was not told knows."""
    network = Network(seed)
    start_settled(network, GATEWAYS)
    network.run(5.0 + seed / 10)
    send = network._send

    def lose(name: str, node: object, call: Call) -> None:
        if call.address != place or not call.packet.facts:
            send(name, node, call)

    place = network.nodes[DEAF].view.me.address
    network._send = lose
    told = network.now
    fact = Fact("endpoint", "runner", 1)
    network.publish("north-0", fact)
    network.run(LOSS_SECONDS)
    assert not network.facts(DEAF)
    network._send = send
    network.run(10.0)
    return network.known[DEAF, fact.id] - told


class TestLostPush:
    @pytest.mark.parametrize("seed", range(1, 9))
    def test_is_recovered_soon(self, seed):
        """A runner that had left got requests of one gateway for seconds.

        Its neighbours had passed it over as too slow to answer.
        """
        assert measure(seed) < NEWS_SECONDS


class TestReturnOfTheStore:
    @pytest.mark.parametrize("gateways", [9, 67, 195])
    def test_fact_of_a_later_era_reaches_resumed_members(self, gateways: int):
        """Guards against gateways that keep to versions from before."""
        network = Network(3)
        start_settled(network, gateways)
        network.run(5.0)
        network.publish("north-0", Fact("endpoint", "r", make_stamp(0, 900)))
        network.run(5.0)
        names = sorted(network.serving("north-0"))
        away = names[1::2]
        for name in away:
            network.freeze(name)
        news = Fact("endpoint", "r", make_stamp(1, 12))
        network.publish("north-0", news)
        network.run(2.0)
        for name in away:
            network.thaw(name)
        network.publish(away[0], Fact("endpoint", "r", make_stamp(0, 901)))
        network.run(10.0)
        ranks = {network.facts(name)[news.id].rank for name in names}
        assert ranks == {news.rank}
