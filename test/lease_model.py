"""A played world for leases: a store, controllers and runners."""

from typing import NamedTuple

from lagoonpost.store.store import Committed, Condition, Write
from lagoonpost.systems.lease import (
    CurrentRow,
    Lease,
    LeasePolicy,
    NoReply,
    Pause,
    Put,
    Read,
    Reply,
    Stored,
    apply_reply,
    begin_call,
    choose_action,
    end_call,
    get_fence,
    handle_store_rollback,
    is_held,
    may_order,
    may_work,
)
from lagoonpost.tables.stamp import find_era, find_version, make_stamp
from lagoonpost_standins.table import Table

KEY = "lease/shard"
POLICY = LeasePolicy(handback_delay=3.2)
RETURN_SECONDS = 3.0
"""Time in which the work may not go from one holder to another and back."""


class Turns:
    """Who worked when, in world time; nobody may come back too soon."""

    def __init__(self) -> None:
        self._last = ""
        self._worked: dict[str, float] = {}

    def take(self, name: str, now: float) -> None:
        """Note that a host works, and check when it did so before."""
        if name != self._last and name in self._worked:
            assert now - self._worked[name] >= RETURN_SECONDS
        self._last = name
        self._worked[name] = now


class Order(NamedTuple):
    """An order that leaves a controller and takes effect later."""

    holder: "Holder"
    fence: int
    leaves: float
    latest: float


class Call(NamedTuple):
    """A call to a platform that refuses old fencing numbers.

    Attributes:
        holder: Who made it.
        fence: Its fencing number.
        sent: World time at which it was sent.
    """

    holder: "Holder"
    fence: int
    sent: float


class Holder:
    """One controller with a clock of its own."""

    def __init__(
        self, number: int, rate: float, policy: LeasePolicy = POLICY
    ) -> None:
        name = f"controller-{number}"
        self.lease = Lease(name, f"nonce-{number}", policy)
        self.call: Put | Read | None = None
        self.reply: Reply | None = None
        self.era = 0
        self.sent_era = 0
        self.reply_era = 0
        self._offset = 1000.0 * number
        self._rate = rate

    def clock(self, now: float) -> float:
        """Return this controller's time at world time ``now``."""
        return self._offset + self._rate * now

    def restart(self, now: float) -> None:
        """Begin anew under the same name, as a new process does."""
        lease = self.lease
        self.lease = Lease(
            lease.holder,
            lease.nonce + "'",
            lease.policy,
            started=self.clock(now),
        )
        self.call = self.reply = None
        self.era = 0

    def find_end(self) -> float:
        """Return the world time at which its lease ends."""
        end = self.lease.expires - self.lease.policy.margin
        return (end - self._offset) / self._rate

    def is_held(self, now: float) -> bool:
        """Tell whether this controller may work."""
        return is_held(self.lease, self.clock(now))


class World:
    """The store, the controllers, and a runner that checks no fence."""

    def __init__(
        self, rates: list[float], policy: LeasePolicy = POLICY
    ) -> None:
        self.now = 0.0
        self.table = Table()
        self.era = 0
        self.fences: dict[int, str] = {}
        self.holders = [Holder(*each, policy) for each in enumerate(rates)]
        self.late: list[Put] = []
        self.orders: list[Order] = []
        self.applied: list[int] = []
        self.held = Turns()
        self.acted = Turns()
        self.calls: list[Call] = []
        self.lost_calls: dict[Call, float] = {}
        self.newest_fence = 0

    def go_on(self, holder: Holder, fault: str = "none") -> None:
        """Let a controller take its next step: send, effect or reply."""
        if holder.call is None:
            lease, action = choose_action(holder.lease, holder.clock(self.now))
            holder.lease = lease
            holder.call = None if isinstance(action, Pause) else action
            holder.sent_era = holder.era
        elif holder.reply is None:
            holder.reply = self._serve(holder.call, fault, holder.sent_era)
            holder.reply_era = self.era
        else:
            self._learn_era(holder)
            put = holder.call if isinstance(holder.call, Put) else None
            holder.lease = apply_reply(
                holder.lease, put, holder.reply, holder.clock(self.now)
            )
            holder.call = holder.reply = None

    def go_back(self, transactions: int) -> None:
        """Let the store come back from an older copy."""
        self.table.go_back(transactions)
        self.era += 1

    def _learn_era(self, holder: Holder) -> None:
        """Do as the platform's store does with the era of an answer."""
        if isinstance(holder.reply, NoReply):
            return
        if holder.reply_era < holder.era:
            holder.reply = NoReply()
        elif holder.reply_era > holder.era:
            holder.era = holder.reply_era
            now = holder.clock(self.now)
            holder.lease = handle_store_rollback(holder.lease, holder.era, now)

    def _serve(
        self, call: Put | Read, fault: str, known: int | None = None
    ) -> Reply:
        if fault == "late" and isinstance(call, Put):
            self.late.append(call)
        if fault in ("late", "dropped"):
            return NoReply()
        old = isinstance(call, Put) and find_era(call.version) < (known or 0)
        if isinstance(call, Read) or (old and call.version):
            reply = self._read()
        else:
            reply = self.write(call)
        return NoReply() if fault == "lost_reply" else reply

    def _read(self) -> Reply:
        row = self.table.read([KEY])[0]
        return CurrentRow(self._stamp(row.version), row.value)

    def _stamp(self, version: int) -> int:
        return make_stamp(self.era, version) if version else 0

    def write(self, put: Put) -> Reply:
        """Apply a conditional write."""
        outcome = self.table.transact(
            [Condition(KEY, find_version(put.version))],
            [Write(KEY, put.row)],
        )
        row = outcome.rows[0]
        if not isinstance(outcome, Committed):
            return CurrentRow(self._stamp(row.version), row.value)
        if put.version and find_era(put.version) < self.era:
            return NoReply()
        return Stored(self._stamp(row.version))

    def order(self, holder: Holder, pause: float) -> None:
        """Let a controller order the runner, if it may.

        It may be paused between asking and sending.
        """
        if may_order(holder.lease, holder.clock(self.now), False):
            leaves = self.now + pause
            fence = get_fence(holder.lease)
            latest = leaves + POLICY.order
            self.orders.append(Order(holder, fence, leaves, latest))

    def want(self, holder: Holder, wanted: bool) -> None:
        """Ask for the lease, or stop the work and ask for its release."""
        holder.lease = holder.lease._replace(wanted=wanted)
        if not wanted:
            self.drop_orders(holder)

    def drop_orders(self, holder: Holder) -> None:
        """Let a controller send none of the orders that have not left."""
        self.orders = [
            order
            for order in self.orders
            if order.holder is not holder or order.leaves <= self.now
        ]

    def acquire(self, holder: Holder) -> None:
        """Let one controller alone go on until it could have the lease."""
        for _ in range(8):
            self.go_on(holder)
        row = holder.lease.row
        if row is not None and row.holder and not holder.is_held(self.now):
            free = (
                holder.lease.first_seen + row.duration - holder.clock(self.now)
            )
            self.wait(max(0.0, free) / 0.99)
        for _ in range(8):
            self.go_on(holder)

    def hand_over(self, holder: Holder, other: Holder) -> None:
        """Let one controller give the lease away and another take it."""
        self.want(holder, False)
        self.acquire(holder)
        self.acquire(other)
        self.want(holder, True)

    def begin_call(self, holder: Holder) -> None:
        """Let a controller call the platform, if it may."""
        if may_work(holder.lease, holder.clock(self.now)):
            holder.lease = begin_call(holder.lease)
            fence = get_fence(holder.lease)
            self.calls.append(Call(holder, fence, self.now))

    def end_call(self, call: Call, answered: bool) -> None:
        """Let a call take effect with its answer, or be given up."""
        self.calls.remove(call)
        if answered:
            self.take_effect(call)
        else:
            self._lose(call)
        holder = call.holder
        holder.lease = end_call(
            holder.lease,
            holder.clock(call.sent),
            answered,
            holder.clock(self.now),
        )

    def _lose(self, call: Call) -> None:
        """Let a call take effect at any time up to its latest one."""
        order = call.holder.lease.policy.order
        self.lost_calls[call] = max(self.now, call.sent + order)

    def take_effect(self, call: Call) -> None:
        """Let the platform take a call, or refuse its fencing number."""
        self.lost_calls.pop(call, None)
        if call.fence >= self.newest_fence:
            self.newest_fence = call.fence
            self.acted.take(call.holder.lease.holder, self.now)

    def restart(self, holder: Holder) -> None:
        """End a process and begin it anew.

        The platform may still carry out what the ended one had sent.
        """
        self.drop_orders(holder)
        for call in [each for each in self.calls if each.holder is holder]:
            self.calls.remove(call)
            self._lose(call)
        holder.restart(self.now)

    def apply(self, order: Order) -> None:
        """Let an order take effect at the runner."""
        self.orders.remove(order)
        self.applied.append(order.fence)

    def wait(self, seconds: float) -> None:
        """Let time pass; no order takes longer than the longest."""
        for each in self.holders:
            if each.is_held(self.now):
                end = min(self.now + seconds, each.find_end())
                self.held.take(each.lease.holder, end)
        self.now += seconds
        self.lost_calls = {
            call: latest
            for call, latest in self.lost_calls.items()
            if latest > self.now
        }
        for order in [o for o in self.orders if o.latest < self.now]:
            self.apply(order)

    def check(self) -> None:
        """Check that one works at a time and that no order goes back."""
        held = [each for each in self.holders if each.is_held(self.now)]
        assert len(held) <= 1
        for each in held:
            self.held.take(each.lease.holder, self.now)
            fence = get_fence(each.lease)
            assert self.fences.setdefault(fence, each.lease.nonce) == (
                each.lease.nonce
            )
        assert self.applied == sorted(self.applied)

    def finish(self) -> None:
        """With all faults gone, one controller gets the lease and keeps it."""
        for holder in self.holders:
            holder.lease = holder.lease._replace(wanted=True)
        for _ in range(60):
            self.wait(1.0)
            for holder in self.holders * 3:
                self.go_on(holder)
            self.check()
        assert any(each.is_held(self.now) for each in self.holders)
