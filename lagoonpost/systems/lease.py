"""Lease state machine: one holder at a time, without comparing clocks.

No wall clock time is stored. A contender measures the lease duration on its
own clock from the moment it first reads the current row version. The holder
measures from before it sent the write that created that version, which is
earlier than any contender can have read it. The holder's lease therefore
expires first, however slow the store is and wherever a process is paused.

Other hosts may acquire a released lease at once. A previous holder waits
before it reacquires the lease from another host: its last requests may take
effect at a time unknown to it, and these effects must not interleave with
those of the holder in between.
"""

import math
from typing import Literal, NamedTuple

from lagoonpost.tables.lease import LeaseRow
from lagoonpost.tables.stamp import make_stamp

UNKNOWN_HOLDER = "?"
"""Holder that an unreadable row is taken to name; no host has this name."""


class LeasePolicy(NamedTuple):
    """Lease timing, in seconds.

    Attributes:
        duration: Time after which a lease expires unless it is renewed. A
            holder survives a shorter pause; when a holder dies, its work
            stops for about this long.
        margin: Time before expiry at which the holder stops working. It
            covers a clock rate difference of up to 2 % over ``duration``
            and the time between checking the lease and acting on it.
        renew_after: Lease age at which the holder renews. Two renewals may
            fail before the lease expires.
        retry: Delay before retrying after the store did not reply.
        poll: Interval between reads of a lease held by another process.
        order: Maximum time from sending an order until it takes effect.
        handback_delay: Minimum time between two periods of work of the same
            host if another host may have held the lease in between.
    """

    duration: float = 15.0
    margin: float = 1.0
    renew_after: float = 5.0
    retry: float = 1.0
    poll: float = 5.0
    order: float = 5.0
    handback_delay: float = 5.0


class Read(NamedTuple):
    """Read the lease row."""


class Put(NamedTuple):
    """Write the lease row if its current version is ``version``."""

    version: int
    row: LeaseRow


class Pause(NamedTuple):
    """Wait before choosing the next action."""

    seconds: float


Action = Read | Put | Pause


class Stored(NamedTuple):
    """The conditional write succeeded and created ``version``."""

    version: int


class CurrentRow(NamedTuple):
    """The current row, from a read or a write conflict.

    An absent row has version 0 and row None.
    """

    version: int
    row: LeaseRow | None


class NoReply(NamedTuple):
    """The store did not reply; a write may have taken effect."""


Reply = Stored | CurrentRow | NoReply

GainReason = Literal["new", "released", "lapsed", "kept"]
LossReason = Literal["released", "lapsed", "taken"]


class Lease(NamedTuple):
    """One process's view of one lease.

    All times are in seconds on the local clock of this process.

    Attributes:
        holder: Name of this process.
        nonce: Unique identifier of this process instance.
        policy: Lease timing.
        delay: Seconds to wait after the lease becomes free before acquiring
            it, so that the preferred contender goes first.
        wanted: Whether this process wants to hold the lease.
        version: Last known version of the row; -1 before the first read.
        row: Last known content of the row.
        first_seen: Time at which ``version`` was first seen.
        write_sent: Time just before the pending write was sent.
        expires: Time at which the held lease expires; 0 if it is not held.
        acquired: Time at which the lease was acquired.
        needs_read: Whether the row must be read before the next write.
        not_before: Earliest time at which the lease may be acquired.
        min_fence: Lower bound for fencing numbers: larger numbers cannot
            have been issued before the last store rollback. 0 if there was
            no rollback.
        in_flight: Number of in-flight calls made under the lease.
        last_effect: Latest time at which work of this process may have taken
            or may take effect.
        started: Time at which this process started. Calls of an earlier
            process on this host may still take effect after it.
    """

    holder: str
    nonce: str
    policy: LeasePolicy
    delay: float = 0.0
    wanted: bool = True
    version: int = -1
    row: LeaseRow | None = None
    first_seen: float = 0.0
    write_sent: float = 0.0
    expires: float = 0.0
    acquired: float = 0.0
    needs_read: bool = True
    not_before: float = 0.0
    min_fence: int = 0
    in_flight: int = 0
    last_effect: float = -math.inf
    started: float = -math.inf


def is_held(lease: Lease, now: float) -> bool:
    """Return whether this process holds the lease."""
    return now < lease.expires - lease.policy.margin


def may_work(lease: Lease, now: float) -> bool:
    """Return whether new work may start.

    The lease must be held and not about to be released.
    """
    return lease.wanted and is_held(lease, now)


def begin_call(lease: Lease) -> Lease:
    """Return the lease with one more in-flight call."""
    return lease._replace(in_flight=lease.in_flight + 1)


def end_call(lease: Lease, sent: float, answered: bool, now: float) -> Lease:
    """Return the lease after an in-flight call ended.

    Args:
        lease: The lease under which the call was made.
        sent: Local time at which the call started.
        answered: Whether the outcome is known. An unanswered call may still
            take effect.
        now: Local time, in seconds.
    """
    effect = now if answered else max(now, sent + lease.policy.order)
    return lease._replace(
        in_flight=lease.in_flight - 1,
        last_effect=max(lease.last_effect, effect),
    )


def get_fence(lease: Lease) -> int:
    """Return the fencing number in the last known row, or 0."""
    return lease.row.fence if lease.row else 0


def may_order(lease: Lease, now: float, checks_fence: bool) -> bool:
    """Return whether an order may be sent to a runner at ``now``.

    A runner that ignores fencing numbers accepts any order, so a late order
    of the previous holder would undo an order of the new one. Two rules
    prevent this: a holder sends only orders that take effect before its
    lease expires, and a new holder first waits for the maximum duration of
    an order. The wait is needed even so, because the previous holder may
    not have known how long its order would take.

    Args:
        lease: The lease under which the order is sent.
        now: Local time, in seconds.
        checks_fence: Whether the runner rejects old fencing numbers.
    """
    if checks_fence:
        return may_work(lease, now)
    waited = now >= lease.acquired + lease.policy.order
    return waited and may_work(lease, now + lease.policy.order)


def assume_unknown_holder(lease: Lease, version: int) -> LeaseRow:
    """Return what the row is taken for if it can't be read.

    Anyone may hold the lease, so it is free only after it has not been renewed
    for a whole lease. Work of this host may have come before that holder's.
    No fencing number up to the row's version is used again. Larger ones have
    not been issued: a number grows by one with each acquisition, and an
    acquisition is a write, which raises the row's version by one or more.

    Args:
        lease: The last known lease state.
        version: Version of the row.
    """
    return LeaseRow(
        holder=UNKNOWN_HOLDER,
        nonce="",
        fence=max(version, get_fence(lease)),
        duration=lease.policy.duration,
        before=(lease.holder,),
    )


def classify_gain(before: Lease) -> GainReason:
    """Return why a lease that was just acquired had been free.

    Args:
        before: The lease state before the acquisition.
    """
    if before.row is None:
        return "new"
    if before.expires > 0 and _is_own(before):
        return "kept"
    return "lapsed" if before.row.holder else "released"


def classify_loss(lease: Lease) -> LossReason:
    """Return why this process has just lost the lease."""
    if not lease.wanted:
        return "released"
    return "lapsed" if _is_own(lease) else "taken"


def handle_store_rollback(lease: Lease, era: int, now: float) -> Lease:
    """Return the lease after the store was restored from an older snapshot.

    A holder whose row was lost in the rollback keeps working until its lease
    expires, and without a lower bound its fencing number would be issued
    again.

    Args:
        lease: The last known lease state.
        era: Number of rollbacks of the store so far.
        now: Local time, in seconds.
    """
    return lease._replace(
        needs_read=True,
        not_before=now
        + max(lease.policy.duration, lease.policy.handback_delay),
        min_fence=make_stamp(era, 0),
    )


def choose_action(lease: Lease, now: float) -> tuple[Lease, Action]:
    """Return the updated lease and the next action.

    Args:
        lease: The last known lease state.
        now: Local time, in seconds.
    """
    if lease.needs_read:
        return lease, Read()
    if is_held(lease, now):
        return _choose_holder_action(lease, now)
    if not lease.wanted:
        return lease, Pause(lease.policy.poll)
    free = _find_acquire_time(lease)
    if lease.in_flight and not _is_last_worker(lease):
        return lease._replace(needs_read=True), Pause(lease.policy.poll)
    if now < free:
        # Read again after the pause: a renewal restarts the wait.
        pause = min(free - now, lease.policy.poll)
        return lease._replace(needs_read=True), Pause(pause)
    row = LeaseRow(
        lease.holder,
        lease.nonce,
        _choose_fence(lease),
        lease.policy.duration,
        tuple(name for name in _list_holders(lease) if name != lease.holder),
    )
    return _write_row(lease, row, now)


def _choose_holder_action(lease: Lease, now: float) -> tuple[Lease, Action]:
    row = lease.row
    assert row is not None
    if not lease.wanted:
        if lease.in_flight:
            return lease, Pause(lease.policy.poll)
        # Stop holding the lease before the release is written.
        lease = lease._replace(
            expires=0.0, last_effect=max(lease.last_effect, now)
        )
        before = (*row.before, row.holder)
        return _write_row(lease, row._replace(holder="", before=before), now)
    age = now - (lease.expires - lease.policy.duration)
    if age < lease.policy.renew_after:
        return lease, Pause(lease.policy.renew_after - age)
    if (
        now
        >= lease.acquired + lease.policy.order + lease.policy.handback_delay
    ):
        row = row._replace(before=())
    return _write_row(lease, row, now)


def _find_acquire_time(lease: Lease) -> float:
    """Return the local time from which the lease may be acquired."""
    free = lease.first_seen
    if lease.row is not None and lease.row.holder:
        # This also applies to a row of this process that it no longer holds:
        # an order sent under that fencing number may still be in flight.
        free += lease.row.duration
    if not _is_last_worker(lease):
        free = max(free, lease.last_effect + lease.policy.handback_delay)
    if lease.holder in _list_holders(lease)[:-1]:
        late = lease.started + lease.policy.order
        free = max(free, late + lease.policy.handback_delay)
    return max(free, lease.not_before) + lease.delay


def _list_holders(lease: Lease) -> tuple[str, ...]:
    """Return the hosts that may have worked recently, latest last."""
    row = lease.row
    if row is None:
        return ()
    return (*row.before, row.holder) if row.holder else row.before


def _choose_fence(lease: Lease) -> int:
    """Return a fencing number that has not been issued before.

    After a store rollback, a process unaware of the rollback may have
    overwritten a row that had a higher fencing number. The number therefore
    also exceeds the row version, which only grows within an era, whichever
    process writes the row.
    """
    if not lease.min_fence:
        return get_fence(lease) + 1
    return max(get_fence(lease), lease.min_fence, lease.version) + 1


def _is_own(lease: Lease) -> bool:
    """Return whether this process was the last to acquire the lease."""
    return lease.row is not None and lease.row.nonce == lease.nonce


def _is_last_worker(lease: Lease) -> bool:
    """Return whether no other host can have worked since this process.

    A store rollback may have lost the row of another host.
    """
    if lease.row is None:
        return lease.min_fence == 0
    return _is_own(lease) and lease.row.fence > lease.min_fence


def _write_row(
    lease: Lease, row: LeaseRow, now: float
) -> tuple[Lease, Action]:
    return lease._replace(write_sent=now), Put(lease.version, row)


def apply_reply(
    lease: Lease, put: Put | None, reply: Reply, now: float
) -> Lease:
    """Return the lease after a reply of the store.

    Args:
        lease: The lease state when the request was sent.
        put: The write; None for a read.
        reply: The reply of the store.
        now: Local time, in seconds.
    """
    match reply:
        case Stored(version):
            assert put is not None
            return _apply_write(lease, put, version, now)
        case CurrentRow(version, row):
            return _apply_row(lease, version, row, now)
        case NoReply():
            # The write may have taken effect. A held lease keeps its expiry
            # time, and a read shows the current row.
            return lease._replace(needs_read=True)


def _apply_write(lease: Lease, put: Put, version: int, now: float) -> Lease:
    held = put.row.holder == lease.holder
    renewed = held and _is_own(lease) and put.row.fence == get_fence(lease)
    if held and not renewed and put.row.fence <= lease.min_fence:
        # The write was prepared before the rollback was known, so another
        # holder may already have had this fencing number.
        return lease._replace(needs_read=True)
    return lease._replace(
        version=version,
        row=put.row,
        first_seen=now,
        # Measured from before the write was sent, as contenders can only
        # see the row later. Measured from the reply of a slow store, the
        # lease could expire after a contender's wait.
        expires=lease.write_sent + lease.policy.duration if held else 0.0,
        acquired=lease.acquired if renewed else now,
        needs_read=False,
    )


def _apply_row(
    lease: Lease, version: int, row: LeaseRow | None, now: float
) -> Lease:
    if version == lease.version and lease.row == row:
        return lease._replace(needs_read=False)
    is_own = row is not None and row.nonce == lease.nonce
    kept = is_own and lease.expires > 0 and get_fence(lease) == _fence(row)
    end = min(now, lease.expires - lease.policy.margin)
    return lease._replace(
        version=version,
        row=row,
        first_seen=now,
        # The reply to a renewal was lost: this process still holds the lease
        # until the earlier expiry time.
        expires=lease.expires if kept else 0.0,
        needs_read=False,
        last_effect=max(lease.last_effect, end)
        if lease.expires > 0
        else lease.last_effect,
    )


def _fence(row: LeaseRow | None) -> int:
    return row.fence if row else 0
