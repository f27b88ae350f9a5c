"""The booking ledger's decisions: how one booking runs at most once.

One attempt is one request at one gateway. It claims its key in the table
service before it dispatches, and only the attempt that wrote the claim ever
dispatches. :func:`begin` and :func:`step` take what happened and give what to
do next; the driver carries that out and knows no rules of its own.
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
from lagoonpost.tables.ledger import LedgerEntry, RecordedAnswer

MAX_CLAIM_WRITES = 3
RETRY_BASE_SECONDS = 0.1
RETRY_MAX_SECONDS = 5.0
MAX_RECORDED_BODY_BYTES = 64 * 1024

Phase = Literal["claiming", "placing", "sending", "voiding", "recording"]


class LedgerPolicy(NamedTuple):
    """Times of the ledger, all in seconds.

    Attributes:
        dispatch: Longest time from the claim's start to its dispatch. Two
            store timeouts fit in, so that one lost reply can be settled.
        settle: How long to go on trying to record or void in the
            background, through an outage of the store.
        retention: How long a key is remembered. It must be longer than a
            caller goes on retrying.
        skew: Largest difference between the wall clocks of two hosts.
    """

    dispatch_timeout: float = 5.0
    write_timeout: float = 3600.0
    retention: float = 7 * 86400.0
    clock_skew: float = 60.0


STORE_DOWN = Refused(503, "store_down", 2.0)
TOO_LATE = Refused(503, "too_late", 1.0)


class Attempt(NamedTuple):
    """One request at one gateway on its way through the ledger.

    Attributes:
        claim: The entry that this attempt writes, or has written.
        started: Monotonic time at which the claim began.
        policy: The ledger's times.
        phase: What it waits for.
        version: Version of the row it wants to replace.
        unsettled: Whether a claim was sent whose fate is not known.
        tries: Writes without a reply in this phase.
        refusal: What to answer once the claim is void.
        answered: Whether the caller has its answer.
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
    """Return the entry that claims a key.

    Args:
        nonce: Unique to this attempt.
        digest: Digest of the request.
        gateway: Name of the gateway.
        wall: Wall clock time, in seconds.
        timeout: Seconds the runner has for its answer.
        policy: The ledger's times.
    """
    until = wall + policy.dispatch_timeout + timeout
    # Expiry is reckoned from the moment at which the writer can no longer
    # dispatch. Were the row deleted earlier, another gateway could claim the
    # key anew while a writer that was frozen still dispatches.
    expires = until + policy.retention + policy.clock_skew
    return LedgerEntry("claimed", nonce, digest, gateway, wall, until, expires)


def begin(claim: LedgerEntry, now: float, policy: LedgerPolicy) -> Step:
    """Start an attempt.

    Args:
        claim: From :func:`make_claim`.
        now: Monotonic time, in seconds.
        policy: The ledger's times.
    """
    return Attempt(claim, now, policy), [Put(0, claim)]


def may_dispatch(attempt: Attempt, now: float) -> bool:
    """Tell whether the dispatch may still go out.

    A gateway that is frozen between its claim and the dispatch and thawed
    long after would run a booking that its caller has given up and that
    may have been taken under another key, or, once the row has expired,
    even under the same. The time since the claim began, on a monotonic
    clock and checked right before the bytes leave, shows the pause.
    """
    return now - attempt.started <= attempt.policy.dispatch_timeout


def step(attempt: Attempt, event: Event, now: float) -> Step:
    """Return the attempt after ``event`` and what to do next.

    Args:
        attempt: The attempt before.
        event: What came of its last action.
        now: Monotonic time, in seconds.
    """
    return _STEPS[attempt.phase](attempt, event, now)


def _claiming(attempt: Attempt, event: Event, now: float) -> Step:
    match event:
        case Stored(version):
            return _place(attempt, version)
        case RowConflict(version, entry):
            return _contend(attempt, version, entry, now)
        case NoReply(applied):
            return _doubt_claim(attempt, applied, now)
    raise _unexpected(attempt, event)


def _contend(
    attempt: Attempt, version: int, entry: LedgerEntry | None, now: float
) -> Step:
    """Go on by what is in the row that was to be claimed."""
    # The row has moved on from the version that earlier tries asked for,
    # so none of them can take effect any more.
    attempt = attempt._replace(claim_uncertain=False)
    if entry is None or entry.state == "void":
        if not may_dispatch(attempt, now):
            return _answer(attempt, TOO_LATE)
        # Nobody dispatches a void claim any more, so the key is free.
        attempt = attempt._replace(version=version)
        return attempt, [Put(version, attempt.claim)]
    if entry.nonce == attempt.claim.nonce:
        # The reply to our own claim was lost and the claim is there: the
        # nonce tells it from a claim of another gateway for the same key.
        return _place(attempt, version)
    return _answer(attempt, _judge(attempt, entry))


def _judge(attempt: Attempt, entry: LedgerEntry) -> Outcome:
    if entry.digest != attempt.claim.digest:
        return Mismatch()
    return Earlier(entry)


def _doubt_claim(attempt: Attempt, applied: bool | None, now: float) -> Step:
    """Settle a claim without a reply, by claiming again or voiding."""
    unsettled = attempt.claim_uncertain or applied is None
    attempt = attempt._replace(
        claim_uncertain=unsettled,
        unanswered_writes=attempt.unanswered_writes + 1,
    )
    if not unsettled:
        return _answer(attempt, STORE_DOWN)
    # The write may have taken effect with its reply lost. Dispatching would
    # be wrong if another gateway has the key, and refusing would leave our
    # row behind. The same write again settles it: it either takes effect
    # or shows the row, and the nonce in it says whose it is.
    again = applied is None and attempt.unanswered_writes < MAX_CLAIM_WRITES
    if again and may_dispatch(attempt, now):
        return attempt, [Put(attempt.version, attempt.claim)]
    return _give_up(attempt, now)


def _give_up(attempt: Attempt, now: float) -> Step:
    """Tell the caller at once; void the claim in the background."""
    attempt = attempt._replace(
        phase="voiding", answered=True, unanswered_writes=0
    )
    attempt, retry = _retry(attempt, _voided(attempt), now)
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
                state="recorded", answer=_bound(answer)
            )
            return _record(attempt, entry, Ran(answer))
        case Lost(reason):
            entry = attempt.claim._replace(state="lost")
            return _record(attempt, entry, Unknown(reason))
    raise _unexpected(attempt, event)


def _bound(answer: RecordedAnswer) -> RecordedAnswer:
    if len(answer.body) <= MAX_RECORDED_BODY_BYTES:
        return answer
    return answer._replace(body=b"", whole=False)


def _record(attempt: Attempt, entry: LedgerEntry, outcome: Outcome) -> Step:
    """Answer the caller at once and write the result down."""
    attempt = attempt._replace(
        phase="recording", claim=entry, answered=True, unanswered_writes=0
    )
    return attempt, [outcome, Put(attempt.version, entry)]


def _recording(attempt: Attempt, event: Event, now: float) -> Step:
    match event:
        case Stored():
            return attempt, []
        case RowConflict(version, entry):
            ours = entry is not None and entry.nonce == attempt.claim.nonce
            if not ours or entry == attempt.claim:
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
    """Void the claim before the caller hears that it was not run.

    The caller tries again on this answer, maybe at another gateway. A claim
    left behind would answer that try "unknown", and the booking would be
    lost although nobody ever dispatches it.
    """
    attempt = attempt._replace(
        phase="voiding", refusal=refusal, unanswered_writes=0
    )
    return attempt, [Put(attempt.version, _voided(attempt))]


def _voiding(attempt: Attempt, event: Event, now: float) -> Step:
    match event:
        case Stored():
            return _answer(attempt, attempt.refusal)
        case RowConflict(version, entry):
            return _void_found(attempt, version, entry, now)
        case NoReply():
            if not attempt.answered:
                return _give_up(attempt, now)
            attempt = attempt._replace(
                unanswered_writes=attempt.unanswered_writes + 1
            )
            return _retry(attempt, _voided(attempt), now)
    raise _unexpected(attempt, event)


def _void_found(
    attempt: Attempt, version: int, entry: LedgerEntry | None, now: float
) -> Step:
    ours = entry is None or entry.nonce == attempt.claim.nonce
    if entry is not None and entry.state == "void":
        return _answer(attempt, attempt.refusal)
    if ours:
        attempt = attempt._replace(version=version)
        return _retry(attempt, _voided(attempt), now)
    # Another attempt holds the key and may run it: "not run" would be
    # heard as being about the key, so the caller gets that entry's state.
    assert entry is not None
    return _answer(attempt, _judge(attempt, entry))


def _voided(attempt: Attempt) -> LedgerEntry:
    """Return the void entry.

    It is written as a row of its own and not as a deletion, since a claim
    that is still on its way to the store must find the key taken.
    """
    return attempt.claim._replace(state="void")


def _answer(attempt: Attempt, outcome: Outcome) -> Step:
    if attempt.answered:
        return attempt, []
    return attempt._replace(answered=True), [outcome]


def _retry(attempt: Attempt, entry: LedgerEntry, now: float) -> Step:
    """Write again after a while, unless it has been too long."""
    if now - attempt.started > attempt.policy.write_timeout:
        return _answer(attempt, Unknown("store_down"))
    delay = RETRY_BASE_SECONDS * 2.0 ** min(attempt.unanswered_writes, 10)
    put = Put(attempt.version, entry, min(delay, RETRY_MAX_SECONDS))
    return attempt, [put]


def _unexpected(attempt: Attempt, event: Event) -> AssertionError:
    return AssertionError(f"{event} while {attempt.phase}")


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
    """Return the keys of entries that may be deleted at time ``wall``."""
    return tuple(key for key, entry in entries.items() if entry.expires < wall)
