"""Runs of one workspace over many gateways, in simulated time.

Each gateway decides with the real `Quotas` and `QuotaCharges`. Reports and
summaries come at the pauses of `ReportExchange` over a network that delays,
loses and cuts; what a runner is sent counts from when its run begins.
"""

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, NamedTuple

from played_loop import play_time

from lagoonpost.forwarding.issuers import Issuers
from lagoonpost.forwarding.quota_charges import QuotaCharges, QuotaCluster
from lagoonpost.forwarding.quota_recorder import (
    FIRST_PAUSE_SECONDS,
    RECORD_SHARES,
)
from lagoonpost.forwarding.reports import (
    HEARD_SECONDS,
    HUB_REPORTS_PER_SECOND,
    MIN_REPORT_SECONDS,
    REPORT_MAX_AGE_SECONDS,
    REPORT_SECONDS,
    SUMMARY_MAX_AGE_SECONDS,
)
from lagoonpost.http.message import Address
from lagoonpost.systems.hub import choose_roles
from lagoonpost.systems.quota import Quotas
from lagoonpost.systems.quota_limit import CONTINUED_MARGIN_SHARE
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.gateway_report import DatedUsage, UsageByAge
from lagoonpost.tables.peer import Member
from lagoonpost.tables.quota import QuotaBounds, QuotaCharge, QuotaOrder

DELAY_SECONDS = (0.0005, 0.004)
"""Least and largest delay of a message."""
DETECTION_SECONDS = 2.5
"""Time after which the others take a killed gateway for dead."""
LATE_SECONDS = (0.05, 1.0)
"""Least and largest delay of a late message."""
RESTART_SECONDS = (0.5, 0.8)
WRITE_SECONDS = 0.03
"""Duration of a call to the store."""
DOMAINS = 3


class Story(NamedTuple):
    """What happens in a play.

    Attributes:
        gateways: Number of gateways.
        workspace: The workspace that asks for more than its quota.
        times: Requested units, relative to the quota's rate.
        seconds: Length of the play.
        start: Time at which the workspace begins to ask for so much; before
            it asks for half of its rate.
        costs: Units of the requests, drawn evenly.
        wait: Returns how long a request that arrives at a time waits at its
            gateway before it is sent, in seconds.
        repeats: Share of the runs that end without an answer and are repeated
            at another runner.
        turned_away: Share of the runs that did not begin, as the runner tells
            after up to two seconds.
        moved: Share of the runs that go on at another runner.
        lost: Share of the datagrams that are lost.
        late: Share of the datagrams that are late by up to
            `LATE_SECONDS`.
        kills: Times at which a share of the gateways is killed, the hubs
            first.
        cuts: Times from and to which a share of the gateways reaches none
            of the others.
        freezes: Times from and to which a share of the gateways stands still,
            the hubs first. What is sent to them meanwhile arrives then.
        record_age: Age in seconds of what restarted gateways find in the
            store, which has come back from an older copy.
        has_store: Whether usage is recorded.
        first: Number of gateways that callers use; None for all.
    """

    gateways: int
    workspace: Workspace
    times: float
    seconds: float = 20.0
    start: float = 4.0
    costs: tuple[float, ...] = (1_000.0, 3_000.0, 9_000.0, 20_000.0)
    wait: Callable[[float, Random], float] = lambda now, rng: 0.0
    repeats: float = 0.0
    turned_away: float = 0.0
    moved: float = 0.0
    lost: float = 0.0
    late: float = 0.0
    kills: tuple[tuple[float, float], ...] = ()
    cuts: tuple[tuple[float, float, float], ...] = ()
    freezes: tuple[tuple[float, float, float], ...] = ()
    record_age: float = 0.0
    has_store: bool = True
    first: int | None = None


class Run(NamedTuple):
    """A run that a runner began.

    Attributes:
        at: Time at which it began, in seconds.
        units: Number of units.
        is_first: Whether it is the first run of its request.
    """

    at: float
    units: float
    is_first: bool


class Outcome(NamedTuple):
    """What a play has shown.

    Attributes:
        runs: All runs.
        refused_at_once: Requests refused when they arrived.
        refused_late: Requests refused after they had waited.
    """

    runs: list[Run]
    refused_at_once: int
    refused_late: int

    def find_most(self, window: float) -> float:
        """Return the most units whose runs began within one window."""
        runs = sorted(self.runs)
        most = total = 0.0
        first = 0
        for run in runs:
            total += run.units
            while runs[first].at <= run.at - window:
                total -= runs[first].units
                first += 1
            most = max(most, total)
        return most

    def sum_between(self, start: float, end: float) -> float:
        """Return the units whose runs began between two times."""
        return sum(run.units for run in self.runs if start <= run.at < end)


class _Post:
    """Carries the datagrams of one gateway."""

    def __init__(self, fleet: "_Fleet", host: "_Gateway") -> None:
        self._fleet = fleet
        self._host = host
        self.handlers: dict[type, Callable[[Any, Address], None]] = {}

    def set_handler(
        self, type_: type, handler: Callable[[Any, Address], None]
    ) -> None:
        self.handlers[type_] = handler

    def send(self, message: Any, targets: Sequence[Address]) -> None:
        for target in targets:
            receiver = self._fleet.by_address[target]
            self._fleet.carry(
                self._host,
                receiver,
                lambda to=receiver: to.post.handlers[type(message)](
                    message, self._host.address
                ),
            )


class _Gateway:
    """One gateway: its quotas and what it has heard of the others."""

    def __init__(self, fleet: "_Fleet", number: int) -> None:
        self.fleet = fleet
        self.name = f"gateway-{number:03}"
        self.address = Address(f"10.0.0.{number}", 7000)
        self.member = Member(
            name=self.name,
            address=f"{self.address.host}:{self.address.port}",
            role="gateway",
            region="north",
            failure_domain=f"domain-{number % DOMAINS}",
            incarnation=0,
        )
        self.up_from = 0.0
        self.frozen_until = 0.0
        self.run = 0
        self.start(None)

    def start(self, started: float | None) -> None:
        """Begin a run of the process, without what the last one knew."""
        self.quotas = Quotas(self.fleet.bounds, started)
        self.heard: dict[str, float] = {}
        self.summary: tuple[float, int] | None = None
        self.sent: dict[int, float] = {}
        self.rank = 0
        self.reported_at = -1.0
        self.receivers: set[tuple[str, Member]] = set()
        self.receivers_since = 0.0
        self.post = _Post(self.fleet, self)
        fleet = self.fleet
        self.issuers = Issuers(
            self.name,
            lambda: fleet.find_hubs(),
            lambda: [m for m in fleet.members() if m.name != self.name],
            fleet.now,
        )
        self.charges = QuotaCharges(
            self.quotas,
            lambda: (fleet.story.workspace,),
            QuotaCluster(
                self.issuers,
                self.find_sender,
                self.find_share,
                self.find_heard_share,
                lambda: REPORT_SECONDS * fleet.find_slowdown(),
                lambda: len(fleet.members()),
            ),
            lambda workspace: None,
            fleet.now,
        )
        self.charges.listen(self.post)  # type: ignore[arg-type]

    def find_sender(self) -> str:
        return f"{self.name}/{self.run}"

    def is_up(self) -> bool:
        return self.fleet.now() >= self.up_from

    def is_frozen(self) -> bool:
        return self.fleet.now() < self.frozen_until

    def is_hub(self) -> bool:
        return self.name in self.fleet.find_hubs()

    def find_share(self) -> float:
        """Return the share of gateways heard of, as `ReportExchange` does."""
        now, known = self.fleet.now(), len(self.fleet.gateways)
        if self.is_hub():
            fresh = {
                sender.partition("/")[0]
                for sender, at in self.heard.items()
                if at > now - REPORT_MAX_AGE_SECONDS
            }
            return len(fresh | {self.name}) / known
        if self.summary and self.summary[0] > now - SUMMARY_MAX_AGE_SECONDS:
            return max(1, self.summary[1]) / known
        return 1 / known

    def find_heard_share(self) -> float:
        """Return the part of the connected gateways heard a moment ago."""
        now = self.fleet.now()
        slow = self.fleet.find_slowdown()
        heard = {
            sender.partition("/")[0]: max(at, 0.0)
            for sender, at in self.heard.items()
            if at > now - REPORT_MAX_AGE_SECONDS
        }
        heard[self.name] = now
        recent = [
            at for at in heard.values() if at > now - HEARD_SECONDS * slow
        ]
        return len(recent) / len(heard)

    # Reports and summaries

    def report(self) -> None:
        """Send the report that is due, and the summaries of a hub."""
        fleet, now = self.fleet, self.fleet.now()
        workspace = fleet.story.workspace
        quotas = self.quotas
        slow = fleet.find_slowdown()
        hubs = fleet.find_hubs()
        is_mesh = len(hubs) == len(fleet.members())
        is_urgent = quotas.needs_publishing(workspace, len(fleet.members()))
        if self.name in hubs and not is_mesh:
            is_urgent |= quotas.is_near_limit([workspace], now)
        pause = MIN_REPORT_SECONDS if is_urgent else REPORT_SECONDS
        if now < self.reported_at + pause * slow:
            return
        self.reported_at = now
        self.rank += 1
        self.sent[self.rank] = now
        quotas.mark_published()
        used, recent = dict(quotas.used), quotas.list_own_usage(now)
        dated = self.list_dated(hubs)
        order = quotas.note_report(now)
        sender, rank = self.find_sender(), self.rank
        self.heard[sender] = now
        for name in hubs:
            receiver = fleet.gateways[name]
            if receiver is not self:
                fleet.carry(
                    self,
                    receiver,
                    lambda to=receiver: to.note_report(
                        sender, rank, used, recent, order, dated
                    ),
                )
        if self.name not in hubs or is_mesh:
            return
        taken = quotas.list_taken(now)
        fresh = [
            each
            for each, at in self.heard.items()
            if at > now - REPORT_MAX_AGE_SECONDS
        ]
        ranks = {each: self.ranks.get(each, 0) for each in fresh}
        for other in fleet.gateways.values():
            if (
                other.member.failure_domain == self.member.failure_domain
                and other.name not in hubs
            ):
                fleet.carry(
                    self,
                    other,
                    lambda to=other: to.note_summary(taken, ranks, len(fresh)),
                )

    def list_dated(self, hubs: Sequence[str]) -> DatedUsage | None:
        """Return the own usage by age while a hub may be new."""
        fleet, now = self.fleet, self.fleet.now()
        receivers = {(name, fleet.gateways[name].member) for name in hubs}
        if receivers - self.receivers:
            self.receivers_since = now
        self.receivers = receivers
        pause = REPORT_MAX_AGE_SECONDS * fleet.find_slowdown()
        is_new = now < self.receivers_since + pause
        return self.quotas.list_dated_usage(now) if is_new else None

    @property
    def ranks(self) -> dict[str, int]:
        return self.fleet.ranks.setdefault((self.name, self.run), {})

    def note_report(
        self,
        sender: str,
        rank: int,
        used: dict[str, float],
        recent: dict[str, float],
        order: QuotaOrder,
        dated: DatedUsage | None,
    ) -> None:
        if self.ranks.get(sender, 0) >= rank:
            return
        self.ranks[sender] = rank
        now = self.fleet.now()
        self.heard[sender] = now
        if self.is_hub():
            self.quotas.update_from_peers(
                sender, used, recent, now, order, dated
            )

    def note_summary(
        self, taken: UsageByAge, ranks: dict[str, int], gateways: int
    ) -> None:
        if self.is_hub():
            return
        now = self.fleet.now()
        rank = ranks.get(self.find_sender(), 0)
        self.summary = now, gateways
        since = self.sent.get(rank, 0.0)
        self.quotas.replace_with_summary(taken, since, now)


class _Fleet:
    """All gateways, their network and their store."""

    def __init__(self, story: Story, bounds: QuotaBounds, seed: int) -> None:
        self.story = story
        self.bounds = bounds
        self.rng = Random(seed)
        self.ranks: dict[tuple[str, int], dict[str, int]] = {}
        self.dead: set[str] = set()
        self.cut: set[str] = set()
        self._hubs: tuple[str, ...] | None = None
        self.recorded: list[tuple[float, list[tuple[float, float]]]] = []
        self.gateways = {
            each.name: each
            for each in (_Gateway(self, n) for n in range(story.gateways))
        }
        self.by_address = {
            each.address: each for each in self.gateways.values()
        }
        self.outcome = Outcome([], 0, 0)
        self.refused = [0, 0]

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def members(self) -> list[Member]:
        return [
            each.member
            for each in self.gateways.values()
            if each.name not in self.dead
        ]

    def find_slowdown(self) -> float:
        count = len(self.gateways)
        return max(1.0, count / HUB_REPORTS_PER_SECOND / REPORT_SECONDS)

    def find_hubs(self) -> tuple[str, ...]:
        if self._hubs is None:
            self._hubs = choose_roles(self.members(), ()).hubs
        return self._hubs

    def carry(
        self, one: _Gateway, other: _Gateway, deliver: Callable[[], None]
    ) -> None:
        """Deliver a datagram, unless it is lost on the way."""
        is_cut = (one.name in self.cut) != (other.name in self.cut)
        if is_cut or self.rng.random() < self.story.lost:
            return
        run, loop = other.run, asyncio.get_running_loop()

        def arrive() -> None:
            if other.is_frozen():
                loop.call_at(other.frozen_until, arrive)
            elif other.is_up() and other.run == run:
                deliver()

        is_late = self.rng.random() < self.story.late
        delay = self.rng.uniform(*(LATE_SECONDS if is_late else DELAY_SECONDS))
        loop.call_later(delay, arrive)

    # Faults

    def freeze(self, until: float, share: float) -> None:
        """Stop the hubs and others, and let them go on later.

        The others take those that stand still for long for dead until then.
        """
        for gateway in self._choose(share):
            gateway.frozen_until = until
        frozen = [g.name for g in self.gateways.values() if g.is_frozen()]

        def suspect() -> None:
            self.dead.update(frozen)
            self._hubs = None

        def forgive() -> None:
            self.dead.difference_update(frozen)
            self._hubs = None

        loop = asyncio.get_running_loop()
        if until > self.now() + DETECTION_SECONDS:
            loop.call_later(DETECTION_SECONDS, suspect)
            loop.call_at(until, forgive)

    def _choose(self, share: float) -> "list[_Gateway]":
        """Return a share of the gateways, the hubs first."""
        hubs = list(self.find_hubs())
        others = [name for name in self.gateways if name not in hubs]
        self.rng.shuffle(others)
        count = max(1, round(share * len(self.gateways)))
        return [self.gateways[name] for name in (hubs + others)[:count]]

    async def kill(self, share: float) -> None:
        """Kill the hubs and others, and start them anew."""
        killed = self._choose(share)
        for gateway in killed:
            gateway.up_from = self.now() + self.rng.uniform(*RESTART_SECONDS)
            gateway.run += 1
            gateway.start(gateway.up_from)
            gateway.reported_at = gateway.up_from
        await asyncio.gather(*(self._restart(each) for each in killed))

    async def _restart(self, gateway: _Gateway) -> None:
        await asyncio.sleep(max(0.0, gateway.up_from - self.now()))
        # The others learn of the new run at once, or that none answers.
        gateway.member = gateway.member._replace(
            incarnation=int(1000 * gateway.up_from)
        )
        self._hubs = None
        if self.story.has_store:
            await asyncio.sleep(FIRST_PAUSE_SECONDS + WRITE_SECONDS)
            records: UsageByAge = {}
            oldest = self.now() - self.story.record_age
            kept = [each for each in self.recorded if each[0] <= oldest]
            if kept:
                at, use = kept[-1]
                elapsed = self.now() - at
                records = {
                    self.story.workspace.name: [
                        (age + elapsed, units) for age, units in use
                    ]
                }
            is_copy = self.story.record_age > 0
            gateway.quotas.prior_usage.load_records(
                records, self.now(), list(records) if is_copy else ()
            )

    def _runs(self, gateway: _Gateway) -> bool:
        return gateway.is_up() and not gateway.is_frozen()

    async def record_usage(self) -> None:
        """Record bursts in the store as `QuotaRecorder` does."""
        workspace = self.story.workspace
        while True:
            await asyncio.sleep(0.02)
            for rank, name in enumerate(self.find_hubs()[:3]):
                gateway = self.gateways[name]
                now = self.now()
                if not self._runs(gateway) or not gateway.quotas.list_bursting(
                    [workspace], RECORD_SHARES[rank], 1.0, now
                ):
                    continue
                use = gateway.quotas.make_record(
                    workspace.name, len(self.members()), now
                )
                await asyncio.sleep(WRITE_SECONDS)
                self.recorded.append((now, use))
                for each in self.gateways.values():
                    each.quotas.note_recorded(workspace.name, now)

    # Requests

    async def handle(self, gateway: _Gateway, cost: float) -> None:
        """Serve one request as `Forwarder` does."""
        story, rng = self.story, self.rng
        workspace, quotas = story.workspace, gateway.quotas
        run, now = gateway.run, self.now()
        wait = quotas.reserve(workspace, cost, gateway.find_share(), now)
        if wait is not None:
            self.refused[0] += 1
            return
        await asyncio.sleep(story.wait(now, rng))
        if gateway.run != run:
            return
        denied = await gateway.charges.charge(workspace, cost)
        quotas.release(workspace, cost, self.now() - now)
        if denied is not None:
            self.refused[1] += 1
            return
        charge = QuotaCharge(self.now(), cost)
        if rng.random() < story.turned_away:
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            if gateway.run == run:
                quotas.refund(workspace, charge, self.now())
            return
        self.begin(cost, is_first=True)
        if rng.random() < story.repeats:
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            await self.run_again(gateway, run, cost, 1.0)
        elif rng.random() < story.moved:
            await asyncio.sleep(rng.uniform(0.0, 4.0))
            await self.run_again(gateway, run, cost, CONTINUED_MARGIN_SHARE)

    async def run_again(
        self, gateway: _Gateway, run: int, cost: float, margin: float
    ) -> None:
        if gateway.run != run:
            return
        workspace = self.story.workspace
        if await gateway.charges.charge(workspace, cost, margin) is None:
            self.begin(cost, is_first=False)

    def begin(self, cost: float, is_first: bool) -> None:
        self.outcome.runs.append(Run(self.now(), cost, is_first))

    async def send_requests(self) -> None:
        story, rng = self.story, self.rng
        names = list(self.gateways)[: story.first]
        tasks: set[asyncio.Task[None]] = set()
        while self.now() < story.seconds:
            cost = rng.choice(story.costs)
            times = story.times if self.now() >= story.start else 0.5
            mean = sum(story.costs) / len(story.costs)
            rate = times * story.workspace.rate / mean
            await asyncio.sleep(rng.expovariate(rate))
            gateway = self.gateways[rng.choice(names)]
            if self._runs(gateway):
                task = asyncio.create_task(self.handle(gateway, cost))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def report_all(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            for gateway in self.gateways.values():
                if self._runs(gateway):
                    gateway.report()

    async def play(self) -> Outcome:
        loop = asyncio.get_running_loop()
        loops = [asyncio.create_task(self.report_all())]
        for each in self.gateways.values():
            each.reported_at = -self.rng.uniform(0.0, REPORT_SECONDS)
        if self.story.has_store:
            loops.append(asyncio.create_task(self.record_usage()))
        for at, share in self.story.kills:
            loop.call_at(
                at,
                lambda s=share: loops.append(loop.create_task(self.kill(s))),
            )
        for start, end, share in self.story.freezes:
            loop.call_at(start, self.freeze, end, share)
        for start, end, share in self.story.cuts:
            names = list(self.gateways)
            cut = self.rng.sample(names, max(1, round(share * len(names))))
            loop.call_at(start, self.cut.update, cut)
            loop.call_at(end, self.cut.clear)
        await self.send_requests()
        for task in loops:
            task.cancel()
        return self.outcome._replace(
            refused_at_once=self.refused[0], refused_late=self.refused[1]
        )


def play_runs(story: Story, bounds: QuotaBounds, seed: int) -> Outcome:
    """Play a story and return what it has shown."""

    async def run() -> Outcome:
        return await _Fleet(story, bounds, seed).play()

    return play_time(run())


def find_promise(workspace: Workspace, bounds: QuotaBounds) -> float:
    """Return the units that the users are promised not to be exceeded."""
    quota = workspace.rate * bounds.window + workspace.burst
    return quota * (1 + bounds.overage) + bounds.slack


def run_once(
    asking: Quotas,
    sender: str,
    issuer: Quotas,
    workspace: Workspace,
    cost: float,
    now: float,
    gateways: int,
    share: float = 1.0,
    margin_share: float = 1.0,
) -> float | None:
    """Charge a run as `QuotaCharges` does, with an issuer that is reached.

    Args:
        asking: Quotas of the gateway that sends the request.
        sender: Identifies that gateway to its peers.
        issuer: Quotas of the issuer.
        workspace: Workspace of the request.
        cost: Units of the run.
        now: Time in seconds.
        gateways: Number of gateways.
        share: Connected gateways as a share of all gateways.
        margin_share: Part that the run may use of what lies beyond the quota.

    Returns:
        None if the run is charged, else the seconds until it could be.
    """
    if asking.may_decide_alone(workspace, cost, share, now, gateways):
        asking.charge(workspace, cost, now)
        return None
    if asking is issuer:
        return issuer.grant(
            workspace, cost, share, now, margin_share=margin_share
        )
    used = asking.used.get(workspace.name, 0.0)
    wait = issuer.grant(
        workspace, cost, share, now, sender, used, margin_share
    )
    if wait is None:
        asking.charge(workspace, cost, now)
    return wait
