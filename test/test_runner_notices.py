"""Tests of gateways before runners that say in answers what they want."""

import asyncio

import pytest
from forwarding_stack import Stack, play

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
            return late, statuses[-1]

        late, status = play(story, gateways=GATEWAYS, bounds=SHORT_DRAIN)
        assert late == []
        assert status == 503

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
