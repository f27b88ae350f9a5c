"""A seeded discrete-event player of load against the decisions.

It stands for callers, runners and late load reports on a fake clock, and
drives ``decide`` as the gateway daemon does. Tests and benchmarks share it.
"""

import itertools
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

from lagoonpost.systems.backoff import outage_delay
from lagoonpost.systems.event import (
    Action,
    Arrived,
    AttemptFailed,
    Declared,
    Dispatch,
    Event,
    Finished,
    FirstToken,
    Leaving,
    Progress,
    Reported,
    Tick,
)
from lagoonpost.systems.gateway import decide
from lagoonpost.systems.gateway_tables import GatewayTables
from lagoonpost.tables.entity import (
    Declaration,
    RequestClass,
    Route,
    Runner,
    Service,
    Version,
    Workspace,
)
from lagoonpost.tables.report import LoadReport
from lagoonpost.tables.request import RequestRow

TICK_SECONDS = 0.05
REPORT_SECONDS = 0.25
REPORT_LAG_SECONDS = 0.15
PROGRESS_SECONDS = 0.1
TOKEN_SECONDS = 0.02
PREFILL_SECONDS = 0.0005
BLOCK = 64
# Callers that heed no Retry-After come back after this long.
RETURN_SECONDS = 0.2
# A batch may be this many times the slots, at more time per token.
BATCH_MOST = 2

ROUTES = (
    Route("check", "check", True, 1.0, 0.038, 10.0),
    Route("booking", "booking", False, 1.0, 0.038, 10.0),
    Route("draft", "draft", True, 20.0, 0.038, 120.0),
)
TARGETS = {route.request_class: route.first_seconds for route in ROUTES}

Decide = Callable[[Any, Event, float, Random], list[Action]]
Slowdown = Callable[[float, int], float]


class Call(NamedTuple):
    """One request that a caller will send.

    Attributes:
        time: When it is sent.
        workspace: Who pays.
        request_class: Its class; also the name of its route.
        prompt: Prompt tokens.
        output: Tokens that it will generate.
        prefix: Hashes of its prompt's blocks.
        expected: Tokens that the gateway expects; ``output`` if None.
        again: Whether a refused caller comes back at once.
        heeds: Whether it comes back when it was told to.
    """

    time: float
    workspace: str = "w0"
    request_class: RequestClass = "check"
    prompt: int = 200
    output: int = 50
    prefix: tuple[int, ...] = ()
    expected: int | None = None
    again: bool = False
    heeds: bool = False


@dataclass(slots=True)
class Outcome:
    """What one caller got."""

    call: Call
    arrived: float
    first: float | None = None
    finished: float | None = None
    refused: float | None = None
    retry_after: float | None = None
    runner: str = ""
    dispatched: float | None = None
    attempts: int = 0
    reused: int = 0

    @property
    def good(self) -> bool:
        """Whether the answer began within its class's target."""
        target = TARGETS[self.call.request_class]
        return (
            self.finished is not None
            and self.first is not None
            and self.first - self.arrived <= target
        )


@dataclass(slots=True)
class Job:
    """One request in a fake runner."""

    id: str
    gateway: int
    prefill: float
    decode: float
    output: int
    begun: float = math.inf
    told: int = 0


@dataclass(slots=True)
class FakeRunner:
    """An engine that shares its speed over a batch beyond its slots."""

    runner: Runner
    slowdown: Slowdown = lambda now, running: 1.0
    fails: Callable[[float], bool] = lambda now: False
    cache_blocks: int = 400
    virtual: float = 0.0
    updated: float = 0.0
    alive: bool = True
    running: dict[str, Job] = field(default_factory=dict)
    waiting: list[Job] = field(default_factory=list)
    steps: list[tuple[float, str, str]] = field(default_factory=list)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    stamp: int = 0
    work: float = 0.0

    def rate(self, now: float) -> float:
        """Return virtual seconds per second."""
        running = len(self.running)
        batch = max(1.0, running / self.runner.slots)
        return 1.0 / (batch * self.slowdown(now, running))

    def advance(self, now: float) -> None:
        """Bring the work done up to now."""
        self.virtual += (now - self.updated) * self.rate(self.updated)
        self.updated = now

    def start(self) -> None:
        """Move waiting jobs into the batch."""
        most = self.runner.slots * BATCH_MOST
        while self.waiting and len(self.running) < most:
            job = self.waiting.pop(0)
            self.running[job.id] = job
            job.begun = self.virtual + job.prefill
            heappush(self.steps, (self.virtual + job.prefill, "first", job.id))
            end = self.virtual + job.prefill + job.decode
            heappush(self.steps, (end, "finished", job.id))

    def reuse(self, prefix: tuple[int, ...]) -> int:
        """Return cached blocks of a prompt, and cache all of it."""
        held = 0
        for block in prefix:
            if block not in self.cache:
                break
            held += 1
        for block in prefix:
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.cache_blocks:
            self.cache.popitem(last=False)
        return held


def make_declaration(
    runners: int = 6,
    slots: int = 8,
    weights: dict[str, float] | None = None,
    versions: dict[str, float] | None = None,
    domains: int = 3,
) -> Declaration:
    """Declare one model service over several failure domains."""
    shares = versions or {"v1": 1.0}
    names = list(shares)
    return Declaration(
        revision=1,
        services=(Service("model", "model", ROUTES),),
        versions=tuple(Version("model", n, s) for n, s in shares.items()),
        workspaces=tuple(
            Workspace(n, "", w) for n, w in (weights or {}).items()
        ),
        runners=tuple(
            Runner(
                f"r{i}",
                f"127.0.0.1:{9000 + i}",
                "model",
                names[i % len(names)],
                f"h{i}",
                f"d{i % domains}",
                slots=slots,
            )
            for i in range(runners)
        ),
    )


def _make_tables(index: int, gateways: int) -> GatewayTables:
    return GatewayTables(f"g{index}", gateways)


class Player:
    """Plays calls through gateways and runners on a fake clock.

    Args:
        declaration: What is declared.
        seed: Seed of everything random.
        gateways: Number of gateways that decide on their own.
        decider: The decisions; baselines bring their own.
        tables: Makes the state of one gateway.
    """

    def __init__(
        self,
        declaration: Declaration,
        seed: int = 1,
        gateways: int = 1,
        decider: Decide = decide,
        tables: Callable[[int, int], Any] = _make_tables,
    ) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.decider = decider
        self.tables = [tables(i, gateways) for i in range(gateways)]
        self.runners = {r.name: FakeRunner(r) for r in declaration.runners}
        self.outcomes: dict[str, Outcome] = {}
        self.log: list[tuple[float, Action]] = []
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._open = 0
        self.store_down: Callable[[float], bool] = lambda now: False
        self.store_down_since = 0.0
        self._returning = True
        self._home: dict[str, int] = {}
        for index in range(gateways):
            self.send(index, Declared(declaration))
            self._tick(index)
        self._report()
        self._show_progress()

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heappush(self._heap, (time, next(self._order), action))

    def play(self, calls: Iterable[Call], until: float) -> list[Outcome]:
        """Send the calls and run the clock; return what callers got.

        The clock stops at ``until``, or once every call has ended.
        """
        for call in calls:
            self._plan_call(call)
        while self._open and self._heap[0][0] <= until:
            self.now, _, action = heappop(self._heap)
            action()
        return list(self.outcomes.values())

    def _plan_call(self, call: Call) -> None:
        self._open += 1
        self.at(call.time, lambda: self.call(call))

    def call(self, call: Call) -> None:
        """Let a caller send its request to one gateway."""
        request_id = f"q{len(self.outcomes)}"
        index = self.rng.randrange(len(self.tables))
        self._home[request_id] = index
        self.outcomes[request_id] = Outcome(call, self.now)
        if call.request_class == "booking" and self.store_down(self.now):
            # Without the ledger a booking can't be claimed.
            down = self.now - self.store_down_since
            self._refuse(request_id, outage_delay(down, self.rng))
            return
        target = TARGETS[call.request_class]
        request = RequestRow(
            request_id,
            call.workspace,
            "model",
            call.request_class,
            call.request_class,
            call.prompt,
            call.output if call.expected is None else call.expected,
            call.prefix,
            request_id,
            self.now,
            self.now + target,
            call.request_class != "booking",
        )
        self.send(index, Arrived(request))

    def send(self, index: int, event: Event) -> None:
        """Give an event to a gateway and carry out its actions."""
        actions = self.decider(self.tables[index], event, self.now, self.rng)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, Dispatch):
                self._dispatch(index, action)
            else:
                self._refuse(action.request_id, action.retry_after)

    def _refuse(self, request_id: str, retry_after: float | None) -> None:
        outcome = self.outcomes[request_id]
        outcome.refused = self.now
        outcome.retry_after = retry_after
        self._open -= 1
        self._return(outcome.call, retry_after)

    def lose(self, names: Iterable[str], notice: bool = True) -> None:
        """Lose runners; their requests ask for others."""
        gone = frozenset(names)
        if notice:
            for index in range(len(self.tables)):
                self.send(index, Leaving(gone))
        for name in gone:
            fake = self.runners[name]
            fake.alive = False
            fake.stamp += 1
            jobs = [*fake.running.values(), *fake.waiting]
            fake.running.clear()
            fake.waiting.clear()
            for job in jobs:
                failed = AttemptFailed(job.id, name, "lost", True)
                self.send(job.gateway, failed)

    def stop_returning(self) -> None:
        """Let refused callers give up from now on."""
        self._returning = False

    def _return(self, call: Call, retry_after: float | None) -> None:
        if call.again and self._returning:
            self._plan_call(call._replace(time=self.now + RETURN_SECONDS))
        elif call.heeds and retry_after is not None:
            self._plan_call(call._replace(time=self.now + retry_after))

    def _dispatch(self, index: int, action: Dispatch) -> None:
        fake = self.runners[action.runner]
        outcome = self.outcomes[action.request_id]
        outcome.runner = action.runner
        outcome.dispatched = self.now
        outcome.attempts += 1
        call = outcome.call
        if not fake.alive or fake.fails(self.now):
            kind = "failed" if fake.alive else "lost"
            failed = AttemptFailed(
                action.request_id, action.runner, kind, True
            )
            self.at(self.now + 0.01, lambda: self.send(index, failed))
            return
        held = fake.reuse(call.prefix)
        outcome.reused = held * BLOCK
        prefill = max(1, call.prompt - held * BLOCK) * PREFILL_SECONDS
        decode = call.output * TOKEN_SECONDS
        fake.work += prefill + decode
        job = Job(action.request_id, index, prefill, decode, call.output)
        fake.advance(self.now)
        fake.waiting.append(job)
        fake.start()
        self._plan(fake)

    def _plan(self, fake: FakeRunner) -> None:
        fake.stamp += 1
        while fake.steps and fake.steps[0][2] not in fake.running:
            heappop(fake.steps)
        if not fake.steps:
            return
        wait = (fake.steps[0][0] - fake.virtual) / fake.rate(self.now)
        stamp = fake.stamp
        # A slowdown that sets in meanwhile is met by planning again.
        soon = min(max(wait, 0.0), 0.25)
        self.at(self.now + soon, lambda: self._step(fake, stamp))

    def _step(self, fake: FakeRunner, stamp: int) -> None:
        if stamp != fake.stamp:
            return
        fake.advance(self.now)
        done: list[tuple[int, Event]] = []
        while fake.steps and fake.steps[0][0] <= fake.virtual + 1e-9:
            _, kind, request_id = heappop(fake.steps)
            job = fake.running.get(request_id)
            if job is None:
                continue
            done.append((job.gateway, self._show(fake, job, kind)))
        fake.start()
        self._plan(fake)
        for index, event in done:
            self.send(index, event)

    def _show(self, fake: FakeRunner, job: Job, kind: str) -> Event:
        outcome = self.outcomes[job.id]
        name = fake.runner.name
        if kind == "first":
            if outcome.first is None:
                outcome.first = self.now
            return FirstToken(job.id, name)
        del fake.running[job.id]
        outcome.finished = self.now
        self._open -= 1
        return Finished(job.id, name, job.output)

    def _show_progress(self) -> None:
        for fake in self.runners.values():
            fake.advance(self.now)
            for job in list(fake.running.values()):
                span = max(0.0, fake.virtual - job.begun)
                done = int(span / TOKEN_SECONDS)
                tokens = min(done, job.output) - job.told
                if tokens > 0:
                    job.told += tokens
                    name = fake.runner.name
                    self.send(job.gateway, Progress(job.id, name, tokens))
        self.at(self.now + PROGRESS_SECONDS, self._show_progress)

    def _tick(self, index: int) -> None:
        self.send(index, Tick())
        self.at(self.now + TICK_SECONDS, lambda: self._tick(index))

    def _report(self) -> None:
        for fake in self.runners.values():
            if fake.alive:
                report = LoadReport(
                    fake.runner.name,
                    self.now,
                    len(fake.running),
                    len(fake.waiting),
                    0,
                )
                self.at(
                    self.now + REPORT_LAG_SECONDS,
                    lambda report=report: self._deliver(report),  # type: ignore[misc]
                )
        self.at(self.now + REPORT_SECONDS, self._report)

    def _deliver(self, report: LoadReport) -> None:
        for index in range(len(self.tables)):
            self.send(index, Reported(report))


def draw_arrivals(
    rng: Random, rate: float, start: float, end: float, call: Call
) -> list[Call]:
    """Draw Poisson arrivals of calls with exponential output lengths.

    Args:
        rng: Seeded generator.
        rate: Calls a second.
        start: First second.
        end: Last second.
        call: What to send; its ``output`` is the mean length, which is all
            that the gateway knows of it.
    """
    calls: list[Call] = []
    time = start
    while True:
        time += rng.expovariate(rate)
        if time >= end:
            return calls
        output = max(1, round(rng.expovariate(1 / call.output)))
        calls.append(
            call._replace(time=time, output=output, expected=call.output)
        )


def find_quantile(values: Iterable[float], part: float) -> float:
    """Return the value below which a part of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def capacity(runners: int, slots: int, call: Call) -> float:
    """Return the calls a second that healthy runners can finish."""
    seconds = call.prompt * PREFILL_SECONDS + call.output * TOKEN_SECONDS
    return runners * slots / seconds
