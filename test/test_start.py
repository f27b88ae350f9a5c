"""All gateways start together, as after a power loss."""

from collections import Counter
from functools import cache
from random import Random
from typing import NamedTuple

import pytest
from peer_network import START, Network

from lagoonpost.systems.gossip import TICK_SECONDS
from lagoonpost.systems.packet import Call
from lagoonpost.tables.fact import Fact

APART_SECONDS = 0.8
"""Spread of the start times, as hosts differ in speed."""
LOOK_SECONDS = 0.2
"""Delay until a gateway reads the others' last addresses from the store."""


class Start:
    """Gateways that read the addresses of all others from the store.

    Attributes:
        calls: Number of calls by sender.
    """

    def __init__(self, gateways: int, seed: int = 1) -> None:
        self.network = Network(seed)
        self.calls: Counter[str] = Counter()
        self.names = [f"gateway-{number:03}" for number in range(gateways)]
        self.places = {
            name: f"10.0.{number // 200}.{number % 200}:1"
            for number, name in enumerate(self.names)
        }
        rng = Random(seed)
        send = self.network._send

        def count(name: str, node: object, call: Call) -> None:
            self.calls[name] += 1
            send(name, node, call)

        self.network._send = count
        # A real socket that does not listen yet refuses connections; the
        # simulated network does not answer.
        for name in self.names:
            delay = rng.uniform(0.0, APART_SECONDS)
            self.network._at(delay, lambda n=name: self._start(n))

    def _start(self, name: str) -> None:
        place = self.places[name]
        number = int(name[-3:])
        node = self.network.start(
            name, domain=f"domain-{number % 5}", address=place
        )
        self.network._at(
            LOOK_SECONDS, lambda: node.add_seeds(self.places.values())
        )

    def run_until(self, seconds: float) -> None:
        """Run the simulation until ``seconds`` after the start."""
        self.network.run(START + seconds - self.network.now)

    def count_known(self) -> int:
        """Return the smallest number of members known to any gateway."""
        return min(len(self.network.serving(name)) for name in self.names)


class Played(NamedTuple):
    """Results of one simulated start.

    Attributes:
        known: Smallest number of members known to any gateway three seconds
            after the last read of the store.
        calls: Largest number of calls by one gateway in five seconds.
        informed: Number of gateways that received a fact within one second,
            when it was published at six seconds.
    """

    known: int
    calls: int
    informed: int


@cache
def play_start(gateways: int) -> Played:
    start = Start(gateways)
    start.run_until(APART_SECONDS + LOOK_SECONDS + 3 * TICK_SECONDS)
    known = start.count_known()
    start.run_until(5.0)
    calls = max(start.calls.values())
    start.run_until(6.0)
    publisher = Random(1).choice(start.names)
    start.network.publish(publisher, Fact("endpoint", "runner", 1))
    start.run_until(7.0)
    informed = sum(bool(start.network.facts(name)) for name in start.names)
    return Played(known, calls, informed)


@pytest.mark.parametrize("gateways", [9, 195, 324])
class TestStart:
    def test_each_calls_few_others(self, gateways):
        """Each gateway calls all others and serves no callers meanwhile."""
        assert play_start(gateways).calls < 120

    def test_all_know_all_soon(self, gateways):
        """A gateway that knows only some members misjudges its quota."""
        assert play_start(gateways).known == gateways

    def test_news_reaches_all_soon_after(self, gateways):
        """A runner that leaves after the start still gets requests."""
        assert play_start(gateways).informed == gateways
