"""Tests of gateways before runners that say in answers what they want."""

import asyncio
import json
from collections.abc import Callable

import pytest
from forwarding_stack import Stack, make_prompt, play, wait_until
from test_partition import cut_path

from lagoonpost.http.client import Socket
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.migration import MIN_PROMPT_TOKENS
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost_standins.runner import RunnerStandin

DRAIN_SECONDS = 0.5
"""Time after the first such answer from which requests are late."""
REST_SECONDS, REST_SLACK_SECONDS = 1.5, 0.5
"""The rest asked for, and time after the refusal from which it counts."""
MOST_IN_REST = 2
"""Requests that each gateway may still send within a rest."""
GATEWAYS = 2
SHORT_DRAIN = {"drain_ms": int(DRAIN_SECONDS * 1000)}


async def send_checks(stack: Stack, gateway: int, seconds: float) -> list[int]:
    """Send one check after another; return the statuses of the answers."""
    statuses = []
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        answer = await stack.call("/check/1", gateway=gateway)
        statuses.append(answer.status)
        await asyncio.sleep(0.01)
    return statuses


async def press(stack: Stack, seconds: float, senders: int = 3) -> list[int]:
    """Send checks to all gateways at once; return the answers' statuses."""
    found = await asyncio.gather(
        *(
            send_checks(stack, gateway, seconds)
            for gateway in range(len(stack.entries))
            for _ in range(senders)
        )
    )
    return [status for statuses in found for status in statuses]


def list_late(runner: RunnerStandin, begin: float, end: float) -> list[float]:
    """Return when a runner got requests within a span after its first one."""
    times = [each.at for each in runner.received]
    return [at for at in times if begin <= at - times[0] <= end]


class TestLeaving:
    def test_no_request_after_an_answer_that_says_so(self):
        """Guards against listening to the store only (DRAIN).

        The store says `ready` all the time.
        """

        async def story(stack: Stack):
            runner = stack.runners["desk-1"]
            runner.leaving = True
            statuses = await press(stack, 2 * DRAIN_SECONDS)
            return list_late(runner, DRAIN_SECONDS, 60.0), set(statuses)

        late, statuses = play(story, gateways=GATEWAYS, bounds=SHORT_DRAIN)
        assert late == []
        assert statuses == {200}

    @pytest.mark.parametrize("fault", ["none", "torn", "fail", "full"])
    def test_all_runners_leave(self, fault):
        """Guards against answers that count only if their body is whole."""

        async def story(stack: Stack):
            runners = [stack.runners["desk-1"], stack.runners["desk-2"]]
            for runner in runners:
                runner.leaving, runner.fault = True, fault
            statuses = await press(stack, 2 * DRAIN_SECONDS)
            late = [
                at
                for runner in runners
                for at in list_late(runner, DRAIN_SECONDS, 60.0)
            ]
            answer = await stack.call("/check/1")
            return late, statuses[-1], answer

        late, status, answer = play(
            story, gateways=GATEWAYS, bounds=SHORT_DRAIN
        )
        assert late == []
        assert status == 503
        assert json.loads(answer.body)["reason"] == "no_runner"

    def test_rows_of_the_store_do_not_take_it_back(self):
        """Guards against `ready` rows that outlast the runner's notice."""

        async def story(stack: Stack):
            runner = stack.runners["desk-1"]
            runner.leaving = True
            sending = asyncio.create_task(press(stack, 3 * DRAIN_SECONDS))
            for number in range(2, 12):
                await asyncio.sleep(DRAIN_SECONDS / 4)
                await stack.register("desk-1", seq=number, slots=number)
            await sending
            return list_late(runner, DRAIN_SECONDS, 60.0)

        assert play(story, gateways=GATEWAYS, bounds=SHORT_DRAIN) == []


class TestRest:
    def test_few_requests_within_it(self):
        """Guards against refusals that keep nothing away (BUDGET)."""

        async def story(stack: Stack):
            runners = [stack.runners["desk-1"], stack.runners["desk-2"]]
            for runner in runners:
                runner.fault, runner.rest = "full", str(REST_SECONDS)
            statuses = await press(stack, REST_SECONDS)
            late = [
                len(list_late(runner, REST_SLACK_SECONDS, REST_SECONDS))
                for runner in runners
            ]
            for runner in runners:
                runner.fault = "none"
            await asyncio.sleep(REST_SECONDS)
            return max(late), set(statuses), await press(stack, 0.1)

        late, statuses, then = play(story, gateways=GATEWAYS)
        assert late <= MOST_IN_REST * GATEWAYS
        assert statuses == {503}
        assert set(then) == {200}

    def test_if_all_rest_callers_are_told_to_return_after_it(self):
        """Guards against callers that wait, or return within the rest."""

        async def story(stack: Stack):
            for id_ in ("desk-1", "desk-2"):
                note_rest(stack, id_, seconds=2.0)
            return await stack.call("/book/1", "POST")

        answer = play(story)
        assert answer.status == 503
        assert json.loads(answer.body)["reason"] == "runners_rest"
        assert 1.0 < float(answer.header("retry-after")) <= 3.0

    def test_a_short_one_is_waited_for(self):
        """Guards against refusals where a moment's patience serves."""

        async def story(stack: Stack):
            for id_ in ("desk-1", "desk-2"):
                note_rest(stack, id_, seconds=0.2)
            return (await stack.call("/book/1", "POST")).status

        assert play(story) == 200


def note_leaving(stack: Stack, runner: str, gateway: int = 0) -> None:
    view = stack.gateways[gateway].view
    view.note_leaving(runner, view.entries[runner].endpoint.born, "test")


def note_rest(
    stack: Stack, runner: str, gateway: int = 0, seconds: float = 30.0
) -> None:
    view = stack.gateways[gateway].view
    endpoint = view.entries[runner].endpoint
    view.notices.note_rest(endpoint, seconds, 0, read_clock())


NOTICES = [note_leaving, note_rest]
Note = Callable[[Stack, str], None]


def tell_while_connecting(stack: Stack, note: Note) -> list[str]:
    """Let each runner's news come once a connection to it is open.

    Returns:
        A list to which the runners are added.
    """
    paths = stack.gateways[0]._forwarder.paths
    connect = paths.connect
    told: list[str] = []

    async def connect_and_tell(
        endpoint: Endpoint, indirect: bool, *purpose: str
    ) -> Socket:
        socket = await connect(endpoint, indirect, *purpose)
        if not told:
            note(stack, endpoint.id)
            told.append(endpoint.id)
        return socket

    paths.connect = connect_and_tell
    return told


@pytest.mark.parametrize("note", NOTICES)
class TestSenders:
    """Each of them asks again right before its bytes leave."""

    def test_a_first_offer_goes_elsewhere(self, note):
        async def story(stack: Stack):
            told = tell_while_connecting(stack, note)
            answer = await stack.call("/book/1", "POST")
            return answer.status, stack.runners[told[0]].received

        assert play(story) == (200, [])

    def test_a_first_offer_without_another_runner_is_refused(self, note):
        async def story(stack: Stack):
            tell_while_connecting(stack, note)
            answer = await stack.call("/book/1", "POST")
            return answer.status, stack.runners["desk-1"].received

        assert play(story, desk=1) == (503, [])

    def test_a_retry_goes_to_no_such_runner(self, note):
        """Guards against the second attempt at a runner that was told of."""

        async def story(stack: Stack):
            runners = [stack.runners["desk-1"], stack.runners["desk-2"]]
            stack.set_fault("reset_after", "desk")
            for runner in runners:
                runner.pause = 0.2
            call = asyncio.create_task(stack.call("/check/1"))
            await wait_until(lambda: any(r.received for r in runners))
            (other,) = (r for r in runners if not r.received)
            note(stack, other.id)
            await call
            return other.received

        assert play(story) == []

    def test_a_stream_is_resumed_at_no_such_runner(self, note):
        async def story(stack: Stack):
            runners = [stack.runners["chat-1"], stack.runners["chat-2"]]
            stack.set_fault("break_off", "chat")
            for runner in runners:
                runner.pause = 0.1
            call = asyncio.create_task(
                stack.call("/draft/1", "POST", headers=make_prompt())
            )
            await wait_until(lambda: any(r.received for r in runners))
            (other,) = (r for r in runners if not r.received)
            note(stack, other.id)
            await asyncio.gather(call, return_exceptions=True)
            return other.received

        assert play(story) == []

    @pytest.mark.parametrize("path", ["/draft/1", "/reply/1"])
    def test_a_run_is_moved_to_no_such_runner(self, note, path):
        """Guards against a target that is looked at before the copy only."""

        async def story(stack: Stack):
            runners = [stack.runners[f"chat-{n}"] for n in (1, 2, 3)]
            for runner in runners:
                runner.pause, runner.events = 0.05, 40
            headers = make_prompt(MIN_PROMPT_TOKENS)
            call = asyncio.create_task(
                stack.call(path, "POST", headers=headers)
            )
            await wait_until(lambda: any(r.runs for r in runners))
            (busy,) = (r for r in runners if r.runs)
            told: list[str] = []
            permits = stack.gateways[0]._forwarder.permits
            acquire = permits.acquire

            async def acquire_as_the_news_comes(endpoint, longest):
                if not told:
                    note(stack, endpoint.id)
                    told.append(endpoint.id)
                return await acquire(endpoint, longest)

            permits.acquire = acquire_as_the_news_comes
            await stack.register(busy.id, state="draining", leaves_ms=1300)
            answer = await call
            return answer.status, stack.runners[told[0]].received

        assert play(story, chat=3) == (200, [])

    def test_tunnels_lead_to_no_such_runner(self, note):
        """Guards against a notice that is evaded through another gateway."""

        async def story(stack: Stack):
            await wait_until(
                lambda: all(
                    daemon._peer_key.current for daemon in stack.gateways
                )
            )
            cut_path(stack, stack.gateways[0], "refuse")
            note(stack, "desk-1")
            statuses = await send_checks(stack, 0, 0.3)
            return set(statuses), stack.runners["desk-1"].received

        assert play(story, gateways=2) == ({200}, [])


class TestFullRunners:
    def test_after_a_rest_they_get_what_their_slots_take(self):
        """Guards against a rush at the end of a rest that begins the next."""

        async def story(stack: Stack):
            runner = stack.runners["desk-1"]
            runner.pause = 0.1
            view = stack.gateways[0].view
            endpoint = view.entries["desk-1"].endpoint
            view.notices.note_rest(endpoint, 0.1, endpoint.slots, read_clock())
            answers = await asyncio.gather(
                *(stack.call("/check/1") for _ in range(24))
            )
            begun = sorted(each.at for each in runner.received)
            return {each.status for each in answers}, [
                sum(at <= other < at + 0.1 for other in begun) for at in begun
            ]

        statuses, together = play(story, desk=1)
        assert statuses == {200}
        assert max(together) <= 8


class TestChannels:
    """Ways in which a runner's own words reach the gateways."""

    def test_a_gateway_between_hears_the_answers_that_it_passes(self):
        """Guards against tunnels that ask a runner for a resting gateway."""

        async def story(stack: Stack):
            await wait_until(
                lambda: all(
                    daemon._peer_key.current for daemon in stack.gateways
                )
            )
            cut_path(stack, stack.gateways[0], "refuse")
            for id_ in ("desk-1", "desk-2"):
                runner = stack.runners[id_]
                runner.fault, runner.rest = "full", "30"
            for _ in range(6):
                await stack.call("/check/1")
            counts = [
                len(stack.runners[id_].received)
                for id_ in ("desk-1", "desk-2")
            ]
            between = stack.gateways[1].view
            rests = [
                between.notices.find_rest(
                    between.entries[id_].endpoint, read_clock()
                )
                for id_ in ("desk-1", "desk-2")
            ]
            answer = await stack.call("/check/1", gateway=1)
            later = [
                len(stack.runners[id_].received)
                for id_ in ("desk-1", "desk-2")
            ]
            return counts, min(rests) > 20, answer.status, later

        counts, resting, status, later = play(story, gateways=2)
        assert counts == later == [1, 1]
        assert resting
        assert status == 503

    def test_all_gateways_hear_of_a_runner_that_leaves(self):
        async def story(stack: Stack):
            runner = stack.runners["desk-1"]
            runner.leaving = True
            await wait_until(lambda: len(stack.gateways) == 3)
            while not runner.received:
                await stack.call("/check/1")
            await wait_until(
                lambda: all(
                    len(daemon.view.find_runners("desk")) == 1
                    for daemon in stack.gateways
                )
            )
            return len(runner.received)

        assert play(story, gateways=3) == 1

    def test_a_rest_is_not_passed_on(self):
        """Guards against a service that one full runner empties for all."""

        async def story(stack: Stack):
            runner = stack.runners["desk-1"]
            runner.fault, runner.rest = "full", "30"
            while not runner.received:
                await stack.call("/check/1")
            await asyncio.sleep(0.3)
            other = stack.gateways[1].view
            return other.may_send(other.entries["desk-1"].endpoint)

        assert play(story, gateways=2)

    def test_answers_to_calls_that_move_runs_tell_nothing(self):
        """Guards against sound runners that bytes of nobody take out.

        Nothing in them shows whose they are.
        """

        async def story(stack: Stack):
            runner = stack.runners["chat-1"]
            runner.leaving, runner.move_fault = True, "busy"
            daemon = stack.gateways[0]
            memory = daemon._forwarder.offers._migrations._memory
            address = runner.address
            await memory.copy(address, "a-1", address, stop=False)
            return [each.id for each in daemon.view.find_runners("chat")]

        assert sorted(play(story)) == ["chat-1", "chat-2"]

    def test_a_421_says_nothing_of_the_runner_that_was_meant(self):
        """Guards against the words of a runner that has its address now."""

        async def story(stack: Stack):
            forwarder = stack.gateways[0]._forwarder
            endpoint = stack.gateways[0].view.entries["desk-1"].endpoint
            headers = (("server-leaving", "1"), ("retry-after", "30"))
            forwarder.notices.note_head(endpoint, 421, headers, read_clock())
            return stack.gateways[0].view.may_send(endpoint)

        assert play(story)

    def test_a_runner_that_is_back_under_its_id_serves(self):
        async def story(stack: Stack):
            for id_ in ("desk-1", "desk-2"):
                stack.runners[id_].leaving = True
            while (await stack.call("/check/1")).status == 200:
                pass
            for id_ in ("desk-1", "desk-2"):
                stack.runners[id_].leaving = False
                await stack.register(id_, born=2000)
            view = stack.gateways[0].view
            await wait_until(lambda: len(view.find_runners("desk")) == 2)
            return (await stack.call("/check/1")).status

        assert play(story) == 200


class TestMoves:
    @pytest.mark.parametrize("path", ["/draft/1", "/reply/1"])
    def test_streams_are_moved_without_the_store(self, path):
        """Guards against streams that are lost while the store is away."""

        async def story(stack: Stack):
            runners = [stack.runners["chat-1"], stack.runners["chat-2"]]
            for runner in runners:
                runner.pause, runner.events = 0.05, 60
            headers = (
                *make_prompt(MIN_PROMPT_TOKENS),
                ("attempt-id", "a-1"),
            )
            call = asyncio.create_task(
                stack.call(path, "POST", headers=headers)
            )
            await wait_until(lambda: any(r.runs for r in runners))
            (busy,) = (r for r in runners if r.runs)
            note_leaving(stack, busy.id)
            await asyncio.sleep(1.3)
            await busy.close()
            return (await call).status, stack.count_runs("a-1")

        assert play(story) == (200, 1)
