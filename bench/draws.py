"""Plays requests of many gateways that know each other's work late.

Run: python -m bench.draws

It prints the share of first bytes within their aim where gateways compare all
runners, and its ratio where they compare a few that are drawn. Time is played,
so that the figures don't depend on the machine.
"""

import heapq
import math
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import click

from lagoonpost.systems.placement import (
    Choice,
    Placement,
    PlacementRequest,
    RunnerState,
)
from lagoonpost.systems.prompt_homes import find_homes
from lagoonpost.systems.runner_speeds import RunnerSpeeds
from lagoonpost.systems.session_affinity import rank_by_session
from lagoonpost.tables.address import Address
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.gateway_report import RunnerWork, subtract_work
from lagoonpost.tables.metadata import PromptPart
from lagoonpost.tables.scheduling import NO_PARTS, Scheduling

SECONDS_PER_TOKEN = 1 / 50_000
MEAN_TOKENS = 3000
MEAN_DECODE_SECONDS = 0.2
SLOWNESS = (0.6, 1.0, 1.6)
"""Lasting slowness of the runners, in turn."""
NOISE, NOISE_SHARE, NOISE_SECONDS = 2.5, 1 / 7, 0.6
"""Further slowness, the share of the runners that have it, and its time."""
PLAIN_SECONDS, LONG_SHARE, LONG = (0.0075, 0.015), 0.01, 5.0
"""Work of plain requests: a constant and the mean of a random part; some take
several times as long."""
PLAIN_SLOTS, PLAIN_QUEUE = 6, 24
AIM_SECONDS = {True: 0.5, False: 0.159}
"""Aims of the first byte of prompts and of plain answers."""
RETRY_SECONDS, MAX_RETRIES = 0.004, 3
COPY_SECONDS = 0.015
REPORT_DELAY = 0.25
"""Delay of a report, in pauses between reports."""
SHARED = PromptPart("base", 2500)
SESSION_TOKENS = 3800


class Play(NamedTuple):
    """A load to play.

    Attributes:
        gateways: Number of gateways.
        runners: Number of runners.
        load: Work that arrives, relative to what the runners can do.
        engine: Whether the runners are model runners.
        noise_known: Whether gateways know the runners' speeds of the moment,
            or only those that last.
        pause: Seconds between reports.
        sessions: Sessions that share parts of prompts; 0 for none.
        hot: Sessions that have ``hot_share`` of the requests.
        hot_share: Their share.
        hot_seconds: Time after which other sessions are the hot ones.
        lost: Runners that are lost at half of the time: the first ones that
            the first session prefers.
        seconds: Length of the play.
    """

    gateways: int
    runners: int
    load: float
    engine: bool = True
    noise_known: bool = True
    pause: float = 0.4
    sessions: int = 0
    hot: int = 0
    hot_share: float = 0.25
    hot_seconds: float = math.inf
    lost: int = 0
    seconds: float = 8.0


class Result(NamedTuple):
    """What callers got.

    Attributes:
        in_time: Share of the first bytes within the aim.
        median: Median time to first byte in seconds.
        late: Its 99th percentile.
        reread: Shared tokens that runners read again, per request.
        copied: Shared tokens that were copied, per request.
    """

    in_time: float
    median: float
    late: float
    reread: float
    copied: float


class PlayedRunner:
    """Runner that prefills one prompt after the other, or runs plain work."""

    def __init__(self, slots: int, slowness: float) -> None:
        self.slowness = slowness
        self.noise = 1.0
        self.lost = False
        self.cached: set[str] = set()
        self._prefilled = 0.0
        self._ends = [0.0] * slots
        self._starts: list[float] = []

    def prefill(self, tokens: int, earliest: float, rng: Random) -> float:
        """Return the time of the first byte of a prompt."""
        start = max(earliest, heapq.heappop(self._ends), self._prefilled)
        pace = SECONDS_PER_TOKEN * self.slowness * self.noise
        self._prefilled = start + tokens * pace
        decode = rng.expovariate(1 / MEAN_DECODE_SECONDS)
        heapq.heappush(self._ends, self._prefilled + decode)
        return self._prefilled

    def run(self, now: float, rng: Random) -> float | None:
        """Return the end of plain work; None if the queue is full."""
        self._starts = [start for start in self._starts if start > now]
        if len(self._starts) >= PLAIN_QUEUE:
            return None
        start = max(now, heapq.heappop(self._ends))
        least, mean = PLAIN_SECONDS
        work = least + rng.expovariate(1 / mean)
        work *= LONG if rng.random() < LONG_SHARE else 1.0
        end = start + work * self.slowness * self.noise
        self._starts.append(start)
        heapq.heappush(self._ends, end)
        return end


class _Speeds(RunnerSpeeds):
    """Speeds that are known, and the state of a runner that follows them."""

    def __init__(self, runners: dict[str, PlayedRunner], noise: bool) -> None:
        super().__init__()
        self._runners, self._noise = runners, noise

    def slowness(self, runner: str, now: float) -> float:
        played = self._runners[runner]
        return played.slowness * (played.noise if self._noise else 1.0)


class _State(RunnerState):
    def __init__(self, speeds: RunnerSpeeds, runner: str) -> None:
        super().__init__()
        self._speeds, self._runner = speeds, runner

    def slowness(self, now: float) -> float:
        return self._speeds.slowness(self._runner, now)

    def note_pace(self, ratio: float, now: float) -> None:
        """Learn nothing: the speeds are known."""


class _Player:
    def __init__(self, case: Play, parts: Scheduling, seed: int) -> None:
        self._case = case
        self._rng = Random(seed)
        slots = 24 if case.engine else PLAIN_SLOTS
        self._endpoints = [
            Endpoint(f"i-{n}", "s", Address("h", n), "a", "v1", slots)
            for n in range(case.runners)
        ]
        self._runners = {
            endpoint.id: PlayedRunner(slots, SLOWNESS[n % len(SLOWNESS)])
            for n, endpoint in enumerate(self._endpoints)
        }
        self._placements = [Placement() for _ in range(case.gateways)]
        for placement in self._placements:
            placement.scheduling = parts
            speeds = placement.speeds = _Speeds(
                self._runners, case.noise_known
            )
            for id_ in self._runners:
                placement.states[id_] = _State(speeds, id_)
        for number in range(case.sessions):
            parts_ = self._make_parts(number, 1)
            order = rank_by_session(self._endpoints, parts_)
            homes = find_homes(
                order,
                parts_[-2].id,
                1,
                lambda runner: self._runners[runner.id].slowness,
                lambda runner: True,
            )
            for home in (order[0], homes[0]):
                cached = self._runners[home.id].cached
                cached |= {each.id for each in parts_[:-1]}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._scheduled = 0
        self._waits: list[float] = []
        self._reread = self._copied = 0
        work = (
            MEAN_TOKENS * SECONDS_PER_TOKEN
            if case.engine
            else sum(PLAIN_SECONDS) / PLAIN_SLOTS
        )
        self._rate = case.load * case.runners / work

    def play(self) -> Result:
        self._at(0.0, self._report)
        self._at(0.0, self._change_noise)
        self._at(0.0, self._arrive)
        self._at(self._case.seconds / 2, self._lose)
        while self._events[0][0] < self._case.seconds:
            now, _, action = heapq.heappop(self._events)
            action(now)
        waits, count = sorted(self._waits), len(self._waits)
        aim = AIM_SECONDS[self._case.engine]
        return Result(
            sum(wait <= aim for wait in waits) / count,
            waits[count // 2],
            waits[int(count * 0.99)],
            self._reread / count,
            self._copied / count,
        )

    def _at(self, when: float, action: Callable[[float], None]) -> None:
        self._scheduled += 1
        heapq.heappush(self._events, (when, self._scheduled, action))

    def _report(self, now: float) -> None:
        reports = [placement.report() for placement in self._placements]
        total: dict[str, RunnerWork] = {}
        for report in reports:
            for id_, work in report.items():
                requests, tokens = total.get(id_, RunnerWork())
                total[id_] = RunnerWork(
                    requests + work.requests, tokens + work.tokens
                )

        def deliver(now: float) -> None:
            for placement, own in zip(self._placements, reports, strict=True):
                placement.update_from_peers(subtract_work(total, own))

        self._at(now + self._case.pause * REPORT_DELAY, deliver)
        self._at(now + self._case.pause, self._report)

    def _change_noise(self, now: float) -> None:
        for runner in self._runners.values():
            noisy = self._rng.random() < NOISE_SHARE
            runner.noise = NOISE if noisy else 1.0
        self._at(now + NOISE_SECONDS, self._change_noise)

    def _lose(self, now: float) -> None:
        parts = self._make_parts(0, 1)
        ranked = rank_by_session(self._endpoints, parts)
        for endpoint in ranked[: self._case.lost]:
            self._runners[endpoint.id].lost = True

    def _make_parts(self, session: int, own: int) -> tuple[PromptPart, ...]:
        part = PromptPart(f"s{session}", SESSION_TOKENS)
        return SHARED, part, PromptPart("own", own)

    def _make_request(self, now: float) -> PlacementRequest:
        case, rng = self._case, self._rng
        if not case.engine:
            return PlacementRequest("s", 0, (), False)
        own = int(MEAN_TOKENS * rng.lognormvariate(-0.18, 0.6))
        session = rng.randrange(max(1, case.sessions))
        if case.hot and rng.random() < case.hot_share:
            session = int(now / case.hot_seconds) * case.hot
            session += rng.randrange(case.hot)
        parts = self._make_parts(session, own)
        if not case.sessions:
            parts = parts[-1:]
        tokens = sum(part.tokens for part in parts)
        return PlacementRequest("s", tokens, parts, True)

    def _arrive(self, now: float) -> None:
        self._at(now + self._rng.expovariate(self._rate), self._arrive)
        placement = self._rng.choice(self._placements)
        self._send(placement, self._make_request(now), now, now, frozenset())

    def _send(
        self,
        placement: Placement,
        wanted: PlacementRequest,
        arrived: float,
        now: float,
        tried: frozenset[str],
    ) -> None:
        left = [each for each in self._endpoints if each.id not in tried]
        choice = placement.choose(left, wanted, now, self._rng)
        if choice is None or len(tried) >= MAX_RETRIES:
            self._waits.append(math.inf)
            return
        runner = choice.endpoint.id
        placement.note_sent(choice, wanted, now)
        first = self._run(choice, wanted, now)
        if first is None:
            placement.note_ended(choice, False)
            if self._runners[runner].lost:
                placement.reach.note_direct(runner, False, now)
            else:
                placement.state(runner).note_outcome(True)
            self._at(
                now + RETRY_SECONDS,
                lambda now: self._send(
                    placement, wanted, arrived, now, tried | {runner}
                ),
            )
            return
        self._waits.append(first - arrived)

        def begin(began: float) -> None:
            placement.note_first_byte(choice, wanted, began - now, began)
            placement.note_ended(choice, True)

        self._at(first, begin)

    def _run(
        self, choice: Choice, wanted: PlacementRequest, now: float
    ) -> float | None:
        """Return the time of the first byte; None if it isn't run."""
        runner = self._runners[choice.endpoint.id]
        if runner.lost:
            return None
        if not wanted.engine:
            return runner.run(now, self._rng)
        source = choice.copy_source
        held = self._runners[source.id] if source else None
        tokens, earliest = wanted.parts[-1].tokens, now
        for part in wanted.parts[:-1]:
            if part.id in runner.cached:
                continue
            runner.cached.add(part.id)
            if held and not held.lost and part.id in held.cached:
                self._copied += part.tokens
                earliest = now + COPY_SECONDS
            else:
                self._reread += part.tokens
                tokens += part.tokens
        return runner.prefill(tokens, earliest, self._rng)


def play(case: Play, parts: Scheduling, seed: int = 1) -> Result:
    """Play a load.

    Args:
        case: The load.
        parts: Parts of the scheduling that are in effect.
        seed: Seed of all random choices.
    """
    return _Player(case, parts, seed).play()


HOMES = Play(72, 36, 0.6, sessions=1500)
PLAIN = Play(82, 3, 0.6, engine=False)
CASES = {
    **{
        f"{gateways} gateways, {runners} runners, load {load}": Play(
            gateways, runners, load, pause=pause
        )
        for gateways, pause in ((9, 0.4), (82, 0.4), (195, 0.8))
        for runners in (6, 36, 90, 200)
        for load in (0.6, 0.85)
    },
    "36 runners, noise unknown": Play(72, 36, 0.85, noise_known=False),
    "homes": HOMES,
    "homes, load 0.85": HOMES._replace(load=0.85),
    "homes, 1 hot": HOMES._replace(hot=1),
    "homes, 1 hot that moves": HOMES._replace(hot=1, hot_seconds=2.0),
    "homes, 10 hot": HOMES._replace(hot=10),
    "homes, 1 hot, its first 4 runners are lost": HOMES._replace(
        hot=1, lost=4
    ),
    "36 runners, 4 are lost": Play(72, 36, 0.6, lost=4),
    "3 plain runners": PLAIN,
    "3 plain runners, load 0.8": PLAIN._replace(load=0.8),
    "24 plain runners, load 0.8": PLAIN._replace(runners=24, load=0.8),
    "3 plain runners, 1 is lost": PLAIN._replace(load=0.4, lost=1),
}


@click.command()
@click.option("--seeds", default=1, help="Plays for each load.")
def main(seeds: int) -> None:
    """Print the share in time by load and its ratio with draws."""
    for name, case in CASES.items():
        shares = [
            sum(play(case, parts, seed).in_time for seed in range(seeds))
            / seeds
            for parts in (NO_PARTS, Scheduling(draws=True))
        ]
        ratio = shares[1] / max(shares[0], 1e-3)
        click.echo(
            f"{name}: {shares[0]:.3f}, draws {shares[1]:.3f}, {ratio:.2f} x"
        )


if __name__ == "__main__":
    main()
