"""State of one service at one gateway: its runners, queues and rates."""

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

# Time constant with which the reported load of other gateways decays to the
# mean of all runners: about the time that a request occupies a slot, after
# which the counted requests have ended.
REPORT_DECAY_SECONDS = 2.0
# Most requests sent ahead of free slots, as a part of the slots. An engine
# tolerates half as many again as its slots (see headroom).
MAX_SENT_AHEAD_SHARE = 1 / 8
REPORT_GAIN = 0.2
INITIAL_QUOTA_PARTS = 3


def initial_quota(runner: Runner, gateways: int) -> int:
    """Return the quota of requests at a runner that has not reported yet.

    Without this limit, gateways that start together would each fill the
    whole runner. As a workspace uses few gateways (see entry), a gateway may
    use several gateways' parts.

    Args:
        runner: The declared runner.
        gateways: Number of gateways.
    """
    part = min(1.0, INITIAL_QUOTA_PARTS / max(1, gateways))
    return max(1, math.ceil(runner.slots * part))


class Isolation(NamedTuple):
    """Constraints on the runner of an isolated suspect request.

    Attributes:
        avoid: Versions on which the request was lost before.
        turn: Position of the request among all suspects, by which gateways
            that know the same suspects send them to different runners.
    """

    avoid: frozenset[str]
    turn: int


class Moved(NamedTuple):
    """An accepted request that waits for another runner.

    Attributes:
        request: The request.
        version: Version that began the answer, or the empty string.
        accepted: Whether the request may no longer be refused because of load.
        ready: Earliest time of the next dispatch.
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
        routes: Routes of the service by path.
        shares: Share of new work by version.
        sent: Number of new requests sent so far.
        sent_by_version: New requests sent to each version, decayed.
        loads: Load of the runners in use by name, without those that are
            shutting down.
        versions: The same loads, by version of the runner.
        slots: Slots that new requests may use.
        own: This gateway's requests in flight at ``loads``.
        drafts: This gateway's drafts in flight.
        others: Other gateways' requests in flight, as last reported.
        quota: Requests that this gateway may have in flight at ``loads``.
        pace_compared_at: Time at which the token pace of the runners was last
            compared.
        report_interval: Mean seconds from the measurement of a report to the
            next report.
        tokens_in_flight: Cost in tokens of the requests in flight, by
            workspace.
        wait_bias: Observed over predicted waits, by class and workspace.
        domains: Number of failure domains of the declared runners.
        flights: This gateway's requests in flight by id.
        queues: Fair queue of each request class.
        isolated: Suspect requests that must run alone on a runner, by id.
        moved: Accepted requests that wait for another runner, by id.
        tried: Names of the runners already tried, by request id.
        rates: Learned cost and duration of requests.
        prefixes: Runners that likely cache each prefix block.
        promises: Work of the refused callers that got a retry delay.
        budget: Budget for retries after errors.
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
        """Slots that this gateway may still use."""
        return self.quota - self.own

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return sum(len(queue.waiting) for queue in self.queues.values())

    def own_share(self) -> float:
        """Return this gateway's share of the requests in flight, above 0.

        One is added to both counts, so that a gateway without requests in
        flight can still get the next slot.
        """
        return (self.own + 1.0) / (self.own + self.others + 1.0)

    def drain_rate(self, route: Route | None) -> float:
        """Return the tokens per second drained from full queues."""
        seconds = self.rates.slot_seconds(1.0, route)
        slots = max(self.slots, 1.0)
        return slots * self.own_share() / max(seconds, 1e-6)

    def occupancy(self, load: RunnerLoad, now: float) -> float:
        """Estimate a runner's requests from own counts and the aged report."""
        mean = self.others / max(1, len(self.loads))
        fresh = math.exp((load.measured_at - now) / REPORT_DECAY_SECONDS)
        return load.own + fresh * load.others + (1.0 - fresh) * mean

    def take_report(self, report: LoadReport, now: float, rng: Random) -> None:
        """Update a runner's load from its report.

        This gateway's own requests at the time of the measurement are
        subtracted. A report older than the last one is dropped.
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
        """Set the number of other gateways' requests at a runner."""
        self.others = max(0.0, self.others + others - load.others)
        load.others = others
        load.measured_at = measured

    def set_quota(self, load: RunnerLoad, own: int, rng: Random) -> None:
        """Set how many requests this gateway may have at a runner.

        All gateways see the same free slots in a report. If each used all of
        them, the runner would be overloaded until the next report and then
        empty. Each gateway therefore takes its share of the free slots or of
        the excess, rounded at random, so that together they use them once.

        Args:
            load: The runner.
            own: This gateway's requests there when the report was measured.
            rng: Seeded generator.
        """
        slots = load.runner.slots
        target = slots + self._count_ahead(load)
        part = (target - own - load.others) * self.own_share()
        quota = max(1, own + math.floor(part + rng.random()))
        self._change_quota(load, quota)

    def take_refusal(self, load: RunnerLoad, now: float, rng: Random) -> None:
        """Lower the quota at a runner that refused a request as full."""
        if not load.reported:
            self._change_quota(load, max(1, load.own))
            load.ended = 0
            return
        self.set_others(load, load.runner.slots - load.own, now)
        self.set_quota(load, load.own, rng)

    def raise_quota(self, load: RunnerLoad) -> None:
        """Raise the quota of a runner without reports by one per round.

        A round is as many finished requests as the quota. A refusal lowers
        the quota to the requests in flight, so that gateways that share a
        runner probe for its capacity by additive increase.
        """
        load.ended += 1
        if load.ended >= load.quota:
            load.ended = 0
            self._change_quota(load, min(load.quota + 1, load.runner.slots))

    def _change_quota(self, load: RunnerLoad, quota: int) -> None:
        old, load.quota = self.usable(load), quota
        self.quota += self.usable(load) - old

    def usable(self, load: RunnerLoad) -> float:
        """Return the quota at a runner, limited by its health."""
        return min(load.health.limit, load.quota)

    def _count_ahead(self, load: RunnerLoad) -> float:
        # Slots that other gateways' requests free between reports stay empty
        # unless requests are sent ahead: as many as end between two reports
        # by Little's law.
        if not self.rates.mean_seconds:
            return 0.0
        ended = load.others * self.report_interval / self.rates.mean_seconds
        return min(ended, load.runner.slots * MAX_SENT_AHEAD_SHARE)

    def update_totals(self) -> None:
        """Recompute the totals over all runners in use."""
        self.own = sum(load.own for load in self.loads.values())
        self.slots = sum(
            min(load.health.limit, load.runner.slots)
            for load in self.loads.values()
        )
        self.others = sum(load.others for load in self.loads.values())
        self.quota = sum(self.usable(load) for load in self.loads.values())
