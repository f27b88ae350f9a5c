"""News that a gateway was pushed and did not get."""

import pytest
from peer_network import Network, start_settled

from lagoonpost.systems.packet import Call
from lagoonpost.tables.fact import Fact

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
    def test_is_made_good_soon(self, seed):
        """A runner that had left got requests of one gateway for seconds.

        Its neighbours had passed it over as too slow to answer.
        """
        assert measure(seed) < NEWS_SECONDS
