"""Tests of lagoonpost.systems.ledger and its driver."""

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from ledger_model import Caller, World

FAULTS = ("none", "none", "none", "lost_reply", "late", "dropped")
REFUSALS = ("unreachable", "refused", "no_runner", "lost_before")
KEYS = strategies.sampled_from(["a", "b"])
DIGESTS = strategies.sampled_from(["same", "same", "other"])
SKEWS = strategies.sampled_from([-30.0, 0.0, 30.0])
PAUSES = strategies.sampled_from([0.1, 3.0, 6.0, 100.0, 980.0, 1200.0])


class LedgerMachine(RuleBasedStateMachine):
    """Callers of gateways that fail, pause or lose replies at any point.

    While a gateway is paused, its caller is not served as time passes; after
    it died, its caller is never served again. A retry at another gateway is
    modelled as a second call with the same key.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.dead: list[Caller] = []

    def alive(self) -> list[Caller]:
        return [
            caller
            for caller in self.world.callers
            if caller.action is not None and caller not in self.dead
        ]

    @precondition(lambda self: len(self.world.callers) < 8)
    @rule(key=KEYS, digest=DIGESTS, skew=SKEWS)
    def call(self, key: str, digest: str, skew: float) -> None:
        self.world.call(key, digest, skew)

    @precondition(alive)
    @rule(
        data=strategies.data(),
        fault=strategies.sampled_from(FAULTS + REFUSALS),
    )
    def go_on(self, data: strategies.DataObject, fault: str) -> None:
        caller = data.draw(strategies.sampled_from(self.alive()))
        self.world.serve(caller, fault)

    @precondition(alive)
    @rule(data=strategies.data(), steps=strategies.integers(1, 4))
    def go_on_well(self, data: strategies.DataObject, steps: int) -> None:
        caller = data.draw(strategies.sampled_from(self.alive()))
        for _ in range(steps):
            self.world.serve(caller)

    @precondition(alive)
    @rule(data=strategies.data())
    def kill(self, data: strategies.DataObject) -> None:
        self.dead.append(data.draw(strategies.sampled_from(self.alive())))

    @precondition(lambda self: self.world.late)
    @rule(data=strategies.data())
    def arrive_late(self, data: strategies.DataObject) -> None:
        index = data.draw(strategies.integers(0, len(self.world.late) - 1))
        self.world.write(*self.world.late.pop(index))

    @rule(seconds=PAUSES)
    def wait(self, seconds: float) -> None:
        self.world.now += seconds

    @rule()
    def sweep(self) -> None:
        self.world.sweep()

    @invariant()
    def keep_promises(self) -> None:
        self.world.check()

    def teardown(self) -> None:
        for caller in self.dead:
            caller.action = None
            caller.outcome = caller.outcome or None
        self.world.callers = [
            caller for caller in self.world.callers if caller not in self.dead
        ]
        self.world.finish()


class TestLedger(LedgerMachine.TestCase):
    settings = settings(max_examples=400, stateful_step_count=40)
