"""The leases' decisions: one holder at a time, without comparing clocks.

No time of day is stored. A contender times the row by its own clock from the
moment at which it first saw this version of it. The holder times its lease
from the moment before it sent the write that made this version, which is
earlier than anybody can have seen it. So the holder's time ends first, however
slow the store is and wherever either of them is paused.

A released lease is free at once, for others. Who held it rests before it takes
it back from them: the effects of its last work, of which it may not know when
they came, must not mix with those of the holder in between.
"""

import math
from typing import Literal, NamedTuple

from lagoonpost.tables.lease import LeaseRow
from lagoonpost.tables.stamp import make_stamp


class LeasePolicy(NamedTuple):
    """Times of leases, in seconds.

    Attributes:
        duration: How long a lease lasts without renewal. A pause shorter
            than this costs nothing, and work stands still for about this
            long when a holder dies.
        margin: By how much the holder stops earlier. It covers clocks that
            run up to 2 % faster than each other over ``duration``, and the
            time between a check and what it allows.
        renew: Age at which the holder renews, so that two renewals may fail
            before the lease lapses.
        retry: Pause after a call that the store did not answer.
        poll: Pause between looks at a lease that another one holds.
        order: Longest time from sending an order to its effect.
        rest: Least time from the last work of a host to its next, where
            another one may have held the lease in between.
    """

    duration: float = 15.0
    margin: float = 1.0
    renew_after: float = 5.0
    retry: float = 1.0
    poll: float = 5.0
    order: float = 5.0
    handback_delay: float = 5.0


class Read(NamedTuple):
    """Read the row."""


class Put(NamedTuple):
    """Write the row if it has ``version``."""

    version: int
    row: LeaseRow


class Pause(NamedTuple):
    """Do nothing for some seconds."""

    seconds: float


Action = Read | Put | Pause


class Stored(NamedTuple):
    """The conditional write took effect; the row has this version."""

    version: int


class CurrentRow(NamedTuple):
    """The row as it is, by a read or a conflict; 0 and None: absent."""

    version: int
    row: LeaseRow | None


class NoReply(NamedTuple):
    """The store did not answer; a write may have taken effect."""


Reply = Stored | CurrentRow | NoReply

GainReason = Literal["new", "released", "lapsed", "kept"]
LossReason = Literal["released", "lapsed", "taken"]


class Lease(NamedTuple):
    """One process's view of one lease.

    Attributes:
        holder: Name of this process.
        nonce: Unique to this process.
        policy: Times.
        delay: Seconds to wait beyond the lease's end before taking it, so
            that the preferred contender comes first.
        wanted: Whether this process wants to hold it.
        version: Version of the row as last seen; -1 before that.
        row: The row as last seen.
        seen: Own time at which this version was first seen.
        sent: Own time right before the write that is under way was sent.
        until: Own time at which the lease ends; 0 if it is not held.
        taken: Own time at which it was taken.
        unsure: Whether the row must be read before anything else.
        not_before: Own time before which it is not taken.
        least_fence: Fencing number from which on no other holder can have
            had the next one.
        calls: Calls under way that this process makes by the lease.
        worked: Own time until which work of this process may have effects.
        started: Own time at which this process started. The work of one that
            ran on this host before may have effects later.
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
    """Tell whether this process holds the lease."""
    return now < lease.expires - lease.policy.margin


def may_work(lease: Lease, now: float) -> bool:
    """Tell whether new work may begin: it is held and not to be released."""
    return lease.wanted and is_held(lease, now)


def begin_call(lease: Lease) -> Lease:
    """Return the lease with one more call under way."""
    return lease._replace(in_flight=lease.in_flight + 1)


def end_call(lease: Lease, sent: float, answered: bool, now: float) -> Lease:
    """Return the lease after a call.

    Args:
        lease: The lease by which it was made.
        sent: Own time at which the call began.
        answered: Whether its effect is known; else it may still come.
        now: Own time.
    """
    effect = now if answered else max(now, sent + lease.policy.order)
    return lease._replace(
        in_flight=lease.in_flight - 1,
        last_effect=max(lease.last_effect, effect),
    )


def get_fence(lease: Lease) -> int:
    """Return the fencing number of the lease as last seen."""
    return lease.row.fence if lease.row else 0


def may_order(lease: Lease, now: float, checks_fence: bool) -> bool:
    """Tell whether an order may be sent to a runner at this very moment.

    A runner that ignores the fencing number takes any order, so a late one
    of an earlier holder would undo what the new holder ordered. Two rules
    keep their orders apart: each holder sends only what takes effect while
    it still holds the lease, and a new holder first waits for the longest
    order to be over, which is also safe when the earlier one did not know
    how long its order took.

    Args:
        lease: The lease under which the order is given.
        now: Own time.
        checks_fence: Whether the runner refuses old fencing numbers.
    """
    if checks_fence:
        return may_work(lease, now)
    waited = now >= lease.acquired + lease.policy.order
    return waited and may_work(lease, now + lease.policy.order)


def classify_gain(before: Lease) -> GainReason:
    """Return how a lease was free that was just taken.

    Args:
        before: The lease as it was seen before that.
    """
    if before.row is None:
        return "new"
    if before.expires > 0 and _is_own(before):
        return "kept"
    return "lapsed" if before.row.holder else "released"


def classify_loss(lease: Lease) -> LossReason:
    """Return why a lease that was held just now no longer is."""
    if not lease.wanted:
        return "released"
    return "lapsed" if _is_own(lease) else "taken"


def handle_store_rollback(lease: Lease, era: int, now: float) -> Lease:
    """Return the lease after the store came back from an older copy.

    A holder whose lease the store no longer has goes on to the end of it,
    and its fencing number would be given out again.

    Args:
        lease: The lease as last seen.
        era: Number of such returns.
        now: Own time.
    """
    return lease._replace(
        needs_read=True,
        not_before=now
        + max(lease.policy.duration, lease.policy.handback_delay),
        min_fence=make_stamp(era, 0),
    )


def choose_action(lease: Lease, now: float) -> tuple[Lease, Action]:
    """Return what to do next.

    Args:
        lease: The lease as last seen.
        now: Own time, in seconds.
    """
    if lease.needs_read:
        return lease, Read()
    if is_held(lease, now):
        return _keep(lease, now)
    if not lease.wanted:
        return lease, Pause(lease.policy.poll)
    free = _find_free(lease)
    if lease.in_flight and not _is_alone(lease):
        return lease._replace(needs_read=True), Pause(lease.policy.poll)
    if now < free:
        # Looking at the row again shows a renewal, which starts a new wait.
        pause = min(free - now, lease.policy.poll)
        return lease._replace(needs_read=True), Pause(pause)
    row = LeaseRow(
        lease.holder,
        lease.nonce,
        _choose_fence(lease),
        lease.policy.duration,
        tuple(name for name in _list_holders(lease) if name != lease.holder),
    )
    return _send(lease, row, now)


def _keep(lease: Lease, now: float) -> tuple[Lease, Action]:
    row = lease.row
    assert row is not None
    if not lease.wanted:
        if lease.in_flight:
            return lease, Pause(lease.policy.poll)
        # The lease ends here before the row says so.
        lease = lease._replace(
            expires=0.0, last_effect=max(lease.last_effect, now)
        )
        before = (*row.before, row.holder)
        return _send(lease, row._replace(holder="", before=before), now)
    age = now - (lease.expires - lease.policy.duration)
    if age < lease.policy.renew_after:
        return lease, Pause(lease.policy.renew_after - age)
    if (
        now
        >= lease.acquired + lease.policy.order + lease.policy.handback_delay
    ):
        row = row._replace(before=())
    return _send(lease, row, now)


def _find_free(lease: Lease) -> float:
    """Return the own time from which the lease may be taken."""
    free = lease.first_seen
    if lease.row is not None and lease.row.holder:
        # Our own row after we lost track of it counts as anybody's: an order
        # given under its fencing number may still be under way.
        free += lease.row.duration
    if not _is_alone(lease):
        free = max(free, lease.last_effect + lease.policy.handback_delay)
    if lease.holder in _list_holders(lease)[:-1]:
        late = lease.started + lease.policy.order
        free = max(free, late + lease.policy.handback_delay)
    return max(free, lease.not_before) + lease.delay


def _list_holders(lease: Lease) -> tuple[str, ...]:
    """Return who may have worked lately by the row, the last one last."""
    row = lease.row
    if row is None:
        return ()
    return (*row.before, row.holder) if row.holder else row.before


def _choose_fence(lease: Lease) -> int:
    """Return a fencing number that nobody has had.

    After a return of the store the row may be one that a process wrote
    without knowing of the return, over a row with a higher number. Versions
    of the row only rise within an era, whoever writes it.
    """
    if not lease.min_fence:
        return get_fence(lease) + 1
    return max(get_fence(lease), lease.min_fence, lease.version) + 1


def _is_own(lease: Lease) -> bool:
    """Tell whether nobody else has taken the lease since this process."""
    return lease.row is not None and lease.row.nonce == lease.nonce


def _is_alone(lease: Lease) -> bool:
    """Tell whether no other host can have worked since this process.

    A store that came back from an older copy may have lost another's row.
    """
    if lease.row is None:
        return lease.min_fence == 0
    return _is_own(lease) and lease.row.fence > lease.min_fence


def _send(lease: Lease, row: LeaseRow, now: float) -> tuple[Lease, Action]:
    return lease._replace(write_sent=now), Put(lease.version, row)


def apply_reply(
    lease: Lease, put: Put | None, reply: Reply, now: float
) -> Lease:
    """Return the lease after the store's reply.

    Args:
        lease: The lease as it was when the call was made.
        put: What was written; None for a read.
        reply: What came back.
        now: Own time, in seconds.
    """
    match reply:
        case Stored(version):
            assert put is not None
            return _store(lease, put, version, now)
        case CurrentRow(version, row):
            return _see(lease, version, row, now)
        case NoReply():
            # The write may have taken effect. What is held ends when it
            # would have ended without it, and a read shows what is there.
            return lease._replace(needs_read=True)


def _store(lease: Lease, put: Put, version: int, now: float) -> Lease:
    held = put.row.holder == lease.holder
    renewed = held and _is_own(lease) and put.row.fence == get_fence(lease)
    if held and not renewed and put.row.fence <= lease.min_fence:
        # Written before the era was known: another holder may have had it.
        return lease._replace(needs_read=True)
    return lease._replace(
        version=version,
        row=put.row,
        first_seen=now,
        # Counted from before the write was sent: others can only have seen
        # it later. Counted from its reply, a slow store would let this end
        # after another one's wait.
        expires=lease.write_sent + lease.policy.duration if held else 0.0,
        acquired=lease.acquired if renewed else now,
        needs_read=False,
    )


def _see(
    lease: Lease, version: int, row: LeaseRow | None, now: float
) -> Lease:
    if version == lease.version and lease.row == row:
        return lease._replace(needs_read=False)
    ours = row is not None and row.nonce == lease.nonce
    kept = ours and lease.expires > 0 and get_fence(lease) == _fence(row)
    end = min(now, lease.expires - lease.policy.margin)
    return lease._replace(
        version=version,
        row=row,
        first_seen=now,
        # A renewal with a lost reply: still ours, until the earlier end.
        expires=lease.expires if kept else 0.0,
        needs_read=False,
        last_effect=max(lease.last_effect, end)
        if lease.expires > 0
        else lease.last_effect,
    )


def _fence(row: LeaseRow | None) -> int:
    return row.fence if row else 0
