"""Placement: chooses the runner for a forwarded request.

Load pattern: long prompts beside short questions on a few model runners, sent
by many gateways that each see a part of the load. Counting requests ignores
that a prompt of 9,000 tokens delays everything behind it by a quarter of a
second, and that most of it may be cached by a runner already. Placement
predicts the time to first byte for each runner from the tokens that it still
has to prefill: the open work of this gateway, the open work that the peers
report, and the parts of this prompt that the runner has not cached.

A session's prompts go to the runner chosen by a hash of its last shared part,
on which all gateways agree without communicating (with draws in effect, to one
of the runners that `prompt_homes` chooses). Another runner gets such a
prompt only if it is predicted to be faster although it prefills the whole
prompt. The pace of each runner is learned from its answers and decays to the
mean of its service, so that a runner that was slow is tried again.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random
from typing import NamedTuple

from lagoonpost.systems.prompt_homes import PromptDemand, find_homes
from lagoonpost.systems.reach import DIRECT_RANK, LOST_RANK, Path, Reach
from lagoonpost.systems.runner_draw import (
    PLAIN_DRAWS,
    PROMPT_DRAWS,
    Room,
    draw_runners,
    draw_wait,
)
from lagoonpost.systems.runner_speeds import RunnerSpeeds
from lagoonpost.systems.session_affinity import RankingCache, find_copy_source
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.gateway_report import RunnerWork
from lagoonpost.tables.metadata import PromptPart
from lagoonpost.tables.scheduling import NO_PARTS
from lagoonpost.tables.urgency import MAX_URGENCY, is_later, trim

DEFAULT_SECONDS_PER_TOKEN = 1 / 30_000
"""Seconds per prompt token before the first measurement: the usual prefill
rate of an engine on one accelerator."""
DEFAULT_PLAIN_SECONDS = 0.05
"""Seconds of work per plain request before the first measurement."""
AVERAGING_GAIN = 0.15
"""Weight of a new sample in a moving average, which spans some ten answers."""
SLOWNESS_DECAY_SECONDS = 5.0
"""Time constant with which a runner's slowness decays to its service's mean;
after it, a third remains."""
MAX_SLOWNESS, MIN_SLOWNESS = 20.0, 0.25
"""Bounds of a runner's slowness relative to its service, so that one answer
that was delayed elsewhere cannot exclude a runner for long."""
UNLOADED_FASTER_GAIN, UNLOADED_SLOWER_GAIN = 0.4, 0.03
"""Weights of a new sample of the unloaded pace, if it is faster or slower than
the average. A prompt that seems to run alone may wait behind a prompt that
another gateway has just sent, so faster samples are more accurate."""
MIN_PACE_TOKENS = 400
"""Fewest prefilled tokens for a sample of the pace; for shorter prompts the
network latency dominates."""
MIN_UNLOADED_TOKENS = 1500
"""Fewest prefilled tokens for a sample of the unloaded pace; the network
latency is then at most a tenth of the prefill."""
OVERHEAD_SLOWER_GAIN = 0.01
"""Weight of a slower sample in the part of the time to first byte that is not
prefill, such as network latency and the first decoding step. Queueing makes
most samples slower than this overhead."""
CACHED_SECONDS = 30.0
"""How long a part is assumed to stay in a runner's cache after its use."""
FAILURE_PENALTY_SECONDS = 1.0
"""Predicted wait added to a runner whose requests all fail."""
PEER_HOP_SECONDS = 0.005
"""Predicted wait added to a runner that is reached through another gateway:
two more round trips between the failure domains of one region."""
MIN_WORK_SECONDS = 0.001
"""Least time of work that is assumed for a request."""
OVERTAKEN_SHARE = 0.1
"""Weight of the prompts that a request would overtake. It only decides between
runners that are otherwise equal: a prompt in prefill is not interrupted."""
STEP_OVERHEAD_SECONDS = 0.0005
"""Rough time that each concurrent request adds to a step. It only decides
between runners that are otherwise equal."""


class PlacementRequest(NamedTuple):
    """The properties of a request that placement depends on.

    Attributes:
        service: Name of the target service.
        prompt: Tokens of the prompt; 0 for a plain request.
        parts: Parts of the prompt.
        engine: Whether the service has model runners.
        urgency: Level of urgency that the runner is told; None if prompts of
            all levels count as ahead of this one.
    """

    service: str
    prompt: int
    parts: tuple[PromptPart, ...]
    engine: bool
    urgency: int | None = None


class Choice(NamedTuple):
    """A chosen runner with its predictions.

    Attributes:
        endpoint: The runner.
        seconds: Predicted time to first byte.
        uncached_tokens: Prompt tokens that the runner has to prefill.
        suspect: Whether the runner was recently unreachable.
        unloaded: Whether no other prompt was known to be in prefill there.
        copy_source: Runner from which missing cached parts of the prompt may
            be copied; None if there is none.
        delay: Seconds until the request may be sent.
        backlog: Least seconds in which the runner can prefill the prompts
            before this one.
        indirect: Whether the request goes through another gateway.
        compared: The runners that were drawn and compared, with their
            predicted waits in seconds; empty if all were compared.
        homes: Number of runners that are to cache the prompt's shared parts.
        urgency: Level of urgency that the prediction is for; None if all
            prompts count as ahead of this one.
        ahead: Prompt tokens that the runner prefills before this one.
        wait: Predicted seconds until the runner begins with the request.
    """

    endpoint: Endpoint
    seconds: float
    uncached_tokens: int
    suspect: bool
    unloaded: bool = False
    copy_source: Endpoint | None = None
    delay: float = 0.0
    backlog: float = 0.0
    indirect: bool = False
    compared: tuple[tuple[str, float], ...] = ()
    homes: int = 1
    urgency: int | None = None
    ahead: int = 0
    wait: float = 0.0


class RunnerState:
    """This gateway's state of one runner.

    Attributes:
        requests: This gateway's open requests at the runner.
        tokens: Prompt tokens of these requests that are not yet prefilled.
        by_urgency: The part of these tokens whose requests state an urgency,
            by level.
        peer_work: Open work of the other gateways.
        failure_rate: Moving average of failed requests, 0 to 1.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.tokens = 0
        self.by_urgency = [0] * (MAX_URGENCY + 1)
        self.peer_work = RunnerWork()
        self.failure_rate = 0.0
        self._slowness = 1.0
        self._measured = -math.inf
        self._parts: dict[str, float] = {}

    def count_ahead(self, urgency: int | None) -> int:
        """Return the prompt tokens that are prefilled before a request.

        Args:
            urgency: Level of the request; None to count all tokens. Tokens
                of unknown level count as ahead.
        """
        ahead = self.tokens + self.peer_work.tokens
        if urgency is None:
            return ahead
        behind = sum(self.by_urgency[urgency + 1 :])
        behind += sum(self.peer_work.by_urgency[urgency + 1 :])
        return max(0, ahead - behind)

    def add_tokens(self, tokens: int, urgency: int | None) -> None:
        """Change the prompt tokens that are not yet prefilled.

        Args:
            tokens: Tokens to add, or to remove if negative.
            urgency: Level of their request; None if it states none.
        """
        self.tokens = max(0, self.tokens + tokens)
        if urgency is not None:
            before = self.by_urgency[urgency]
            self.by_urgency[urgency] = max(0, before + tokens)

    def slowness(self, now: float) -> float:
        """Return the pace relative to the service's; above 1 is slower."""
        if self._slowness == 1.0:
            return 1.0
        age = max(0.0, now - self._measured)
        fade = math.exp(-age / SLOWNESS_DECAY_SECONDS)
        return float(self._slowness**fade)

    def note_pace(self, ratio: float, now: float) -> None:
        """Update the slowness from one answer.

        Args:
            ratio: Observed time over the service's predicted time.
            now: Time in seconds.
        """
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        logarithm = (1 - AVERAGING_GAIN) * math.log(self.slowness(now))
        logarithm += AVERAGING_GAIN * math.log(ratio)
        self._slowness = math.exp(logarithm)
        self._measured = now

    def note_outcome(self, failed: bool) -> None:
        """Update the failure rate from one outcome."""
        self.failure_rate += AVERAGING_GAIN * (
            float(failed) - self.failure_rate
        )

    def note_parts(self, parts: Iterable[PromptPart], now: float) -> None:
        """Record that the runner prefills and caches these parts."""
        for part in parts:
            self._parts[part.id] = now
        if len(self._parts) > _MAX_PARTS:
            oldest = now - CACHED_SECONDS
            self._parts = {
                id_: used for id_, used in self._parts.items() if used > oldest
            }

    def count_cached_tokens(
        self, parts: Sequence[PromptPart], now: float
    ) -> int:
        """Return the cached tokens at the beginning of a prompt."""
        cached = 0
        for part in parts:
            if now - self._parts.get(part.id, -math.inf) > CACHED_SECONDS:
                break
            cached += part.tokens
        return cached


_MAX_PARTS = 4096


class Placement:
    """Tracks the state of all runners and chooses among them.

    Attributes:
        states: State of each runner by its id.
        reach: What is known of the paths to the runners.
        scheduling: Parts of the scheduling that are in effect.
        speeds: The runners' speeds as all gateways together learn them.
        paces_alone: Prefill seconds per prompt token at an unloaded
            runner, by service. The mean pace includes the time that prompts
            wait for each other, so scaling by it would order runners for
            waits of any cause.
    """

    def __init__(self) -> None:
        self.states: dict[str, RunnerState] = {}
        self.reach = Reach()
        self.scheduling = NO_PARTS
        self.speeds = RunnerSpeeds()
        self._pace: dict[str, float] = {}
        self.unloaded_paces: dict[str, float] = {}
        self._overheads: dict[str, float] = {}
        self._rankings = RankingCache()
        self._demands: defaultdict[str, PromptDemand] = defaultdict(
            PromptDemand
        )

    def state(self, runner: str) -> RunnerState:
        """Return the state of a runner, created on first use."""
        state = self.states.get(runner)
        if state is None:
            state = self.states[runner] = RunnerState()
        return state

    def count_open(self, runner: str) -> int:
        """Return a runner's open requests, as far as is known here."""
        state = self.state(runner)
        return state.requests + state.peer_work.requests

    def forget_missing(self, known: Iterable[str]) -> None:
        """Drop the states of unknown runners that have no open requests.

        Args:
            known: Ids of the runners that exist.
        """
        kept = frozenset(known)
        for runner in list(self.states):
            if runner not in kept and not self.states[runner].requests:
                del self.states[runner]

    def update_from_peers(self, others: Mapping[str, RunnerWork]) -> None:
        """Set the sum of the other gateways' open work by runner."""
        for runner, state in self.states.items():
            state.peer_work = others.get(runner, RunnerWork())
        for runner, work in others.items():
            self.state(runner).peer_work = work

    def is_free(self, runner: str, slots: int) -> bool:
        """Return whether a runner has a free place and no prompt waiting."""
        state = self.state(runner)
        has_place = self.count_open(runner) < max(1, slots)
        return has_place and not state.count_ahead(None)

    def find_work_seconds(
        self, service: str, engine: bool, tokens: float
    ) -> float:
        """Return the seconds of work of a service's request, above 0.

        Args:
            service: Name of the service.
            engine: Whether the service has model runners.
            tokens: Prompt tokens to prefill.
        """
        if not engine:
            return self._pace.get(service, DEFAULT_PLAIN_SECONDS)
        pace = self.unloaded_paces.get(service, DEFAULT_SECONDS_PER_TOKEN)
        return max(MIN_WORK_SECONDS, pace * tokens)

    def is_measured(self, service: str) -> bool:
        """Return whether the service's pace has been measured."""
        return service in self._pace

    def pace(self, wanted: PlacementRequest) -> float:
        """Return the service's mean pace in seconds per token or request."""
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
        delays: Mapping[str, float] | None = None,
        paths: Mapping[str, Path] | None = None,
    ) -> Choice | None:
        """Choose the runner with the shortest predicted time to first byte.

        With draws in effect, only some runners are compared, see
        `runner_draw`.

        Args:
            endpoints: The runners of the service that may get new work.
            wanted: The request.
            now: Time in seconds.
            rng: Breaks ties, so that gateways do not all make the same
                choice.
            leaving: Runners that are shutting down; they get no new work
                but can be copied from.
            delays: Seconds until a request may be sent, by runner; 0 for
                other runners.
            paths: Path to each runner; None if there are no gateways to go
                through.

        Returns:
            The choice; None if there are no runners.
        """
        if not endpoints:
            return None
        delays = delays or {}
        if paths is None:
            paths = {
                runner.id: self.reach.find_path(runner.id, False, now)
                for runner in endpoints
            }
        order = self._rankings.rank((*endpoints, *leaving), wanted.parts)
        usable = {endpoint.id for endpoint in endpoints}
        ranked = [runner for runner in order if runner.id in usable]
        draws = self.scheduling.draws
        candidates = endpoints
        homes = ranked[:1]
        if draws:
            find_room = self._make_room_finder(paths, delays, now)
            homes = self._find_homes(
                ranked, wanted, find_room, len(usable), now
            )
            candidates = _draw(endpoints, homes, wanted.engine, find_room, rng)
        compared = [
            self._predict(runner, wanted, runner in homes, delays, paths, now)
            for runner in candidates
        ]
        draws_waits = draws and not wanted.engine
        best = min(
            compared,
            key=lambda each: (
                paths[each.endpoint.id].rank,
                draw_wait(each.wait, rng) if draws_waits else each.wait,
                rng.random(),
            ),
        )
        endpoint, seconds = best.endpoint, best.seconds
        state = self.state(endpoint.id)
        ahead = state.count_ahead(wanted.urgency)
        reachable = (
            runner
            for runner in ((*homes, *order) if draws else order)
            if not self.reach.is_lost(runner.id, now)
        )
        return Choice(
            endpoint,
            seconds,
            best.uncached_tokens,
            paths[endpoint.id].rank == LOST_RANK,
            best.unloaded,
            find_copy_source(reachable, endpoint, wanted.parts)
            if wanted.engine
            else None,
            delays.get(endpoint.id, 0.0),
            ahead * self.unloaded_paces.get(wanted.service, 0.0),
            paths[endpoint.id].indirect,
            tuple((each.endpoint.id, each.wait) for each in compared)
            if draws
            else (),
            max(1, len(homes)),
            wanted.urgency,
            ahead,
            seconds - self._find_own_seconds(best, wanted, now),
        )

    def _predict(
        self,
        runner: Endpoint,
        wanted: PlacementRequest,
        is_home: bool,
        delays: Mapping[str, float],
        paths: Mapping[str, Path],
        now: float,
    ) -> "_Predicted":
        """Predict when a runner would answer a request.

        Args:
            runner: The runner.
            wanted: The request.
            is_home: Whether the runner is to cache the prompt's shared parts.
            delays: Seconds until a request may be sent, by runner.
            paths: Path to each runner.
            now: Time in seconds.
        """
        state = self.state(runner.id)
        pace = self.pace(wanted) * self._find_slowness(runner.id, now)
        predict = _predict_prompt if wanted.engine else _predict_plain
        places = max(1, self._count_places(runner, now))
        predicted = predict(state, runner, wanted, is_home, pace, places, now)
        wait = (
            predicted.seconds
            + state.failure_rate * FAILURE_PENALTY_SECONDS
            + delays.get(runner.id, 0.0)
            + paths[runner.id].indirect * PEER_HOP_SECONDS
        )
        return predicted._replace(wait=wait)

    def _make_room_finder(
        self,
        paths: Mapping[str, Path],
        delays: Mapping[str, float],
        now: float,
    ) -> Callable[[Endpoint], Room]:
        """Return a function that returns the room of a runner."""
        return lambda runner: Room(
            paths[runner.id].rank,
            1 / self.speeds.slowness(runner.id, now),
            not delays.get(runner.id)
            and self.count_open(runner.id) < self._count_places(runner, now),
        )

    def _count_places(self, runner: Endpoint, now: float) -> int:
        """Return the requests at once that a runner takes well."""
        if self.scheduling.speeds:
            return self.speeds.capacity(runner.id, runner.slots, now)
        return runner.slots

    def _find_homes(
        self,
        order: Iterable[Endpoint],
        wanted: PlacementRequest,
        find_room: Callable[[Endpoint], Room],
        runners: int,
        now: float,
    ) -> list[Endpoint]:
        """Return the homes of a prompt; empty if it has no shared part."""
        if not wanted.engine or len(wanted.parts) < 2:
            return []

        def has_room(runner: Endpoint) -> bool:
            room = find_room(runner)
            return room.free and room.rank == DIRECT_RANK

        demand = self._demands[wanted.service]
        return find_homes(
            order,
            wanted.parts[-2].id,
            demand.count_homes(wanted.parts, runners, now),
            lambda runner: self.speeds.slowness(runner.id, now),
            has_room,
        )

    def _find_own_seconds(
        self, predicted: "_Predicted", wanted: PlacementRequest, now: float
    ) -> float:
        """Return the part of a prediction that is the request's own work."""
        units = predicted.uncached_tokens if wanted.engine else 1
        slowness = self._find_slowness(predicted.endpoint.id, now)
        return units * self.pace(wanted) * slowness

    def note_sent(
        self, choice: Choice, wanted: PlacementRequest, now: float
    ) -> None:
        """Count a request that is being sent."""
        state = self.state(choice.endpoint.id)
        state.requests += 1
        state.add_tokens(choice.uncached_tokens, choice.urgency)
        state.note_parts(wanted.parts, now)
        if self.scheduling.draws and wanted.engine:
            self._demands[wanted.service].note(wanted.parts, now)

    def note_first_byte(
        self, choice: Choice, wanted: PlacementRequest, took: float, now: float
    ) -> None:
        """Record the first byte: the prompt is prefilled; update the paces."""
        state = self.state(choice.endpoint.id)
        state.add_tokens(-choice.uncached_tokens, choice.urgency)
        if is_later(choice.urgency):
            # Requests that arrived after it went first: its time tells
            # nothing about the pace.
            return
        if wanted.engine and choice.uncached_tokens < MIN_PACE_TOKENS:
            self._note_overhead(wanted.service, took)
            return
        if (
            wanted.engine
            and choice.unloaded
            and choice.uncached_tokens > MIN_UNLOADED_TOKENS
        ):
            self._note_unloaded_pace(
                wanted.service, choice.uncached_tokens, took
            )
        ratio = took / max(1e-4, choice.seconds)
        if not self.scheduling.speeds:
            ratio *= state.slowness(now)
            state.note_pace(ratio, now)
        # With shared speeds, the prediction has the runner's own in it, and
        # the mean pace is that of a runner of mean speed.
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        pace = self.pace(wanted)
        self._pace[wanted.service] = pace * bounded**_SHARED_GAIN

    def _find_slowness(self, runner: str, now: float) -> float:
        if self.scheduling.speeds:
            return self.speeds.slowness(runner, now)
        return self.state(runner).slowness(now)

    def _note_overhead(self, service: str, took: float) -> None:
        """Update the part of the time to first byte that is not prefill."""
        before = self._overheads.get(service, took)
        rate = 1.0 if took < before else OVERHEAD_SLOWER_GAIN
        self._overheads[service] = before + rate * (took - before)

    def _note_unloaded_pace(
        self, service: str, uncached_tokens: int, took: float
    ) -> None:
        """Update the unloaded pace, without the overhead."""
        overhead = min(self._overheads.get(service, 0.0), took / 2)
        sample = (took - overhead) / uncached_tokens
        before = self.unloaded_paces.get(service, sample)
        rate = (
            UNLOADED_FASTER_GAIN if sample < before else UNLOADED_SLOWER_GAIN
        )
        self.unloaded_paces[service] = before + rate * (sample - before)

    def note_ended(self, choice: Choice, began: bool) -> None:
        """Remove a request that has ended at the runner.

        Args:
            choice: The choice made for the request.
            began: Whether its first byte was received.
        """
        state = self.state(choice.endpoint.id)
        state.requests = max(0, state.requests - 1)
        if not began:
            state.add_tokens(-choice.uncached_tokens, choice.urgency)

    def report(self) -> dict[str, RunnerWork]:
        """Return this gateway's open work by runner, for the peers."""
        return {
            runner: RunnerWork(
                state.requests, state.tokens, trim(state.by_urgency)
            )
            for runner, state in self.states.items()
            if state.requests
        }


_SHARED_GAIN = 0.03
"""Exponent of one answer's ratio in the service's mean pace."""


class _Predicted(NamedTuple):
    """Prediction for one runner.

    Attributes:
        endpoint: The runner.
        seconds: Time to first byte.
        uncached_tokens: Prompt tokens to prefill.
        unloaded: Whether no other prompt is in prefill.
        wait: Time by which runners are compared: to first byte, on the path
            there, with its failures and the time until it may be sent.
    """

    endpoint: Endpoint
    seconds: float
    uncached_tokens: int
    unloaded: bool
    wait: float = 0.0


def _draw(
    endpoints: Sequence[Endpoint],
    homes: Sequence[Endpoint],
    engine: bool,
    find_room: Callable[[Endpoint], Room],
    rng: Random,
) -> list[Endpoint]:
    """Return the runners to compare: a few of all, and a few of the homes."""
    count = PROMPT_DRAWS if engine else PLAIN_DRAWS
    drawn = draw_runners(endpoints, count, find_room, DIRECT_RANK, rng)
    if not homes:
        return drawn
    near = draw_runners(homes, PROMPT_DRAWS, find_room, DIRECT_RANK, rng)
    return near + [runner for runner in drawn if runner not in near]


def _predict_plain(
    state: RunnerState,
    endpoint: Endpoint,
    wanted: PlacementRequest,
    is_home: bool,
    pace: float,
    places: int,
    now: float,
) -> _Predicted:
    running = state.requests + state.peer_work.requests
    turns = max(1.0, (running + 1) / places)
    # Spreads requests over runners that are otherwise equal.
    seconds = pace * turns + running * STEP_OVERHEAD_SECONDS
    return _Predicted(endpoint, seconds, 0, False)


def _predict_prompt(
    state: RunnerState,
    endpoint: Endpoint,
    wanted: PlacementRequest,
    is_home: bool,
    pace: float,
    places: int,
    now: float,
) -> _Predicted:
    running = state.requests + state.peer_work.requests
    cached = state.count_cached_tokens(wanted.parts, now)
    if is_home and len(wanted.parts) > 1:
        shared = sum(part.tokens for part in wanted.parts[:-1])
        cached = max(cached, shared)
    uncached_tokens = max(1, wanted.prompt - cached)
    ahead = state.count_ahead(wanted.urgency)
    seconds = (
        ahead + uncached_tokens
    ) * pace + running * STEP_OVERHEAD_SECONDS
    if running >= places:
        seconds += pace * ahead / max(1, running)
    behind = state.count_ahead(None) - ahead
    seconds += OVERTAKEN_SHARE * pace * min(behind, uncached_tokens)
    unloaded = state.count_ahead(None) == 0
    return _Predicted(endpoint, seconds, uncached_tokens, unloaded)
