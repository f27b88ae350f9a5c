"""Acquires, renews and releases one lease, following `systems.lease`."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import eliot
import msgspec

from lagoonpost.store.clock import read_clock
from lagoonpost.store.store import (
    Committed,
    Condition,
    Conflict,
    Row,
    Store,
    Unavailable,
    Write,
)
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
    assume_unknown_holder,
    begin_call,
    choose_action,
    classify_gain,
    classify_loss,
    end_call,
    get_fence,
    handle_store_rollback,
    may_order,
    may_work,
)
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.tables.lease import LeaseRow
from lagoonpost.unreadable import read_row

LEASE_PREFIX = "lease/"
RELEASE_POLL_SECONDS = 0.01
DEFAULT_POLICY = LeasePolicy()


class LeasedCall:
    """A call made under a lease.

    Attributes:
        answered: Whether a response arrived, so that the call's effect is
            known.
    """

    def __init__(self) -> None:
        self.answered = False


class LeaseManager:
    """Acquires, renews and releases one lease.

    Args:
        store: Table service.
        name: Name of the lease.
        holder: Name of this process.
        nonce: Identifier unique to this process instance.
        policy: Durations of the lease.

    Attributes:
        lease: State of the lease as known to this process.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        holder: str,
        nonce: str,
        policy: LeasePolicy = DEFAULT_POLICY,
    ) -> None:
        self.lease = Lease(holder, nonce, policy, started=read_clock())
        self._store = store
        self._key = LEASE_PREFIX + name
        self._changed = asyncio.Event()

    def is_held(self) -> bool:
        """Return whether this process may act as the lease holder now."""
        return may_work(self.lease, read_clock())

    def may_order(self, checks_fence: bool) -> bool:
        """Return whether an order may be sent now.

        Args:
            checks_fence: Whether the recipient rejects outdated fencing
                numbers.
        """
        return may_order(self.lease, read_clock(), checks_fence)

    @property
    def fence(self) -> int:
        """Fencing number of the lease, sent with each order."""
        return get_fence(self.lease)

    def handle_store_restore(self, era: int) -> None:
        """Handle a restore of the store from an older copy.

        Args:
            era: New era of the store; fencing numbers must be above those of
                earlier eras.
        """
        self.lease = handle_store_rollback(self.lease, era, read_clock())

    def set_wanted(self, wanted: bool, delay: float = 0.0) -> None:
        """Request the lease, or its release once all calls have ended.

        Args:
            wanted: Whether to hold the lease.
            delay: Seconds to wait so that preferred contenders can acquire
                the lease first.
        """
        if (wanted, delay) != (self.lease.wanted, self.lease.delay):
            self.lease = self.lease._replace(wanted=wanted, delay=delay)
            self._changed.set()

    @contextmanager
    def call(self) -> Iterator[LeasedCall]:
        """Defer the release of the lease while a call is in flight."""
        call = LeasedCall()
        sent = read_clock()
        self.lease = begin_call(self.lease)
        try:
            yield call
        finally:
            now = read_clock()
            self.lease = end_call(self.lease, sent, call.answered, now)
            if not self.lease.wanted:
                self._changed.set()

    async def release(self) -> None:
        """Release the lease once no call is in flight.

        Returns after the retry interval of the policy even if the lease is
        still held, for example because the store does not answer: the lease
        is then released later or expires.
        """
        self.set_wanted(False)
        try:
            async with asyncio.timeout(self.lease.policy.retry):
                while self._owns_row():  # noqa: ASYNC110
                    await asyncio.sleep(RELEASE_POLL_SECONDS)
        except TimeoutError:
            pass

    def _owns_row(self) -> bool:
        row = self.lease.row
        return (
            row is not None
            and row.nonce == self.lease.nonce
            and bool(row.holder)
        )

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            previous, was_held = self.lease, self.is_held()
            self.lease, action = choose_action(self.lease, read_clock())
            match action:
                case Pause(seconds):
                    await self._pause(seconds)
                case Put() | Read():
                    await self._call(action)
            if was_held != self.is_held():
                self._log_change(previous)

    async def _call(self, action: Put | Read) -> None:
        reply = await self._perform(action)
        put = action if isinstance(action, Put) else None
        self.lease = apply_reply(self.lease, put, reply, read_clock())
        if isinstance(reply, NoReply):
            await self._pause(self.lease.policy.retry)

    async def _perform(self, action: Put | Read) -> Reply:
        if isinstance(action, Read):
            rows = await self._store.read([self._key])
            return (
                NoReply()
                if isinstance(rows, Unavailable)
                else self._make_seen(rows[0])
            )
        outcome = await self._store.transact(
            [Condition(self._key, action.version)],
            [Write(self._key, msgspec.to_builtins(action.row))],
        )
        match outcome:
            case Committed(rows):
                return Stored(rows[0].version)
            case Conflict(rows):
                return self._make_seen(rows[0])
            case Unavailable():
                return NoReply()

    def _make_seen(self, row: Row) -> CurrentRow:
        if not row.version:
            return CurrentRow(0, None)
        found = read_row(row.key, row.value, LeaseRow)
        if isinstance(found, Unreadable):
            found = assume_unknown_holder(self.lease, row.version)
        return CurrentRow(row.version, found)

    async def _pause(self, seconds: float) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            pass

    def _log_change(self, previous: Lease) -> None:
        now = read_clock()
        held = self.is_held()
        eliot.log_message(
            message_type="lagoonpost:controller:lease",
            lease=self._key,
            holder=self.lease.holder,
            held=held,
            fence=self.fence,
            cause=classify_gain(previous)
            if held
            else classify_loss(self.lease),
            before=previous.row._asdict() if previous.row else None,
            seconds=None if held else round(now - previous.acquired, 3),
        )
