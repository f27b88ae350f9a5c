"""Plays callers of a service that is short, with and without an order.

Many gateways, each with its own view of the runners, whose counts are told to
the others every 0.4 s. Engines prefill one prompt at a time, the most urgent
first; other runners work first come, first served. Callers return once after
a refusal. Time is played.

Run: python -m bench.order_play
"""

import itertools
from collections import Counter
from collections.abc import Callable, Collection, Sequence
from heapq import heappop, heappush
from random import Random
from types import SimpleNamespace
from typing import Any, NamedTuple

import click

from lagoonpost.forwarding.request_ordering import (
    RequestOrdering,
    Verdict,
)
from lagoonpost.forwarding.runner_choice import (
    MAX_WAIT_SECONDS,
    ROOM_POLL_SECONDS,
    WAIT_SHARE,
)
from lagoonpost.systems.overload import find_retry_delay
from lagoonpost.systems.placement import (
    Choice,
    Placement,
    PlacementRequest,
)
from lagoonpost.systems.request_order import RETRY_AFTER_SHARE
from lagoonpost.tables.address import Address
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.gateway_report import (
    GatewayReport,
    add_work,
    subtract_work,
)
from lagoonpost.tables.metadata import RequestMetadata
from lagoonpost.tables.urgency import RequestClass, find_urgency

GATEWAYS, DRAWN_RUNNERS = 24, 3
CALM_SECONDS, CALM_LOAD, OVERLOAD_SECONDS = 2.0, 0.5, 6.0
"""Requests of the calm time, in which gateways learn the pace, don't count."""
REPORT_SECONDS, LAST_REPORT_SECONDS = 0.4, 20.0
MEAN_PROMPT, TOKENS_PER_SECOND = 2500, 40_000
OVERHEAD_SECONDS = 0.005
MEAN_WORK_SECONDS = 0.04
SMALL_SHARE = 0.05
"""Share of the requests that are of the small workspace."""
LOADS, SEEDS = (0.6, 0.85, 1.2, 2.0, 5.0), range(1, 6)


class Kind(NamedTuple):
    """A kind of request: priority, times in seconds, share of requests."""

    priority: int
    objective: float
    deadline: float
    share: float


class Site(NamedTuple):
    """A service: its kinds of requests, and its runners."""

    engine: bool
    kinds: dict[str, Kind]
    runners: int
    slots: int


ENGINES = Site(
    True,
    {
        "draft": Kind(0, 0.5, 3.0, 0.35),
        "summary": Kind(1, 0.5, 4.0, 0.5),
        "chat": Kind(2, 0.4, 12.0, 0.15),
    },
    runners=8,
    slots=64,
)
DESKS = Site(False, {"booking": Kind(0, 0.12, 1.0, 1.0)}, runners=3, slots=6)


class Caller(NamedTuple):
    """A request: its kind, needs, work in seconds, groups and arrival."""

    kind: Kind
    wanted: PlacementRequest
    work: float
    groups: tuple[str, ...]
    workspace: str
    first: float


class Sent(NamedTuple):
    """A request at a runner, and the gateway that sent it."""

    caller: Caller
    gateway: int
    choice: Choice
    at: float
    exchange: Any


class Overload:
    """Callers whose work exceeds what the runners can do.

    Args:
        site: The service.
        load: Work of the callers over what the runners can do.
        ordered: Whether requests that will be late yield.
        seed: Seed of the callers and of random choices.
        reports: Whether gateways hear of each other's requests.
        over_share: Workspaces that have more than their share.
    """

    def __init__(
        self,
        site: Site,
        load: float,
        ordered: bool,
        seed: int = 1,
        reports: bool = True,
        over_share: Collection[str] = (),
    ) -> None:
        self.site, self.ordered, self.over_share = site, ordered, over_share
        self.rng, self.now = Random(seed), 0.0
        service = "chat" if site.engine else "desk"
        self.endpoints = [
            Endpoint(f"r-{n}", service, Address("", n), "a", "", site.slots)
            for n in range(site.runners)
        ]
        self.queues: dict[str, list[Any]] = {r.id: [] for r in self.endpoints}
        self.places = {
            runner.id: 1 if site.engine else site.slots
            for runner in self.endpoints
        }
        self.placements = [Placement() for _ in range(GATEWAYS)]
        view: Any = SimpleNamespace(routes=None)
        self.orderings = [
            RequestOrdering(view, each, lambda: GATEWAYS, self.rng)
            for each in self.placements
        ]
        self.events: list[Any] = []
        self.numbers = itertools.count()
        self.counts: dict[str, Counter[str]] = {}
        work = MEAN_PROMPT / TOKENS_PER_SECOND
        seconds = work if site.engine else MEAN_WORK_SECONDS
        room = sum(self.places.values()) / seconds
        self._schedule_callers(CALM_LOAD * room, load * room)
        reported = int(LAST_REPORT_SECONDS / REPORT_SECONDS) if reports else 0
        for step in range(reported):
            self._at(step * REPORT_SECONDS, self._exchange_reports)

    def play(self) -> dict[str, Counter[str]]:
        """Return counts by group of requests, then by what became of them."""
        while self.events:
            self.now, _, action, values = heappop(self.events)
            action(*values)
        return self.counts

    def _at(
        self, time: float, action: Callable[..., None], *values: Any
    ) -> None:
        heappush(self.events, (time, next(self.numbers), action, values))

    def _schedule_callers(self, calm: float, busy: float) -> None:
        kinds, now = self.site.kinds, 0.0
        shares = [kind.share for kind in kinds.values()]
        while now < CALM_SECONDS + OVERLOAD_SECONDS:
            rate = calm if now < CALM_SECONDS else busy
            now += self.rng.expovariate(rate)
            name = self.rng.choices(list(kinds), shares)[0]
            size = self.rng.lognormvariate(-0.32, 0.8)
            small = self.rng.random() < SMALL_SHARE
            workspace = "small" if small else "large"
            prompt = 1 + int(MEAN_PROMPT * size) if self.site.engine else 0
            work = prompt / TOKENS_PER_SECOND + OVERHEAD_SECONDS
            if not self.site.engine:
                work = MEAN_WORK_SECONDS * size
            groups = ("all", name, workspace, *(["largest"] * (size > 2.0)))
            service = self.endpoints[0].service
            wanted = PlacementRequest(service, prompt, (), self.site.engine)
            caller = Caller(kinds[name], wanted, work, groups, workspace, now)
            self._at(now, self._arrive, caller, False)

    def _exchange_reports(self) -> None:
        works = [placement.report() for placement in self.placements]
        total = add_work([_make_report(work) for work in works])
        for work, placement in zip(works, self.placements, strict=True):
            placement.update_from_peers(subtract_work(total, work))

    def _arrive(
        self,
        caller: Caller,
        again: bool,
        number: int | None = None,
        exchange: Any = None,
    ) -> None:
        if not again:
            self._count(caller, "asked")
        if number is None:
            number = self.rng.randrange(GATEWAYS)
        kind = caller.kind
        left = caller.first + kind.deadline - self.now
        urgency = kind.priority
        if self.ordered:
            if exchange is None:
                exchange = self._make_exchange(caller, again)
            choice, delay, waits = self._decide(number, caller, exchange)
            if waits:
                exchange.waited += ROOM_POLL_SECONDS
                later = self.now + ROOM_POLL_SECONDS
                self._at(later, self._arrive, caller, again, number, exchange)
                return
            urgency = choice.urgency or 0
        else:
            choice = self._choose(number, caller, None, self.endpoints)
            delay = find_retry_delay(choice.backlog, left, False, self.rng)
        if delay is not None:
            self._count(caller, "refused_again" if again else "refused")
            if not again:
                pause = min(delay, RETRY_AFTER_SHARE * left)
                self._at(self.now + pause, self._arrive, caller, True)
            return
        self.placements[number].note_sent(choice, caller.wanted, self.now)
        sent = Sent(caller, number, choice, self.now, exchange)
        entry = urgency, next(self.numbers), sent
        heappush(self.queues[choice.endpoint.id], entry)
        self._run_next(choice.endpoint.id)

    def _make_exchange(self, caller: Caller, again: bool) -> Any:
        return SimpleNamespace(
            now=lambda: self.now,
            started=self.now,
            target=caller.kind.objective,
            deadline=caller.first + caller.kind.deadline,
            waited_before=self.now - caller.first if again else 0.0,
            requirements=caller.wanted,
            priority=caller.kind.priority,
            offer_count=0,
            waited=0.0,
            over_share=caller.workspace in self.over_share,
            decision=None,
            arrival=RequestMetadata("", "", "", None, None, (), ""),
            note=lambda step: None,
        )

    def _choose(
        self,
        number: int,
        caller: Caller,
        urgency: int | None,
        runners: Sequence[Endpoint],
    ) -> Choice:
        count = min(DRAWN_RUNNERS, len(runners))
        choice = self.placements[number].choose(
            self.rng.sample(list(runners), count),
            caller.wanted._replace(urgency=urgency),
            self.now,
            self.rng,
        )
        assert choice is not None
        return choice

    def _decide(self, number: int, caller: Caller, exchange: Any) -> Verdict:
        urgency = None
        if self.site.engine:
            urgency = find_urgency(caller.kind.priority, RequestClass.IN_TIME)
        return self.orderings[number].decide(
            exchange,
            self._choose(number, caller, urgency, self.endpoints),
            lambda level, found: self._choose(number, caller, level, found),
            self.endpoints,
            exchange.waited < _find_longest(exchange),
        )

    def _run_next(self, runner: str) -> None:
        queue = self.queues[runner]
        while queue and self.places[runner]:
            sent = heappop(queue)[2]
            caller = sent.caller
            if self.now >= caller.first + caller.kind.deadline:
                self.placements[sent.gateway].note_ended(sent.choice, False)
                self._count(caller, "lost")
                continue
            self.places[runner] -= 1
            self._at(self.now + caller.work, self._answer, runner, sent)

    def _answer(self, runner: str, sent: Sent) -> None:
        caller, number, choice, at, exchange = sent
        placement, took = self.placements[number], self.now - at
        placement.note_first_byte(choice, caller.wanted, took, self.now)
        placement.note_ended(choice, True)
        if exchange is not None:
            self.orderings[number].note_first_byte(exchange, choice, took)
        is_late = self.now - caller.first > caller.kind.objective
        self._count(caller, "late" if is_late else "in_time")
        self.places[runner] += 1
        self._run_next(runner)

    def _count(self, caller: Caller, what: str) -> None:
        if caller.first >= CALM_SECONDS:
            for group in caller.groups:
                self.counts.setdefault(group, Counter())[what] += 1


def _find_longest(exchange: Any) -> float:
    share = WAIT_SHARE * (exchange.deadline - exchange.started)
    return float(min(MAX_WAIT_SECONDS, share))


def _make_report(work: Any) -> GatewayReport:
    return GatewayReport("", "", work, {}, {}, {}, {}, {}, {}, 1, {})


def find_share(counts: Counter[str], *what: str) -> float:
    """Return the part of the requests with one of these outcomes."""
    return sum(counts[each] for each in what) / max(1, counts["asked"])


def play_seeds(
    site: Site, load: float, ordered: bool
) -> dict[str, Counter[str]]:
    """Return the counts by group, summed over all seeds."""
    total: dict[str, Counter[str]] = {}
    for seed in SEEDS:
        for group, counts in (
            Overload(site, load, ordered, seed).play().items()
        ):
            total.setdefault(group, Counter()).update(counts)
    return total


def main() -> None:
    """Print what becomes of the requests, by load and kind."""
    words = "in_time", "late", "refused", "refused_again", "lost"
    click.echo(f"{'':34}" + "".join(f"{word:>14}" for word in words))
    for name, site in (("engines", ENGINES), ("desks", DESKS)):
        for load, ordered in itertools.product(LOADS, (False, True)):
            counts = play_seeds(site, load, ordered)
            for group, each in sorted(counts.items()):
                shares = (find_share(each, word) for word in words)
                row = "".join(f"{share:14.3f}" for share in shares)
                order = "ordered" if ordered else ""
                click.echo(f"{name:8}{load:4}  {order:8}{group:12}{row}")


if __name__ == "__main__":
    main()
