"""Calls, runners and declarations of the seeded player of load."""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappush
from random import Random
from typing import NamedTuple

from lagoonpost.tables.entity import (
    Declaration,
    RequestClass,
    Route,
    Runner,
    Service,
    Version,
    Workspace,
)

TOKEN_SECONDS = 0.02
PREFILL_SECONDS = 0.0005
# A batch may be this many times the slots, at more time per token.
MAX_BATCH_RATIO = 2

ROUTES = (
    Route("check", "check", True, 1.0, 0.038, 10.0),
    Route("booking", "booking", False, 1.0, 0.038, 10.0),
    Route("draft", "draft", True, 20.0, 0.038, 120.0),
)
TARGETS = {route.request_class: route.first_seconds for route in ROUTES}

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
    retries_at_once: bool = False
    honors_retry_after: bool = False


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
    decode_start: float = math.inf
    reported_tokens: int = 0


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
    schedule_version: int = 0
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
        most = self.runner.slots * MAX_BATCH_RATIO
        while self.waiting and len(self.running) < most:
            job = self.waiting.pop(0)
            self.running[job.id] = job
            job.decode_start = self.virtual + job.prefill
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


def compute_capacity(runners: int, slots: int, call: Call) -> float:
    """Return the calls a second that healthy runners can finish."""
    seconds = call.prompt * PREFILL_SECONDS + call.output * TOKEN_SECONDS
    return runners * slots / seconds
