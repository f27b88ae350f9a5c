"""A seeded discrete-event simulator of callers, gateways and runners.

It simulates callers, runners and delayed load reports on a fake clock, and
calls ``decide`` as the gateway daemon does. Tests and benchmarks share it.
"""

import itertools
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from random import Random
from typing import Any

from bench.workload import (
    PREFILL_SECONDS,
    TARGETS,
    TOKEN_SECONDS,
    Call,
    FakeRunner,
    Job,
    Outcome,
)
from lagoonpost.systems.backoff import compute_outage_delay
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
)
from lagoonpost.tables.load_report import LoadReport
from lagoonpost.tables.request import RequestRow

TICK_SECONDS = 0.05
REPORT_SECONDS = 0.25
REPORT_LAG_SECONDS = 0.15
PROGRESS_SECONDS = 0.1
BLOCK = 64
# Delay of callers that retry without regard to Retry-After.
RETRY_SECONDS = 0.2
Decide = Callable[[Any, Event, float, Random], list[Action]]


def _make_tables(index: int, gateways: int) -> GatewayTables:
    return GatewayTables(f"g{index}", gateways)


class Player:
    """Simulates calls through gateways and runners on a fake clock.

    Args:
        declaration: Declared services, runners and workspaces.
        seed: Seed of every random choice.
        gateways: Number of gateways that decide independently.
        decider: Decision function of a gateway; baselines replace it.
        tables: Returns the state of one gateway, from its index and the
            number of gateways.

    Attributes:
        now: Simulated time in seconds.
        runners: Simulated runners by name.
        outcomes: Outcome of each call by request id.
        log: Time and action of every decision.
        store_down: Returns whether the store is down at a time.
        store_down_since: Start of the outage in seconds.
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
        self._retrying = True
        self._home: dict[str, int] = {}
        for index in range(gateways):
            self.send(index, Declared(declaration))
            self._tick(index)
        self._sample_load()
        self._send_progress()

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        """Run ``action`` at a simulated time in seconds."""
        heappush(self._heap, (time, next(self._order), action))

    def play(self, calls: Iterable[Call], until: float) -> list[Outcome]:
        """Send the calls and run the clock.

        The clock stops at ``until``, or once every call has ended.

        Args:
            calls: Calls to send.
            until: Latest simulated time in seconds.

        Returns:
            The outcome of each call, including retries.
        """
        for call in calls:
            self._schedule_call(call)
        while self._open and self._heap[0][0] <= until:
            self.now, _, action = heappop(self._heap)
            action()
        return list(self.outcomes.values())

    def _schedule_call(self, call: Call) -> None:
        self._open += 1
        self.schedule(call.time, lambda: self.call(call))

    def call(self, call: Call) -> None:
        """Send the request of a caller to a random gateway."""
        request_id = f"q{len(self.outcomes)}"
        index = self.rng.randrange(len(self.tables))
        self._home[request_id] = index
        self.outcomes[request_id] = Outcome(call, self.now)
        if call.request_class == "booking" and self.store_down(self.now):
            # Without the ledger, the gateway cannot claim a booking.
            down = self.now - self.store_down_since
            self._refuse(request_id, compute_outage_delay(down, self.rng))
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
        """Pass an event to a gateway and execute the resulting actions."""
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
        self._retry_refused(outcome.call, retry_after)

    def lose_runners(self, names: Iterable[str], notice: bool = True) -> None:
        """Terminate runners; their requests fail and may be retried.

        Args:
            names: Names of the runners.
            notice: Whether the gateways receive ``Leaving`` first.
        """
        lost = frozenset(names)
        if notice:
            for index in range(len(self.tables)):
                self.send(index, Leaving(lost))
        for name in lost:
            fake = self.runners[name]
            fake.alive = False
            fake.schedule_version += 1
            jobs = [*fake.running.values(), *fake.waiting]
            fake.running.clear()
            fake.waiting.clear()
            for job in jobs:
                failed = AttemptFailed(job.id, name, "lost", True)
                self.send(job.gateway, failed)

    def stop_retries(self) -> None:
        """Make callers that retry at once give up from now on."""
        self._retrying = False

    def _retry_refused(self, call: Call, retry_after: float | None) -> None:
        if call.retries_at_once and self._retrying:
            self._schedule_call(call._replace(time=self.now + RETRY_SECONDS))
        elif call.honors_retry_after and retry_after is not None:
            self._schedule_call(call._replace(time=self.now + retry_after))

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
            self.schedule(self.now + 0.01, lambda: self.send(index, failed))
            return
        cached = fake.reuse(call.prefix)
        outcome.reused = cached * BLOCK
        prefill = max(1, call.prompt - cached * BLOCK) * PREFILL_SECONDS
        decode = call.output * TOKEN_SECONDS
        fake.work += prefill + decode
        job = Job(action.request_id, index, prefill, decode, call.output)
        fake.advance(self.now)
        fake.waiting.append(job)
        fake.start()
        self._schedule_step(fake)

    def _schedule_step(self, fake: FakeRunner) -> None:
        fake.schedule_version += 1
        while fake.steps and fake.steps[0][2] not in fake.running:
            heappop(fake.steps)
        if not fake.steps:
            return
        wait = (fake.steps[0][0] - fake.virtual) / fake.rate(self.now)
        stamp = fake.schedule_version
        # Rescheduling within 0.25 s picks up a slowdown that starts meanwhile.
        delay = min(max(wait, 0.0), 0.25)
        self.schedule(self.now + delay, lambda: self._step(fake, stamp))

    def _step(self, fake: FakeRunner, stamp: int) -> None:
        if stamp != fake.schedule_version:
            return
        fake.advance(self.now)
        done: list[tuple[int, Event]] = []
        while fake.steps and fake.steps[0][0] <= fake.virtual + 1e-9:
            _, kind, request_id = heappop(fake.steps)
            job = fake.running.get(request_id)
            if job is None:
                continue
            done.append((job.gateway, self._complete_step(fake, job, kind)))
        fake.start()
        self._schedule_step(fake)
        for index, event in done:
            self.send(index, event)

    def _complete_step(self, fake: FakeRunner, job: Job, kind: str) -> Event:
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

    def _send_progress(self) -> None:
        for fake in self.runners.values():
            fake.advance(self.now)
            for job in list(fake.running.values()):
                span = max(0.0, fake.virtual - job.decode_start)
                done = int(span / TOKEN_SECONDS)
                tokens = min(done, job.output) - job.reported_tokens
                if tokens > 0:
                    job.reported_tokens += tokens
                    name = fake.runner.name
                    self.send(job.gateway, Progress(job.id, name, tokens))
        self.schedule(self.now + PROGRESS_SECONDS, self._send_progress)

    def _tick(self, index: int) -> None:
        self.send(index, Tick())
        self.schedule(self.now + TICK_SECONDS, lambda: self._tick(index))

    def _sample_load(self) -> None:
        for fake in self.runners.values():
            if fake.alive:
                report = LoadReport(
                    fake.runner.name,
                    self.now,
                    len(fake.running),
                    len(fake.waiting),
                    0,
                )
                self.schedule(
                    self.now + REPORT_LAG_SECONDS,
                    lambda report=report: self._deliver(report),  # type: ignore[misc]
                )
        self.schedule(self.now + REPORT_SECONDS, self._sample_load)

    def _deliver(self, report: LoadReport) -> None:
        for index in range(len(self.tables)):
            self.send(index, Reported(report))
