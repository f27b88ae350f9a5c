"""Calls, runners and declarations of the seeded load simulator."""

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
# Largest batch relative to the slots; beyond the slots, tokens take longer.
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
        time: Time of sending, in seconds.
        workspace: Workspace that pays for the request.
        request_class: Class of the request; also the name of its route.
        prompt: Number of prompt tokens.
        output: Number of tokens that the request generates.
        prefix: Hashes of the blocks of the prompt.
        expected: Output tokens that the gateway expects; ``output`` if None.
        again: Whether a refused caller retries without regard to
            Retry-After.
        heeds: Whether a refused caller retries after Retry-After.
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
    """What the caller of one request received; times in seconds.

    Attributes:
        call: The request.
        arrived: Time of arrival at the gateway.
        first: Time of the first token.
        finished: Time of the end of the answer.
        refused: Time of the refusal.
        retry_after: Seconds of Retry-After in the refusal.
        runner: Runner of the last attempt.
        dispatched: Time of the last dispatch.
        attempts: Number of dispatches.
        reused: Prompt tokens found in the cache of the runner.
    """

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
        """Whether the first token met the target of the request class."""
        target = TARGETS[self.call.request_class]
        return (
            self.finished is not None
            and self.first is not None
            and self.first - self.arrived <= target
        )


@dataclass(slots=True)
class Job:
    """One request on a simulated runner; times in virtual seconds."""

    id: str
    gateway: int
    prefill: float
    decode: float
    output: int
    decode_start: float = math.inf
    reported_tokens: int = 0


@dataclass(slots=True)
class FakeRunner:
    """A simulated engine that slows down when its batch exceeds its slots.

    Attributes:
        runner: Declaration of the runner.
        slowdown: Returns the factor of slowdown, from the time in seconds and
            the number of running requests.
        fails: Returns whether dispatches fail at a time in seconds.
        cache_blocks: Capacity of the prefix cache.
        virtual: Virtual seconds of work done by every running job.
        updated: Time up to which ``virtual`` is computed.
        alive: Whether the runner still exists.
        running: Jobs in the batch, by request id.
        waiting: Jobs that wait for the batch, in order of arrival.
        steps: Heap of virtual time, kind of event and request id.
        cache: Cached blocks, least recently used first.
        schedule_version: Invalidates steps scheduled under earlier versions.
        work: Seconds of work dispatched to the runner.
    """

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
        """Return virtual seconds of progress per second."""
        running = len(self.running)
        batch = max(1.0, running / self.runner.slots)
        return 1.0 / (batch * self.slowdown(now, running))

    def advance(self, now: float) -> None:
        """Advance the virtual time to ``now``."""
        self.virtual += (now - self.updated) * self.rate(self.updated)
        self.updated = now

    def start(self) -> None:
        """Move waiting jobs into the batch while it has room."""
        most = self.runner.slots * MAX_BATCH_RATIO
        while self.waiting and len(self.running) < most:
            job = self.waiting.pop(0)
            self.running[job.id] = job
            job.decode_start = self.virtual + job.prefill
            heappush(self.steps, (self.virtual + job.prefill, "first", job.id))
            end = self.virtual + job.prefill + job.decode
            heappush(self.steps, (end, "finished", job.id))

    def reuse(self, prefix: tuple[int, ...]) -> int:
        """Return the number of leading cached blocks; cache all blocks."""
        cached = 0
        for block in prefix:
            if block not in self.cache:
                break
            cached += 1
        for block in prefix:
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.cache_blocks:
            self.cache.popitem(last=False)
        return cached


def make_declaration(
    runners: int = 6,
    slots: int = 8,
    weights: dict[str, float] | None = None,
    versions: dict[str, float] | None = None,
    domains: int = 3,
) -> Declaration:
    """Return a declaration of one model service.

    Args:
        runners: Number of runners.
        slots: Concurrent requests of each runner.
        weights: Weight by workspace.
        versions: Traffic share by version; ``v1`` alone if None.
        domains: Number of failure domains.
    """
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
        rate: Calls per second.
        start: Start in seconds.
        end: End in seconds, exclusive.
        call: Template of the calls; its ``output`` is the mean length, which
            is also the length that the gateway expects.
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
    """Return the quantile of the values at ``part`` (0 to 1)."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def compute_capacity(runners: int, slots: int, call: Call) -> float:
    """Return the calls per second that healthy runners can complete."""
    seconds = call.prompt * PREFILL_SECONDS + call.output * TOKEN_SECONDS
    return runners * slots / seconds
