"""All gateways start together, as after a loss of power everywhere."""

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
"""How far apart they listen: hosts are unequal."""
LOOK_SECONDS = 0.2
"""When each reads in the store where the others were before."""


class Start:
    """Gateways that find the places of all others in the store.

    Attributes:
        calls: Calls by sender.
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
        # Sockets that don't listen yet refuse; the stand-in says nothing.
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
        """Play until a time from the start on."""
        self.network.run(START + seconds - self.network.now)

    def count_known(self) -> int:
        """Return how many the one knows that knows fewest."""
        return min(len(self.network.serving(name)) for name in self.names)


class Played(NamedTuple):
    """What a start showed.

    Attributes:
        known: Gateways that each knew three seconds after the last look.
        calls: Most calls of one in the first five seconds.
        told: How many knew a second later of a fact told at six seconds.
    """

    known: int
    calls: int
    told: int


@cache
def play_start(gateways: int) -> Played:
    start = Start(gateways)
    start.run_until(APART_SECONDS + LOOK_SECONDS + 3 * TICK_SECONDS)
    known = start.count_known()
    start.run_until(5.0)
    calls = max(start.calls.values())
    start.run_until(6.0)
    teller = Random(1).choice(start.names)
    start.network.publish(teller, Fact("endpoint", "runner", 1))
    start.run_until(7.0)
    told = sum(bool(start.network.facts(name)) for name in start.names)
    return Played(known, calls, told)


@pytest.mark.parametrize("gateways", [9, 195, 324])
class TestStart:
    def test_each_calls_few_others(self, gateways):
        """Each called all others, and served nobody meanwhile."""
        assert play_start(gateways).calls < 120

    def test_all_know_all_soon(self, gateways):
        """Who knows only some lets through too little or too much."""
        assert play_start(gateways).known == gateways

    def test_news_reaches_all_soon_after(self, gateways):
        """A runner left seconds after the start and still got requests."""
        assert play_start(gateways).told == gateways
