"""Simulation of leases: a store, controllers and a runner."""

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
"""Minimum time before work may return to a previous holder."""


class HandbackChecker:
    """Checks that no host resumes work too soon after another one.

    Times are in simulated seconds.
    """

    def __init__(self) -> None:
        self._last = ""
        self._worked: dict[str, float] = {}

    def take(self, name: str, now: float) -> None:
        """Record that a host works, and check when it last worked."""
        if name != self._last and name in self._worked:
            assert now - self._worked[name] >= RETURN_SECONDS
        self._last = name
        self._worked[name] = now


class Order(NamedTuple):
    """An order to a runner that takes effect some time after it is sent.

    Attributes:
        holder: Controller that sends the order.
        fence: Fencing number of the order.
        leaves: Simulated time at which the order is sent.
        latest: Simulated time until which it takes effect.
    """

    holder: "Holder"
    fence: int
    leaves: float
    latest: float


class Call(NamedTuple):
    """A call to a platform that rejects old fencing numbers.

    Attributes:
        holder: Controller that made the call.
        fence: Fencing number of the call.
        sent: Simulated time at which the call was sent.
    """

    holder: "Holder"
    fence: int
    sent: float


class Holder:
    """A controller with its own clock rate and offset."""

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
        """Return this controller's local time at simulated time ``now``."""
        return self._offset + self._rate * now

    def restart(self, now: float) -> None:
        """Reset the state as a new process with the same name."""
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
        """Return the simulated time until which the lease is held."""
        end = self.lease.expires - self.lease.policy.margin
        return (end - self._offset) / self._rate

    def is_held(self, now: float) -> bool:
        """Return whether this controller holds the lease."""
        return is_held(self.lease, self.clock(now))


class World:
    """The store, the controllers, and a runner that ignores fencing."""

    def __init__(
        self, rates: list[float], policy: LeasePolicy = POLICY
    ) -> None:
        self.now = 0.0
        self.table = Table()
        self.era = 0
        self.fences: dict[int, str] = {}
        self.holders = [
            Holder(*numbered, policy) for numbered in enumerate(rates)
        ]
        self.late: list[Put] = []
        self.orders: list[Order] = []
        self.applied: list[int] = []
        self.held = HandbackChecker()
        self.acted = HandbackChecker()
        self.calls: list[Call] = []
        self.lost_calls: dict[Call, float] = {}
        self.newest_fence = 0

    def go_on(self, holder: Holder, fault: str = "none") -> None:
        """Run the next step of a controller.

        A call takes three steps: sending it, serving it in the store and
        handling the reply.
        """
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
        """Roll the store back to an older snapshot."""
        self.table.roll_back(transactions)
        self.era += 1

    def _learn_era(self, holder: Holder) -> None:
        """Handle the era of a reply as the platform's store client does."""
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
        """Let a controller send an order to the runner, if allowed.

        The controller pauses between checking the lease and sending.
        """
        if may_order(holder.lease, holder.clock(self.now), False):
            leaves = self.now + pause
            fence = get_fence(holder.lease)
            latest = leaves + POLICY.order
            self.orders.append(Order(holder, fence, leaves, latest))

    def want(self, holder: Holder, wanted: bool) -> None:
        """Request the lease, or stop work and request its release."""
        holder.lease = holder.lease._replace(wanted=wanted)
        if not wanted:
            self.drop_orders(holder)

    def drop_orders(self, holder: Holder) -> None:
        """Drop a controller's orders that have not been sent yet."""
        self.orders = [
            order
            for order in self.orders
            if order.holder is not holder or order.leaves <= self.now
        ]

    def acquire(self, holder: Holder) -> None:
        """Run one controller alone until the lease could be acquired."""
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
        """Let one controller release the lease and another acquire it."""
        self.want(holder, False)
        self.acquire(holder)
        self.acquire(other)
        self.want(holder, True)

    def begin_call(self, holder: Holder) -> None:
        """Let a controller start a platform call, if allowed."""
        if may_work(holder.lease, holder.clock(self.now)):
            holder.lease = begin_call(holder.lease)
            fence = get_fence(holder.lease)
            self.calls.append(Call(holder, fence, self.now))

    def end_call(self, call: Call, answered: bool) -> None:
        """End a call: answered and effective, or abandoned."""
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
        """Let an abandoned call take effect later, up to the maximum delay."""
        order = call.holder.lease.policy.order
        self.lost_calls[call] = max(self.now, call.sent + order)

    def take_effect(self, call: Call) -> None:
        """Let the platform execute a call or reject its fencing number."""
        self.lost_calls.pop(call, None)
        if call.fence >= self.newest_fence:
            self.newest_fence = call.fence
            self.acted.take(call.holder.lease.holder, self.now)

    def restart(self, holder: Holder) -> None:
        """Restart a controller process.

        The platform may still execute calls of the previous process.
        """
        self.drop_orders(holder)
        for call in [other for other in self.calls if other.holder is holder]:
            self.calls.remove(call)
            self._lose(call)
        holder.restart(self.now)

    def apply(self, order: Order) -> None:
        """Let an order take effect at the runner."""
        self.orders.remove(order)
        self.applied.append(order.fence)

    def wait(self, seconds: float) -> None:
        """Advance time; overdue orders take effect and lost calls expire."""
        for holder in self.holders:
            if holder.is_held(self.now):
                end = min(self.now + seconds, holder.find_end())
                self.held.take(holder.lease.holder, end)
        self.now += seconds
        self.lost_calls = {
            call: latest
            for call, latest in self.lost_calls.items()
            if latest > self.now
        }
        for order in [o for o in self.orders if o.latest < self.now]:
            self.apply(order)

    def check(self) -> None:
        """Check that holders, fencing numbers and orders never conflict."""
        held = [holder for holder in self.holders if holder.is_held(self.now)]
        assert len(held) <= 1
        for holder in held:
            self.held.take(holder.lease.holder, self.now)
            fence = get_fence(holder.lease)
            assert self.fences.setdefault(fence, holder.lease.nonce) == (
                holder.lease.nonce
            )
        assert self.applied == sorted(self.applied)

    def finish(self) -> None:
        """Check that without further faults one controller holds the lease."""
        for holder in self.holders:
            holder.lease = holder.lease._replace(wanted=True)
        for _ in range(60):
            self.wait(1.0)
            for holder in self.holders * 3:
                self.go_on(holder)
            self.check()
        assert any(holder.is_held(self.now) for holder in self.holders)
