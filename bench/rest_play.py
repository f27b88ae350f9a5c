"""Plays gateways before runners that ask for a rest, without a network.

Runners have slots and a queue, and turn away what doesn't fit, or a share of
everything. Gateways know their own open requests, and those of the others as
of their last reports. Refused callers come back once, at any gateway.
"""

import itertools
from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

from lagoonpost.forwarding.runner_choice import (
    MAX_RUNNERS_PER_REQUEST,
    MAX_WAIT_SECONDS,
    ROOM_POLL_SECONDS,
    WAIT_SHARE,
)
from lagoonpost.systems.overload import find_return_delay
from lagoonpost.systems.runner_notices import RunnerNotices
from lagoonpost.tables.address import Address
from lagoonpost.tables.endpoint import Endpoint

HOP_SECONDS = 0.0015
REPORT_SECONDS = 0.2
"""Age of what gateways know of each other's requests."""
RUNNERS, SLOTS, PLACES = 6, 4, 8
"""Runners, and requests that each runs and takes at once."""
WORK_SECONDS = 0.4
AIM_SECONDS, DEADLINE_SECONDS = 1.5, 6.0
CAPACITY = RUNNERS * SLOTS / WORK_SECONDS
"""Requests a second that all runners can answer."""
COUNTED_AFTER_SECONDS, MOST_IN_REST = 0.5, 2
"""Time after a refusal from which a rest counts, and what is allowed in it."""


class Trouble(NamedTuple):
    """What happens from 5 s on.

    Attributes:
        load: Requests a second relative to the capacity.
        rest: Seconds of rest that a refusal asks for.
        seconds: How long it lasts.
        runners: Number of runners that turn requests away.
        share: Share of the requests that these turn away.
    """

    load: float
    rest: float
    seconds: float
    runners: int = 0
    share: float = 0.0


class Ask(NamedTuple):
    """A caller's request.

    Attributes:
        began: Time of the caller's first attempt in seconds.
        again: Whether it was refused before.
        tried: Runners that have turned it away.
        until: Latest time until which it may wait at its gateway.
    """

    began: float
    again: bool
    tried: frozenset[int]
    until: float


class Gateway:
    """A gateway that decides as ours do.

    Args:
        rng: Source of random choices.

    Attributes:
        notices: What runners have said to it.
        open: Its open requests by runner.
        others: Those of the other gateways, as of their last reports.
    """

    wait_seconds = min(MAX_WAIT_SECONDS, WAIT_SHARE * DEADLINE_SECONDS)

    def __init__(self, rng: Random) -> None:
        self.notices = RunnerNotices()
        self.open: Counter[int] = Counter()
        self.others: Counter[int] = Counter()
        self.rng = rng

    def may_send(self, runner: Endpoint, known: int, now: float) -> bool:
        """Return whether a runner may get a request now.

        Args:
            runner: The runner.
            known: Its open requests, as far as is known here.
            now: Time in seconds.
        """
        return self.notices.may_send(runner, now) and self.notices.has_room(
            runner, known, now
        )

    def count_known(self, number: int) -> int:
        """Return a runner's open requests, as far as is known here."""
        return self.open[number] + self.others[number]

    def find_return(self, rest: float) -> float:
        """Return the seconds after which a refused caller may return."""
        return find_return_delay(rest, self.rng)


class Play:
    """Some seconds of gateways and runners.

    Args:
        count: Number of gateways.
        trouble: What happens.
        seed: Seed of all random choices.
        make_gateway: Makes a gateway.
        tells_all: Whether a rest holds for all gateways.

    Attributes:
        breaks: Requests in a rest beyond those that are allowed.
        counts: Callers by outcome: "in time", "late", "refused".
    """

    def __init__(
        self,
        count: int,
        trouble: Trouble,
        seed: int,
        make_gateway: Callable[[Random], Gateway] = Gateway,
        tells_all: bool = False,
    ) -> None:
        self._rng = Random(seed)
        self._trouble = trouble
        self._tells_all = tells_all
        self._gateways = [make_gateway(self._rng) for _ in range(count)]
        self._runners = [
            Endpoint(
                f"r-{n}", "desk", Address("10.0.0.1", n), "a", "v1", SLOTS
            )
            for n in range(RUNNERS)
        ]
        self._busy = [0] * RUNNERS
        self._waiting: list[list[tuple[int, Ask]]] = [
            [] for _ in range(RUNNERS)
        ]
        self._rests: dict[tuple[int, int], list[list[float]]] = {}
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._numbers = itertools.count()
        self.breaks = 0
        self.counts: Counter[str] = Counter()

    def play(self, seconds: float) -> None:
        """Play the seconds."""
        now = 0.0
        while now < seconds:
            rate = self._load(now) * CAPACITY
            now += self._rng.expovariate(rate)
            ask = Ask(now, False, frozenset(), 0.0)
            self._at(now, self._arrive, ask)
        for number in range(int(seconds / REPORT_SECONDS)):
            self._at(number * REPORT_SECONDS, self._report, None)
        while self._events:
            now, _, do, what = heappop(self._events)
            do(now, what)

    def find_share(self) -> float:
        """Return the share of callers that were served in time."""
        return self.counts["in time"] / sum(self.counts.values())

    def _is_troubled(self, now: float) -> bool:
        return 5.0 <= now < 5.0 + self._trouble.seconds

    def _load(self, now: float) -> float:
        return self._trouble.load if self._is_troubled(now) else 0.6

    def _at(self, time: float, do: Callable[..., None], what: Any) -> None:
        heappush(self._events, (time, next(self._numbers), do, what))

    def _report(self, now: float, _: None) -> None:
        total: Counter[int] = Counter()
        for gateway in self._gateways:
            total += gateway.open
        for gateway in self._gateways:
            gateway.others = total - gateway.open

    def _arrive(self, now: float, ask: Ask) -> None:
        gateway = self._rng.randrange(len(self._gateways))
        wait = self._gateways[gateway].wait_seconds
        self._choose(now, (gateway, ask._replace(until=now + wait)))

    def _choose(self, now: float, what: tuple[int, Ask]) -> None:
        number, ask = what
        gateway = self._gateways[number]
        untried = [n for n in range(RUNNERS) if n not in ask.tried]
        usable = [
            n
            for n in untried
            if gateway.may_send(self._runners[n], gateway.count_known(n), now)
        ]
        if usable and len(ask.tried) < MAX_RUNNERS_PER_REQUEST:
            runner = min(
                usable,
                key=lambda n: (
                    gateway.count_known(n),
                    self._rng.random(),
                ),
            )
            gateway.open[runner] += 1
            self._at(now + HOP_SECONDS, self._reach, (number, runner, ask))
            return
        rests = [
            gateway.notices.find_rest(self._runners[n], now) for n in untried
        ]
        if 0.0 in rests and now + ROOM_POLL_SECONDS <= ask.until:
            self._at(now + ROOM_POLL_SECONDS, self._choose, what)
            return
        rest = min((each for each in rests if each), default=0.0)
        if rest and now + rest <= ask.until:
            self._at(now + rest, self._choose, what)
            return
        rest = min(
            gateway.notices.find_rest(each, now) for each in self._runners
        )
        self._refuse(now, ask, gateway.find_return(rest))

    def _refuse(self, now: float, ask: Ask, delay: float) -> None:
        left = ask.began + DEADLINE_SECONDS - now
        if ask.again or left <= 0:
            self.counts["refused"] += 1
            return
        again = Ask(ask.began, True, frozenset(), 0.0)
        self._at(now + min(delay, left / 3), self._arrive, again)

    def _reach(self, now: float, what: tuple[int, int, Ask]) -> None:
        number, runner, ask = what
        self._count(now, number, runner)
        trouble = self._trouble
        sheds = runner < trouble.runners and self._is_troubled(now)
        taken = self._busy[runner] + len(self._waiting[runner])
        if taken >= PLACES or (sheds and self._rng.random() < trouble.share):
            rests = self._rests.setdefault((number, runner), [])
            rests.append([now, now + trouble.rest, 0])
            self._at(now + HOP_SECONDS, self._hear, what)
        elif self._busy[runner] < SLOTS:
            self._start(now, runner, (number, ask))
        else:
            self._waiting[runner].append((number, ask))

    def _count(self, now: float, number: int, runner: int) -> None:
        for rest in self._rests.get((number, runner), []):
            begin, end, _ = rest
            if begin + COUNTED_AFTER_SECONDS <= now < end:
                rest[2] += 1
                self.breaks += rest[2] > MOST_IN_REST

    def _hear(self, now: float, what: tuple[int, int, Ask]) -> None:
        number, runner, ask = what
        gateway = self._gateways[number]
        gateway.open[runner] -= 1
        told = self._gateways if self._tells_all else [gateway]
        for each in told:
            known = each.count_known(runner) + 1
            each.notices.note_rest(
                self._runners[runner], self._trouble.rest, known, now
            )
        self._choose(now, (number, ask._replace(tried=ask.tried | {runner})))

    def _start(self, now: float, runner: int, what: tuple[int, Ask]) -> None:
        self._busy[runner] += 1
        work = WORK_SECONDS * self._rng.uniform(0.5, 1.5)
        self._at(now + work, self._end, (runner, *what))

    def _end(self, now: float, what: tuple[int, int, Ask]) -> None:
        runner, number, ask = what
        self._busy[runner] -= 1
        self._gateways[number].open[runner] -= 1
        took = now + HOP_SECONDS - ask.began
        self.counts["in time" if took <= AIM_SECONDS else "late"] += 1
        if self._waiting[runner]:
            self._start(now, runner, self._waiting[runner].pop(0))
