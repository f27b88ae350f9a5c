"""Tests of lagoonpost.systems.relay with events in any order."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lagoonpost.systems.relay import (
    FIRST_TOKEN_SILENCE_SECONDS,
    MAX_EARLY_TOKENS,
    MAX_MOVES,
    MIN_SILENCE_SECONDS,
    Phase,
    Relay,
    silence_limit,
    step,
)
from lagoonpost.systems.relay_event import (
    Action,
    Arrived,
    Attached,
    AttemptFailed,
    Cancel,
    Closed,
    Emit,
    Event,
    Expired,
    Export,
    Exported,
    Fail,
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
from lagoonpost.tables.token_usage import TokenUsage

LENGTH = 12


def _runner(name: str, version: str = "v1") -> Runner:
    return Runner(name, "127.0.0.1:1", "m", version, "h", "d")


def _token(attempt: int, offset: int) -> str:
    return f"{attempt}:{offset}"


def _closing(attempt: int) -> Closed:
    return Closed(attempt, "stop", TokenUsage(completion_tokens=LENGTH))


class _Engine:
    """Runner of one attempt; each attempt generates different tokens."""

    def __init__(self, attempt: int, base: int) -> None:
        self.attempt = attempt
        self.made = base

    def make(self, count: int) -> list[Event]:
        start = self.made
        self.made = min(LENGTH, start + count)
        return self.resend(start, count)

    def resend(self, after: int, most: int = 1) -> list[Event]:
        events: list[Event] = []
        for start in range(after, self.made, most):
            end = min(self.made, start + most)
            tokens = [_token(self.attempt, n) for n in range(start, end)]
            events.append(Arrived(self.attempt, start, tokens))
        if self.made == LENGTH:
            events.append(_closing(self.attempt))
        return events


class RelayMachine(RuleBasedStateMachine):
    """Network that reorders, duplicates, delays and loses parts of answers.

    Runners crash, freeze, refuse and shut down meanwhile. The caller's tokens
    are checked one by one against the attempt current at the time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.relay = Relay([])
        self.got: list[str] = []
        self.flying: list[Event] = []
        self.engine: _Engine | None = None
        self.asked = 0
        self.exporting: Export | None = None
        self.closed: set[int] = set()
        self.end: Finish | Fail | None = None

    def feed(self, event: Event) -> None:
        if isinstance(event, Closed):
            self.closed.add(event.attempt)
        for action in step(self.relay, event):
            assert self.end is None, "nothing may follow the end"
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        match action:
            case Emit(offset, tokens):
                assert offset == len(self.got)
                for token in tokens:
                    expected = _token(self.relay.attempt, len(self.got))
                    assert token == expected
                    self.got.append(token)
            case Open(attempt, _):
                self.engine = _Engine(attempt, len(self.got))
            case Probe(attempt, _, after):
                assert after == len(self.got)
                assert self.engine is not None
                assert attempt == self.engine.attempt
                self.flying += [Opened(attempt), *self.engine.resend(after)]
            case Place():
                self.asked += 1
            case Export():
                self.exporting = action
            case Finish():
                assert len(self.got) == LENGTH
                assert self.relay.attempt in self.closed
                self.end = action
            case Fail():
                self.end = action
            case Cancel():
                pass

    def reading(self) -> bool:
        return self.relay.phase not in (Phase.PLACING, Phase.ENDED)

    @initialize(attach=st.booleans())
    def start(self, attach: bool) -> None:
        if attach:
            # Another gateway started the request; this one resumes its stream.
            self.engine = _Engine(1, 0)
            self.engine.made = 3
            self.feed(Attached(_runner("e0")))
        else:
            self.feed(Placed(_runner("e0")))

    @precondition(lambda self: self.reading())
    @rule(count=st.integers(1, 4))
    def generate(self, count: int) -> None:
        assert self.engine is not None
        self.flying += [Opened(self.engine.attempt)]
        self.flying += self.engine.make(count)

    @precondition(lambda self: self.flying)
    @rule(index=st.integers(0, 30), keep=st.booleans())
    def deliver(self, index: int, keep: bool) -> None:
        index %= len(self.flying)
        event = self.flying[index]
        if not keep:
            del self.flying[index]
        self.feed(event)

    @precondition(lambda self: self.flying)
    @rule()
    def deliver_all(self) -> None:
        flying, self.flying = self.flying, []
        for event in flying:
            self.feed(event)

    @precondition(lambda self: self.flying)
    @rule(index=st.integers(0, 30))
    def lose(self, index: int) -> None:
        del self.flying[index % len(self.flying)]

    @precondition(lambda self: self.reading())
    @rule(silent=st.booleans())
    def interrupt(self, silent: bool) -> None:
        self.feed(Interrupted(self.relay.attempt, silent))

    @precondition(lambda self: self.reading())
    @rule(kind=st.sampled_from(["refused", "failed", "lost"]))
    def crash(self, kind: str) -> None:
        execution = "not_run" if kind == "refused" else "unknown"
        self.feed(
            AttemptFailed(self.relay.attempt, kind, execution)  # type: ignore[arg-type]
        )

    @precondition(lambda self: self.reading())
    @rule(end=st.sampled_from([1.0, 9.0]))
    def leave(self, end: float) -> None:
        self.feed(Leaving(self.relay.attempt, 5.0, end))

    @precondition(lambda self: self.exporting)
    @rule()
    def export(self) -> None:
        assert self.exporting is not None
        attempt, self.exporting = self.exporting.attempt, None
        self.feed(Exported(attempt))

    @precondition(lambda self: self.asked)
    @rule(version=st.sampled_from(["v1", "v2"]))
    def place(self, version: str) -> None:
        self.asked = 0
        self.feed(Placed(_runner(f"e{self.relay.attempt}", version)))

    @precondition(lambda self: self.asked)
    @rule()
    def place_none(self) -> None:
        self.asked = 0
        placing = self.relay.phase is Phase.PLACING
        ended = self.end
        self.feed(NotPlaced("no_runner", 1.5))
        if placing:
            assert isinstance(self.end, Fail)
            assert self.end.retry_after == 1.5
        else:
            assert self.end is ended, "it may still end where it runs"

    @rule(late=st.integers(0, 60))
    def expire(self, late: int) -> None:
        if late == 60:
            self.feed(Expired())

    @invariant()
    def holds_a_bounded_number_of_early_tokens(self) -> None:
        early = self.relay.early.values()
        assert sum(map(len, early)) <= MAX_EARLY_TOKENS

    def teardown(self) -> None:
        """From any state, a network without faults completes the answer."""
        for _ in range(3 * (MAX_MOVES + 2)):
            if self.end is not None:
                return
            if self.asked:
                self.place("v1")
                continue
            assert self.engine is not None
            self.flying = [Opened(self.engine.attempt)]
            self.flying += self.engine.make(LENGTH)
            self.deliver_all()
            if self.end is None and not self.asked:
                self.feed(Interrupted(self.relay.attempt, False))
                self.deliver_all() if self.flying else None
        assert self.end is not None


TestRelayMachine = RelayMachine.TestCase
TestRelayMachine.settings = settings(max_examples=150, stateful_step_count=40)


def _started(tokens: list[str] | None = None) -> Relay:
    relay = Relay(tokens or [])
    step(relay, Placed(_runner("e0")))
    step(relay, Opened(1))
    return relay


class TestStep:
    def test_late_part_of_an_old_runner_is_dropped(self) -> None:
        """Tokens of two runners must not mix in one answer.

        The first runner is silent, the answer moves and the second runner
        answers; then delayed tokens of the first arrive at the next offset.
        """
        relay = _started()
        step(relay, Interrupted(1, True))
        step(relay, Interrupted(1, True))
        step(relay, Placed(_runner("e1")))
        assert step(relay, Arrived(1, 0, ["old"])) == []
        assert step(relay, Arrived(relay.attempt, 0, ["new"])) == [
            Emit(0, ["new"])
        ]

    def test_early_part_of_an_old_runner_is_dropped(self) -> None:
        """Buffered early tokens must not survive a move to another runner."""
        relay = _started()
        step(relay, Arrived(1, 1, ["old1"]))
        step(relay, AttemptFailed(1, "failed", "ran"))
        step(relay, Placed(_runner("e1")))
        assert step(relay, Arrived(relay.attempt, 0, ["new0"])) == [
            Emit(0, ["new0"])
        ]

    def test_closing_event_before_the_last_token(self) -> None:
        relay = _started()
        assert step(relay, _closing(1)) == []
        tokens = [_token(1, n) for n in range(LENGTH)]
        emit, finish = step(relay, Arrived(1, 0, tokens))
        assert emit == Emit(0, tokens)
        assert isinstance(finish, Finish)

    def test_early_run_overlaps_what_came_meanwhile(self) -> None:
        relay = _started()
        step(relay, Arrived(1, 2, ["t2", "t3"]))
        actions = step(relay, Arrived(1, 0, ["t0", "t1", "t2"]))
        assert actions == [Emit(0, ["t0", "t1", "t2", "t3"])]

    def test_closing_event_of_an_old_runner_does_not_count(self) -> None:
        """The new runner's answer may be longer than the old one's."""
        relay = _started()
        step(relay, Closed(1, "stop", TokenUsage(completion_tokens=1)))
        step(relay, AttemptFailed(1, "failed", "ran"))
        step(relay, Placed(_runner("e1")))
        actions = step(relay, Arrived(relay.attempt, 0, ["new0"]))
        assert actions == [Emit(0, ["new0"])]

    def test_closing_event_that_counts_too_few_is_a_failure(self) -> None:
        relay = _started()
        step(relay, Arrived(1, 0, ["t0", "t1"]))
        closing = Closed(1, "stop", TokenUsage(completion_tokens=1))
        assert step(relay, closing) == [Place(_runner("e0"), "failed")]

    def test_many_tokens_behind_a_lost_one_fetch_it_again(self) -> None:
        """The caller's stream must not stall while later tokens arrive.

        One token was lost in transit, and all later ones are buffered behind
        it.
        """
        relay = _started()
        step(relay, Arrived(1, 0, ["t0"]))
        actions: list[Action] = []
        for n in range(2, MAX_EARLY_TOKENS + 3):
            actions += step(relay, Arrived(1, n, [f"t{n}"]))
        assert actions == [Probe(1, _runner("e0"), 1)]

    def test_kv_cache_of_another_version_is_not_moved(self) -> None:
        relay = _started(["t0"])
        step(relay, Leaving(1, 5.0, 9.0))
        actions = step(relay, Placed(_runner("e1", "v2")))
        assert actions == [Cancel(_runner("e0")), Open(2, _runner("e1", "v2"))]

    def test_request_at_fault_is_not_tried_elsewhere(self) -> None:
        relay = _started()
        actions = step(relay, Rejected(1, 400))
        assert actions == [Fail("ran", "rejected_400", None)]

    def test_moves_are_bounded(self) -> None:
        relay = _started()
        actions: list[Action] = []
        for _ in range(MAX_MOVES):
            step(relay, AttemptFailed(relay.attempt, "failed", "ran"))
            actions = step(relay, Placed(_runner("e1")))
        actions = step(relay, AttemptFailed(relay.attempt, "failed", "ran"))
        assert actions == [Fail("ran", "too_many_moves", 1.0)]


class TestSilenceLimit:
    def test_follows_the_usual_gap_above_the_floor(self) -> None:
        assert silence_limit(0.0, False, False) == FIRST_TOKEN_SILENCE_SECONDS
        assert silence_limit(0.038, True, False) == MIN_SILENCE_SECONDS
        assert silence_limit(0.1, True, False) > MIN_SILENCE_SECONDS
        assert silence_limit(0.038, True, True) == 2 * MIN_SILENCE_SECONDS
