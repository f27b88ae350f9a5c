"""Gateways' load reports, and the summaries that hubs make of them.

Gateways send reports to the hubs by datagram. A hub sums them up and sends a
summary to the gateways of its failure domain.
"""

import asyncio
import math
import random
import secrets
from collections.abc import Callable
from typing import NamedTuple, Protocol

from lagoonpost.http.message import Address, parse_address
from lagoonpost.peers.messenger import DatagramMessenger
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.hub import ReportAge, Roles
from lagoonpost.systems.reachability import (
    compute_reachable_share,
    find_unreachable,
)
from lagoonpost.systems.service_shares import subtract_demand, sum_demand
from lagoonpost.tables.fact import RecentFact
from lagoonpost.tables.gateway_report import (
    GatewayReport,
    HubSummary,
    RunnerWork,
    UsageByAge,
    add_work,
    subtract_work,
)
from lagoonpost.tables.peer import Member
from lagoonpost.tables.runner_speed import SpeedEvidence
from lagoonpost.tables.service_share import Demand

REPORT_SECONDS = 0.4
"""Pause between reports. What other gateways admit within a pause is unknown
here: at 350,000 tokens a second, six times the usual rate of a large
workspace, that is 140,000 tokens of a quota; a longer pause would leave more.
"""
MIN_REPORT_SECONDS = 0.1
"""Shortest pause between reports, used while load changes quickly."""
REPORT_MAX_AGE_SECONDS = 2.0
"""Age from which a report counts as stale: four newer ones should have arrived
by then."""
HEARD_SECONDS = 0.6
"""Age from which a report shows that its gateway may have been cut off: one
newer ones should have arrived by then."""
SUMMARY_MAX_AGE_SECONDS = 4.0
"""Age from which a hub's summary counts as stale. A frozen hub is suspected
and replaced within about 2.5 s; with a shorter limit, each gateway of its
domain would admit only its own hundredth of each quota until then."""
REPORT_RETENTION_SECONDS = 60.0
"""How long a report is kept for usage windows that are not reported yet."""
HUB_REPORTS_PER_SECOND = 250.0
"""Reports that a hub handles per second, 0.8% of a core at 30 us each. With
more gateways the pause between reports grows: 1.3 s at 320."""
REACHABLE_SHARE_CACHE_SECONDS = 0.1
"""How long the computed share of reachable gateways is cached: a tenth of the
time in which the loss of a gateway is noticed."""
MIN_KNOWN_SHARE = 0.5
"""Share of all gateways below which their demand counts as unknown."""
MAX_SENT_REPORTS = 64
"""Own reports that are kept until a hub's summary includes them: six seconds
of reports at the shortest pause."""


class ReportDelegate(Protocol):
    """Makes this gateway's reports and handles those of others."""

    def make_report(self, name: str, run: str) -> GatewayReport:
        """Return the own report's contents."""

    def handle_report(self, report: GatewayReport) -> None:
        """Handle a new report of another gateway."""

    def list_taken(self) -> UsageByAge:
        """Return the quota use that all gateways admitted."""

    def apply_taken(self, taken: UsageByAge, since: float) -> None:
        """Apply the quota use of all gateways from a hub's summary.

        Args:
            taken: Admitted use by workspace.
            since: Time up to which it includes this gateway's use.
        """


class SpeedDelegate(Protocol):
    """Makes and handles what a hub's summary tells of runners' speeds."""

    def make_summary(self) -> dict[str, SpeedEvidence] | None:
        """Return what this hub knows, or None."""

    def handle_summary(
        self, evidence: dict[str, SpeedEvidence] | None
    ) -> None:
        """Apply what a hub knows."""


class NewsDelegate(Protocol):
    """Names the own news in reports and summaries, and handles others'."""

    def list_recent_facts(self) -> tuple[RecentFact, ...]:
        """Return the facts that this gateway received recently."""

    def handle_news(
        self, sender: Address, version: int, recent: tuple[RecentFact, ...]
    ) -> None:
        """Handle what another gateway knows.

        Args:
            sender: Address of the other gateway.
            version: Newest version of the configuration that it knows.
            recent: Facts that it received recently.
        """


class _Sent(NamedTuple):
    """An own report's time in seconds, its open work and its demand."""

    at: float
    work: dict[str, RunnerWork]
    demand: Demand | None


class ReportExchange:
    """Sends and receives reports and summaries.

    Args:
        name: Name of this gateway.
        address: Address on which it listens for datagrams.
        delegate: Makes the own reports and handles those of others.
        find_members: Returns all gateways that are considered alive.
        find_all_members: Returns all known gateways, including those that
            left or are considered dead.
        find_roles: Returns the roles, with the names of the hubs.
        clock: Returns seconds since the epoch, as in the members' rows.
        post: Sends and receives the datagrams.
        rng: Source of random orders.
        news: Names and handles news.

    Attributes:
        run_id: Identifies this run of the process.
        newest_reports: Newest report of each gateway's run, by
            "NAME/RUN", with the time of its arrival.
        speeds: Makes and handles the speeds in summaries; None if there are
            none.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        delegate: ReportDelegate,
        find_members: Callable[[], tuple[Member, ...]],
        find_all_members: Callable[[], tuple[Member, ...]],
        find_roles: Callable[[], Roles],
        clock: Callable[[], float],
        post: DatagramMessenger,
        rng: random.Random,
        news: NewsDelegate,
    ) -> None:
        self._rng = rng
        self._news = news
        self._name = name
        self._address = address
        self._delegate = delegate
        self._find_members = find_members
        self._find_all_members = find_all_members
        self._find_roles = find_roles
        self._clock = clock
        self._post = post
        post.set_handler(GatewayReport, self._handle_report)
        post.set_handler(HubSummary, self._handle_summary)
        self.run_id = secrets.token_hex(4)
        self.newest_reports: dict[str, tuple[float, GatewayReport]] = {}
        self.speeds: SpeedDelegate | None = None
        self._started = 0.0
        self._rank = 0
        self._hubs_since: dict[tuple[str, int], float] = {}
        self._summaries_sent = 0
        self._sent: dict[int, _Sent] = {}
        self._summary: tuple[float, HubSummary] | None = None
        self._summary_numbers: dict[str, int] = {}
        self._peer_work: dict[str, RunnerWork] = {}
        self._peer_demand: Demand | None = None
        self._reachable_share_cache = (-math.inf, 1.0)
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Listen for reports."""
        self._started = self._now()
        await self._post.start(self._address)

    def close(self) -> None:
        """Stop listening."""
        self._post.close()

    async def run(self) -> None:
        """Send reports, and summaries if this is a hub, until cancelled."""
        while True:
            self._send_report()
            self._send_summaries()
            slowdown = self._find_slowdown()
            soonest = self._now() + MIN_REPORT_SECONDS * slowdown
            await self._wait_for_wake(REPORT_SECONDS * slowdown)
            if self._now() < soonest:
                await asyncio.sleep(soonest - self._now())

    def _find_slowdown(self) -> float:
        """Return the factor by which many gateways report less often."""
        gateways = len(self._find_members())
        return max(1.0, gateways / HUB_REPORTS_PER_SECOND / REPORT_SECONDS)

    async def _wait_for_wake(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    def send_soon(self) -> None:
        """Send the next report after the shortest pause."""
        self._wake.set()

    def find_sender(self) -> str:
        """Return "NAME/RUN", which identifies this run of the process."""
        return f"{self._name}/{self.run_id}"

    def is_hub(self) -> bool:
        """Tell whether this gateway relies on reports, not on summaries."""
        return self._name in self._find_roles().hubs

    def receives_reports(self) -> bool:
        """Tell whether this gateway receives the reports of all others."""
        return self._name in self._find_roles().receivers

    # Sending

    def _send_report(self) -> None:
        report = self._delegate.make_report(self._name, self.run_id)
        self._rank += 1
        report = report._replace(
            sequence=self._rank, recent_facts=self._news.list_recent_facts()
        )
        self._drop_old()
        self._keep_report(report)
        self._sent[self._rank] = _Sent(self._now(), report.work, report.demand)
        self._sent.pop(self._rank - MAX_SENT_REPORTS, None)
        receivers = self._find_roles().receivers
        new = self._find_new_hubs()
        dated: list[Address] = []
        others: list[Address] = []
        for member in self._find_members():
            if member.name in receivers and member.name != self._name:
                targets = dated if member.name in new else others
                targets.append(parse_address(member.address))
        if dated:
            self._post.send(report, dated)
        self._post.send(report._replace(dated_usage=None), others)

    def _find_new_hubs(self) -> set[str]:
        """Return the names of the hubs that may not know this gateway yet.

        They also need the usage from before their role. Each is told it for
        as long as reports are fresh, as it may notice its role later.
        """
        hubs = self._find_roles().hubs
        now = self._now()
        self._hubs_since = {
            (member.name, member.incarnation): self._hubs_since.get(
                (member.name, member.incarnation), now
            )
            for member in self._find_members()
            if member.name in hubs
        }
        oldest = now - REPORT_MAX_AGE_SECONDS * self._find_slowdown()
        return {
            name for (name, _), at in self._hubs_since.items() if at > oldest
        }

    def _send_summaries(self) -> None:
        """Send a summary to each gateway that this hub serves."""
        roles = self._find_roles()
        if roles.mesh or self._name not in roles.hubs:
            return
        members = self._find_members()
        domains = {member.name: member.failure_domain for member in members}
        here = domains.get(self._name)
        receivers = [
            member
            for member in members
            if member.failure_domain == here and member.name not in roles.hubs
        ]
        # Of several hubs in a domain, only the first sends summaries.
        first = next(n for n in roles.hubs if domains.get(n) == here)
        if not receivers or first != self._name:
            return
        fresh = self.list_fresh_reports(with_own=True)
        # The newest run of each name comes last.
        ranks = {
            report.name: (report.run, report.sequence) for report in fresh
        }
        self._summaries_sent += 1
        summary = HubSummary(
            hub=self.run_id,
            number=self._summaries_sent,
            run="",
            sequence=0,
            gateways=len(ranks),
            work=add_work(fresh),
            recent_usage=self._delegate.list_taken(),
            read_age=self._find_read_age(),
            speeds=self.speeds.make_summary() if self.speeds else None,
            demand=sum_demand(report.demand for report in fresh),
            version=max((report.version for report in fresh), default=0),
            recent_facts=self._news.list_recent_facts(),
        )
        # A full link drops the last datagrams of a burst; in a fixed order,
        # the same gateways would never get a summary.
        self._rng.shuffle(receivers)
        for member in receivers:
            run, rank = ranks.get(member.name, ("", 0))
            own = summary._replace(run=run, sequence=rank)
            target = parse_address(member.address)
            self._post.send(own, [target])

    # Receiving

    def _handle_report(self, report: GatewayReport, sender: Address) -> None:
        if report.run == self.run_id or not self._keep_report(report):
            return
        self._news.handle_news(sender, report.version, report.recent_facts)
        # The summaries that other gateways get have the same usage.
        if self.is_hub():
            self._delegate.handle_report(report)

    def _keep_report(self, report: GatewayReport) -> bool:
        """Keep a report unless a newer one of the same run has arrived."""
        key = f"{report.name}/{report.run}"
        now = self._now()
        newest = self.newest_reports.get(key)
        if newest is not None and newest[1].sequence >= report.sequence:
            return False
        self.newest_reports[key] = (now, report)
        return True

    def _drop_old(self) -> None:
        oldest = self._now() - REPORT_RETENTION_SECONDS
        for key in [
            k for k, (at, _) in self.newest_reports.items() if at < oldest
        ]:
            del self.newest_reports[key]

    def _handle_summary(self, summary: HubSummary, sender: Address) -> None:
        """Handle a hub's summary, and subtract this gateway's own work."""
        self._news.handle_news(sender, summary.version, summary.recent_facts)
        before = self._summary_numbers.get(summary.hub, 0)
        if self.is_hub() or before >= summary.number:
            return
        # A summary that names another run has nothing of this run.
        mine = summary.run == self.run_id
        sent = self._sent.get(summary.sequence) if mine else None
        if mine and sent is None:
            return
        self._summary_numbers[summary.hub] = summary.number
        self._summary = (self._now(), summary)
        self._peer_work = subtract_work(
            summary.work, sent.work if sent else {}
        )
        self._peer_demand = None
        if summary.demand is not None:
            own_demand = sent.demand if sent else None
            self._peer_demand = subtract_demand(summary.demand, own_demand)
        since = sent.at if sent else 0.0
        self._delegate.apply_taken(summary.recent_usage, since)
        if self.speeds is not None:
            self.speeds.handle_summary(summary.speeds)

    # Views

    def list_fresh_reports(
        self, with_own: bool = False
    ) -> list[GatewayReport]:
        """Return the gateways' reports that are not stale."""
        oldest = self._now() - REPORT_MAX_AGE_SECONDS
        return [
            report
            for at, report in self.newest_reports.values()
            if at > oldest and (with_own or report.run != self.run_id)
        ]

    def list_reports(self) -> list[GatewayReport]:
        """Return the newest report of each run within the last minute."""
        return [report for _, report in self.newest_reports.values()]

    def sum_peer_work(self) -> dict[str, RunnerWork]:
        """Return the other gateways' open work by runner."""
        if self.is_hub():
            return add_work(self.list_fresh_reports())
        return self._peer_work if self._has_fresh_summary() else {}

    def find_peer_demand(self) -> Demand | None:
        """Return what callers ask of the other gateways.

        Returns:
            Their demand; None if it isn't known, as this gateway reaches
            less than half of them or none of them tells it.
        """
        if self.reachable_share() < MIN_KNOWN_SHARE:
            return None
        if self.is_hub():
            reports = self.list_fresh_reports()
            if not reports and self.reachable_share() == 1.0:
                return {}
            return sum_demand(report.demand for report in reports)
        return self._peer_demand if self._has_fresh_summary() else None

    def has_summary(self) -> bool:
        """Tell whether a fresh summary has the quota use of all gateways."""
        return not self.is_hub() and self._has_fresh_summary()

    def reachable_share(self) -> float:
        """Return the share of all gateways that is reachable, above 0 to 1.

        This gateway counts as reachable. The share is cached because each
        request needs it and its computation visits every gateway.
        """
        at, part = self._reachable_share_cache
        if not at <= self._now() < at + REACHABLE_SHARE_CACHE_SECONDS:
            part = self._compute_reachable_share()
            self._reachable_share_cache = self._now(), part
        return part

    def find_pause(self) -> float:
        """Return the longest pause between a gateway's reports in seconds."""
        return REPORT_SECONDS * self._find_slowdown()

    def find_heard_share(self) -> float:
        """Return the part of the fresh reports that is hardly a moment old.

        This gateway's own counts as one; above 0 to 1.
        """
        oldest = self._now() - HEARD_SECONDS * self._find_slowdown()
        limit = self._now() - REPORT_MAX_AGE_SECONDS
        ages = [
            at
            for at, report in self.newest_reports.values()
            if at > limit and report.run != self.run_id
        ]
        recent = 1 + sum(at > oldest for at in ages)
        return recent / (1 + len(ages))

    def _compute_reachable_share(self) -> float:
        now = self._clock()
        everyone = self._find_all_members()
        if self.is_hub():
            names = {report.name for report in self.list_fresh_reports()} | {
                self._name
            }
            unheard = find_unreachable(everyone, names, now)
            return compute_reachable_share(len(names), len(unheard))
        heard = 1
        if self._summary is not None and self._has_fresh_summary():
            heard = self._summary[1].gateways
        known = 1 + len(find_unreachable(everyone, {self._name}, now))
        return compute_reachable_share(heard, max(0, known - heard))

    def _find_read_age(self) -> float | None:
        """Return the least age in seconds of any gateway's store answer."""
        now = self._now()
        ages = [
            now - at + report.read_age
            for at, report in self.newest_reports.values()
            if report.read_age is not None
        ]
        return min(ages, default=None)

    def find_contact_ages(self) -> ReportAge:
        """Return the ages of the last contact with hub and store readers."""
        now = self._now()
        if self.is_hub():
            age = self._find_read_age()
            return ReportAge(0.0, now - self._started if age is None else age)
        if self._summary is None:
            return ReportAge(now - self._started, now - self._started)
        at, summary = self._summary
        hub = now - at
        if summary.read_age is None:
            return ReportAge(hub, now - self._started)
        return ReportAge(hub, hub + summary.read_age)

    def _has_fresh_summary(self) -> bool:
        if self._summary is None:
            return False
        return self._summary[0] > self._now() - SUMMARY_MAX_AGE_SECONDS

    def _now(self) -> float:
        # This clock runs on in a suspension, after which no report is fresh.
        return read_clock()
