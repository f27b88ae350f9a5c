"""Order of requests while a service is short: in time, later, or refused.

Load pattern: a reclaim takes two thirds of a service's runners while callers
go on as before. Sent first come, first served, each request waits behind all
others, so that nearly all are late, although the runners that are left could
serve a third of them in time. No gateway sees the whole queue: with 72 of them
each forwards a few requests a second. But model runners admit by the urgency
that a request states, so the order over all gateways follows from the urgency
that each of them gives.

A request whose first byte is expected within its objective is sent in the
class in time, and expected to wait only for such requests of equal or higher
priority. One that will be late is sent in the later class: it runs when no
other of its priority waits, and takes nothing from those in time. One that
would wait there for more than half of its time is refused at once, as
requests that arrive meanwhile overtake it. Runners without urgencies, such as
those of bookings, serve first come, first served. They fill up and empty again
between two reports of their load, so a request is refused there only if it
would wait beyond its deadline; if its caller returns, it first waits a little
at the gateway for the next report.

Nothing is refused while a place is free. The wait counts and not a prompt's
own prefill, so that large prompts are refused no more often than small ones.
While requests of a priority are refused, those of less urgent priorities that
would be late are refused as well. A gateway that has not measured a service
yet sends normally: its runners know better how full they are.
"""

import math
from enum import Enum, auto
from random import Random
from typing import NamedTuple

from lagoonpost.systems.overload import (
    JITTER_SHARE,
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    MIN_RETURN_RATE,
)
from lagoonpost.tables.urgency import RequestClass

LATER_WAIT_SHARE = 0.5
"""Longest predicted wait in the later class, relative to the time left. The
rest is for requests in time that arrive meanwhile and go first."""
YIELD_SECONDS = 1.0
"""How long late requests of less urgent priorities are refused after a more
urgent one was. Callers of a refused request return after about as long."""
RETRY_AFTER_SHARE = 1 / 3
"""Part of the time left for which callers wait at most before they return."""
MEMORY_SHARE = 0.9
"""Part of a runner's KV cache up to which requests of the later class fill
it. Generated tokens of the requests in time need the rest."""
SIZE_GAIN = 0.05
"""Weight of a new request in the mean size of a service's requests, which
spans the last twenty."""
DELAY_GAIN = 0.3
"""Weight of a new sample in the learned delay: a gateway among many gets a
few in a second, and an overload lasts some seconds."""
DELAY_DECAY_SECONDS = 3.0
"""Time constant with which a learned delay fades, so that requests are sent in
time again after an overload."""
FIRST_TIME_SHARE = 0.9
"""Part of a route's longest stated time from which a request counts as a first
attempt. Callers return after a fifth of a second or more, of a few seconds."""
COMMON_FIRST_SHARE = 0.5
"""Least share of first attempts among a route's requests. Even if all callers
are refused and return once, half of the requests are first attempts."""
LONGEST_TIME_DECAY = 0.99
"""Factor for the longest stated time with each request, so that it follows a
change of the callers' deadline within some hundred requests."""


class Outlook(Enum):
    """What a request can expect at its best runner.

    Attributes:
        FREE: It starts at once, or nothing is known that says otherwise.
        IN_TIME: Its first byte comes within its objective.
        LATE: Its first byte comes before its deadline, but too late.
        TOO_LATE: It would probably not begin before its deadline.
        HOPELESS: It cannot begin before its deadline.
    """

    FREE = auto()
    IN_TIME = auto()
    LATE = auto()
    TOO_LATE = auto()
    HOPELESS = auto()


class Standing(Enum):
    """What a request may claim against others of its service.

    Attributes:
        USUAL: As much as any.
        YIELDS: Less: its workspace has more than its share, or requests of
            more urgent priorities are being refused.
        RETURNS: More: its caller was probably refused before.
    """

    USUAL = auto()
    YIELDS = auto()
    RETURNS = auto()


class Action(Enum):
    """What becomes of a request.

    Attributes:
        SEND: It is sent in the class in time.
        SEND_LATER: It is sent in the later class.
        WAIT: It waits a little at the gateway, and is decided about again.
        REFUSE: It is refused at once.
    """

    SEND = auto()
    SEND_LATER = auto()
    WAIT = auto()
    REFUSE = auto()


_Row = tuple[Action, Action, Action]
"""Actions for the standings in turn: usual, yields, returns."""


def _make_table(
    rows: dict[Outlook, _Row],
) -> dict[tuple[Outlook, Standing], Action]:
    return {
        (outlook, standing): action
        for outlook, row in rows.items()
        for standing, action in zip(Standing, row, strict=True)
    }


_ORDERED = _make_table(
    {
        Outlook.FREE: (Action.SEND, Action.SEND_LATER, Action.SEND),
        Outlook.IN_TIME: (Action.SEND, Action.SEND_LATER, Action.SEND),
        Outlook.LATE: (Action.SEND_LATER, Action.REFUSE, Action.SEND_LATER),
        Outlook.TOO_LATE: (Action.REFUSE, Action.REFUSE, Action.SEND_LATER),
        Outlook.HOPELESS: (Action.REFUSE, Action.REFUSE, Action.REFUSE),
    }
)
"""Actions at runners that admit by urgency."""
_UNORDERED = _make_table(
    {
        Outlook.FREE: (Action.SEND, Action.SEND, Action.SEND),
        Outlook.IN_TIME: (Action.SEND, Action.SEND, Action.SEND),
        Outlook.LATE: (Action.SEND, Action.REFUSE, Action.SEND),
        Outlook.TOO_LATE: (Action.REFUSE, Action.REFUSE, Action.WAIT),
        Outlook.HOPELESS: (Action.REFUSE, Action.REFUSE, Action.REFUSE),
    }
)
"""Actions at runners that serve first come, first served."""


class Needs(NamedTuple):
    """What a request needs.

    Attributes:
        service: Name of the service.
        priority: Its priority; 0 is the most urgent.
        ordered: Whether the service's runners admit by urgency.
        objective: Seconds until its first byte is due; negative if it is
            late already.
        left: Seconds until its deadline.
        over_share: Whether its workspace has more than its share.
        returns: Whether its caller was probably refused before.
        may_wait: Whether it may wait at the gateway.
    """

    service: str
    priority: int
    ordered: bool
    objective: float
    left: float
    over_share: bool = False
    returns: bool = False
    may_wait: bool = False

    @property
    def longest_wait(self) -> float:
        """Longest predicted wait at a runner with which it is sent."""
        return self.left * (LATER_WAIT_SHARE if self.ordered else 1.0)


class Prospect(NamedTuple):
    """Predictions for a request, in seconds.

    Attributes:
        first_byte: Until its first byte in the class in time.
        wait: Until its prefill or work would begin in the later class, or
            without classes at all.
        least_wait: Least time until then, at the pace of unloaded runners.
        is_free: Whether a place is free and no prompt waits there.
        is_measured: Whether the service's pace has been measured.
        has_room: Whether this holds for another of the service's runners.
    """

    first_byte: float
    wait: float
    least_wait: float
    is_free: bool
    is_measured: bool
    has_room: bool = False


class Decision(NamedTuple):
    """What becomes of a request, with the reasons for the log.

    Attributes:
        action: What becomes of it.
        outlook: What it can expect.
        standing: What it may claim.
        excess: Seconds by which the wait exceeds what it may be for a request
            to be sent, 0 or more.
    """

    action: Action
    outlook: Outlook
    standing: Standing
    excess: float

    @property
    def request_class(self) -> RequestClass:
        """Class in which the request is sent."""
        later = self.action is Action.SEND_LATER
        return RequestClass.LATER if later else RequestClass.IN_TIME


def find_outlook(needs: Needs, prospect: Prospect) -> Outlook:
    """Return what a request can expect."""
    if prospect.is_free or not prospect.is_measured:
        return Outlook.FREE
    if prospect.least_wait > needs.left:
        return Outlook.HOPELESS
    if prospect.first_byte <= needs.objective:
        return Outlook.IN_TIME
    if prospect.wait <= needs.longest_wait:
        return Outlook.LATE
    return Outlook.TOO_LATE


def find_slot_wait(
    requests: int, slots: int, part_ahead: float, seconds: float
) -> float:
    """Return the predicted seconds until a request gets a slot.

    Args:
        requests: Open requests at the runner.
        slots: Requests that it runs at once.
        part_ahead: Part of those without a slot that go before the request.
        seconds: Time for which a request holds a slot.
    """
    queued = requests - slots
    if queued < 0:
        return 0.0
    return (part_ahead * queued + 1) * seconds / max(1, slots)


class RequestOrder:
    """Decides in which class a request is sent, or that it is refused."""

    def __init__(self) -> None:
        self._refused: dict[tuple[str, int, bool], float] = {}

    def decide(self, needs: Needs, prospect: Prospect, now: float) -> Decision:
        """Decide about a request, and remember a refusal.

        Args:
            needs: What the request needs.
            prospect: What is predicted for it.
            now: Time in seconds.
        """
        outlook = find_outlook(needs, prospect)
        standing = self._find_standing(needs, now)
        table = _ORDERED if needs.ordered else _UNORDERED
        action = table[outlook, standing]
        if action is Action.WAIT and not needs.may_wait:
            action = Action.REFUSE
        if action is Action.REFUSE and prospect.has_room:
            # With a place free, late ones are served after all.
            action = table[Outlook.FREE, Standing.YIELDS]
        if action is Action.REFUSE and standing is not Standing.YIELDS:
            key = needs.service, needs.priority, needs.returns
            self._refused[key] = now
        excess = (
            prospect.first_byte - needs.objective
            if outlook is Outlook.LATE
            else prospect.wait - needs.longest_wait
        )
        return Decision(action, outlook, standing, max(0.0, excess))

    def _find_standing(self, needs: Needs, now: float) -> Standing:
        if needs.over_share or self._must_yield(needs, now):
            return Standing.YIELDS
        return Standing.RETURNS if needs.returns else Standing.USUAL

    def _must_yield(self, needs: Needs, now: float) -> bool:
        """Return whether more urgent requests have been refused lately.

        One that returns yields only to others that do.
        """
        standings = (True,) if needs.returns else (True, False)
        return any(
            now - self._refused.get((needs.service, priority, each), -math.inf)
            < YIELD_SECONDS
            for priority in range(needs.priority)
            for each in standings
        )


class Delays:
    """Learns how much longer requests wait than was predicted for them.

    Requests that other gateways have sent since their last report, and more
    urgent ones that arrive later, go ahead of a request without being
    predicted.
    """

    def __init__(self) -> None:
        self._learned: dict[tuple[str, int], tuple[float, float]] = {}

    def find(self, service: str, priority: int, now: float) -> float:
        """Return the seconds by which a priority's requests wait longer."""
        extra, at = self._learned.get((service, priority), (0.0, now))
        return extra * math.exp(-max(0.0, now - at) / DELAY_DECAY_SECONDS)

    def note(
        self,
        service: str,
        priority: int,
        predicted: float,
        took: float,
        now: float,
    ) -> None:
        """Record the first byte of a request sent in time.

        Args:
            service: Name of the service.
            priority: Priority of the request.
            predicted: Predicted seconds until its first byte, without the
                learned delay.
            took: Seconds until then.
            now: Time in seconds.
        """
        before = self.find(service, priority, now)
        sample = max(0.0, took - predicted)
        after = before + DELAY_GAIN * (sample - before)
        self._learned[service, priority] = after, now


class StatedTimes:
    """Tells which callers have waited before, by the time that they state.

    Callers of a route usually state the same time for a first attempt. One
    who comes back after a refusal states what is left of it. Where callers
    state all sorts of times, nothing is concluded from a short one.
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}
        self._common: dict[str, float] = {}

    def note(self, route: str, left: float) -> float:
        """Record a request's stated time.

        Args:
            route: Name of the route.
            left: Seconds that the caller states.

        Returns:
            Seconds that its caller has probably waited before, as it was
            refused; 0 if this is its first attempt.
        """
        decayed = self._longest.get(route, left) * LONGEST_TIME_DECAY
        longest = self._longest[route] = max(left, decayed)
        is_first = left >= FIRST_TIME_SHARE * longest
        before = self._common.get(route, 0.0)
        common = before + SIZE_GAIN * (is_first - before)
        self._common[route] = common
        if is_first or before < COMMON_FIRST_SHARE:
            return 0.0
        return longest - left


class RequestSizes:
    """Mean sizes of the requests of each service.

    The memory that a runner's requests hold is predicted from their number:
    the other gateways' requests are known by number only.
    """

    def __init__(self) -> None:
        self._held: dict[str, float] = {}
        self._uncached: dict[str, float] = {}
        self._running: dict[str, float] = {}

    def note(self, service: str, held: int, uncached: int) -> None:
        """Record a request that is sent.

        Args:
            service: Name of the service.
            held: Tokens that it alone holds in its runner's memory: its
                prompt without parts shared by sessions, and its output.
            uncached: Prompt tokens that its runner has to prefill.
        """
        _update(self._held, service, held)
        _update(self._uncached, service, uncached)

    def note_ended(self, service: str, seconds: float) -> None:
        """Record for how long a request ran after its first byte."""
        _update(self._running, service, seconds)

    def mean_running(self, service: str) -> float:
        """Return the mean seconds for which requests run, 0 if unknown."""
        return self._running.get(service, 0.0)

    def mean_uncached(self, service: str) -> float:
        """Return the mean of the tokens to prefill, 1 if unknown."""
        return max(1.0, self._uncached.get(service, 1.0))

    def fits(self, service: str, requests: int, capacity: int) -> bool:
        """Return whether a runner has memory for one more late request.

        Args:
            service: Name of the service.
            requests: Open requests at the runner.
            capacity: Tokens that its memory holds; 0 if unknown.
        """
        held = (requests + 1) * self._held.get(service, 0.0)
        return not capacity or held <= MEMORY_SHARE * capacity


def _update(means: dict[str, float], service: str, value: float) -> None:
    before = means.get(service, value)
    means[service] = before + SIZE_GAIN * (value - before)


class ReturnOrder:
    """Spreads the returns of refused callers by need over all gateways.

    Each gateway plans with its part of the rate at which the service serves,
    so that all together plan no more. The callers of an urgent priority
    return before those of less urgent ones, however late they were refused.

    Args:
        rng: Source of the jitter.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._planned: dict[str, dict[int, float]] = {}
        self._drained: dict[str, float] = {}

    def find_delay(
        self, needs: Needs, wait: float, rate: float, now: float
    ) -> float:
        """Return the seconds after which a refused caller may return.

        Args:
            needs: What the request needs.
            wait: Seconds until the service has room again.
            rate: Requests a second that it serves from this gateway.
            now: Time in seconds.
        """
        rate = max(MIN_RETURN_RATE, rate)
        planned = self._planned.setdefault(needs.service, {})
        self._drain(needs.service, planned, rate, now)
        before = sum(
            count
            for priority, count in planned.items()
            if priority <= needs.priority
        )
        planned[needs.priority] = planned.get(needs.priority, 0.0) + 1.0
        delay = max(MIN_RETRY_SECONDS, wait) + before / rate
        delay *= 1.0 + JITTER_SHARE * self._rng.random()
        longest = min(MAX_RETRY_SECONDS, RETRY_AFTER_SHARE * needs.left)
        if delay > longest:
            # Callers who cannot wait so long do not all return together.
            delay = longest * (1.0 - JITTER_SHARE * self._rng.random())
        return max(0.0, delay)

    def _drain(
        self,
        service: str,
        planned: dict[int, float],
        rate: float,
        now: float,
    ) -> None:
        """Remove returns that are due by now, the most urgent first."""
        due = rate * max(0.0, now - self._drained.get(service, now))
        self._drained[service] = now
        for priority in sorted(planned):
            done = min(due, planned[priority])
            planned[priority] -= done
            due -= done
