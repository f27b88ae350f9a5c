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
from collections.abc import Mapping
from random import Random

from lagoonpost.systems.subset import rendezvous_score
from lagoonpost.tables.endpoint import Endpoint

RESERVED_SHARE = 0.85
"""Share of a runner's slots that is divided among the gateways for good."""
USED_SHARE = 0.5
"""Part of the refusals that a runner bears that is planned for."""
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.25, 10.0
"""Shortest and longest pause after a refusal."""


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
    """How much this gateway may send to each brittle runner.

    Args:
        name: Name of this gateway.
        rng: Source of random choices.
    """

    def __init__(self, name: str, rng: Random) -> None:
        self._name = name
        self._rng = rng
        self._runners: dict[str, _Runner] = {}
        self._gateways = frozenset((name,))
        self._ranks: dict[str, int] = {}

    def note_refused(self, runner: str, threshold: float, now: float) -> None:
        """Record that a runner turned a request away for want of room.

        Args:
            runner: Id of the runner.
            threshold: Refusals a second beyond which it falls over.
            now: Time in seconds.
        """
        refusals_per_second = USED_SHARE * max(1.0, threshold)
        pause = len(self._gateways) / refusals_per_second
        pause = min(MAX_PAUSE_SECONDS, max(MIN_PAUSE_SECONDS, pause))
        state = self._runners.setdefault(runner, _Runner())
        state.paused_until = now + pause

    def note_gateways(self, names: frozenset[str]) -> None:
        """Record the gateways that are running."""
        if names != self._gateways:
            self._gateways = names
            self._ranks.clear()

    def note_reports(
        self, own: Mapping[str, int], others: Mapping[str, int]
    ) -> None:
        """Record the work of all gateways by new reports.

        Args:
            own: This gateway's requests by runner.
            others: The other gateways' requests by runner.
        """
        # Sorted, as each runner takes a random number.
        for id_ in sorted({*own, *others, *self._runners}):
            runner = self._runners.setdefault(id_, _Runner())
            runner.own = own.get(id_, 0)
            runner.others = others.get(id_, 0)
            runner.draw = self._rng.random()

    def forget_all(self) -> None:
        """Forget all runners, as none is brittle."""
        self._runners.clear()

    def may_send(self, endpoint: Endpoint, own: int, now: float) -> bool:
        """Return whether this gateway may send one more to a brittle runner.

        Args:
            endpoint: The runner.
            own: This gateway's requests there.
            now: Time in seconds.
        """
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
