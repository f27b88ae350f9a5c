"""Gateways' reports of their own work, and hubs' sums of them, by datagram."""

import asyncio
import math
import secrets
from collections.abc import Callable
from typing import NamedTuple, Protocol

from lagoonpost.http.message import Address, parse_address
from lagoonpost.peers.post import Post
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.hub import ReportAge, Roles
from lagoonpost.systems.reachability import (
    compute_reachable_share,
    find_unreachable,
)
from lagoonpost.tables.gateway_report import (
    GatewayReport,
    HubSummary,
    RunnerWork,
    UsageByAge,
    add_work,
    subtract_work,
)
from lagoonpost.tables.peer import Member

REPORT_SECONDS = 0.4
"""Pause between reports. What others let through meanwhile is not known:
at 350,000 tokens a second, six times a large workspace's usual, that is
140,000 tokens of a quota; a longer pause would leave more."""
MIN_REPORT_SECONDS = 0.1
"""Pause between reports while there is much to tell."""
REPORT_MAX_AGE_SECONDS = 2.0
"""Age from which a report no longer tells what its gateway does: four more
should have come since."""
SUMMARY_MAX_AGE_SECONDS = 4.0
"""Age from which a hub's sums no longer hold. A hub that froze is suspected
and replaced within some two and a half; until then its domain would let only
its own hundredth of each quota through."""
REPORT_RETENTION_SECONDS = 60.0
"""How long a report is kept for usage that is still to be reported."""
HUB_REPORTS_PER_SECOND = 250.0
"""Reports a second that a hub takes, 0.8% of a core at 30 us each. With more
gateways the pause between reports grows: 1.3 s at 320."""
REACHABLE_SHARE_CACHE_SECONDS = 0.1
"""How long the part of the gateways that is heard is taken to stay the same:
a tenth of the time in which one that is lost is noticed."""
MAX_SENT_REPORTS = 64
"""Own reports that are remembered until a hub has them in its sums: six
seconds of them at the fastest pace."""


class ReportDelegate(Protocol):
    """What this gateway has to tell, and hears."""

    def make_report(self, name: str, run: str) -> GatewayReport:
        """Return the own report's contents."""

    def handle_report(self, report: GatewayReport) -> None:
        """Take another gateway's new report."""

    def list_taken(self) -> UsageByAge:
        """Return what all gateways let through."""

    def apply_taken(self, taken: UsageByAge, since: float) -> None:
        """Take a hub's sums, which hold own use up to a time."""


class _Sent(NamedTuple):
    at: float
    work: dict[str, RunnerWork]


class ReportExchange:
    """Sends and takes reports and sums.

    Args:
        name: Name of this gateway.
        address: Where it listens for datagrams.
        party: What it tells and hears.
        find_members: Returns all gateways that are held to run.
        find_all_members: Returns also those that left or are held dead.
        find_roles: Returns who is a hub.
        clock: Seconds since the epoch, as the members' rows use them.
        post: Takes and brings the letters.

    Attributes:
        run_id: Identifies this run of the process.
        held: Newest report of each run with the time it came.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        party: ReportDelegate,
        find_members: Callable[[], tuple[Member, ...]],
        find_all_members: Callable[[], tuple[Member, ...]],
        find_roles: Callable[[], Roles],
        clock: Callable[[], float],
        post: Post,
    ) -> None:
        self._name = name
        self._address = address
        self._party = party
        self._find_members = find_members
        self._find_all_members = find_all_members
        self._find_roles = find_roles
        self._clock = clock
        self._post = post
        post.receive(GatewayReport, self._take_report)
        post.receive(HubSummary, self._take_summary)
        self.run_id = secrets.token_hex(4)
        self.newest_reports: dict[str, tuple[float, GatewayReport]] = {}
        self._started = 0.0
        self._rank = 0
        self._summaries = 0
        self._sent: dict[int, _Sent] = {}
        self._summary: tuple[float, HubSummary] | None = None
        self._numbers: dict[str, int] = {}
        self._others: dict[str, RunnerWork] = {}
        self._heard_part = (-math.inf, 1.0)
        self._nudged = asyncio.Event()

    async def start(self) -> None:
        """Listen for reports."""
        self._started = self._now()
        await self._post.start(self._address)

    def close(self) -> None:
        """Stop listening."""
        self._post.close()

    async def run(self) -> None:
        """Send reports, and sums where this is a hub, until cancelled."""
        while True:
            self._send_report()
            self._send_summaries()
            gateways = len(self._find_members())
            crowd = max(
                1.0, gateways / HUB_REPORTS_PER_SECOND / REPORT_SECONDS
            )
            soonest = self._now() + MIN_REPORT_SECONDS * crowd
            await self._wait_nudge(REPORT_SECONDS * crowd)
            if self._now() < soonest:
                await asyncio.sleep(soonest - self._now())

    async def _wait_nudge(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._nudged.wait()
        except TimeoutError:
            pass
        self._nudged.clear()

    def send_soon(self) -> None:
        """Send the next report soon, as it has much to tell."""
        self._nudged.set()

    def is_hub(self) -> bool:
        """Tell whether this gateway hears all others."""
        return self._name in self._find_roles().hubs

    # Sending

    def _send_report(self) -> None:
        report = self._party.make_report(self._name, self.run_id)
        self._rank += 1
        report = report._replace(sequence=self._rank)
        self._drop_old()
        self._keep_report(report)
        self._sent[self._rank] = _Sent(self._now(), report.work)
        self._sent.pop(self._rank - MAX_SENT_REPORTS, None)
        hubs = frozenset(self._find_roles().hubs)
        targets = [
            parse_address(each.address)
            for each in self._find_members()
            if each.name in hubs and each.name != self._name
        ]
        self._post.send(report, targets)

    def _send_summaries(self) -> None:
        """Send the sums to those who have this gateway for their hub."""
        roles = self._find_roles()
        if roles.mesh or self._name not in roles.hubs:
            return
        members = self._find_members()
        domains = {each.name: each.failure_domain for each in members}
        here = domains.get(self._name)
        mine = [
            each
            for each in members
            if each.failure_domain == here and each.name not in roles.hubs
        ]
        # Where a domain has several hubs, it hears the first of them.
        first = next(n for n in roles.hubs if domains.get(n) == here)
        if not mine or first != self._name:
            return
        fresh = self.list_fresh_reports(with_own=True)
        # The newest run of each name comes last.
        ranks = {
            report.name: (report.run, report.sequence) for report in fresh
        }
        self._summaries += 1
        summary = HubSummary(
            hub=self.run_id,
            number=self._summaries,
            run="",
            sequence=0,
            gateways=len(ranks),
            work=add_work(fresh),
            recent_usage=self._party.list_taken(),
            read_age=self._find_read_age(),
        )
        for each in mine:
            run, rank = ranks.get(each.name, ("", 0))
            own = summary._replace(run=run, sequence=rank)
            target = parse_address(each.address)
            self._post.send(own, [target])

    # Taking

    def _take_report(self, report: GatewayReport, sender: Address) -> None:
        if report.run != self.run_id and self._keep_report(report):
            self._party.handle_report(report)

    def _keep_report(self, report: GatewayReport) -> bool:
        """Keep a report unless a later one of the same run came before."""
        key = f"{report.name}/{report.run}"
        now = self._now()
        held = self.newest_reports.get(key)
        if held is not None and held[1].sequence >= report.sequence:
            return False
        self.newest_reports[key] = (now, report)
        return True

    def _drop_old(self) -> None:
        oldest = self._now() - REPORT_RETENTION_SECONDS
        for key in [
            k for k, (at, _) in self.newest_reports.items() if at < oldest
        ]:
            del self.newest_reports[key]

    def _take_summary(self, summary: HubSummary, sender: Address) -> None:
        """Take a hub's sums, less what this gateway has in them itself."""
        before = self._numbers.get(summary.hub, 0)
        if self.is_hub() or before >= summary.number:
            return
        # Nothing of this run is in sums that name another one.
        mine = summary.run == self.run_id
        sent = self._sent.get(summary.sequence) if mine else None
        if mine and sent is None:
            return
        self._numbers[summary.hub] = summary.number
        self._summary = (self._now(), summary)
        self._others = subtract_work(summary.work, sent.work if sent else {})
        since = sent.at if sent else 0.0
        self._party.apply_taken(summary.recent_usage, since)

    # Views

    def list_fresh_reports(
        self, with_own: bool = False
    ) -> list[GatewayReport]:
        """Return the gateways' reports that are not too old."""
        oldest = self._now() - REPORT_MAX_AGE_SECONDS
        return [
            report
            for at, report in self.newest_reports.values()
            if at > oldest and (with_own or report.run != self.run_id)
        ]

    def list_reports(self) -> list[GatewayReport]:
        """Return the newest report of every run within the last minute."""
        return [report for _, report in self.newest_reports.values()]

    def sum_peer_work(self) -> dict[str, RunnerWork]:
        """Return the other gateways' open work by runner."""
        if self.is_hub():
            return add_work(self.list_fresh_reports())
        return self._others if self._has_fresh_summary() else {}

    def has_summary(self) -> bool:
        """Tell whether a hub tells this gateway what all let through."""
        return not self.is_hub() and self._has_fresh_summary()

    def reachable_share(self) -> float:
        """Return the part of all gateways that is heard, with this one.

        Each request asks, and it takes a look at every gateway.
        """
        at, part = self._heard_part
        if not at <= self._now() < at + REACHABLE_SHARE_CACHE_SECONDS:
            part = self._find_heard_part()
            self._heard_part = self._now(), part
        return part

    def _find_heard_part(self) -> float:
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
        """Return the least age of the store's answers, of all reports."""
        now = self._now()
        ages = [
            now - at + report.read_age
            for at, report in self.newest_reports.values()
            if report.read_age is not None
        ]
        return min(ages, default=None)

    def find_contact_ages(self) -> ReportAge:
        """Return how old the last news of the hub and the readers is."""
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
        # After a suspension no news is fresh.
        return read_clock()
