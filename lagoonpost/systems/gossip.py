"""Gossip protocol for facts and membership: one member, without I/O.

Load pattern: few updates in normal operation, bursts when a failure domain is
reclaimed, and large differences between tables after a partition. Updates are
pushed at once to a few ring neighbours, and each member forwards a row once.
The cost of a fact per member is therefore independent of the number of
members, and a fact takes a logarithmic number of hops. The digest in each
probe detects a lost push within seconds, and only buckets that differ are
sent. Pushing without digests would lose facts permanently; exchanging whole
tables would take more than 3 KB per second at 320 members.
"""

from collections.abc import Callable, Iterable, Sequence
from math import inf
from random import Random
from typing import Any

from lagoonpost.systems.membership import INDIRECT_PROBES
from lagoonpost.systems.packet import (
    Action,
    Answered,
    Call,
    Compared,
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
    Unanswered,
)
from lagoonpost.systems.view import View
from lagoonpost.tables.peer import Member

# Ticks come every second. A process without a tick for three seconds was
# suspended, or so overloaded that its facts may be equally old.
TICK_SECONDS = 1.0
STALL_SECONDS = 3.0
# A tick later than this shows that this member itself is overloaded and
# cannot judge other members: their answers wait unread in its sockets.
# Members that start together are all slow at first. If they suspected each
# other, the suspicions and their refutations would keep them slow.
LATE_TICK_SECONDS = 0.3
OVERLOADED_SECONDS = 3.0
# Each second about one member in HEAL_INTERVAL_TICKS calls a member that is
# marked dead: 32 calls per second at 320 members, so that a healed partition
# is detected at once.
HEAL_INTERVAL_TICKS = 10
# Limits the calls per second to addresses without a known member, which may
# belong to a group that started separately. One answer merges two groups
# completely. Hosts that restart together after a power loss find the
# addresses of all others in the store: with 195 hosts, calling every address
# would take 38,000 calls.
MAX_SEED_CALLS_PER_TICK = 3
# Answers of this many peers suffice even if none of the peers is current;
# otherwise members that all start together would wait forever.
MIN_SYNC_ANSWERS = 3
# Rows in flight make digests differ for about 100 ms. Only a second
# consecutive difference at a neighbour indicates a lost push.
DIFFERENCES_BEFORE_SYNC = 2
# Comparisons of all tables that follow from facts that others name are no more
# frequent than those that follow from probes.
SYNC_PAUSE_SECONDS = 1.0


class Gossip:
    """Gossip state machine of one member.

    Args:
        me: Row of this member.
        seeds: Addresses of other members, ``IP:PORT``.
        started: Start time, in seconds since the epoch.

    Attributes:
        view: Tables of this member.
    """

    def __init__(
        self, me: Member, seeds: Sequence[str], started: float
    ) -> None:
        self._seeds = [seed for seed in seeds if seed != me.address]
        self._untried_seeds = set(self._seeds)
        self._unknown_addresses: set[str] = set()
        self.view = View(me, not self._seeds, started)
        self._differences: dict[str, int] = {}
        self._turn = 0
        self._last_tick = started
        self._busy_until = started
        self._resumed_at = started
        self._answers: set[str] = set()
        self._synced_at = -inf

    def current(self, now: float) -> bool:
        """Return whether the facts are up to date with other members.

        False after a start or a process pause, until a sync has succeeded.
        This is reliable from the first instruction after a pause, because
        ``now`` is compared with the last tick before any event is handled.
        """
        return self.view.settled and now - self._last_tick <= STALL_SECONDS

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add addresses at which members may be found.

        Addresses without a known serving member are called during the next
        ticks, a few per tick. Members that start together reach only some
        others at their seeds, because not all are listening yet, and then
        form a settled group of their own.
        """
        for address in addresses:
            if address == self.view.me.address:
                continue
            if address not in self._seeds:
                self._seeds.append(address)
            self._unknown_addresses.add(address)

    def step(self, event: Event, now: float, rng: Random) -> list[Action]:
        """Handle one event and return the actions to perform.

        Args:
            event: The event.
            now: Time in seconds since the epoch, from a clock that is
                never set back and keeps running while the host sleeps.
            rng: Random number generator.
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
        # After a pause longer than the suspicion timeout, the other members
        # have marked this one dead. It learns this from its first sync and
        # refutes it.
        self._last_tick = now
        self._resumed_at = now
        self._answers.clear()
        self._untried_seeds.update(self._seeds)
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
            view.merge_member(row, view.me.name, now)
        if view.me.state == "left":
            # A member that left still serves accepted requests but receives
            # no pushes, so it pulls updates.
            return self._call_next("sync", now)
        actions = self._call_next("probe", now)
        if not view.settled:
            actions.extend(self._join(now))
        actions.extend(self._call_unknown_addresses(now, rng))
        if not view.find_others() or rng.randrange(HEAL_INTERVAL_TICKS) == 0:
            actions.extend(self._heal(now, rng))
        return actions

    def _call_next(self, purpose: Purpose, now: float) -> list[Action]:
        names = self.view.neighbours(now)
        if not names:
            return []
        self._turn += 1
        chosen = {names[self._turn % len(names)]}
        # A neighbour whose digest differed is probed again at once. Waiting
        # for its turn would delay the detection of a lost push by seconds.
        chosen.update(name for name in names if name in self._differences)
        return self._call_each(sorted(chosen), purpose, now)

    def _join(self, now: float) -> list[Action]:
        known = self._call_each(self.view.neighbours(now), "sync", now)
        if known or not self._seeds:
            return known
        self._turn += 1
        seed = self._seeds[self._turn % len(self._seeds)]
        return [self.view.call_address("", seed, "sync", now)]

    def _call_unknown_addresses(self, now: float, rng: Random) -> list[Action]:
        if not self._unknown_addresses:
            return []
        rows = self.view.members.rows.values()
        self._unknown_addresses -= {row.address for row in rows if row.serving}
        targets = sorted(self._unknown_addresses)
        chosen = rng.sample(
            targets, min(MAX_SEED_CALLS_PER_TICK, len(targets))
        )
        self._unknown_addresses.difference_update(chosen)
        return [
            self.view.call_address("", address, "sync", now)
            for address in chosen
        ]

    def _heal(self, now: float, rng: Random) -> list[Action]:
        # During a partition each side marks the other dead and probes only
        # its own members. Without these calls they would never merge again.
        rows = self.view.members.rows.values()
        serving = {row.address for row in rows if row.serving}
        dead = [row for row in rows if row.state == "dead"]
        targets = [(row.name, row.address) for row in dead]
        for seed in self._seeds:
            if seed not in serving:
                targets.append(("", seed))
        targets.extend(self._find_remote_targets(now))
        if not targets:
            return []
        name, address = rng.choice(targets)
        return [self.view.call_address(name, address, "heal", now)]

    def _find_remote_targets(self, now: float) -> list[tuple[str, str]]:
        # While regions are partitioned, all bridge members of the remote
        # region may be replaced. Only its other members are then reachable.
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
        news = self.view.take_updates()
        actions: list[Action] = []
        for name in self.view.neighbours(now):
            packet = news.pack(self.view, name)
            if packet:
                actions.append(self.view.send(name, packet, purpose, now))
        return actions

    def _publish(
        self, event: Publish, now: float, rng: Random
    ) -> list[Action]:
        self.view.merge_fact(event.fact, self.view.me.name, now)
        return []

    def _leave(self, event: Leave, now: float, rng: Random) -> list[Action]:
        me = self.view.me
        row = me._replace(state="left", changed=now)
        self.view.merge_member(row, me.name, now)
        return self._push("leave", now)

    def _receive(
        self, event: Received, now: float, rng: Random
    ) -> list[Action]:
        packet = event.packet
        view = self.view
        view.merge_rows(packet, packet.sender, now)
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
        # A build with another number of buckets can't be compared with.
        if len(packet.buckets) == len(view.buckets()):
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
            members=view.members.list_bucket_rows(wanted),
            facts=view.facts.list_bucket_rows(wanted),
            wanted=wanted,
        )

    def _handle_answer(
        self, event: Answered, now: float, rng: Random
    ) -> list[Action]:
        call, reply = event
        view = self.view
        view.merge_rows(reply, reply.sender, now)
        view.detector.clear(reply.sender)
        if call.target not in ("", reply.sender):
            # The address of a lost host was reassigned to another member,
            # whose answer must not keep the lost member alive.
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
        # The answer to a call from before a process pause may have waited
        # in the socket, so it may be as old as the tables of this member.
        if call.started < self._resumed_at:
            return
        self._untried_seeds.discard(call.address)
        self._answers.add(reply.sender)
        enough = min(MIN_SYNC_ANSWERS, len(self.view.find_others()))
        if reply.current or len(self._answers) >= enough:
            self.view.settled = True

    def _return_rows(
        self, call: Call, reply: Reply, now: float
    ) -> list[Action]:
        view = self.view
        theirs = frozenset((*reply.members, *reply.facts))
        members = view.members.list_bucket_rows(reply.wanted)
        facts = view.facts.list_bucket_rows(reply.wanted)
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
            self._drop_seed(call.address)
            if not view.settled and self._untried_seeds:
                return self._join(now)
        row = view.members.rows.get(call.target)
        if row is None or call.purpose not in _PROBE_ON_FAILURE:
            return []
        actions = [] if event.delayed else self._send_past(call, now)
        view.detector.avoid(row.name, now)
        return actions + self._probe_indirectly(row, now, rng)

    def _handle_delay(
        self, event: Unanswered, now: float, rng: Random
    ) -> list[Action]:
        return self._send_past(event.call, now)

    def _send_past(self, call: Call, now: float) -> list[Action]:
        """Send the rows of a call to the member that replaces its target.

        Pushes that follow each other fail one by one. Each is sent on, also
        if the target is no neighbour any more since the first one failed.
        """
        view = self.view
        packet = call.packet
        if not packet.members and not packet.facts:
            return []
        if call.target not in view.members.rows:
            return []
        return [
            view.send(name, packet, "push", now)
            for name in view.find_replacements(call.target, now)
            if name != packet.sender
        ]

    def _compare_recent(
        self, event: Compared, now: float, rng: Random
    ) -> list[Action]:
        view = self.view
        if event.member not in view.members.rows:
            return []
        if not view.lacks(event.recent):
            return []
        if now < self._synced_at + SYNC_PAUSE_SECONDS:
            return []
        self._synced_at = now
        return self._call_each((event.member,), "sync", now)

    def _probe_indirectly(
        self, row: Member, now: float, rng: Random
    ) -> list[Action]:
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
        # Also probe directly again: the driver has closed the connection,
        # and a new connection may work where the old one was stalled.
        return [*asked, *self._call_each((row.name,), "ask", now)]

    def _drop_seed(self, address: str) -> None:
        # The first process of a deployment reaches no member at any seed.
        self._untried_seeds.discard(address)
        if not self._untried_seeds and not self.view.find_others():
            self.view.settled = True

    def _call_each(
        self, names: Iterable[str], purpose: Purpose, now: float
    ) -> list[Action]:
        return [self.view.call(name, purpose, now) for name in names]


# Purposes of calls whose failure starts an indirect probe of the target.
_PROBE_ON_FAILURE: frozenset[Purpose] = frozenset(("probe", "push", "sync"))

_Handler = Callable[[Gossip, Any, float, Random], list[Action]]
_HANDLERS: dict[type, _Handler] = {
    Tick: Gossip._tick,
    Flush: Gossip._flush,
    Publish: Gossip._publish,
    Leave: Gossip._leave,
    Received: Gossip._receive,
    Answered: Gossip._handle_answer,
    Unanswered: Gossip._handle_delay,
    Failed: Gossip._fail,
    Compared: Gossip._compare_recent,
}
