"""Reports of gateways and summaries of hubs, over real datagrams."""

import asyncio
from collections import Counter
from random import Random

from forwarding_stack import wait_until

from bench.system import find_port, release_port
from lagoonpost.forwarding.reports import (
    REPORT_MAX_AGE_SECONDS,
    ReportExchange,
)
from lagoonpost.http.message import Address
from lagoonpost.peers.messenger import (
    DatagramMessenger,
    decode_message,
    encode_message,
)
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.hub import Roles, choose_roles
from lagoonpost.tables.fact import RecentFact
from lagoonpost.tables.gateway_report import (
    DatedUsage,
    GatewayReport,
    HubSummary,
    RunnerWork,
    UsageByAge,
)
from lagoonpost.tables.peer import Member

COUNT = 20
DATED = DatedUsage({"pottery": [(3, 7.0)]}, (0.4,))
BURST_DATAGRAMS = 3


class Delegate:
    """A gateway that has one open request."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.received: list[GatewayReport] = []
        self.taken: UsageByAge = {}
        self.read_age: float | None = None

    def make_report(self, name: str, run: str) -> GatewayReport:
        return GatewayReport(
            name=name,
            run=run,
            work={"runner": RunnerWork(1, self.number)},
            used={},
            recent={},
            begun={},
            prompt_tokens={},
            unread_prompt_tokens={},
            seconds_per_prompt_token={},
            version=1,
            shift_counts={},
            read_age=self.read_age,
            dated_usage=DATED,
        )

    def handle_report(self, report: GatewayReport) -> None:
        self.received.append(report)

    def list_taken(self) -> UsageByAge:
        return {"pottery": [(0.5, 7.0)]}

    def apply_taken(self, taken: UsageByAge, since: float) -> None:
        self.taken = taken


class NoNews:
    """Has no news and expects none."""

    def list_recent_facts(self) -> tuple[RecentFact, ...]:
        return ()

    def handle_news(
        self, sender: Address, version: int, recent: tuple[RecentFact, ...]
    ) -> None:
        pass


class Crowd:
    """Twenty gateways in two failure domains."""

    def __init__(self) -> None:
        self.ports = ports = [find_port() for _ in range(COUNT)]
        self.members = [
            Member(
                name=f"gateway-{number:02}",
                address=f"127.0.0.1:{port}",
                role="gateway",
                region="here",
                failure_domain=f"domain-{number % 2}",
                incarnation=1,
            )
            for number, port in enumerate(ports)
        ]
        self.delegates = [Delegate(number) for number in range(COUNT)]
        self.posts = [DatagramMessenger() for _ in ports]
        self.reports = [
            ReportExchange(
                member.name,
                Address("127.0.0.1", ports[number]),
                self.delegates[number],
                lambda: tuple(self.members),
                lambda: tuple(self.members),
                lambda: choose_roles(self.members, ()),
                lambda: 0.0,
                self.posts[number],
                Random(number),
                NoNews(),
            )
            for number, member in enumerate(self.members)
        ]

    async def __aenter__(self) -> "Crowd":
        for each in self.reports:
            await each.start()
        self.tasks = [asyncio.create_task(each.run()) for each in self.reports]
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self.tasks:
            task.cancel()
        for each in self.reports:
            each.close()
        for port in self.ports:
            release_port(port)


def limit_bursts(post: DatagramMessenger) -> None:
    """Drop all but the first summaries of each round."""
    passed: Counter[int] = Counter()
    send = post.send

    def send_few(message, targets) -> None:
        if isinstance(message, HubSummary):
            passed[message.number] += 1
            if passed[message.number] > BURST_DATAGRAMS:
                return
        send(message, targets)

    post.send = send_few


class TestReports:
    def test_everyone_knows_the_work_of_all_others(self):
        async def story() -> None:
            async with Crowd() as crowd:
                total = sum(range(COUNT))
                for number, each in enumerate(crowd.reports):
                    wanted = RunnerWork(COUNT - 1, total - number)
                    await wait_until(
                        lambda e=each, w=wanted: (
                            e.sum_peer_work().get("runner") == w
                        )
                    )
                    assert each.reachable_share() == 1.0

        asyncio.run(story())

    def test_only_hubs_hear_reports(self):
        """Guards against reports that go from each gateway to all others.

        At 82 gateways that is more traffic than all answers to callers.
        """

        async def story() -> None:
            async with Crowd() as crowd:
                await wait_until(
                    lambda: all(each.sum_peer_work() for each in crowd.reports)
                )
                hubs = choose_roles(crowd.members, ()).hubs
                for member, delegate in zip(
                    crowd.members, crowd.delegates, strict=True
                ):
                    received = {report.name for report in delegate.received}
                    assert bool(received) == (member.name in hubs)
                    if member.name not in hubs:
                        assert delegate.taken == {"pottery": [(0.5, 7.0)]}

        asyncio.run(story())

    def test_another_hub_takes_over(self):
        async def story() -> None:
            async with Crowd() as crowd:
                await wait_until(
                    lambda: all(each.sum_peer_work() for each in crowd.reports)
                )
                last = crowd.reports[-1]
                first = crowd.members.pop(1)
                crowd.tasks[1].cancel()
                assert first.failure_domain == crowd.members[-1].failure_domain
                await wait_until(
                    lambda: (
                        last.sum_peer_work()["runner"].requests == COUNT - 2
                    )
                )

        asyncio.run(story())

    def test_only_a_new_hub_hears_the_ages_of_usage(self):
        """Guards against a new hub that has to guess what it missed."""

        async def story() -> None:
            async with Crowd() as crowd:
                hub = crowd.delegates[0]
                await wait_until(lambda: len(hub.received) >= COUNT)
                assert hub.received[0].dated_usage == DATED
                await wait_until(
                    lambda: (
                        not any(
                            each.dated_usage
                            for each in hub.received[-2 * COUNT :]
                        )
                    )
                )
                hub.received.clear()
                crowd.members.pop(1)
                crowd.tasks[1].cancel()
                new = crowd.delegates[3]
                await wait_until(lambda: len(new.received) >= COUNT)
                assert new.received[0].dated_usage == DATED
                assert not any(each.dated_usage for each in hub.received)

        asyncio.run(story())

    def test_a_full_link_loses_the_last_summaries(self):
        """Guards against gateways that never get a summary.

        The hub's link takes only a few of the datagrams of each burst.
        """

        async def story() -> None:
            async with Crowd() as crowd:
                for post in crowd.posts:
                    limit_bursts(post)
                await wait_until(
                    lambda: all(
                        each.is_hub() or each.has_summary()
                        for each in crowd.reports
                    )
                )

        asyncio.run(story())

    def test_a_hub_that_does_not_read_hears_the_readers(self):
        """Guards against a hub that reads the store for ever.

        A hub gets no summaries, so it learns of the readers from reports.
        """

        async def story() -> None:
            async with Crowd() as crowd:
                hub = crowd.reports[0]
                assert hub.is_hub()
                hub._started -= 60.0
                crowd.delegates[5].read_age = 0.1
                await wait_until(lambda: hub.find_contact_ages().store < 1.0)
                assert hub.find_contact_ages().hub < 1.0

        asyncio.run(story())

    def test_a_host_that_was_suspended_hears_nobody_at_first(
        self, monkeypatch
    ):
        """Guards against quotas based on reports from before a suspension."""

        async def story() -> None:
            async with Crowd() as crowd:
                hub = crowd.reports[0]
                await wait_until(lambda: hub.reachable_share() == 1.0)
                thawed = read_clock() + REPORT_MAX_AGE_SECONDS
                monkeypatch.setattr(
                    "lagoonpost.forwarding.reports.read_clock", lambda: thawed
                )
                assert hub.reachable_share() == 1 / COUNT

        asyncio.run(story())

    def test_an_unreadable_datagram_is_passed_over(self):
        async def story() -> None:
            async with Crowd() as crowd:
                for body in (
                    b"",
                    b"\xc1",
                    encode_message(_make_report())[:-3],
                ):
                    crowd.posts[0]._dispatch(body, Address("127.0.0.1", 9))

        asyncio.run(story())

    def test_letters_are_read_as_written(self):
        report = _make_report()
        assert decode_message(encode_message(report)) == report

    def test_late_sums_of_a_hub_before_are_passed_over(self):
        """Guards against an older summary after the hub changed twice."""
        reports = ReportExchange(
            "gateway",
            Address("127.0.0.1", 1),
            Delegate(1),
            tuple,
            tuple,
            lambda: Roles(("a", "b"), frozenset(), False),
            lambda: 0.0,
            DatagramMessenger(),
            Random(1),
            NoNews(),
        )
        for hub, number, requests in [("a", 4, 1), ("b", 1, 2), ("a", 3, 9)]:
            work = {"runner": RunnerWork(requests)}
            summary = HubSummary(hub, number, "", 0, 3, work, {})
            reports._handle_summary(summary, Address("127.0.0.1", 1))
        assert reports.sum_peer_work()["runner"].requests == 2


def _make_report() -> GatewayReport:
    return Delegate(3).make_report("gateway", "run")
