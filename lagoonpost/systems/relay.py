"""State machine of one streamed answer.

Load pattern: thousands of tokens a second, nearly all in order and on time,
while runners, connections and whole hosts fail. If each failure were handled
where it is detected, combinations of failures would lose a token, repeat one,
or mix the answers of two runners.

Three rules give the guarantee:

- A token is emitted only if its offset equals the number of tokens emitted so
  far. Duplicates are dropped, early tokens are buffered, gaps are fetched
  again.
- Each move to another runner starts a new attempt, and tokens of earlier
  attempts are dropped: another runner may sample other tokens, so tokens of
  two attempts must not share the same offsets.
- An answer is finished only if the closing event arrived and all tokens that
  it counts were emitted.
"""

from collections.abc import Callable
from enum import Enum

from lagoonpost.systems.relay_event import (
    Action,
    Arrived,
    Attached,
    AttemptFailed,
    Cancel,
    Closed,
    Emit,
    Event,
    Execution,
    Expired,
    Export,
    Exported,
    Fail,
    FailureKind,
    Finish,
    Interrupted,
    Leaving,
    NotPlaced,
    Open,
    Opened,
    Place,
    Placed,
    Probe,
    Rejected,
)
from lagoonpost.tables.entity import Runner

# Tokens buffered behind a missing one before it is fetched again. Reordering
# affects one or two neighbours; 64 tokens are 2.4 s of an answer at 38 ms a
# token.
MAX_EARLY_TOKENS = 64
# Consecutive probes without a token. One resolves a closed or silent
# connection; the second covers a probe whose own connection is closed.
MAX_PROBES = 2
# Moves of one answer. Reclaims come in waves, so several moves of one long
# draft are normal; the limit only ends a loop that the placement failed to
# prevent.
MAX_MOVES = 16
# Retry delay for a caller whose answer failed. The next attempt is placed
# afresh, so a short delay is enough.
RETRY_SECONDS = 1.0

# A runner is probed after SILENCE_GAPS mean gaps between tokens without a
# token, but not before the minimum. With exponentially distributed gaps the
# probe is wrong once in e**12 = 160 000 gaps: 4 to 5 times a second over a
# fleet at 740 000 tokens a second, each costing one connection. The minimum is
# 13 gaps at the target of 38 ms, as a mean over few reads is uncertain.
SILENCE_GAPS = 12.0
MIN_SILENCE_SECONDS = 0.5
# Before the first token: twice the target of 1.9 s. By then this runner has
# missed the target; a shorter limit would move prefills under normal load.
FIRST_TOKEN_SILENCE_SECONDS = 3.8


def silence_limit(mean_gap: float, has_tokens: bool, probed: bool) -> float:
    """Return the seconds without a token after which to probe or move.

    Args:
        mean_gap: Mean seconds between reads of this answer.
        has_tokens: Whether this attempt has produced tokens.
        probed: Whether a probe already showed the runner to be reachable. The
            next step is a move, which costs a prefill, so the limit doubles.
    """
    limit = FIRST_TOKEN_SILENCE_SECONDS
    if has_tokens:
        limit = max(MIN_SILENCE_SECONDS, SILENCE_GAPS * mean_gap)
    return 2 * limit if probed else limit


class Phase(Enum):
    """Phase of an answer."""

    PLACING = "placing"
    OPENING = "opening"
    STREAMING = "streaming"
    PROBING = "probing"
    ENDED = "ended"


class Relay:
    """State of one answer.

    Attributes:
        tokens: Tokens emitted so far, including those that an earlier gateway
            emitted.
        phase: Phase of the answer.
        attempt: Number of the current attempt; tokens of other attempts are
            dropped.
        runner: Runner of the current attempt.
        successor: Runner that takes over when the current one shuts down.
        leaving_at: Time at which the current runner shuts down, if known.
        early: Buffered tokens behind a missing one, by offset.
        closed: The closing event, once it arrived.
        probes: Consecutive probes without a token.
        moves: Moves to another runner so far.
        execution: Whether the request may have run, over all attempts.
        reached: Whether the attempt may have reached its runner.
    """

    def __init__(self, tokens: list[str]) -> None:
        self.tokens = tokens
        self.phase = Phase.PLACING
        self.attempt = 0
        self.runner: Runner | None = None
        self.successor: Runner | None = None
        self.leaving_at: float | None = None
        self.early: dict[int, list[str]] = {}
        self.closed: Closed | None = None
        self.probes = 0
        self.moves = 0
        self.execution: Execution = "not_run"
        self.reached = False


def step(relay: Relay, event: Event) -> list[Action]:
    """Update ``relay`` with ``event`` and return the actions in order."""
    # Late events of an earlier attempt may still be in flight when the answer
    # has moved to a runner that samples other tokens.
    if getattr(event, "attempt", relay.attempt) != relay.attempt:
        return []
    handler = _TABLE.get((relay.phase, type(event)))
    if handler is None:
        return []
    return handler(relay, event)


def _start(relay: Relay, event: Placed) -> list[Action]:
    relay.attempt += 1
    relay.runner = event.runner
    relay.successor = None
    relay.leaving_at = None
    relay.early.clear()
    relay.closed = None
    relay.probes = 0
    relay.reached = False
    relay.phase = Phase.OPENING
    return [Open(relay.attempt, event.runner)]


def _attach(relay: Relay, event: Attached) -> list[Action]:
    relay.attempt += 1
    relay.runner = event.runner
    # The runner has the answer, so it must never be reported as not run.
    relay.execution = "ran"
    relay.reached = True
    return _probe(relay)


def _fail_not_placed(relay: Relay, event: NotPlaced) -> list[Action]:
    return _fail(relay, event.reason, event.retry_after)


def _fail(
    relay: Relay, reason: str, retry_after: float | None
) -> list[Action]:
    relay.phase = Phase.ENDED
    return [Fail(relay.execution, reason, retry_after)]


def _expire(relay: Relay, event: Expired) -> list[Action]:
    actions: list[Action] = []
    if relay.phase is not Phase.PLACING and relay.runner is not None:
        actions.append(Cancel(relay.runner))
    return actions + _fail(relay, event.reason, event.retry_after)


def _begin_reading(relay: Relay, event: Opened) -> list[Action]:
    relay.phase = Phase.STREAMING
    relay.execution = "ran"
    relay.reached = True
    return []


def _receive_tokens(relay: Relay, event: Arrived) -> list[Action]:
    emitted = len(relay.tokens)
    if event.offset > emitted:
        return _buffer_early(relay, event)
    new_tokens = event.tokens[emitted - event.offset :]
    if not new_tokens:
        return []
    relay.probes = 0
    relay.tokens += new_tokens
    if relay.early:
        new_tokens = new_tokens + _drain_early(relay)
    return [Emit(emitted, new_tokens), *_finish_if_complete(relay)]


def _buffer_early(relay: Relay, event: Arrived) -> list[Action]:
    relay.early[event.offset] = event.tokens
    buffered = sum(len(tokens) for tokens in relay.early.values())
    if buffered <= MAX_EARLY_TOKENS:
        return []
    # The missing token is lost, not late. Without another fetch the caller's
    # stream would stall while later tokens keep arriving.
    return _probe(relay)


def _drain_early(relay: Relay) -> list[str]:
    drained: list[str] = []
    for offset in sorted(relay.early):
        emitted = len(relay.tokens)
        if offset > emitted:
            break
        new_tokens = relay.early.pop(offset)[emitted - offset :]
        relay.tokens += new_tokens
        drained += new_tokens
    return drained


def _close(relay: Relay, event: Closed) -> list[Action]:
    if event.usage.completion_tokens < len(relay.tokens):
        # The event counts fewer tokens than the caller received, so it does
        # not close this answer.
        return _move(relay, "failed")
    relay.closed = event
    return _finish_if_complete(relay)


def _finish_if_complete(relay: Relay) -> list[Action]:
    closed = relay.closed
    if closed is None:
        return []
    if closed.usage.completion_tokens != len(relay.tokens):
        return []
    relay.phase = Phase.ENDED
    return [Finish(closed.finish_reason, closed.usage)]


def _interrupt(relay: Relay, event: Interrupted) -> list[Action]:
    if relay.successor is not None:
        return _switch(relay)
    if relay.leaving_at is not None and not event.silent:
        # The announced shutdown is the likeliest cause of the closed
        # connection; a probe would only use up time needed for the move.
        return _move(relay, "leaving")
    if relay.probes >= MAX_PROBES or (event.silent and relay.probes):
        return _move(relay, "silent" if event.silent else "lost")
    return _probe(relay)


def _probe(relay: Relay) -> list[Action]:
    assert relay.runner is not None
    if relay.probes >= MAX_PROBES:
        return _move(relay, "lost")
    relay.probes += 1
    relay.early.clear()
    relay.phase = Phase.PROBING
    return [Probe(relay.attempt, relay.runner, len(relay.tokens))]


def _fail_attempt(relay: Relay, event: AttemptFailed) -> list[Action]:
    relay.reached = relay.reached or event.execution != "not_run"
    if relay.execution == "not_run":
        relay.execution = event.execution
    return _move(relay, event.kind)


def _reject(relay: Relay, event: Rejected) -> list[Action]:
    return _fail(relay, f"rejected_{event.status}", None)


def _move(relay: Relay, kind: FailureKind) -> list[Action]:
    assert relay.runner is not None
    if relay.successor is not None:
        return _switch(relay)
    relay.moves += 1
    # While the placement decides, events of the old attempt match no handler
    # in the table; afterwards they carry an outdated attempt number.
    relay.phase = Phase.PLACING
    actions: list[Action] = []
    if kind in ("silent", "leaving", "lost"):
        actions.append(Cancel(relay.runner))
    if relay.moves > MAX_MOVES:
        return actions + _fail(relay, "too_many_moves", RETRY_SECONDS)
    return [*actions, Place(relay.runner, kind)]


def _leave(relay: Relay, event: Leaving) -> list[Action]:
    assert relay.runner is not None
    if relay.leaving_at is not None:
        return []
    if relay.tokens and event.expected_end < event.deadline:
        # The answer finishes in time where it is; a move would only recompute
        # tokens.
        return []
    relay.leaving_at = event.deadline
    return [Place(relay.runner, "leaving")]


def _take_successor(relay: Relay, event: Placed) -> list[Action]:
    assert relay.runner is not None
    assert relay.leaving_at is not None
    relay.successor = event.runner
    exportable = event.runner.version == relay.runner.version
    if not relay.tokens or not exportable:
        # KV caches are incompatible between versions: never import one.
        return _switch(relay)
    return [
        Export(relay.attempt, relay.runner, event.runner, relay.leaving_at)
    ]


def _stay(relay: Relay, event: NotPlaced) -> list[Action]:
    # No other runner is free now. The leaving one still works, and another may
    # become free before it shuts down.
    return []


def _switch_exported(relay: Relay, event: Exported) -> list[Action]:
    return _switch(relay)


def _switch(relay: Relay) -> list[Action]:
    assert relay.runner is not None
    assert relay.successor is not None
    old = relay.runner
    return [Cancel(old), *_start(relay, Placed(relay.successor))]


_Handler = Callable[[Relay, Event], list[Action]]

_READING: dict[type, Callable[..., list[Action]]] = {
    Arrived: _receive_tokens,
    Closed: _close,
    Interrupted: _interrupt,
    AttemptFailed: _fail_attempt,
    Rejected: _reject,
    Leaving: _leave,
    Placed: _take_successor,
    NotPlaced: _stay,
    Exported: _switch_exported,
    Expired: _expire,
}
_BY_PHASE: dict[Phase, dict[type, Callable[..., list[Action]]]] = {
    Phase.PLACING: {
        Placed: _start,
        Attached: _attach,
        NotPlaced: _fail_not_placed,
        Expired: _expire,
    },
    Phase.OPENING: {**_READING, Opened: _begin_reading},
    Phase.STREAMING: _READING,
    Phase.PROBING: {**_READING, Opened: _begin_reading},
}
_TABLE: dict[tuple[Phase, type], _Handler] = {
    (phase, kind): handler
    for phase, handlers in _BY_PHASE.items()
    for kind, handler in handlers.items()
}
