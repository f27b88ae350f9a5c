"""Recovery of facts whose gossip push to a gateway was lost."""

import pytest
from peer_network import Network, start_settled

from lagoonpost.systems.packet import (
    Call,
    Compared,
    Failed,
    Packet,
    Unanswered,
)
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


class TestDeadNeighbour:
    """Pushes that follow each other to a member that is gone."""

    @pytest.mark.parametrize("delayed", [True, False])
    def test_each_push_goes_to_the_next_member(self, delayed):
        """Some gateways miss a fact for seconds.

        Several pushes were under way to a member that was gone. Only the
        first that failed was sent to the member that replaces it.
        """
        network = Network()
        start_settled(network, 40)
        node = network.nodes["north-0"]
        target = node.view.neighbours(network.now)[0]
        facts = [Fact("endpoint", f"r-{number}", 1) for number in range(3)]
        sent = []
        for fact in facts:
            packet = Packet("north-0", facts=(fact,))
            call = node.view.send(target, packet, "push", network.now)
            event = Unanswered(call) if delayed else Failed(call)
            for action in node.step(event, network.now, network.rng):
                if isinstance(action, Call) and action.packet.facts:
                    sent.extend(action.packet.facts)
                    assert action.target != target
        assert sent == facts

    def test_a_push_is_not_sent_on_twice(self):
        network = Network()
        start_settled(network, 40)
        node = network.nodes["north-0"]
        target = node.view.neighbours(network.now)[0]
        packet = Packet("north-0", facts=(Fact("endpoint", "r", 1),))
        call = node.view.send(target, packet, "push", network.now)
        actions = node.step(Failed(call, True), network.now, network.rng)
        assert not any(
            isinstance(each, Call) and each.packet.facts for each in actions
        )


class TestComparison:
    """Members compare their recent facts with those of a hub."""

    def test_a_lacking_fact_is_asked_for(self):
        """A fact is lost to a member for which all its copies were lost."""
        network = Network()
        start_settled(network, 40)
        network.cut = lambda one, other: VICTIM in (one, other)
        network.publish("north-0", Fact("endpoint", "r", 1))
        network.run(0.6)
        network.cut = lambda one, other: False
        recent = network.nodes["north-0"].view.list_recent_facts(network.now)
        network.step(VICTIM, Compared("north-0", recent))
        network.run(0.2)
        assert "endpoint/r" not in network.facts(VICTIM)
        network.step(VICTIM, Compared("north-0", recent))
        network.run(0.2)
        assert "endpoint/r" in network.facts(VICTIM)

    def test_facts_that_are_on_their_way_cause_no_comparison(self):
        """Each new fact makes all members compare all tables with a hub."""
        network = Network()
        start_settled(network, 40)
        network.publish("north-0", Fact("endpoint", "r", 1))
        network.run(0.1)
        view = network.nodes["north-0"].view
        assert view.list_recent_facts(network.now) == ()
        network.run(1.0)
        recent = view.list_recent_facts(network.now)
        assert recent
        for name, node in network.nodes.items():
            event = Compared("north-0", recent)
            actions = node.step(event, network.now, network.rng)
            assert not actions, name
