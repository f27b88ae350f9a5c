"""One streamed answer as a state table: what to do on each event.

Pattern of load: thousands of tokens a second, nearly all in order and on
time, while runners, connections and whole hosts go away under them.
Without a table of this kind each failure is handled where it shows, and
their combinations lose a token, repeat one, or mix two runners' answers.

Three rules carry the guarantee:

- A token is emitted only if its offset is the number of tokens emitted so
  far. Copies are dropped, early ones wait, gaps are fetched again.
- Each move to another runner starts a new attempt, and what an earlier
  attempt still sends is dropped: another runner may sample other tokens,
  so tokens of two attempts must not be mixed behind the same offset.
- An answer is finished only if the closing event came and all the tokens
  that it counts were emitted.
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

# Tokens that wait for an earlier one before it is fetched again. Neighbours
# swap by one or two; 64 is 2.4 s of an answer at 38 ms a token.
MAX_EARLY_TOKENS = 64
# Probes in a row that bring no token. One settles a cut or silent
# connection. The second covers a probe that is itself cut.
MAX_PROBES = 2
# Moves of one answer. Reclaims come in waves, so several in one long draft
# are ordinary; the bound only ends a loop that the placement let happen.
MAX_MOVES = 16
# When to come back after an answer was given up for its own sake. The next
# try is another placement, so a short while is enough.
RETRY_SECONDS = 1.0

# Silence after which a runner is probed: SILENCE_GAPS usual gaps, not
# less than the floor. With exponentially distributed gaps the probe is
# wrong once in e**12 = 160 000 gaps, 4 to 5 times a second over the whole
# fleet at 740 000 tokens a second, each costing one connection. The floor
# is 13 gaps at the target of 38 ms, for a mean over few reads is uncertain.
SILENCE_GAPS = 12.0
MIN_SILENCE_SECONDS = 0.5
# Before the first token: twice the target of 1.9 s. By then this runner has
# missed the target, and less would move prefills about under plain load.
FIRST_TOKEN_SILENCE_SECONDS = 3.8


def silence_limit(mean_gap: float, has_tokens: bool, probed: bool) -> float:
    """Return the seconds without a token after which to act.

    Args:
        mean_gap: Mean seconds between reads of this answer.
        has_tokens: Whether this attempt gave tokens.
        probed: Whether a probe already showed the runner to be reachable.
            The move that comes next costs a prefill, so it waits longer.
    """
    limit = FIRST_TOKEN_SILENCE_SECONDS
    if has_tokens:
        limit = max(MIN_SILENCE_SECONDS, SILENCE_GAPS * mean_gap)
    return 2 * limit if probed else limit


class Phase(Enum):
    """Where an answer stands."""

    PLACING = "placing"
    OPENING = "opening"
    STREAMING = "streaming"
    PROBING = "probing"
    ENDED = "ended"


class Relay:
    """State of one answer.

    Attributes:
        tokens: What was emitted, and what came before this gateway.
        attempt: Number of the attempt whose tokens count.
        runner: Where the attempt runs.
        reached: Whether the attempt may have reached its runner.
        successor: Where it will go when its runner leaves.
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
    """Update ``relay`` by ``event`` and return what to do, in order."""
    # An earlier attempt's late events: its connection may have had them in
    # flight while the answer moved on to a runner with other samples.
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
    # The runner had it, so nothing may say later that it was not run.
    relay.execution = "ran"
    relay.reached = True
    return _probe(relay)


def _refuse(relay: Relay, event: NotPlaced) -> list[Action]:
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


def _take(relay: Relay, event: Arrived) -> list[Action]:
    have = len(relay.tokens)
    if event.offset > have:
        return _keep_early(relay, event)
    fresh = event.tokens[have - event.offset :]
    if not fresh:
        return []
    relay.probes = 0
    relay.tokens += fresh
    if relay.early:
        fresh = fresh + _drain_early(relay)
    return [Emit(have, fresh), *_finish_if_whole(relay)]


def _keep_early(relay: Relay, event: Arrived) -> list[Action]:
    relay.early[event.offset] = event.tokens
    waiting = sum(len(tokens) for tokens in relay.early.values())
    if waiting <= MAX_EARLY_TOKENS:
        return []
    # The token before these is lost, not late: without a new fetch, the
    # caller would see the answer stop while parts go on coming in.
    return _probe(relay)


def _drain_early(relay: Relay) -> list[str]:
    drained: list[str] = []
    for offset in sorted(relay.early):
        have = len(relay.tokens)
        if offset > have:
            break
        fresh = relay.early.pop(offset)[have - offset :]
        relay.tokens += fresh
        drained += fresh
    return drained


def _close(relay: Relay, event: Closed) -> list[Action]:
    if event.usage.completion_tokens < len(relay.tokens):
        # It counts fewer tokens than the caller has: not this answer's end.
        return _move(relay, "failed")
    relay.closed = event
    return _finish_if_whole(relay)


def _finish_if_whole(relay: Relay) -> list[Action]:
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
        # An announced end is the likeliest cause of a cut connection; a
        # probe would only lose the time that a move needs.
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
    # While the placement decides, tokens of the old attempt find no row in
    # the table; once it has decided, they carry an old number.
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
        # It ends in time where it is; a move would only cost tokens.
        return []
    relay.leaving_at = event.deadline
    return [Place(relay.runner, "leaving")]


def _take_successor(relay: Relay, event: Placed) -> list[Action]:
    assert relay.runner is not None
    assert relay.leaving_at is not None
    relay.successor = event.runner
    exportable = event.runner.version == relay.runner.version
    if not relay.tokens or not exportable:
        # Another version's KV cache holds other numbers: never import it.
        return _switch(relay)
    return [
        Export(relay.attempt, relay.runner, event.runner, relay.leaving_at)
    ]


def _stay(relay: Relay, event: NotPlaced) -> list[Action]:
    # No other runner now. The leaving one still works, and another may be
    # free by the time that it goes.
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
    Arrived: _take,
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
        NotPlaced: _refuse,
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
