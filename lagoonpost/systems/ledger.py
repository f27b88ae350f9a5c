"""State machine of the booking ledger: each booking runs at most once.

An attempt is one request at one gateway. It claims its idempotency key in the
table service before it dispatches, and only the attempt that wrote the claim
may dispatch. :func:`begin` and :func:`step` turn events into actions; the
driver performs the actions and contains no decisions.
"""

from collections.abc import Callable
from typing import Literal, NamedTuple

from lagoonpost.systems.booking import (
    Action,
    Answered,
    ChooseRunner,
    Earlier,
    Event,
    Lost,
    Mismatch,
    NoReply,
    NoRunner,
    NotRun,
    Outcome,
    Put,
    Ran,
    Refused,
    RowConflict,
    RunnerChosen,
    SendRequest,
    Stored,
    Unknown,
)
from lagoonpost.tables.ledger import (
    ANY_DIGEST,
    LedgerEntry,
    RecordedAnswer,
)

MAX_CLAIM_WRITES = 3
RETRY_BASE_SECONDS = 0.1
RETRY_MAX_SECONDS = 5.0
MAX_RECORDED_BODY_BYTES = 64 * 1024

Phase = Literal["claiming", "placing", "sending", "voiding", "recording"]


class LedgerPolicy(NamedTuple):
    """Ledger timing, in seconds.

    Attributes:
        dispatch_timeout: Maximum time from the start of the claim to the
            dispatch. It covers two store timeouts, so that a claim with one
            lost reply can be resolved.
        write_timeout: How long to retry recording or voiding an entry in
            the background during a store outage.
        retention: How long a key is remembered. It must exceed the time
            during which callers retry.
        clock_skew: Maximum difference between the wall clocks of two hosts.
    """

    dispatch_timeout: float = 5.0
    write_timeout: float = 3600.0
    retention: float = 7 * 86400.0
    clock_skew: float = 60.0


STORE_DOWN = Refused(503, "store_down", 2.0)
TOO_LATE = Refused(503, "too_late", 1.0)


class Attempt(NamedTuple):
    """State of one request at one gateway.

    Attributes:
        claim: The ledger entry that this attempt writes or has written.
        started: Monotonic time at which the claim started, in seconds.
        policy: Ledger timing.
        phase: The step whose result the attempt is waiting for.
        version: Row version that the next write expects.
        claim_uncertain: Whether a claim was sent whose outcome is unknown.
        unanswered_writes: Number of writes without a reply in this phase.
        refusal: Answer for the caller once the claim is void.
        answered: Whether the caller has received an answer.
    """

    claim: LedgerEntry
    started: float
    policy: LedgerPolicy
    phase: Phase = "claiming"
    version: int = 0
    claim_uncertain: bool = False
    unanswered_writes: int = 0
    refusal: Refused = STORE_DOWN
    answered: bool = False


Step = tuple[Attempt, list[Action]]


def make_claim(
    nonce: str,
    digest: str,
    gateway: str,
    wall: float,
    timeout: float,
    policy: LedgerPolicy,
) -> LedgerEntry:
    """Return the ledger entry that claims a key.

    Args:
        nonce: Unique identifier of this attempt.
        digest: Digest of the request.
        gateway: Name of the gateway.
        wall: Wall clock time, in seconds.
        timeout: Runner timeout, in seconds.
        policy: Ledger timing.
    """
    until = wall + policy.dispatch_timeout + timeout
    # Retention starts when the writer can no longer dispatch. If the row
    # were deleted earlier, another gateway could claim the key again while
    # the writer, after a process pause, still dispatches.
    expires = until + policy.retention + policy.clock_skew
    return LedgerEntry("claimed", nonce, digest, gateway, wall, until, expires)


def begin(claim: LedgerEntry, now: float, policy: LedgerPolicy) -> Step:
    """Start an attempt.

    Args:
        claim: Entry from :func:`make_claim`.
        now: Monotonic time, in seconds.
        policy: Ledger timing.

    Returns:
        The new attempt and the write of its claim.
    """
    return Attempt(claim, now, policy), [Put(0, claim)]


def may_dispatch(attempt: Attempt, now: float) -> bool:
    """Return whether the booking may still be dispatched.

    A gateway that is suspended for long between claim and dispatch would run
    a booking that its caller has abandoned and may have repeated under
    another key or, once the row has expired, under the same key. The pause
    shows in the monotonic time since the start of the claim, which is
    checked right before the first byte is sent.
    """
    return now - attempt.started <= attempt.policy.dispatch_timeout


def step(attempt: Attempt, event: Event, now: float) -> Step:
    """Return the attempt after ``event`` and the next actions.

    Args:
        attempt: The attempt before the event.
        event: Result of its last action.
        now: Monotonic time, in seconds.
    """
    return _STEPS[attempt.phase](attempt, event, now)


def _claiming(attempt: Attempt, event: Event, now: float) -> Step:
    match event:
        case Stored(version):
            return _place(attempt, version)
        case RowConflict(version, entry):
            return _handle_conflict(attempt, version, entry, now)
        case NoReply(applied):
            return _resolve_claim(attempt, applied, now)
    raise _unexpected(attempt, event)


def _handle_conflict(
    attempt: Attempt, version: int, entry: LedgerEntry | None, now: float
) -> Step:
    """Handle a claim that conflicts with the current row."""
    # The row no longer has the version that earlier writes expected, so
    # none of them can take effect.
    attempt = attempt._replace(claim_uncertain=False)
    if entry is None or entry.state == "void":
        if not may_dispatch(attempt, now):
            return _answer(attempt, TOO_LATE)
        # A void claim is never dispatched, so the key is free.
        attempt = attempt._replace(version=version)
        return attempt, [Put(version, attempt.claim)]
    if entry.nonce == attempt.claim.nonce:
        # The claim of this attempt succeeded and its reply was lost. The
        # nonce distinguishes it from another gateway's claim for the key.
        return _place(attempt, version)
    return _answer(attempt, _make_key_outcome(attempt, entry))


def _make_key_outcome(attempt: Attempt, entry: LedgerEntry) -> Outcome:
    if entry.digest not in (attempt.claim.digest, ANY_DIGEST):
        return Mismatch()
    return Earlier(entry)


def _resolve_claim(attempt: Attempt, applied: bool | None, now: float) -> Step:
    """Resolve a claim without a reply by writing it again or voiding it."""
    unsettled = attempt.claim_uncertain or applied is None
    attempt = attempt._replace(
        claim_uncertain=unsettled,
        unanswered_writes=attempt.unanswered_writes + 1,
    )
    if not unsettled:
        return _answer(attempt, STORE_DOWN)
    # The write may have taken effect with its reply lost. Dispatching is
    # unsafe if another gateway holds the key, and refusing could leave the
    # claim behind. Repeating the write resolves this: either it succeeds or
    # it returns the row, whose nonce identifies the owner.
    again = applied is None and attempt.unanswered_writes < MAX_CLAIM_WRITES
    if again and may_dispatch(attempt, now):
        return attempt, [Put(attempt.version, attempt.claim)]
    return _void_in_background(attempt, now)


def _void_in_background(attempt: Attempt, now: float) -> Step:
    """Answer the caller at once and void the claim in the background."""
    attempt = attempt._replace(
        phase="voiding", answered=True, unanswered_writes=0
    )
    attempt, retry = _retry(attempt, _make_void_entry(attempt), now)
    return attempt, [Unknown("store_down"), *retry]


def _place(attempt: Attempt, version: int) -> Step:
    attempt = attempt._replace(
        phase="placing", version=version, unanswered_writes=0
    )
    return attempt, [ChooseRunner()]


def _placing(attempt: Attempt, event: Event, now: float) -> Step:
    match event:
        case NoRunner(status, reason, retry_after):
            return _void(attempt, Refused(status, reason, retry_after))
        case RunnerChosen() if may_dispatch(attempt, now):
            return attempt._replace(phase="sending"), [SendRequest()]
        case RunnerChosen():
            return _void(attempt, TOO_LATE)
    raise _unexpected(attempt, event)


def _sending(attempt: Attempt, event: Event, now: float) -> Step:
    match event:
        case NotRun() if may_dispatch(attempt, now):
            return _place(attempt, attempt.version)
        case NotRun():
            return _void(attempt, TOO_LATE)
        case Answered(answer):
            entry = attempt.claim._replace(
                state="recorded", answer=_limit_body(answer)
            )
            return _record(attempt, entry, Ran(answer))
        case Lost(reason):
            entry = attempt.claim._replace(state="lost")
            return _record(attempt, entry, Unknown(reason))
    raise _unexpected(attempt, event)


def _limit_body(answer: RecordedAnswer) -> RecordedAnswer:
    if len(answer.body) <= MAX_RECORDED_BODY_BYTES:
        return answer
    return answer._replace(body=b"", complete=False)


def _record(attempt: Attempt, entry: LedgerEntry, outcome: Outcome) -> Step:
    """Answer the caller at once and record the result in the ledger."""
    attempt = attempt._replace(
        phase="recording", claim=entry, answered=True, unanswered_writes=0
    )
    return attempt, [outcome, Put(attempt.version, entry)]


def _recording(attempt: Attempt, event: Event, now: float) -> Step:
    match event:
        case Stored():
            return attempt, []
        case RowConflict(version, entry):
            is_own = entry is not None and entry.nonce == attempt.claim.nonce
            if not is_own or entry == attempt.claim:
                return attempt, []
            attempt = attempt._replace(version=version)
            return _retry(attempt, attempt.claim, now)
        case NoReply():
            attempt = attempt._replace(
                unanswered_writes=attempt.unanswered_writes + 1
            )
            return _retry(attempt, attempt.claim, now)
    raise _unexpected(attempt, event)


def _void(attempt: Attempt, refusal: Refused) -> Step:
    """Void the claim before answering that the booking did not run.

    The caller retries after this answer, possibly at another gateway. With
    the claim still in place that retry would be answered "unknown", and the
    booking would be lost although it was never dispatched.
    """
    attempt = attempt._replace(
        phase="voiding", refusal=refusal, unanswered_writes=0
    )
    return attempt, [Put(attempt.version, _make_void_entry(attempt))]


def _voiding(attempt: Attempt, event: Event, now: float) -> Step:
    match event:
        case Stored():
            return _answer(attempt, attempt.refusal)
        case RowConflict(version, entry):
            return _void_found(attempt, version, entry, now)
        case NoReply():
            if not attempt.answered:
                return _void_in_background(attempt, now)
            attempt = attempt._replace(
                unanswered_writes=attempt.unanswered_writes + 1
            )
            return _retry(attempt, _make_void_entry(attempt), now)
    raise _unexpected(attempt, event)


def _void_found(
    attempt: Attempt, version: int, entry: LedgerEntry | None, now: float
) -> Step:
    is_own = entry is None or entry.nonce == attempt.claim.nonce
    if entry is not None and entry.state == "void":
        return _answer(attempt, attempt.refusal)
    if is_own:
        attempt = attempt._replace(version=version)
        return _retry(attempt, _make_void_entry(attempt), now)
    # Another attempt holds the key and may run the booking. The caller would
    # take "not run" to apply to the key, so it gets that entry's state.
    assert entry is not None
    return _answer(attempt, _make_key_outcome(attempt, entry))


def _make_void_entry(attempt: Attempt) -> LedgerEntry:
    """Return the claim with state ``void``.

    The row is overwritten rather than deleted, because a claim that is still
    in flight to the store must find the key taken.
    """
    return attempt.claim._replace(state="void")


def _answer(attempt: Attempt, outcome: Outcome) -> Step:
    if attempt.answered:
        return attempt, []
    return attempt._replace(answered=True), [outcome]


def _retry(attempt: Attempt, entry: LedgerEntry, now: float) -> Step:
    """Repeat a write with exponential backoff until ``write_timeout``."""
    if now - attempt.started > attempt.policy.write_timeout:
        return _answer(attempt, Unknown("store_down"))
    delay = RETRY_BASE_SECONDS * 2.0 ** min(attempt.unanswered_writes, 10)
    put = Put(attempt.version, entry, min(delay, RETRY_MAX_SECONDS))
    return attempt, [put]


def _unexpected(attempt: Attempt, event: Event) -> AssertionError:
    return AssertionError(f"unexpected {event} in phase {attempt.phase}")


_STEPS: dict[Phase, Callable[[Attempt, Event, float], Step]] = {
    "claiming": _claiming,
    "placing": _placing,
    "sending": _sending,
    "voiding": _voiding,
    "recording": _recording,
}


def find_expired(
    entries: dict[str, LedgerEntry], wall: float
) -> tuple[str, ...]:
    """Return the keys of entries that have expired.

    Args:
        entries: Ledger entries by key.
        wall: Wall clock time, in seconds.
    """
    return tuple(
        key for key, entry in entries.items() if entry.expires_at < wall
    )
