"""Spreads facts and membership: one member's part, without a network.

Pattern of load: few news on a quiet day, bursts when a failure domain is
reclaimed, tables that differ by much after a partition. News is pushed at
once over the few neighbours of the rings, each member passing each row on
once; so a fact costs every member the same however many there are, and
takes as many hops as the logarithm of their number. What a push loses, the
digest in each probe finds within seconds, and only the buckets that differ
are sent. Pushing without digests would lose facts for good; exchanging
whole tables would take more than 3 KB a second at 320 members.
"""

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any

from lagoonpost.systems.membership import INDIRECT_PROBES
from lagoonpost.systems.packet import (
    Action,
    Answered,
    Call,
    Event,
    Failed,
    Flush,
    Leave,
    Packet,
    Publish,
    Purpose,
    Received,
    Reply,
    Tick,
)
from lagoonpost.systems.view import View
from lagoonpost.tables.peer import Member

# Ticks come every second. A process that saw none for three was frozen,
# or so busy that its facts may be as old.
TICK_SECONDS = 1.0
STALL_SECONDS = 3.0
# A tick that is later than this shows that this member is itself too slow to
# tell whether others are: their answers wait unread in its sockets. All that
# start together are slow for a while, and if they suspected each other, the
# verdicts and their refutations would keep them slow.
LATE_TICK_SECONDS = 0.3
OVERLOADED_SECONDS = 3.0
# One member in HEAL_TICKS tries each second one that is held dead: 32
# members a second at 320, so that a healed partition is found at once.
HEAL_INTERVAL_TICKS = 10
# Members of other groups that are called in a second, where groups have
# started apart. One that answers joins two groups whole, and hosts that start
# together after a loss of power find all the others' places in the store: if
# each called each, 195 of them would make 38,000 calls.
MAX_SEED_CALLS_PER_TICK = 3
# Peers that are themselves not current count as well once this many have
# been asked, else a whole fleet that starts together would wait for ever.
MIN_SYNC_ANSWERS = 3
# News that is on its way makes digests differ for some 100 ms; only the
# second difference in a row at a neighbour means that a push was lost.
DIFFERENCES_BEFORE_SYNC = 2


class Gossip:
    """What one member does about each event.

    Attributes:
        view: The member's tables.
    """

    def __init__(
        self, me: Member, seeds: Sequence[str], started: float
    ) -> None:
        self._seeds = [seed for seed in seeds if seed != me.address]
        self._untried = set(self._seeds)
        self._unmet: set[str] = set()
        self.view = View(me, not self._seeds, started)
        self._differences: dict[str, int] = {}
        self._turn = 0
        self._last_tick = started
        self._busy_until = started
        self._settled_after = started
        self._answers: set[str] = set()

    def current(self, now: float) -> bool:
        """Return whether the facts are those of the others.

        False after a start or a freeze, until an exchange has succeeded.
        Holds from the first instruction after a thaw, as it compares
        ``now`` with the last tick, before any event has run.
        """
        return self.view.settled and now - self._last_tick <= STALL_SECONDS

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Take more addresses at which members may be found.

        Those of nobody who is known to serve are called at the next ticks,
        some at each. Members that start together find only some of the
        others at their seeds, as not all listen yet, and are settled among
        themselves.
        """
        for address in addresses:
            if address == self.view.me.address:
                continue
            if address not in self._seeds:
                self._seeds.append(address)
            self._unmet.add(address)

    def step(self, event: Event, now: float, rng: Random) -> list[Action]:
        """Take one event and return what to do.

        Args:
            event: What happened.
            now: Time in seconds since the epoch, from a clock that is
                never set back and that goes on while the host sleeps.
            rng: Source of random choices.
        """
        actions = self._check_stall(now)
        handler = _HANDLERS[type(event)]
        actions.extend(handler(self, event, now, rng))
        learned = self.view.take_learned()
        if learned:
            actions.append(learned)
        return actions

    def _check_stall(self, now: float) -> list[Action]:
        if now - self._last_tick <= STALL_SECONDS:
            return []
        # A process frozen for longer than suspicion is held dead by then;
        # it learns so from its first exchange, and refutes.
        self._last_tick = now
        self._settled_after = now
        self._answers.clear()
        self._untried.update(self._seeds)
        self.view.settled = not self._seeds and not self.view.find_others()
        self.view.detector.reset()
        return self._call_each(self.view.neighbours(now), "sync", now)

    def _tick(self, event: Tick, now: float, rng: Random) -> list[Action]:
        view = self.view
        if now - self._last_tick > TICK_SECONDS + LATE_TICK_SECONDS:
            self._busy_until = now + OVERLOADED_SECONDS
            view.detector.drop_indirect_probes()
        self._last_tick = now
        view.drop_expired(now)
        for row in view.detector.update_states(view.members.rows, now):
            view.adopt_member(row, view.me.name, now)
        if view.me.state == "left":
            # Nobody pushes to it any more, yet it still serves what it
            # has accepted; so it asks.
            return self._call_next("sync", now)
        actions = self._call_next("probe", now)
        if not view.settled:
            actions.extend(self._join(now))
        actions.extend(self._meet(now, rng))
        if not view.find_others() or rng.randrange(HEAL_INTERVAL_TICKS) == 0:
            actions.extend(self._heal(now, rng))
        return actions

    def _call_next(self, purpose: Purpose, now: float) -> list[Action]:
        names = self.view.neighbours(now)
        if not names:
            return []
        self._turn += 1
        chosen = {names[self._turn % len(names)]}
        # Who differed is asked again at once: in its turn that would be
        # seconds later, and lost news would be known as late.
        chosen.update(name for name in names if name in self._differences)
        return self._call_each(sorted(chosen), purpose, now)

    def _join(self, now: float) -> list[Action]:
        known = self._call_each(self.view.neighbours(now), "sync", now)
        if known or not self._seeds:
            return known
        self._turn += 1
        seed = self._seeds[self._turn % len(self._seeds)]
        return [self.view.call_place("", seed, "sync", now)]

    def _meet(self, now: float, rng: Random) -> list[Action]:
        if not self._unmet:
            return []
        rows = self.view.members.rows.values()
        self._unmet -= {row.address for row in rows if row.serving}
        places = sorted(self._unmet)
        chosen = rng.sample(places, min(MAX_SEED_CALLS_PER_TICK, len(places)))
        self._unmet.difference_update(chosen)
        return [
            self.view.call_place("", place, "sync", now) for place in chosen
        ]

    def _heal(self, now: float, rng: Random) -> list[Action]:
        # After a partition each side holds the other dead and would probe
        # only its own; without this nothing would ever join them again.
        rows = self.view.members.rows.values()
        serving = {row.address for row in rows if row.serving}
        dead = [row for row in rows if row.state == "dead"]
        places = [(row.name, row.address) for row in dead]
        for seed in self._seeds:
            if seed not in serving:
                places.append(("", seed))
        places.extend(self._find_far_places(now))
        if not places:
            return []
        name, address = rng.choice(places)
        return [self.view.call_place(name, address, "heal", now)]

    def _find_far_places(self, now: float) -> list[tuple[str, str]]:
        # While regions are apart, all members of the other one that we
        # would link to can be replaced; then only others can tell us.
        rows = self.view.members.rows
        avoided = self.view.detector.avoided(now)
        regions = {rows[name].region for name in avoided if name in rows}
        regions.discard(self.view.me.region)
        return [
            (row.name, row.address)
            for row in rows.values()
            if row.serving and row.region in regions
        ]

    def _flush(self, event: Flush, now: float, rng: Random) -> list[Action]:
        return self._push("push", now)

    def _push(self, purpose: Purpose, now: float) -> list[Action]:
        news = self.view.take_news()
        actions: list[Action] = []
        for name in self.view.neighbours(now):
            packet = news.pack(self.view, name)
            if packet:
                actions.append(self.view.send(name, packet, purpose, now))
        return actions

    def _publish(
        self, event: Publish, now: float, rng: Random
    ) -> list[Action]:
        self.view.adopt_fact(event.fact, self.view.me.name, now)
        return []

    def _leave(self, event: Leave, now: float, rng: Random) -> list[Action]:
        me = self.view.me
        row = me._replace(state="left", changed=now)
        self.view.adopt_member(row, me.name, now)
        return self._push("leave", now)

    def _receive(
        self, event: Received, now: float, rng: Random
    ) -> list[Action]:
        packet = event.packet
        view = self.view
        view.adopt(packet, packet.sender, now)
        view.detector.clear(packet.sender)
        view.detector.clear(packet.reached)
        actions: list[Action] = [self._answer(packet, now)]
        if packet.probe in view.members.rows:
            empty = Packet(view.me.name)
            call = view.send(packet.probe, empty, "relay", now)
            actions.append(call._replace(on_behalf_of=packet.sender))
        return actions

    def _answer(self, packet: Packet, now: float) -> Reply:
        view = self.view
        wanted: tuple[int, ...] = ()
        if packet.buckets:
            pairs = zip(view.buckets(), packet.buckets, strict=True)
            wanted = tuple(
                number
                for number, (own, other) in enumerate(pairs)
                if own != other
            )
        return Reply(
            sender=view.me.name,
            current=self.current(now),
            differs=packet.root != view.root(),
            members=view.members.pick(wanted),
            facts=view.facts.pick(wanted),
            wanted=wanted,
        )

    def _handle_answer(
        self, event: Answered, now: float, rng: Random
    ) -> list[Action]:
        call, reply = event
        view = self.view
        view.adopt(reply, reply.sender, now)
        view.detector.clear(reply.sender)
        if call.target not in ("", reply.sender):
            # The address of a lost host was given to another one. Its
            # answer must not keep the lost member alive.
            return self._fail(Failed(call), now, rng)
        if call.packet.buckets:
            self._settle(call, reply)
            return self._return_rows(call, reply, now)
        if call.purpose == "relay" and call.on_behalf_of in view.members.rows:
            packet = Packet(view.me.name, reached=call.target)
            return [view.send(call.on_behalf_of, packet, "push", now)]
        if call.purpose == "probe":
            return self._compare(reply, now)
        return []

    def _settle(self, call: Call, reply: Reply) -> None:
        # An answer to a question asked before a freeze may have lain in
        # the socket all the while, and so be as old as our own tables.
        if call.started < self._settled_after:
            return
        self._untried.discard(call.address)
        self._answers.add(reply.sender)
        enough = min(MIN_SYNC_ANSWERS, len(self.view.find_others()))
        if reply.current or len(self._answers) >= enough:
            self.view.settled = True

    def _return_rows(
        self, call: Call, reply: Reply, now: float
    ) -> list[Action]:
        view = self.view
        theirs = frozenset((*reply.members, *reply.facts))
        members = view.members.pick(reply.wanted)
        facts = view.facts.pick(reply.wanted)
        packet = Packet(
            view.me.name,
            tuple(row for row in members if row not in theirs),
            tuple(row for row in facts if row not in theirs),
        )
        if not packet.members and not packet.facts:
            return []
        return [Call(reply.sender, call.address, packet, "push", now)]

    def _compare(self, reply: Reply, now: float) -> list[Action]:
        count = self._differences.pop(reply.sender, 0) + 1
        if not reply.differs:
            return []
        if count < DIFFERENCES_BEFORE_SYNC:
            self._differences[reply.sender] = count
            return []
        return self._call_each((reply.sender,), "sync", now)

    def _fail(self, event: Failed, now: float, rng: Random) -> list[Action]:
        call = event.call
        view = self.view
        if call.purpose == "sync" and not call.target:
            self._give_up_seed(call.address)
            if not view.settled and self._untried:
                return self._join(now)
        row = view.members.rows.get(call.target)
        if row is None or call.purpose not in _JUDGED:
            return []
        before = view.neighbours(now)
        view.detector.avoid(row.name, now)
        actions: list[Action] = []
        if call.packet.members or call.packet.facts:
            # The next on the ring gets what this one did not take.
            for name in view.neighbours(now):
                if name not in before:
                    packet = call.packet
                    actions.append(view.send(name, packet, "push", now))
        return actions + self._inquire(row, now, rng)

    def _inquire(self, row: Member, now: float, rng: Random) -> list[Action]:
        view = self.view
        if row.region != view.me.region or now < self._busy_until:
            return []
        if not view.detector.start_indirect_probe(row, now):
            return []
        avoid = view.detector.avoided(now)
        helpers = [
            other.name
            for other in view.find_others()
            if other.region == row.region and other.name not in avoid
        ]
        chosen = rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        packet = Packet(view.me.name, probe=row.name)
        asked = [view.send(name, packet, "ask", now) for name in chosen]
        # Again directly: the driver has closed the connection, and a
        # connection can be silent for good while a new one works.
        return [*asked, *self._call_each((row.name,), "ask", now)]

    def _give_up_seed(self, address: str) -> None:
        # The first process of all finds nobody at any of its seeds.
        self._untried.discard(address)
        if not self._untried and not self.view.find_others():
            self.view.settled = True

    def _call_each(
        self, names: Iterable[str], purpose: Purpose, now: float
    ) -> list[Action]:
        return [self.view.call(name, purpose, now) for name in names]


# Calls after which a member that did not answer is inquired about.
_JUDGED: frozenset[Purpose] = frozenset(("probe", "push", "sync"))

_Handler = Callable[[Gossip, Any, float, Random], list[Action]]
_HANDLERS: dict[type, _Handler] = {
    Tick: Gossip._tick,
    Flush: Gossip._flush,
    Publish: Gossip._publish,
    Leave: Gossip._leave,
    Received: Gossip._receive,
    Answered: Gossip._handle_answer,
    Failed: Gossip._fail,
}
