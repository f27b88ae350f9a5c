"""Simulation of the booking ledger: store, runner and gateways."""

from typing import NamedTuple

from lagoonpost.store.store import Committed, Condition, Write
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
)
from lagoonpost.systems.ledger import (
    Attempt,
    LedgerPolicy,
    begin,
    find_expired,
    make_claim,
    may_dispatch,
    step,
)
from lagoonpost.tables.ledger import LedgerEntry, RecordedAnswer
from lagoonpost_standins.table import Table

POLICY = LedgerPolicy(retention=1000.0, clock_skew=60.0)
TIMEOUT = 30.0


class Run(NamedTuple):
    """One execution of a booking by the runner."""

    caller: "Caller"
    key: str
    at: float


class Caller:
    """One request at one gateway, with its pending action."""

    def __init__(
        self, number: int, key: str, digest: str, now: float, skew: float
    ) -> None:
        self.number = number
        self.key = key
        self.began = now
        self.outcome: Outcome | None = None
        nonce = f"nonce-{number}"
        claim = make_claim(
            nonce, digest, "gateway", now + skew, TIMEOUT, POLICY
        )
        self.attempt: Attempt
        self.attempt, actions = begin(claim, now, POLICY)
        self.action: Action | None = None
        self.take(actions)

    def take(self, actions: list[Action]) -> None:
        """Record the outcome, and keep the action that takes time."""
        self.action = None
        for action in actions:
            if isinstance(action, Put | ChooseRunner | SendRequest):
                self.action = action
            else:
                assert self.outcome is None, "answered twice"
                self.outcome = action

    def step(self, event: Event, now: float) -> None:
        """Pass ``event`` to the ledger's state machine."""
        self.attempt, actions = step(self.attempt, event, now)
        self.take(actions)


class World:
    """Environment of the callers: store, runner and injected faults."""

    def __init__(self) -> None:
        self.now = 0.0
        self.table = Table()
        self.callers: list[Caller] = []
        self.runs: list[Run] = []
        self.late: list[tuple[str, Put]] = []

    def call(self, key: str, digest: str, skew: float) -> None:
        """Let a caller send a request to a gateway."""
        number = len(self.callers)
        self.callers.append(Caller(number, key, digest, self.now, skew))

    def write(self, key: str, put: Put) -> Event:
        """Apply a conditional write and return its reply."""
        outcome = self.table.transact(
            [Condition(key, put.version)], [Write(key, put.entry)]
        )
        row = outcome.rows[0]
        if isinstance(outcome, Committed):
            return Stored(row.version)
        return RowConflict(row.version, row.value)

    def serve_store(self, caller: Caller, put: Put, fault: str) -> None:
        """Let the store serve ``put``, or inject a fault."""
        reply: Event = NoReply(None)
        if fault in ("none", "lost_reply"):
            reply = self.write(caller.key, put)
        if fault == "late":
            self.late.append((caller.key, put))
        if fault == "lost_reply":
            reply = NoReply(None)
        if fault == "unreachable":
            reply = NoReply(False)
        caller.step(reply, self.now)

    def serve_dispatch(self, caller: Caller, fault: str) -> None:
        """Let the gateway dispatch to the runner, or inject a fault."""
        if (
            not may_dispatch(caller.attempt, self.now)
            or fault == "unreachable"
        ):
            caller.step(NotRun(), self.now)
            return
        if fault == "refused":
            caller.step(NotRun(), self.now)
            return
        if fault != "lost_before":
            self.runs.append(Run(caller, caller.key, self.now))
        if fault in ("lost_before", "lost_reply"):
            caller.step(Lost("runner_lost"), self.now)
            return
        caller.step(Answered(make_run_answer(caller)), self.now)

    def choose(self, caller: Caller, fault: str) -> None:
        """Select a runner, or report that none is available."""
        event: Event = RunnerChosen()
        if fault == "no_runner":
            event = NoRunner(503, "no_runner", 1.0)
        caller.step(event, self.now)

    def serve(self, caller: Caller, fault: str = "none") -> None:
        """Perform the pending action of ``caller``."""
        match caller.action:
            case Put() as put:
                self.serve_store(caller, put, fault)
            case ChooseRunner():
                self.choose(caller, fault)
            case SendRequest():
                self.serve_dispatch(caller, fault)

    def sweep(self) -> None:
        """Delete expired rows."""
        entries = {row.key: row.value for row in self.table.scan("")}
        for key in find_expired(entries, self.now):
            self.table.transact([], [Write(key, None)])

    def find(self, key: str) -> LedgerEntry | None:
        """Return the ledger's entry for ``key``."""
        value = self.table.read([key])[0].value
        assert value is None or isinstance(value, LedgerEntry)
        return value

    def check(self) -> None:
        """Check the guarantees that callers rely on."""
        self._check_runs()
        for caller in self.callers:
            self._check_caller(caller)
            entry = self.find(caller.key)
            if entry is not None and entry.state == "recorded":
                assert entry.answer in {
                    make_run_answer(run.caller) for run in self.runs
                }

    def _check_runs(self) -> None:
        last: dict[str, float] = {}
        for run in self.runs:
            # A key may run again only for a request that arrived after the
            # retention time of the previous run.
            if run.key in last:
                assert run.caller.began > last[run.key] + POLICY.retention
            last[run.key] = run.at

    def _check_caller(self, caller: Caller) -> None:
        ran = [run for run in self.runs if run.caller is caller]
        match caller.outcome:
            case Ran(answer):
                assert ran
                assert answer == make_run_answer(caller)
            case Refused():
                assert not ran
                self._check_free(caller)
            case Earlier(entry):
                assert not ran
                assert entry.digest == caller.attempt.claim.digest
                answers = [make_run_answer(run.caller) for run in self.runs]
                assert entry.answer is None or entry.answer in answers
            case Mismatch():
                assert not ran

    def _check_free(self, caller: Caller) -> None:
        """Check that the caller's retry can run after ``not_run``."""
        entry = self.find(caller.key)
        if entry is None or self.now > caller.began + POLICY.retention:
            return
        mine = entry.nonce == caller.attempt.claim.nonce
        assert not mine or entry.state == "void"

    def finish(self) -> None:
        """Complete all callers without further faults."""
        while any(caller.action is not None for caller in self.callers):
            for caller in self.callers:
                self.serve(caller)
        for caller in self.callers:
            assert caller.outcome is not None
        self.check()


def make_run_answer(caller: Caller) -> RecordedAnswer:
    """Return the runner's answer, which differs for each caller."""
    return RecordedAnswer(200, (), b"booked by %d" % caller.number)
