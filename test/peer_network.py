"""Simulated network of gossip members in virtual time, for tests."""

import heapq
from collections.abc import Callable, Iterable
from itertools import count
from random import Random

from lagoonpost.systems.gossip import TICK_SECONDS, Gossip
from lagoonpost.systems.membership import PROBE_SECONDS, first_incarnation
from lagoonpost.systems.packet import (
    Answered,
    Call,
    ChangedRows,
    Event,
    Failed,
    Flush,
    Leave,
    Publish,
    Received,
    Reply,
    Tick,
)
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.peer import Member

FLUSH = 0.02
START = 1_000_000.0


class Network:
    """Gossip members and a network that loses, delays and repeats messages.

    Args:
        seed: Seed of all random choices.
        loss: Probability that a message is lost.
        twice: Probability that a request is delivered twice.

    Attributes:
        now: Simulated time, in seconds since the epoch.
        nodes: Gossip state machines by member name.
        places: Member names by address.
        frozen: Suspended members, with their pending events.
        cut: Returns whether the link between two members is broken.
        known: Time at which a member first received a fact.
        ranks: Highest rank of a fact at a member.
        verdicts: Received rows of members that are not alive.
    """

    def __init__(self, seed: int = 1, loss: float = 0.0, twice: float = 0.0):
        self.now = START
        self.rng = Random(seed)
        self.loss = loss
        self.twice = twice
        self.nodes: dict[str, Gossip] = {}
        self.places: dict[str, str] = {}
        self.frozen: dict[str, list[Callable[[], None]]] = {}
        self.cut: Callable[[str, str], bool] = lambda one, other: False
        self.known: dict[tuple[str, str], float] = {}
        self.ranks: dict[tuple[str, str], int] = {}
        self.verdicts: list[Member] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = count()
        self._lives = count()
        self._flushing: set[str] = set()

    def start(
        self,
        name: str,
        seeds: Iterable[str] = (),
        region: str = "north",
        domain: str = "",
        address: str = "",
    ) -> Gossip:
        place = address or f"10.0.0.1:{next(self._lives) + 1}"
        me = Member(
            name=name,
            address=place,
            role="gateway",
            region=region,
            failure_domain=domain or f"{region}-1",
            incarnation=first_incarnation(self.now),
            changed=self.now,
        )
        places = [self.nodes[seed].view.me.address for seed in seeds]
        node = Gossip(me, places, self.now)
        self.nodes[name] = node
        self.places[place] = name
        self._forget_ranks(name)
        self._tick(name, node)
        return node

    def _forget_ranks(self, name: str) -> None:
        for key in [key for key in self.ranks if key[0] == name]:
            del self.ranks[key]

    def kill(self, name: str) -> None:
        node = self.nodes.pop(name)
        del self.places[node.view.me.address]
        self.frozen.pop(name, None)

    def leave(self, name: str) -> None:
        self.step(name, Leave())
        self.run(1.0)
        self.kill(name)

    def freeze(self, name: str) -> None:
        self.frozen[name] = []

    def thaw(self, name: str) -> None:
        for action in self.frozen.pop(name):
            self._at(0.0, action)

    def publish(self, name: str, fact: Fact) -> None:
        self.step(name, Publish(fact))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def step(self, name: str, event: Event) -> Reply | None:
        node = self.nodes[name]
        reply = None
        for action in node.step(event, self.now, self.rng):
            if isinstance(action, Call):
                self._send(name, node, action)
            elif isinstance(action, ChangedRows):
                self._note(name, action)
            else:
                reply = action
        if node.view.has_updates() and name not in self._flushing:
            self._flushing.add(name)
            self._at(FLUSH, lambda: self._flush(name))
        return reply

    def _note(self, name: str, learned: ChangedRows) -> None:
        accused = [row for row in learned.members if row.state != "alive"]
        self.verdicts.extend(accused)
        for fact in learned.facts:
            self.known.setdefault((name, fact.id), self.now)
            rank = self.ranks.get((name, fact.id), 0)
            assert fact.rank >= rank, f"{fact.id} went down at {name}"
            self.ranks[name, fact.id] = fact.rank

    def _at(self, delay: float, action: Callable[[], None]) -> None:
        entry = (self.now + delay, next(self._number), action)
        heapq.heappush(self._events, entry)

    def _awake(self, name: str, node: Gossip, action: Callable[[], None]):
        if self.nodes.get(name) is not node:
            return
        if name in self.frozen:
            # The event waits, as in a socket buffer or an event loop timer.
            self.frozen[name].append(lambda: self._awake(name, node, action))
            return
        action()

    def _tick(self, name: str, node: Gossip) -> None:
        def tick() -> None:
            self.step(name, Tick())
            self._at(TICK_SECONDS, lambda: self._tick(name, node))

        self._awake(name, node, tick)

    def _flush(self, name: str) -> None:
        self._flushing.discard(name)
        if name in self.nodes:
            node = self.nodes[name]
            self._awake(name, node, lambda: self.step(name, Flush()))

    def _send(self, name: str, node: Gossip, call: Call) -> None:
        over = []

        def end(event: Event) -> None:
            if not over:
                over.append(event)
                self._awake(name, node, lambda: self.step(name, event))

        def arrive() -> None:
            target = self.places.get(call.address)
            if target is None or self.cut(name, target):
                return
            receiver = self.nodes[target]
            self._awake(target, receiver, lambda: answer(target))

        def answer(target: str) -> None:
            reply = self.step(target, Received(call.packet))
            if not self._lost():
                delay = self._delay()
                self._at(delay, lambda: end(Answered(call, reply)))

        self._at(PROBE_SECONDS, lambda: end(Failed(call)))
        copies = 2 if self.rng.random() < self.twice else 1
        for _ in range(copies):
            if not self._lost():
                self._at(self._delay(), arrive)

    def _lost(self) -> bool:
        return self.rng.random() < self.loss

    def _delay(self) -> float:
        return self.rng.uniform(0.001, 0.03)

    # Inspection of the members' tables

    def serving(self, name: str) -> set[str]:
        rows = self.nodes[name].view.members.rows.values()
        return {row.name for row in rows if row.serving}

    def facts(self, name: str) -> dict[str, Fact]:
        return self.nodes[name].view.facts.rows

    def check_converged(self) -> None:
        for name, node in self.nodes.items():
            rows = node.view.members.rows
            alive = {row.name for row in rows.values() if row.state == "alive"}
            assert alive == self.serving(name) == set(self.nodes), name
            first = next(iter(self.nodes.values()))
            assert node.view.facts.rows == first.view.facts.rows, name
            assert node.current(self.now), name


def start_settled(network: Network, size: int) -> None:
    """Start two regions of four failure domains with complete tables."""
    for number in range(size):
        region = ("north", "south")[number % 2]
        domain = f"{region}-d{number // 2 % 4}"
        network.start(f"{region}-{number}", (), region, domain)
    rows = [node.view.me for node in network.nodes.values()]
    for node in network.nodes.values():
        for row in rows:
            node.view.merge_member(row, node.view.me.name, network.now)
        node.view.take_updates()
        node.view.take_learned()


def start_cluster(
    network: Network, size: int, regions: Iterable[str] = ("north",)
) -> list[str]:
    """Start members with the first one as seed, and let them converge."""
    names: list[str] = []
    for region in regions:
        for number in range(size):
            name = f"{region}-{number}"
            domain = f"{region}-d{number % 4}"
            network.start(name, names[:1], region, domain)
            names.append(name)
    network.run(15.0)
    network.check_converged()
    return names
