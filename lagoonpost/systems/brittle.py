"""Limits what is sent to runners that fall over when they are full.

Load pattern: the runners of a service are overloaded, for example after a
cold deployment, and say in their answers that they are brittle: each falls
over if it has to turn away more than a few requests within a second. A
gateway that offers a refused request to the next runner, as is right
otherwise, spreads the overload until all runners have fallen over, and each
that returns alone falls over again.

While a runner is brittle, each gateway has a part of most of its slots. If
there are more gateways than slots, some have one each, chosen by rendezvous
hashing. What the last reports show as free may be borrowed: each gateway takes
an equal part, so that all may do the same at once. Fractions of a slot are
drawn at random.

Reports are older than the load, so some requests are turned away all the
same. A gateway that is turned away pauses for that runner, for as long as
keeps the sum over all gateways within half of what the runner bears. A request
that finds no runner waits a moment for room, and is then refused as not run.
"""

import math
from collections.abc import Iterable, Mapping
from random import Random
from typing import NamedTuple

from lagoonpost.systems.subset import rendezvous_score
from lagoonpost.tables.endpoint import Endpoint

MEMORY_SECONDS = 10.0
"""How long runners count as brittle after the last answer that said so: a
gateway with few requests gets few answers."""
RESERVED_SHARE = 0.85
"""Share of a runner's slots that is divided among the gateways for good."""
USED_SHARE = 0.5
"""Part of the refusals that a runner bears that is planned for."""
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.25, 10.0
"""Shortest and longest pause after a refusal."""


class _Brittle(NamedTuple):
    """What the runners of a service say of themselves.

    Attributes:
        threshold: Refusals a second beyond which each of them falls over.
        until: Time until which they count as brittle.
    """

    threshold: float
    until: float


class _Runner:
    """State of one runner.

    Attributes:
        paused_until: Time until which this gateway sends nothing.
        own: This gateway's requests there at the last report of the others.
        others: The other gateways' requests there; infinite before the first
            report.
        draw: Random number from 0 to 1, drawn at each report.
    """

    def __init__(self) -> None:
        self.paused_until = -math.inf
        self.own = 0
        self.others: float = math.inf
        self.draw = 0.0


class BrittleRunners:
    """The brittle services, and how much this gateway may send to a runner.

    Args:
        name: Name of this gateway.
        rng: Source of random choices.
    """

    def __init__(self, name: str, rng: Random) -> None:
        self._name = name
        self._rng = rng
        self._services: dict[str, _Brittle] = {}
        self._runners: dict[str, _Runner] = {}
        self._gateways = frozenset((name,))
        self._ranks: dict[str, int] = {}

    def note_answer(
        self, service: str, threshold: float | None, now: float
    ) -> None:
        """Record what a runner says of the runners of its service.

        Args:
            service: Name of the service.
            threshold: Refusals a second beyond which a runner falls over;
                None if it doesn't say that it is brittle.
            now: Time in seconds.
        """
        if threshold is not None:
            until = now + MEMORY_SECONDS
            self._services[service] = _Brittle(threshold, until)
        else:
            self._services.pop(service, None)

    def note_refused(self, endpoint: Endpoint, now: float) -> None:
        """Record that a runner turned a request away for want of room."""
        brittle = self._services.get(endpoint.service)
        if brittle is None:
            return
        refusals_per_second = USED_SHARE * max(1.0, brittle.threshold)
        pause = len(self._gateways) / refusals_per_second
        pause = min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, pause))
        runner = self._runners.setdefault(endpoint.id, _Runner())
        runner.paused_until = now + pause

    def has_any(self) -> bool:
        """Return whether the runners of any service are brittle."""
        return bool(self._services)

    def note_reports(
        self,
        gateways: Iterable[str],
        own: Mapping[str, int],
        others: Mapping[str, int],
        now: float,
    ) -> None:
        """Record the other gateways and the work of all by new reports.

        Args:
            gateways: Names of the gateways that are running.
            own: This gateway's requests by runner.
            others: The other gateways' requests by runner.
            now: Time in seconds.
        """
        self._services = {
            service: brittle
            for service, brittle in self._services.items()
            if now < brittle.until
        }
        names = frozenset((self._name, *gateways))
        if names != self._gateways:
            self._gateways = names
            self._ranks.clear()
        if not self._services:
            self._runners.clear()
            return
        for id_ in {*own, *others, *self._runners}:
            runner = self._runners.setdefault(id_, _Runner())
            runner.own = own.get(id_, 0)
            runner.others = others.get(id_, 0)
            runner.draw = self._rng.random()

    def may_send(self, endpoint: Endpoint, own: int, now: float) -> bool:
        """Return whether this gateway may send one more request to a runner.

        Args:
            endpoint: The runner.
            own: This gateway's requests there.
            now: Time in seconds.
        """
        brittle = self._services.get(endpoint.service)
        if brittle is None or now >= brittle.until:
            return True
        runner = self._runners.get(endpoint.id) or _Runner()
        if now < runner.paused_until:
            return False
        slots, gateways = max(1, endpoint.slots), len(self._gateways)
        reserved = int(RESERVED_SHARE * slots)
        part = reserved // gateways
        if not part:
            part = int(self._find_rank(endpoint.id) < reserved)
        free = max(0.0, slots - runner.own - runner.others)
        borrowed = runner.own + int(free / gateways + runner.draw)
        return own < max(part, borrowed)

    def _find_rank(self, runner: str) -> int:
        """Return how many other gateways come first for a runner."""
        rank = self._ranks.get(runner)
        if rank is None:
            own = rendezvous_score(runner, self._name)
            rank = self._ranks[runner] = sum(
                rendezvous_score(runner, name) > own for name in self._gateways
            )
        return rank
