"""Plays gateways before runners that bear less than usual, without a network.

Messages between gateways take some milliseconds and may be lost, gateways
come and go, and each learns of it with a delay. The paths to runners hold.
"""

import itertools
from bisect import bisect_left
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from random import Random
from typing import Any, NamedTuple

from lagoonpost.forwarding.permits import REPLY_TIMEOUT_SECONDS
from lagoonpost.systems.permit_group import INTRODUCTION_SECONDS
from lagoonpost.systems.permit_issuer import Denied, Granted
from lagoonpost.systems.runner_limits import Ask, RunnerLimits
from lagoonpost.tables.address import Address
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.permit import (
    LimitNews,
    PermitClaim,
    PermitReply,
    PermitRequest,
)
from lagoonpost.tables.stated_limits import StatedLimits

WINDOW_SECONDS, OVERAGE, SLACK = 4.0, 1.5, 5.0
"""A runner may get ``OVERAGE`` times what its limit allows in any
``WINDOW_SECONDS``, and ``SLACK`` requests."""
TOLD_SECONDS = 0.5
"""Time after which a change of the limit counts."""
FIRST_COUNTED_SECONDS = 3.0
"""Time from the first limit from which requests count."""
LONGEST_WAIT_SECONDS = 0.4
VIEW_SECONDS = 0.25
"""Time until a gateway acts by a change of its view of the others."""
DETECTION_SECONDS = 2.5
"""Time until a gateway that was killed or cut off counts as absent."""
NEWS_SECONDS = 1.0
"""Time until a gateway that starts or leaves is known to all others."""
WORK_SECONDS = 0.05
STEP_SECONDS = 0.05
"""Distance of the times at which a limit is read."""


def make_endpoint(number: int = 0, slots: int = 64) -> Endpoint:
    """Return a runner of the service "desk"."""
    return Endpoint(
        f"desk-{number}", "desk", Address("10.0.0.1", 80), "a", "v1", slots
    )


class Life(NamedTuple):
    """Times in seconds of a gateway; infinite if they don't come.

    Attributes:
        start: When it starts.
        end: When it ends.
        killed: Whether it ends without leaving.
    """

    start: float = -60.0
    end: float = float("inf")
    killed: bool = False


class Cut(NamedTuple):
    """A time in which some gateways don't reach the others.

    Attributes:
        names: The gateways on one side.
        begin: Beginning in seconds.
        end: End in seconds.
    """

    names: frozenset[str]
    begin: float
    end: float


_Action = Callable[..., None]
_Event = tuple[float, int, _Action, tuple[Any, ...]]
Limit = Callable[[float], float | None]
"""A runner's limit by the time in seconds; None for none."""


class Fleet:
    """Gateways that send all they may to one runner.

    Args:
        lives: The gateways by name.
        limit: The runner's limit.
        demand: Requests a second at all gateways together.
        seed: Seed of all random choices.
        cuts: Times in which gateways are cut off from each other.
        loss: Share of messages between gateways that are lost.
        cold_rate: Requests a second that the runner bears while it is cold;
            0 if it isn't.
        runner: Number of the runner.

    Attributes:
        sent: Times at which the runner got requests.
        served_by: Gateway of each of these requests.
        messages: Number of messages between gateways.
    """

    def __init__(
        self,
        lives: dict[str, Life],
        limit: Limit,
        demand: float,
        seed: int,
        cuts: Sequence[Cut] = (),
        loss: float = 0.0,
        cold_rate: float = 0.0,
        runner: int = 0,
    ) -> None:
        self.rng = Random(seed)
        self.lives = lives
        self.limit = limit
        self.demand = demand
        self.cuts = cuts
        self.loss = loss
        self.cold_rate = cold_rate
        self.endpoint = make_endpoint(runner)
        self.limits: dict[str, RunnerLimits] = {}
        self.sent: list[float] = []
        self.served_by: list[str] = []
        self.messages = 0
        self._events: list[_Event] = []
        self._order = itertools.count()
        self._asked: dict[tuple[str, int], Ask] = {}

    def at(self, time: float, action: _Action, *values: Any) -> None:
        """Carry out an action at a time, which is its first argument."""
        heappush(self._events, (time, next(self._order), action, values))

    def play(self, seconds: float) -> None:
        """Play the seconds from 0 on."""
        for name, life in self.lives.items():
            self.at(max(0.0, life.start), self._start, name)
        now = 0.0
        while (now := now + self.rng.expovariate(self.demand)) < seconds:
            self.at(now, self._arrive)
        while self._events:
            now, _, action, values = heappop(self._events)
            if now < seconds:
                action(now, *values)

    def is_running(self, name: str, now: float) -> bool:
        """Return whether a gateway is running."""
        return self.lives[name].start <= now < self.lives[name].end

    # Membership

    def _start(self, now: float, name: str) -> None:
        started = self.lives[name].start
        self.limits[name] = RunnerLimits(name, started, Random(name))
        if self.cold_rate:
            self.limits[name].cold.note_entry(self.endpoint.id, 1000.0, now)
        self._look(now, name)
        for change in self._list_changes():
            if change >= now:
                delay = self.rng.uniform(0.0, VIEW_SECONDS)
                self.at(change + delay, self._look, name)

    def _list_changes(self) -> set[float]:
        """Return the times at which views of the gateways change."""
        changes = set()
        for life in self.lives.values():
            leaving = DETECTION_SECONDS if life.killed else NEWS_SECONDS
            changes |= {
                life.start + NEWS_SECONDS,
                life.start + INTRODUCTION_SECONDS,
                life.end + leaving,
            }
        for cut in self.cuts:
            changes |= {cut.begin + DETECTION_SECONDS, cut.end + NEWS_SECONDS}
        return changes

    def _look(self, now: float, name: str) -> None:
        if not self.is_running(name, now):
            return
        seen = [other for other in self.lives if self._sees(name, other, now)]
        introduced = [
            other
            for other in seen
            if self.lives[other].start <= now - INTRODUCTION_SECONDS
        ]
        absent = [
            other
            for other, life in self.lives.items()
            if other not in seen
            and life.start + NEWS_SECONDS <= now
            and (life.end > now or life.killed)
        ]
        self.limits[name].note_gateways(seen, introduced, absent, now)
        self._spread_news(now, name)

    def _sees(self, name: str, other: str, now: float) -> bool:
        """Return whether a gateway counts another as running."""
        if name == other:
            return True
        life = self.lives[other]
        delay = DETECTION_SECONDS if life.killed else NEWS_SECONDS
        if not life.start + NEWS_SECONDS <= now < life.end + delay:
            return False
        if self.lives[name].start + NEWS_SECONDS > now:
            return False
        return not any(
            (name in cut.names) != (other in cut.names)
            and cut.begin + DETECTION_SECONDS <= now < cut.end + NEWS_SECONDS
            for cut in self.cuts
        )

    # Messages

    def _deliver(
        self,
        now: float,
        sender: str,
        target: str,
        action: _Action,
        *values: Any,
    ) -> None:
        self.messages += 1
        is_cut = any(
            (sender in cut.names) != (target in cut.names)
            and cut.begin <= now < cut.end
            for cut in self.cuts
        )
        if not is_cut and self.rng.random() >= self.loss:
            transit = self.rng.uniform(0.001, 0.004)
            self.at(now + transit, action, target, *values)

    def _spread_news(self, now: float, name: str) -> None:
        for tell in self.limits[name].take_tells():
            targets = [tell.gateway] if tell.gateway else list(self.limits)
            for target in targets:
                if target != name:
                    self._deliver(now, name, target, self._hear, tell.news)

    def _hear(
        self, now: float, name: str, news: LimitNews | PermitClaim
    ) -> None:
        if not self.is_running(name, now):
            return
        if isinstance(news, PermitClaim):
            self.limits[name].handle_claim(news, now)
        else:
            self.limits[name].handle_news(news, now)
            self._spread_news(now, name)

    def _handle_request(
        self, now: float, name: str, sender: str, request: PermitRequest
    ) -> None:
        if self.is_running(name, now):
            reply = self.limits[name].handle_request(request, now)
            self._deliver(now, name, sender, self._handle_reply, reply)
            self._spread_news(now, name)

    def _handle_reply(self, now: float, name: str, reply: PermitReply) -> None:
        self._finish(now, name, reply.number, reply)

    def _finish(
        self, now: float, name: str, number: int, reply: PermitReply | None
    ) -> None:
        ask = self._asked.pop((name, number), None)
        if ask is not None and self.is_running(name, now):
            decision = self.limits[name].handle_reply(
                ask, self.endpoint, self.cold_rate, reply, now
            )
            self._act(now, name, decision)

    # Requests

    def _arrive(self, now: float) -> None:
        name = self.rng.choice(list(self.limits))
        if self.is_running(name, now):
            self.request(now, name)

    def request(self, now: float, name: str) -> None:
        """Let one request at a gateway ask for the runner."""
        limits = self.limits[name]
        wait = limits.find_wait(
            self.endpoint, self.cold_rate, 0, LONGEST_WAIT_SECONDS, now
        )
        if wait is None:
            return
        decision = limits.request_permit(
            self.endpoint, self.cold_rate, LONGEST_WAIT_SECONDS, now
        )
        self._spread_news(now, name)
        if not isinstance(decision, Ask):
            self._act(now, name, decision)
            return
        number = decision.request.number
        self._asked[name, number] = decision
        values = name, decision.request
        issuer = decision.issuer
        # A gateway has no address of one that it only knows by its claim.
        if self._sees(name, issuer, now):
            self._deliver(now, name, issuer, self._handle_request, *values)
        timeout = now + REPLY_TIMEOUT_SECONDS
        self.at(timeout, self._finish, name, number, None)

    def _act(self, now: float, name: str, decision: Granted | Denied) -> None:
        if isinstance(decision, Granted):
            self.at(now + decision.wait, self._send, name)

    def _send(self, now: float, name: str) -> None:
        if self.is_running(name, now):
            transit = self.rng.uniform(0.001, 0.01)
            self.at(now + transit, self._run, name, now)

    def _run(self, now: float, name: str, sent_at: float) -> None:
        self.sent.append(now)
        self.served_by.append(name)
        work = self.rng.expovariate(1 / WORK_SECONDS)
        self.at(now + work, self._answer, name, sent_at)

    def _answer(self, now: float, name: str, sent_at: float) -> None:
        if self.is_running(name, now):
            stated = StatedLimits(self.limit(now))
            self.limits[name].note_answer(self.endpoint, stated, sent_at, now)
            self._spread_news(now, name)

    # Results

    def count(self, begin: float, end: float) -> int:
        """Return the requests that the runner got in a time."""
        times = sorted(self.sent)
        return bisect_left(times, end) - bisect_left(times, begin)

    def find_peak(self, seconds: float) -> int:
        """Return the most requests in any time of so many seconds."""
        times = sorted(self.sent)
        return max(
            (
                bisect_left(times, begin + seconds) - index
                for index, begin in enumerate(times)
            ),
            default=0,
        )

    def find_excess(self, first: float = FIRST_COUNTED_SECONDS) -> float:
        """Return the most requests beyond what is allowed in one window."""
        times = sorted(at for at in self.sent if at >= first)
        worst = -SLACK
        for index, begin in enumerate(times):
            end = begin + WINDOW_SECONDS
            count = bisect_left(times, end) - index
            allowed = OVERAGE * self.find_allowed(begin, end) + SLACK
            worst = max(worst, count - allowed)
        return worst

    def find_use(self, begin: float, end: float) -> float:
        """Return the share used of what the limit offers in a time."""
        times = find_steps(begin, end)
        offered = STEP_SECONDS * sum(self.limit(at) or 0.0 for at in times)
        return self.count(begin, end) / offered

    def find_allowed(self, begin: float, end: float) -> float:
        """Return the requests that the limit allows in a time.

        A limit that falls counts from ``TOLD_SECONDS`` later on.
        """
        return STEP_SECONDS * sum(
            map(self._find_known, find_steps(begin, end))
        )

    def _find_known(self, now: float) -> float:
        known = self.limit(now), self.limit(now - TOLD_SECONDS)
        return max(float("inf") if rate is None else rate for rate in known)


def acquire(
    gateways: dict[str, RunnerLimits],
    name: str,
    endpoint: Endpoint,
    cold_rate: float,
    longest: float,
    now: float,
) -> Granted | Denied:
    """Get a permit, with messages between gateways that take no time."""
    limits = gateways[name]
    decision = limits.request_permit(endpoint, cold_rate, longest, now)
    if not isinstance(decision, Ask):
        return decision
    issuer = gateways[decision.issuer]
    reply = issuer.handle_request(decision.request, now)
    return limits.handle_reply(decision, endpoint, cold_rate, reply, now)


def find_steps(begin: float, end: float) -> list[float]:
    """Return times at even distances."""
    count = round((end - begin) / STEP_SECONDS)
    return [begin + STEP_SECONDS * number for number in range(count)]


def make_lives(count: int) -> dict[str, Life]:
    """Return gateways that run all the time."""
    return {f"gateway-{number}": Life() for number in range(count)}
