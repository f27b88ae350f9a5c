"""Tests for gateways that lose the path to runners."""

import asyncio
from collections.abc import Callable
from typing import Literal

import pytest
from forwarding_stack import PATIENCE, Stack, make_prompt, play, wait_until

from lagoonpost.forwarding.daemon import ForwardingDaemon
from lagoonpost.forwarding.tunnel_server import MAX_TUNNELS
from lagoonpost.http import tunnel
from lagoonpost.http.client import CallFailedError, Socket
from lagoonpost.http.message import Address, Response
from lagoonpost.store.clock import read_clock
from lagoonpost_standins.runner import make_event

CutMode = Literal["refuse", "hang"]
"""How new connections fail: at once, or when their time has passed."""
CUT_MODES: tuple[CutMode, ...] = ("refuse", "hang")


def cut_path(
    stack: Stack,
    daemon: ForwardingDaemon,
    mode: CutMode,
    is_cut: Callable[[str], bool] = lambda runner: True,
) -> Callable[[], None]:
    """Make new connections from a gateway to runners fail.

    Args:
        stack: The deployment.
        daemon: The gateway.
        mode: How the connections fail.
        is_cut: Whether the connections to a runner fail, by its id.

    Returns:
        A function that ends the partition.
    """
    connect = daemon._client.connect

    async def fail(address: Address, seconds: float) -> Socket:
        runners = (id_ for id_, r in stack.runners.items() if is_cut(id_))
        if all(address != stack.runners[id_].address for id_ in runners):
            return await connect(address, seconds)
        if mode == "hang":
            await asyncio.sleep(seconds)
        raise CallFailedError(f"cannot connect to {address}", sent=False)

    def heal() -> None:
        daemon._client.connect = connect

    daemon._client.connect = fail
    return heal


async def call_each(stack: Stack, count: int = 1) -> list[Response]:
    """Send requests of each kind to the first gateway, one by one."""
    answers = []
    for number in range(count):
        answers += [
            await stack.call(f"/check/{number}"),
            await stack.call(f"/book/{number}", "POST", b"{}"),
            await stack.call(
                f"/draft/{number}", "POST", b"{}", headers=make_prompt()
            ),
        ]
    return answers


ATTEMPT = (("attempt-id", "a-1"),)


def count_tunnels(stack: Stack) -> list[str]:
    """Return a list to which each tunnel that gateways open is added."""
    opened: list[str] = []
    for daemon in stack.gateways:
        connect = daemon._tunnels._connect

        async def note(request, connect=connect):
            opened.append(request.target)
            return await connect(request)

        daemon._tunnels._connect = note
    return opened


class TestPartitionedGateway:
    @pytest.mark.parametrize("mode", CUT_MODES)
    def test_its_callers_are_served(self, mode):
        """Guards against refusing what other gateways' runners could serve."""

        async def scenario(stack: Stack):
            cut_path(stack, stack.gateways[0], mode)
            return await call_each(stack, 3)

        answers = play(scenario, gateways=3, chat=6, desk=6)
        assert [answer.status for answer in answers] == [200] * 9
        assert all(a.header("response-signature") for a in answers)

    @pytest.mark.parametrize("mode", CUT_MODES)
    def test_some_runners_are_still_reached(self, mode):
        """Guards against sending all load to the runners that are left."""

        async def scenario(stack: Stack):
            def is_cut(runner: str) -> bool:
                return runner in ("chat-1", "desk-1")

            cut_path(stack, stack.gateways[0], mode, is_cut)
            answers = await call_each(stack, 2)
            reach = stack.gateways[0]._forwarder.placement.reach
            async with asyncio.timeout(PATIENCE):
                while not reach.is_proven("desk-1"):
                    answers.append(await stack.call("/check/1"))
            stack.runners["desk-1"].received.clear()
            stack.runners["desk-2"].pause = 0.2
            answers += await asyncio.gather(
                *(stack.call(f"/check/{number}") for number in range(20))
            )
            used = [r.id for r in stack.runners.values() if r.received]
            return answers, used

        answers, used = play(scenario, gateways=3)
        assert {answer.status for answer in answers} == {200}
        assert "desk-1" in used

    def test_streams_pass_event_by_event(self):
        async def scenario(stack: Stack):
            for runner in stack.runners.values():
                runner.pause = 0.05
            cut_path(stack, stack.gateways[0], "refuse")
            call = await stack.open("/draft/1", make_prompt())
            await call.receive_head()
            return [part async for part in call.parts()]

        parts = play(scenario, gateways=2)
        events = [make_event("/draft/1", n) for n in range(1, 6)]
        assert b"".join(parts) == b"".join(events)
        assert len(parts) > 1

    def test_the_path_of_a_sound_network_is_direct(self):
        """Guards against connections between gateways without a partition."""

        async def scenario(stack: Stack):
            opened = count_tunnels(stack)
            await call_each(stack, 3)
            return opened

        assert play(scenario, gateways=2) == []

    def test_requests_go_directly_again_once_it_has_healed(self):
        """Guards against traffic through peers that outlasts the partition."""

        async def scenario(stack: Stack):
            heal = cut_path(stack, stack.gateways[0], "refuse")
            await call_each(stack)
            heal()
            reach = stack.gateways[0]._forwarder.placement.reach
            await wait_until(lambda: not reach.has_failures())
            opened = count_tunnels(stack)
            answers = await call_each(stack, 3)
            return [answer.status for answer in answers], opened

        assert play(scenario, gateways=2) == ([200] * 9, [])

    def test_a_caller_that_leaves_ends_the_work(self):
        """Guards against runs that go on behind the peer in between."""

        async def scenario(stack: Stack):
            for runner in stack.runners.values():
                runner.pause = 30.0
            cut_path(stack, stack.gateways[0], "refuse")
            call = await stack.open("/draft/1", make_prompt())
            runners = stack.runners.values()
            await wait_until(lambda: any(r.runs for r in runners))
            call.close()
            await wait_until(lambda: any(r.cancelled for r in runners))

        play(scenario, gateways=2)

    def test_usage_and_quota_are_counted_once(self):
        """Guards against usage that both gateways of a request report."""

        async def scenario(stack: Stack):
            cut_path(stack, stack.gateways[0], "refuse")
            await call_each(stack, 2)
            return [
                sum(
                    sum(window.values())
                    for window in daemon._usage.begun.values()
                )
                for daemon in stack.gateways
            ]

        assert play(scenario, gateways=2) == [6, 0]

    def test_connecting_takes_its_part_of_the_deadline(self):
        """Guards against runners that work on when their caller has gone."""

        async def scenario(stack: Stack):
            connect = stack.gateways[1]._client.connect

            async def connect_late(address: Address, seconds: float) -> Socket:
                await asyncio.sleep(0.2)
                return await connect(address, seconds)

            stack.gateways[1]._client.connect = connect_late
            cut_path(stack, stack.gateways[0], "hang")
            await stack.call("/check/1", deadline=2.0)
            seen = [s for r in stack.runners.values() for s in r.received]
            return [int(s.request.header("deadline-ms")) for s in seen]

        (left,) = play(scenario, gateways=2)
        assert left <= 2000 - 2 * 300 - 200


class TestFailuresBetweenGateways:
    def test_a_booking_runs_once_if_the_peer_ends(self):
        """Guards against sending again what may have run behind the peer."""

        async def scenario(stack: Stack):
            stack.set_fault("hang")
            cut_path(stack, stack.gateways[0], "refuse")
            call = asyncio.create_task(
                stack.call("/book/1", "POST", b"{}", headers=ATTEMPT)
            )
            await wait_until(lambda: stack.count_runs("a-1") > 0)
            await stack.gateways[1]._tunnels.close()
            answer = await call
            return answer.status, stack.count_runs("a-1")

        assert play(scenario, gateways=2) == (502, 1)

    def test_a_check_goes_on_if_the_peer_ends(self):
        async def scenario(stack: Stack):
            stack.set_fault("hang")
            cut_path(stack, stack.gateways[0], "refuse")
            call = asyncio.create_task(stack.call("/check/1", headers=ATTEMPT))
            await wait_until(lambda: stack.count_runs("a-1") > 0)
            stack.set_fault("none")
            for daemon in stack.gateways[1:]:
                for task in daemon._tunnels._open:
                    task.cancel()
            return (await call).status

        assert play(scenario, gateways=3) == 200

    def test_a_peer_that_does_not_answer_is_passed_over(self):
        """Guards against waiting for a frozen peer."""

        async def scenario(stack: Stack):
            async def keep_silent(near: Socket) -> None:
                await asyncio.sleep(30.0)

            stack.gateways[1]._tunnels._handle = keep_silent
            cut_path(stack, stack.gateways[0], "refuse")
            answers = await call_each(stack, 2)
            return [answer.status for answer in answers]

        assert play(scenario, gateways=3) == [200] * 6

    def test_a_caller_that_leaves_says_nothing_of_the_peer(self):
        """Guards against leaving out peers because callers were impatient."""

        async def scenario(stack: Stack):
            slow = stack.gateways[1]._client
            connect = slow.connect

            async def connect_late(address: Address, seconds: float) -> Socket:
                await asyncio.sleep(0.2)
                return await connect(address, seconds)

            slow.connect = connect_late
            cut_path(stack, stack.gateways[0], "refuse")
            await call_each(stack)
            paths = stack.gateways[0]._forwarder.paths
            runner = stack.gateways[0].view.entries["desk-1"].endpoint
            asking = asyncio.create_task(paths.connect(runner, True))
            await asyncio.sleep(0.1)
            asking.cancel()
            await asyncio.wait((asking,))
            return paths._has_peers(asyncio.get_running_loop().time())

        assert play(scenario, gateways=2)

    def test_a_peer_of_an_older_build_is_passed_over(self):
        """Guards against gateways that listen for no tunnels yet."""

        async def scenario(stack: Stack):
            await stack.gateways[1]._tunnels.close()
            cut_path(stack, stack.gateways[0], "refuse")
            answers = await call_each(stack, 2)
            return [answer.status for answer in answers]

        assert play(scenario, gateways=3) == [200] * 6

    def test_peers_that_are_partitioned_as_well_are_passed_over(self):
        async def scenario(stack: Stack):
            for daemon in stack.gateways[:3]:
                cut_path(stack, daemon, "hang")
            answers = await call_each(stack, 3)
            return [answer.status for answer in answers]

        assert play(scenario, gateways=4) == [200] * 9

    def test_what_nobody_reaches_is_refused_as_not_run(self):
        """Guards against a loop among gateways that all lost the runners."""

        async def scenario(stack: Stack):
            for daemon in stack.gateways:
                cut_path(stack, daemon, "refuse")
            answers = await call_each(stack, 2)
            runs = [r.id for r in stack.runners.values() if r.received]
            return [answer.status for answer in answers], runs

        assert play(scenario, gateways=3) == ([503] * 6, [])


class TestRulesOfTheGatewayBetween:
    @pytest.mark.parametrize(
        "news", ["leaving", "evacuated", "rolled back", "resting"]
    )
    def test_its_newer_view_holds(self, news):
        """Guards against requests by the older view of the gateway that asks.

        The gateway between knows already that no runner may get new work.
        """

        async def scenario(stack: Stack):
            between = stack.gateways[1]
            if news == "rolled back":
                between._tunnels._is_rolled_back = lambda endpoint: True
            for id_, entry in list(between.view.entries.items()):
                born, domain = (
                    entry.endpoint.born,
                    entry.endpoint.failure_domain,
                )
                if news == "leaving":
                    between.view.note_leaving(id_, born, "test")
                if news == "evacuated":
                    between.view.apply_evacuation(domain, 1, True, "test")
                if news == "resting":
                    between.view.notices.note_rest(
                        entry.endpoint, 30.0, 0, read_clock()
                    )
            cut_path(stack, stack.gateways[0], "refuse")
            answers = await call_each(stack)
            runs = [r.id for r in stack.runners.values() if r.received]
            return [answer.status for answer in answers], runs

        assert play(scenario, gateways=2) == ([503] * 3, [])

    def test_calls_that_move_runs_reach_a_leaving_runner(self):
        """Guards against streams that cannot be moved off a leaving runner."""

        async def scenario(stack: Stack):
            between = stack.gateways[1]
            for id_, entry in list(between.view.entries.items()):
                between.view.note_leaving(id_, entry.endpoint.born, "test")
            cut_path(stack, stack.gateways[0], "refuse")
            paths = stack.gateways[0]._forwarder.paths
            runner = stack.gateways[0].view.entries["chat-1"].endpoint
            socket = await paths.connect(runner, True, "control")
            socket.writer.close()

        play(scenario, gateways=2)

    @pytest.mark.parametrize(
        "head",
        [
            b"CONNECT desk-1 HTTP/1.1\r\nhost: x\r\n\r\n",
            b"CONNECT desk-1 HTTP/1.1\r\nhost: x\r\npeer-key: 00\r\n\r\n",
            b"CONNECT {runner} HTTP/1.1\r\nhost: x\r\npeer-key: \r\n\r\n",
            b"GET /check/1 HTTP/1.1\r\nhost: x\r\n\r\n",
            b"no request\r\n\r\n",
        ],
    )
    def test_a_stranger_gets_nothing_run(self, head):
        """Guards against runs by anyone who reaches the peers' ports."""
        request = b"GET /check/1 HTTP/1.1\r\nhost: x\r\nattempt-id: s\r\n\r\n"

        async def scenario(stack: Stack):
            address = stack.gateways[0]._settings.tunnel
            target = str(stack.runners["desk-1"].address).encode()
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head.replace(b"{runner}", target) + request)
            try:
                answer = await reader.read()
            except ConnectionResetError:
                answer = b""
            writer.close()
            runs = [r.id for r in stack.runners.values() if r.received]
            return answer.partition(b"\r\n")[0], runs

        status, runs = play(scenario)
        assert status in (b"", b"HTTP/1.1 403 ")
        assert runs == []

    def test_silent_strangers_leave_room_for_gateways(self, monkeypatch):
        """Guards against connections that take the place of tunnels."""
        # Longer than it takes to open them all, so that none is ended before.
        monkeypatch.setattr(tunnel, "HEAD_TIMEOUT_SECONDS", PATIENCE)

        async def scenario(stack: Stack):
            between = stack.gateways[1]._tunnels
            address = stack.gateways[1]._settings.tunnel
            strangers = [
                await asyncio.open_connection(*address)
                for _ in range(MAX_TUNNELS + 1)
            ]
            await wait_until(lambda: len(between._open) > MAX_TUNNELS)
            cut_path(stack, stack.gateways[0], "refuse")
            answer = await stack.call("/check/1")
            for _, writer in strangers:
                writer.close()
            return answer.status

        assert play(scenario, gateways=2) == 200

    def test_a_leaving_gateway_keeps_the_tunnels_it_has(self):
        """Guards against answers that a planned stop of the peer cuts off."""

        async def scenario(stack: Stack):
            for runner in stack.runners.values():
                runner.pause = 2.5
            cut_path(stack, stack.gateways[0], "refuse")
            call = asyncio.create_task(stack.call("/book/1", "POST", b"{}"))
            runners = stack.runners.values()
            await wait_until(lambda: any(r.runs for r in runners))
            await stack.gateways[1].leave()
            return (await call).status

        assert play(scenario, gateways=2, bounds={"grace_s": 5}) == 200


class TestCrashEvidence:
    def test_a_partition_convicts_no_request(self):
        """Guards against refusing a request as one that crashes runners.

        Its answers break off as the path is cut, and its runners can't be
        reached then.
        """

        async def scenario(stack: Stack):
            stack.set_fault("reset_after")
            for _ in range(2):
                await stack.call("/check/1")
            stack.set_fault("none")
            daemon = stack.gateways[0]
            cut_path(stack, daemon, "refuse")
            for number in range(4):
                await stack.call(f"/check/{number + 2}")
            counted = daemon._crashes.causes.list_evidence()
            return counted, (await stack.call("/check/1")).status

        assert play(scenario, gateways=2) == ([], 200)
