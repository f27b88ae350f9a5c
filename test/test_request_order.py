"""The order of requests while a service is short."""

from random import Random
from types import SimpleNamespace

import msgspec
import pytest
from forwarding_stack import Stack, make_prompt, play
from hypothesis import given
from hypothesis import strategies as st
from test_overload import fill_runners
from test_placement import make_draft, make_runners

from bench.order_play import DESKS, ENGINES, Overload, find_share
from lagoonpost.cli.explain import _describe_step
from lagoonpost.forwarding.request_ordering import RequestOrdering
from lagoonpost.systems.placement import Placement
from lagoonpost.systems.request_order import (
    RETRY_AFTER_SHARE,
    Action,
    Delays,
    Needs,
    Outlook,
    Prospect,
    RequestOrder,
    RequestSizes,
    ReturnOrder,
    StatedTimes,
    find_slot_wait,
)
from lagoonpost.tables.configuration import Service
from lagoonpost.tables.gateway_report import (
    RunnerWork,
    subtract_work,
)
from lagoonpost.tables.metadata import TokenCount
from lagoonpost.tables.scheduling import Scheduling
from lagoonpost.tables.urgency import RequestClass, find_urgency, is_later

NEEDS = Needs("chat", 1, True, 0.5, 4.0)
SECONDS = st.floats(0.0, 30.0)
PROSPECTS = st.builds(
    Prospect, SECONDS, SECONDS, SECONDS, st.booleans(), st.booleans()
)


class TestUrgency:
    @given(st.integers(0, 12), st.integers(0, 12))
    def test_the_priority_comes_before_the_class(self, first, second):
        urgent = find_urgency(first, RequestClass.LATER)
        other = find_urgency(second, RequestClass.IN_TIME)
        assert 0 <= other <= urgent <= 9 or other > urgent
        assert is_later(urgent) and not is_later(other)
        if first < second <= 4:
            assert urgent < other


class TestRequestOrder:
    @given(PROSPECTS, st.booleans(), st.booleans(), st.booleans())
    def test_nothing_is_refused_while_a_place_is_free(
        self, prospect, ordered, over_share, returns
    ):
        """Guards against refusals with idle runners, or after a start."""
        needs = NEEDS._replace(
            ordered=ordered, over_share=over_share, returns=returns
        )
        decision = RequestOrder().decide(needs, prospect, 0.0)
        if prospect.is_free or not prospect.is_measured:
            assert decision.action in (Action.SEND, Action.SEND_LATER)
        room = prospect._replace(has_room=True)
        action = RequestOrder().decide(needs, room, 0.0).action
        assert action is not Action.REFUSE

    @given(PROSPECTS)
    def test_a_caller_that_returns_is_refused_only_if_it_cannot_begin(
        self, prospect
    ):
        """Guards against callers that wait in vain and are refused again."""
        needs = NEEDS._replace(returns=True, objective=-0.5)
        decision = RequestOrder().decide(needs, prospect, 0.0)
        if decision.action is Action.REFUSE:
            assert prospect.least_wait > needs.left

    @pytest.mark.parametrize(
        ("change", "wanted"),
        [({"over_share": True}, Action.REFUSE), ({}, Action.SEND_LATER)],
    )
    def test_late_requests_over_their_share_are_refused_first(
        self, change, wanted
    ):
        late = Prospect(0.6, 1.0, 0.1, False, True)
        needs = NEEDS._replace(**change)
        assert RequestOrder().decide(needs, late, 0.0).action is wanted

    def test_less_urgent_late_requests_yield_to_refused_ones(self):
        """Guards against a kind that is served for its longer deadline."""
        order = RequestOrder()
        order.decide(NEEDS, Prospect(9.0, 3.0, 0.1, False, True), 0.0)
        late = Prospect(2.0, 3.0, 0.1, False, True)
        chat = Needs("chat", 2, True, 0.4, 12.0)
        assert order.decide(chat, late, 0.5).action is Action.REFUSE
        assert order.decide(chat, late, 9.0).action is Action.SEND_LATER

    def test_a_plain_request_waits_only_once_it_has_returned(self):
        full = Prospect(5.0, 5.0, 0.0, False, True)
        desk = Needs("desk", 0, False, 0.1, 1.0, may_wait=True)
        assert RequestOrder().decide(desk, full, 0.0).action is Action.REFUSE
        again = desk._replace(returns=True)
        assert RequestOrder().decide(again, full, 0.0).action is Action.WAIT


class TestSlotWait:
    @pytest.mark.parametrize(
        ("requests", "part", "wanted"),
        [(23, 1.0, 0.0), (24, 1.0, 0.02), (72, 1.0, 0.98), (72, 0.25, 0.26)],
    )
    def test_only_those_that_go_first_are_waited_for(
        self, requests, part, wanted
    ):
        """Guards against overfull batches of short prompts.

        Their prompts take no time, but the slots are held by long answers.
        """
        wait = find_slot_wait(requests, 24, part, 0.48)
        assert wait == pytest.approx(wanted)


class TestDelays:
    def test_requests_that_wait_unseen_make_later_ones_late(self):
        """Guards against gateways that all hold the same runner to be free.

        None has reported yet what it sent within the last 0.4 s.
        """
        delays = Delays()
        for number in range(20):
            delays.note("chat", 1, 0.1, 0.9, number * 0.1)
        assert delays.find("chat", 1, 2.0) == pytest.approx(0.8, rel=0.2)
        assert delays.find("chat", 0, 2.0) == 0.0
        assert delays.find("chat", 1, 30.0) < 0.01


class TestStatedTimes:
    def test_a_shorter_time_than_usual_tells_a_return(self):
        stated = StatedTimes()
        assert not any(stated.note("draft", 4.0) for _ in range(30))
        assert stated.note("draft", 2.5) == pytest.approx(1.5, abs=0.1)

    def test_nothing_is_concluded_where_callers_differ(self):
        """Guards against holding a caller in a hurry to have waited."""
        stated, rng = StatedTimes(), Random(1)
        times = [rng.uniform(0.5, 9.0) for _ in range(200)]
        assert not any(stated.note("draft", left) for left in times)


class TestReturnOrder:
    @given(st.lists(st.tuples(st.integers(0, 2), SECONDS), max_size=40))
    def test_no_caller_is_told_more_than_a_third_of_its_time(self, refused):
        """Guards against callers that all return sooner, and together."""
        returns = ReturnOrder(Random(1))
        for priority, left in refused:
            needs = Needs("chat", priority, True, 0.0, left)
            delay = returns.find_delay(needs, 1.0, 2.0, 0.0)
            assert 0.0 <= delay <= RETRY_AFTER_SHARE * left

    def test_returns_follow_the_room_and_the_need(self):
        """Guards against a second rush when all refused callers return."""
        returns = ReturnOrder(Random(1))
        chat, urgent = (
            NEEDS._replace(left=99.0),
            NEEDS._replace(left=99.0, priority=0),
        )
        delays = [returns.find_delay(chat, 0.2, 10.0, 0.0) for _ in range(20)]
        assert sum(delay <= 1.0 for delay in delays) <= 10
        assert returns.find_delay(urgent, 0.2, 10.0, 0.0) < 0.4


class TestRequestSizes:
    def test_late_requests_leave_memory_for_streams(self):
        """Guards against filling an engine until it stops a stream midway."""
        sizes = RequestSizes()
        sizes.note("plan", 9000, 2900)
        assert sizes.fits("plan", 40, 438_462)
        assert not sizes.fits("plan", 47, 438_462)
        assert sizes.fits("plan", 9999, 0)


class TestPlacement:
    def test_only_work_that_goes_first_counts(self):
        """Guards against counting prompts that run after a request.

        With such prompts at all runners, every request would seem late.
        """
        placement, (runner,) = Placement(), make_runners(1)
        work = RunnerWork(9, 300_000, (0, 10_000, 0, 290_000))
        placement.update_from_peers({runner.id: work})
        seconds = [
            placement.choose(
                [runner],
                make_draft("s")._replace(urgency=each),
                0.0,
                Random(1),
            ).seconds
            for each in (0, 2, 3, None)
        ]
        assert seconds == sorted(seconds)
        assert seconds[1] < 1.0 < seconds[2] == seconds[3]

    @given(st.lists(st.integers(0, 9), max_size=8), st.booleans())
    def test_open_work_by_urgency_ends_with_the_requests(self, levels, began):
        placement, (runner,) = Placement(), make_runners(1)
        choices = [
            placement.choose(
                [runner],
                make_draft("s")._replace(urgency=each),
                0.0,
                Random(1),
            )
            for each in levels
        ]
        for choice in choices:
            placement.note_sent(choice, make_draft("s"), 0.0)
        work = placement.report().get(runner.id, RunnerWork())
        assert sum(work.by_urgency) == work.tokens
        raw = msgspec.msgpack.encode(work)
        assert msgspec.msgpack.decode(raw, type=RunnerWork) == work
        total = {runner.id: work}
        assert subtract_work(total, total)[runner.id] == RunnerWork()
        for choice in choices:
            if began:
                placement.note_first_byte(choice, make_draft("s"), 0.1, 0.1)
            placement.note_ended(choice, began)
        assert not any(placement.state(runner.id).by_urgency)


class TestRequestOrdering:
    def test_a_late_request_goes_where_memory_is_left(self):
        """Guards against filling one runner's memory beside an empty one."""
        placement, runners = Placement(), make_runners(2)
        service = Service("chat", engine=True, kv_tokens=100_000)
        configuration = SimpleNamespace(services={"chat": service})
        view = SimpleNamespace(
            routes=SimpleNamespace(configuration=configuration)
        )
        ordering = RequestOrdering(view, placement, lambda: 1, Random(1))
        tokens = SimpleNamespace(tokens=TokenCount(9000, 100), parts=())
        draft = make_draft("s")
        ordering.note_sent(
            SimpleNamespace(arrival=tokens, requirements=draft),
            placement.choose(runners, draft, 0.0, Random(1)),
        )
        work = {
            runners[0].id: RunnerWork(20, 100),
            runners[1].id: RunnerWork(1, 300_000),
        }
        placement.update_from_peers(work)
        assert [ordering.has_memory(each) for each in runners] == [False, True]
        assert ordering._list_fitting(runners) == runners[1:]
        assert ordering._list_fitting(runners[:1]) == runners[:1]


class TestOverload:
    @pytest.mark.parametrize("load", [1.2, 2.0, 5.0])
    def test_more_are_in_time_and_all_groups_are_served(self, load):
        """Guards against an overload in which everyone is late.

        The order must not forget large prompts or a small workspace.
        """
        before = Overload(ENGINES, load, ordered=False).play()
        after = Overload(ENGINES, load, ordered=True).play()
        in_time = [
            find_share(each["all"], "in_time") for each in (before, after)
        ]
        assert in_time[1] > 1.25 * in_time[0]
        served = {
            group: find_share(counts, "in_time", "late")
            for group, counts in after.items()
        }
        for group in ("largest", "small"):
            assert served[group] > 0.5 * served["all"]
        for group in ("summary", "chat"):
            assert served["draft"] > served[group] - 0.05

    def test_nothing_is_refused_with_room(self):
        after = Overload(ENGINES, 0.6, ordered=True).play()
        assert find_share(after["all"], "in_time", "late") == 1.0
        assert after["all"]["refused"] == 0

    def test_a_workspace_over_its_share_is_refused_first(self):
        counts = Overload(ENGINES, 2.0, True, over_share={"large"}).play()
        small, large = counts["small"], counts["large"]
        assert find_share(small, "refused") < 0.5 * find_share(
            large, "refused"
        )

    def test_without_reports_more_are_in_time_as_well(self):
        """Guards against gateways that know only their own requests.

        That is what is left after the loss of all hubs.
        """
        shares = [
            find_share(
                Overload(ENGINES, 5.0, ordered, reports=False).play()["all"],
                "in_time",
            )
            for ordered in (False, True)
        ]
        assert shares[1] > 1.25 * shares[0]

    def test_runners_without_urgencies_are_no_worse(self):
        shares = [
            find_share(Overload(DESKS, 1.2, each).play()["all"], "in_time")
            for each in (False, True)
        ]
        assert shares[1] > 0.9 * shares[0]


class TestForwarding:
    @pytest.mark.parametrize("ordered", [False, True])
    def test_a_late_request_tells_its_runner_so(self, ordered):
        """Guards against late requests that go before those in time."""

        async def story(stack: Stack):
            forwarder = stack.gateways[0]._forwarder
            forwarder.set_scheduling(Scheduling(order=ordered))
            placement = forwarder.placement
            await stack.call("/draft/1", "POST", headers=make_prompt())
            placement._pace["chat"] = 1 / 1000
            work = {id_: RunnerWork(9, 1200, (1200,)) for id_ in stack.runners}
            placement.update_from_peers(work)
            placement.update_from_peers = lambda others: None
            await stack.call("/draft/1", "POST", headers=make_prompt())
            return [
                dict(each.request.headers)["request-urgency"]
                for runner in stack.runners.values()
                for each in runner.received
            ]

        assert play(story)[-1] == ("3" if ordered else "1")

    def test_what_cannot_begin_is_refused_with_a_time_to_return(self):
        """Guards against callers that are told to wait longer than they do."""

        async def story(stack: Stack):
            forwarder = stack.gateways[0]._forwarder
            forwarder.set_scheduling(Scheduling(order=True))
            fresh = await stack.call(
                "/draft/1", "POST", headers=make_prompt(1000)
            )
            fill_runners(stack)
            prompt = make_prompt(1000)
            late = await stack.call("/draft/1", "POST", headers=prompt)
            runs = sum(each.runs.total() for each in stack.runners.values())
            return fresh, late, runs

        fresh, late, runs = play(story)
        assert (fresh.status, late.status, runs) == (200, 503, 1)
        assert 0 < float(late.header("retry-after")) <= 5.0 / 3


class TestExplain:
    def test_a_step_tells_what_was_decided_and_why(self):
        step = "order:send_later:late:usual:0.812:0.500:1.300:3.900"
        text = _describe_step(step)
        assert "behind all" in text
        assert "0.812 s, due in 0.500 s" in text
        assert Outlook.LATE.name.lower() in step
