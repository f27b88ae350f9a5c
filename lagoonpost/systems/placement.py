"""Which runner a forwarded request goes to.

Pattern of load: long prompts beside short questions at a few model runners,
sent by many gateways that each see a part of it. Counting requests ignores
that a prompt of 9,000 tokens holds up everything behind it for a quarter of
a second, and that most of it may be in a runner's memory already. Here the
time to the first byte is predicted for each runner, in tokens that it has
still to read: what is open there, by our own count and the others' reports,
and the parts of this prompt that it does not hold.

A session's prompts go to the runner that a hash of its last shared part
chooses, which all gateways agree on without talking; another runner gets it
only if waiting there is shorter even though it has to read everything. Pace
is learned for each runner from answers, and fades to the service's mean so
that a runner that was slow is tried again.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from random import Random
from typing import NamedTuple

from lagoonpost.systems.session_affinity import RankingCache, find_copy_source
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.gateway_report import RunnerWork
from lagoonpost.tables.metadata import PromptPart

DEFAULT_SECONDS_PER_TOKEN = 1 / 30_000
"""Seconds a prompt token until something is measured: what engines of today
read on one accelerator."""
DEFAULT_PLAIN_SECONDS = 0.05
"""Seconds of work of a plain request until something is measured."""
AVERAGING_GAIN = 0.15
"""Part of a new measurement in the mean: some ten answers are remembered."""
SLOWNESS_DECAY_SECONDS = 5.0
"""Time in which what was learned of a runner's own pace loses two thirds."""
MAX_SLOWNESS, MIN_SLOWNESS = 20.0, 0.25
"""Bounds of a runner's pace against its service's, so that one answer that
was held up elsewhere can't shut a runner out for long."""
UNLOADED_FASTER_GAIN, UNLOADED_SLOWER_GAIN = 0.4, 0.03
"""The same for the pace of a prompt alone, by whether a measurement is faster
or slower. What we hold to be alone may wait behind a prompt that another
gateway has just sent, so that the faster measurements are the true ones."""
MIN_PACE_TOKENS = 400
"""Prompts below this say more about the way there than about pace."""
MIN_UNLOADED_TOKENS = 1500
"""Prompts from here on take so long to read that the way there is a tenth."""
OVERHEAD_SLOWER_GAIN = 0.01
"""Part of a slower measurement in the time to a first byte that is not
reading: the way there, a first step. Waiting makes most of them slower."""
CACHED_SECONDS = 30.0
"""How long a part is taken to stay in a runner's memory after its use."""
FAILURE_PENALTY_SECONDS = 1.0
"""Wait that a runner which fails all its requests is held to be worth."""
MIN_SUSPECT_SECONDS = 0.5
MAX_SUSPECT_SECONDS = 4.0
"""How long a runner that can't be reached is passed over: at first and at
most; a crashed one is back after some seconds, and each try costs one
caller a connection's time-out."""
STEP_OVERHEAD_SECONDS = 0.0005
"""What each request that runs beside adds to a step, roughly; it only
decides between runners that are otherwise alike."""


class PlacementRequest(NamedTuple):
    """What placement has to know of a request.

    Attributes:
        service: Service that it goes to.
        prompt: Tokens of the prompt; 0 for a plain request.
        parts: Parts of the prompt.
        engine: Whether the service has model runners.
    """

    service: str
    prompt: int
    parts: tuple[PromptPart, ...]
    engine: bool


class Choice(NamedTuple):
    """A runner with what was predicted for it.

    Attributes:
        endpoint: The runner.
        seconds: Predicted time to the first byte.
        unread: Prompt tokens that it has to read.
        suspect: Whether it could not be reached lately.
        holder: Runner from which it may copy what it does not hold of the
            prompt; None if there is none.
        alone: Whether no other prompt was known to be read there.
    """

    endpoint: Endpoint
    seconds: float
    uncached_tokens: int
    suspect: bool
    unloaded: bool = False
    copy_source: Endpoint | None = None


class RunnerState:
    """What this gateway knows of one runner.

    Attributes:
        requests: Own open requests there.
        tokens: Prompt tokens of own requests that it has still to read.
        others: Open work of the other gateways.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.tokens = 0
        self.peer_work = RunnerWork()
        self.failure_rate = 0.0
        self._slowness = 1.0
        self._measured = -math.inf
        self._suspect_until = -math.inf
        self._suspect_for = 0.0
        self._parts: dict[str, float] = {}

    def slowness(self, now: float) -> float:
        """Return its pace against its service's; above 1 is slower."""
        if self._slowness == 1.0:
            return 1.0
        age = max(0.0, now - self._measured)
        fade = math.exp(-age / SLOWNESS_DECAY_SECONDS)
        return float(self._slowness**fade)

    def note_pace(self, ratio: float, now: float) -> None:
        """Learn from one answer's time against the predicted one."""
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        logarithm = (1 - AVERAGING_GAIN) * math.log(self.slowness(now))
        logarithm += AVERAGING_GAIN * math.log(ratio)
        self._slowness = math.exp(logarithm)
        self._measured = now

    def note_outcome(self, failed: bool) -> None:
        """Learn from an answer that failed or did not."""
        self.failure_rate += AVERAGING_GAIN * (
            float(failed) - self.failure_rate
        )

    def note_unreachable(self, now: float) -> None:
        """Pass over it for a while, longer each time in a row."""
        doubled = max(MIN_SUSPECT_SECONDS, 2 * self._suspect_for)
        self._suspect_for = min(MAX_SUSPECT_SECONDS, doubled)
        self._suspect_until = now + self._suspect_for

    def note_reached(self) -> None:
        """Forget that it could not be reached."""
        self._suspect_for = 0.0
        self._suspect_until = -math.inf

    def is_suspect(self, now: float) -> bool:
        """Tell whether it could not be reached lately."""
        return now < self._suspect_until

    def note_parts(self, parts: Iterable[PromptPart], now: float) -> None:
        """Remember that it reads these parts."""
        for part in parts:
            self._parts[part.id] = now
        if len(self._parts) > _MOST_PARTS:
            oldest = now - CACHED_SECONDS
            self._parts = {
                id_: used for id_, used in self._parts.items() if used > oldest
            }

    def count_cached_tokens(
        self, parts: Sequence[PromptPart], now: float
    ) -> int:
        """Return the tokens at a prompt's beginning that it holds."""
        held = 0
        for part in parts:
            if now - self._parts.get(part.id, -math.inf) > CACHED_SECONDS:
                break
            held += part.tokens
        return held


_MOST_PARTS = 4096


class Placement:
    """Learned state of all runners, and the choice among them.

    Attributes:
        states: State by the runner's id.
        paces_alone: Seconds for reading a prompt token alone, by service.
            The mean pace also holds what prompts wait for each other, so
            that ordering runners by it would answer waits of any cause.
    """

    def __init__(self) -> None:
        self.states: dict[str, RunnerState] = {}
        self._pace: dict[str, float] = {}
        self.unloaded_paces: dict[str, float] = {}
        self._overheads: dict[str, float] = {}
        self._homes = RankingCache()

    def state(self, runner: str) -> RunnerState:
        """Return the state of a runner, new if it is not known."""
        state = self.states.get(runner)
        if state is None:
            state = self.states[runner] = RunnerState()
        return state

    def forget_missing(self, known: Iterable[str]) -> None:
        """Drop the states of runners that are gone and have no work."""
        kept = frozenset(known)
        for runner in list(self.states):
            if runner not in kept and not self.states[runner].requests:
                del self.states[runner]

    def update_from_peers(self, others: Mapping[str, RunnerWork]) -> None:
        """Take the sum of the other gateways' open work by runner."""
        for runner, state in self.states.items():
            state.peer_work = others.get(runner, RunnerWork())
        for runner, work in others.items():
            self.state(runner).peer_work = work

    def pace(self, wanted: PlacementRequest) -> float:
        """Return the service's mean pace in seconds a token or request."""
        first = (
            DEFAULT_SECONDS_PER_TOKEN
            if wanted.engine
            else DEFAULT_PLAIN_SECONDS
        )
        return self._pace.get(wanted.service, first)

    def choose(
        self,
        endpoints: Sequence[Endpoint],
        wanted: PlacementRequest,
        now: float,
        rng: Random,
        leaving: Sequence[Endpoint] = (),
    ) -> Choice | None:
        """Choose among runners that may get new work.

        Args:
            endpoints: The runners of the service that may be used.
            leaving: Those that serve on and get no new work.
            wanted: The request.
            now: Time in seconds.
            rng: Breaks ties, so that gateways do not all choose alike.

        Returns:
            The best runner; None if there is none at all.
        """
        if not endpoints:
            return None
        order = self._homes.rank((*endpoints, *leaving), wanted.parts)
        usable = {each.id for each in endpoints}
        home = next((each.id for each in order if each.id in usable), "")
        pace = self.pace(wanted)
        predict = _predict_prompt if wanted.engine else _predict_plain
        found: tuple[bool, float, float] | None = None
        best = endpoints[0], _Predicted(0.0, 0, False)
        for each in endpoints:
            state = self.state(each.id)
            predicted = predict(state, each, wanted, home, pace, now)
            waits = (
                predicted.seconds
                + state.failure_rate * FAILURE_PENALTY_SECONDS
            )
            rank = state.is_suspect(now), waits, rng.random()
            if found is None or rank < found:
                found, best = rank, (each, predicted)
        endpoint, (seconds, unread, alone) = best
        reachable = (
            each for each in order if not self.state(each.id).is_suspect(now)
        )
        return Choice(
            endpoint,
            seconds,
            unread,
            self.state(endpoint.id).is_suspect(now),
            alone,
            find_copy_source(reachable, endpoint, wanted.parts)
            if wanted.engine
            else None,
        )

    def note_sent(
        self, choice: Choice, wanted: PlacementRequest, now: float
    ) -> None:
        """Count a request that is on its way."""
        state = self.state(choice.endpoint.id)
        state.requests += 1
        state.tokens += choice.uncached_tokens
        state.note_parts(wanted.parts, now)

    def note_first_byte(
        self, choice: Choice, wanted: PlacementRequest, took: float, now: float
    ) -> None:
        """Learn from the time to the first byte; the prompt is read."""
        state = self.state(choice.endpoint.id)
        state.tokens = max(0, state.tokens - choice.uncached_tokens)
        if wanted.engine and choice.uncached_tokens < MIN_PACE_TOKENS:
            self._note_overhead(wanted.service, took)
            return
        if (
            wanted.engine
            and choice.unloaded
            and choice.uncached_tokens > MIN_UNLOADED_TOKENS
        ):
            self._note_alone(wanted.service, choice.uncached_tokens, took)
        ratio = took / max(1e-4, choice.seconds)
        slowness = state.slowness(now)
        state.note_pace(ratio * slowness, now)
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio * slowness))
        pace = self.pace(wanted)
        self._pace[wanted.service] = pace * bounded**_SHARED_LEARNING

    def _note_overhead(self, service: str, took: float) -> None:
        """Learn the time to a first byte that no reading takes."""
        before = self._overheads.get(service, took)
        rate = 1.0 if took < before else OVERHEAD_SLOWER_GAIN
        self._overheads[service] = before + rate * (took - before)

    def _note_alone(self, service: str, unread: int, took: float) -> None:
        """Learn the pace of a prompt alone, without what is not reading."""
        overhead = min(self._overheads.get(service, 0.0), took / 2)
        sample = (took - overhead) / unread
        before = self.unloaded_paces.get(service, sample)
        rate = (
            UNLOADED_FASTER_GAIN if sample < before else UNLOADED_SLOWER_GAIN
        )
        self.unloaded_paces[service] = before + rate * (sample - before)

    def note_ended(self, choice: Choice, began: bool) -> None:
        """Count a request that has left the runner."""
        state = self.state(choice.endpoint.id)
        state.requests = max(0, state.requests - 1)
        if not began:
            state.tokens = max(0, state.tokens - choice.uncached_tokens)

    def report(self) -> dict[str, RunnerWork]:
        """Return the own open work by runner, for the other gateways."""
        return {
            runner: RunnerWork(state.requests, state.tokens)
            for runner, state in self.states.items()
            if state.requests
        }


_SHARED_LEARNING = 0.03
"""Exponent with which one answer moves the service's mean pace."""


class _Predicted(NamedTuple):
    """Seconds to the first byte, tokens to read, whether nothing is ahead."""

    seconds: float
    uncached_tokens: int
    unloaded: bool


def _predict_plain(
    state: RunnerState,
    endpoint: Endpoint,
    wanted: PlacementRequest,
    home: str,
    pace: float,
    now: float,
) -> _Predicted:
    running = state.requests + state.peer_work.requests
    turns = max(1.0, (running + 1) / max(1, endpoint.slots))
    # Runners that are otherwise alike share the requests.
    seconds = (
        pace * state.slowness(now) * turns + running * STEP_OVERHEAD_SECONDS
    )
    return _Predicted(seconds, 0, False)


def _predict_prompt(
    state: RunnerState,
    endpoint: Endpoint,
    wanted: PlacementRequest,
    home: str,
    pace: float,
    now: float,
) -> _Predicted:
    running = state.requests + state.peer_work.requests
    pace *= state.slowness(now)
    held = state.count_cached_tokens(wanted.parts, now)
    if endpoint.id == home and len(wanted.parts) > 1:
        shared = sum(part.tokens for part in wanted.parts[:-1])
        held = max(held, shared)
    unread = max(1, wanted.prompt - held)
    ahead = state.tokens + state.peer_work.tokens
    seconds = (ahead + unread) * pace + running * STEP_OVERHEAD_SECONDS
    if running >= endpoint.slots:
        seconds += pace * ahead / max(1, running)
    return _Predicted(seconds, unread, ahead == 0)
