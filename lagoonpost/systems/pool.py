"""All that a gateway knows of one service: runners, queues, rates."""

import math
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from lagoonpost.systems.affinity import PrefixTable
from lagoonpost.systems.backoff import RetryBudget, ReturnQueue
from lagoonpost.systems.cost import Rates
from lagoonpost.systems.queueing import CLASSES, FairQueue
from lagoonpost.tables.entity import (
    RequestClass,
    Route,
    Runner,
    Service,
)
from lagoonpost.tables.load import InFlightRequest, RunnerLoad
from lagoonpost.tables.load_report import LoadReport
from lagoonpost.tables.request import RequestRow

# A report's view of other gateways' work fades into the mean of all runners
# with this time constant: about a request's time in a slot, after which what
# was counted has left.
REPORT_DECAY_SECONDS = 2.0
# Work sent ahead of free slots, as a part of the slots, is at most this: an
# engine bears half as much again (see headroom).
MAX_SENT_AHEAD_SHARE = 1 / 8
REPORT_GAIN = 0.2
INITIAL_QUOTA_PARTS = 3


def initial_quota(runner: Runner, gateways: int) -> int:
    """Return our requests at a runner that has not reported yet.

    Gateways that start together would else each fill the whole runner. A
    workspace uses few gateways (see entry), so one may get several parts.
    """
    part = min(1.0, INITIAL_QUOTA_PARTS / max(1, gateways))
    return max(1, math.ceil(runner.slots * part))


class Isolation(NamedTuple):
    """Where a suspect request should run alone.

    Attributes:
        avoid: Versions on which it was lost before.
        turn: Its place among all suspects; gateways that know the same
            suspects thereby send them to different runners.
    """

    avoid: frozenset[str]
    turn: int


class Moved(NamedTuple):
    """An accepted request that waits for another runner.

    Attributes:
        request: The request.
        version: Version that began it, or the empty string.
        accepted: Whether it may no longer be refused for load.
        ready: Time before which it isn't sent again.
    """

    request: RequestRow
    version: str
    accepted: bool
    ready: float


@dataclass(slots=True)
class Pool:
    """One service's runners and requests at one gateway.

    Attributes:
        service: The declared service.
        routes: Its routes by path.
        shares: Share of new work by version.
        sent: New requests sent so far.
        given: New requests given to each version, decayed.
        loads: Runners that we talk to, by name; leaving ones are gone.
        slots: Slots that new work may use.
        own: Our requests in flight at ``loads``.
        drafts: Our drafts in flight.
        others: Other gateways' requests, as last reported.
        quota: Own requests that we may have at ``loads``.
        paced_at: Time at which the runners' token pace was last compared.
        gap: Mean seconds from what a report measured to the next report.
        used: Tokens in flight by workspace.
        bias: Seen over predicted waits, by class and workspace.
        domains: Failure domains of the declared runners.
        alone: Suspect requests that must have a runner to themselves.
    """

    service: Service
    routes: dict[str, Route] = field(default_factory=dict)
    shares: dict[str, float] = field(default_factory=dict)
    sent: int = 0
    sent_by_version: Counter[str] = field(default_factory=Counter)
    loads: dict[str, RunnerLoad] = field(default_factory=dict)
    versions: dict[str, list[RunnerLoad]] = field(default_factory=dict)
    slots: float = 0.0
    own: int = 0
    drafts: int = 0
    others: float = 0.0
    quota: float = 0.0
    report_interval: float = 0.0
    pace_compared_at: float = 0.0
    domains: int = 1
    tokens_in_flight: dict[str, float] = field(default_factory=dict)
    wait_bias: dict[tuple[RequestClass, str], float] = field(
        default_factory=dict
    )
    flights: dict[str, InFlightRequest] = field(default_factory=dict)
    queues: dict[RequestClass, FairQueue] = field(
        default_factory=lambda: {name: FairQueue() for name in CLASSES}
    )
    isolated: dict[str, Isolation] = field(default_factory=dict)
    moved: dict[str, Moved] = field(default_factory=dict)
    tried: dict[str, set[str]] = field(default_factory=dict)
    rates: Rates = field(default_factory=Rates)
    prefixes: PrefixTable = field(default_factory=PrefixTable)
    promises: ReturnQueue = field(default_factory=ReturnQueue)
    budget: RetryBudget = field(default_factory=RetryBudget)

    @property
    def free(self) -> float:
        """Slots that we may still take, by own count and reports."""
        return self.quota - self.own

    @property
    def waiting(self) -> int:
        """Requests in the queues."""
        return sum(len(queue.waiting) for queue in self.queues.values())

    def own_share(self) -> float:
        """Return our part of the work in flight, above 0.

        One is added to both sides: a gateway that has nothing in flight yet
        can still get the next slot.
        """
        return (self.own + 1.0) / (self.own + self.others + 1.0)

    def drain_rate(self, route: Route | None) -> float:
        """Return the tokens a second that leave our queues when full."""
        seconds = self.rates.slot_seconds(1.0, route)
        slots = max(self.slots, 1.0)
        return slots * self.own_share() / max(seconds, 1e-6)

    def occupancy(self, load: RunnerLoad, now: float) -> float:
        """Return a runner's requests: own, and others' by aged report."""
        mean = self.others / max(1, len(self.loads))
        fresh = math.exp((load.measured_at - now) / REPORT_DECAY_SECONDS)
        return load.own + fresh * load.others + (1.0 - fresh) * mean

    def take_report(self, report: LoadReport, now: float, rng: Random) -> None:
        """Correct a report by what we had there when it was measured.

        A report that was overtaken by a newer one is dropped.
        """
        load = self.loads.get(report.runner)
        if load is None or report.measured_at <= load.measured_at:
            return
        if load.reported:
            gap = now - load.measured_at
            self.report_interval += REPORT_GAIN * (gap - self.report_interval)
        own = load.own_at(report.measured_at)
        others = max(0.0, report.running + report.waiting - own)
        self.set_others(load, others, report.measured_at)
        self.set_quota(load, own, rng)

    def set_others(
        self, load: RunnerLoad, others: float, measured: float
    ) -> None:
        """Set what other gateways have at a runner."""
        self.others = max(0.0, self.others + others - load.others)
        load.others = others
        load.measured_at = measured

    def set_quota(self, load: RunnerLoad, own: int, rng: Random) -> None:
        """Set how many requests we may have at a runner.

        All gateways see the same free slots in a report. If each took all
        of them, the runner would be overfull until the next report, and
        then empty; each takes its own part of what is free or overfull,
        rounded at random, so that together they take it once.

        Args:
            load: The runner.
            own: Our requests there when the report was measured.
            rng: Seeded generator.
        """
        slots = load.runner.slots
        target = slots + self._count_ahead(load)
        part = (target - own - load.others) * self.own_share()
        quota = max(1, own + math.floor(part + rng.random()))
        self._change_quota(load, quota)

    def take_refusal(self, load: RunnerLoad, now: float, rng: Random) -> None:
        """Learn from a runner's refusal that others fill it."""
        if not load.reported:
            self._change_quota(load, max(1, load.own))
            load.ended = 0
            return
        self.set_others(load, load.runner.slots - load.own, now)
        self.set_quota(load, load.own, rng)

    def raise_quota(self, load: RunnerLoad) -> None:
        """Let a runner without reports have one more after a full round.

        A refusal cuts the quota back to what runs, so gateways that share a
        runner feel their way to what it takes together.
        """
        load.ended += 1
        if load.ended >= load.quota:
            load.ended = 0
            self._change_quota(load, min(load.quota + 1, load.runner.slots))

    def _change_quota(self, load: RunnerLoad, quota: int) -> None:
        old, load.quota = self.usable(load), quota
        self.quota += self.usable(load) - old

    def usable(self, load: RunnerLoad) -> float:
        """Return our requests that a runner may have, by its health too."""
        return min(load.health.limit, load.quota)

    def _count_ahead(self, load: RunnerLoad) -> float:
        # Slots that others free between reports stay empty unless work was
        # sent ahead: as many as end between reports by Little's law.
        if not self.rates.mean_seconds:
            return 0.0
        ended = load.others * self.report_interval / self.rates.mean_seconds
        return min(ended, load.runner.slots * MAX_SENT_AHEAD_SHARE)

    def update_totals(self) -> None:
        """Sum up slots and work over the runners that are usable now."""
        self.own = sum(load.own for load in self.loads.values())
        self.slots = sum(
            min(load.health.limit, load.runner.slots)
            for load in self.loads.values()
        )
        self.others = sum(load.others for load in self.loads.values())
        self.quota = sum(self.usable(load) for load in self.loads.values())
