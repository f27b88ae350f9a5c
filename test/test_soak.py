"""Tests the checks and the proxy of the soak, and runs a few seeds."""

import asyncio
from pathlib import Path
from random import Random

import pytest
from forwarding_stack import wait_until
from played_loop import play_time

from lagoonpost.http.message import Address, Request
from lagoonpost_standins.cloud_api import AcceptedCall
from lagoonpost_standins.runner import ReceivedRequest
from soak.__main__ import Options, play
from soak.callers import Callers
from soak.faults import FAULT_ACTIONS, PlannedFault, plan_faults
from soak.promises import (
    check_applied_in_time,
    check_attempts,
    check_brittle_runners,
    check_configuration,
    check_departures,
    check_draining,
    check_duties,
    check_limits,
    check_partitions,
    check_rests,
)
from soak.proxy import Proxy
from soak.record import (
    Attempt,
    Change,
    DepartureTime,
    Drain,
    Falls,
    LimitTime,
    Probe,
    Span,
)
from soak.retry_promises import check_retries
from soak.system import ENTRY_TTL_SECONDS, HEARTBEAT_SECONDS, SoakSystem

SMALL = Options(gateways=3, runners=2, callers=6, seconds=8.0, pause=0.7)
USUAL = Options(gateways=4, runners=3, callers=12, seconds=14.0, pause=0.8)
LONG = Options(gateways=4, runners=3, callers=12, seconds=20.0, pause=2.5)
DRILL = PlannedFault(0.0, "drill", 1.0, 1)
GOOD = Attempt("a", "book", 0, 1, 10.0, 10.1, 200, True, "", 12.0)


@pytest.fixture
def system() -> SoakSystem:
    """Return a system that is not started."""
    return SoakSystem(1, 1)


def check(system: SoakSystem, attempt: Attempt) -> list[str]:
    """Return the promises that an attempt breaks."""
    return [found.promise for found in check_attempts(system, [attempt])]


class TestPromises:
    def test_a_good_answer_is_no_finding(self, system):
        system.runners[0].runner.runs["a"] = 1
        assert check(system, GOOD) == []

    def test_a_booking_that_ran_twice(self, system):
        system.runners[0].runner.runs["a"] = 1
        system.runners[1].runner.runs["a"] = 1
        assert check(system, GOOD) == ["at most once"]

    def test_callers_of_partitioned_gateways_that_are_refused(self, system):
        system.spans.append(Span("cut_runners", "gateway-1", 0.0, 9.0))
        there = [
            GOOD._replace(status=503, sent=5.0, ended=5.1) for _ in range(20)
        ]
        served = GOOD._replace(gateway=1, sent=5.0, ended=5.1)
        found = check_partitions(system, [*there, served])
        assert [f.promise for f in found] == ["served while partitioned"]
        assert check_partitions(system, [*there[:5], served]) == []

    def test_repeats_beyond_their_budget(self, system):
        """Guards against repeats that no single gateway sees to be many."""
        runner = next(s for s in system.runners if s.service == "desk").runner
        headers = (("attempt-id", "a"),)
        request = Request("GET", "/check/1", "", headers, b"", "host", "/")
        runner.received = [
            ReceivedRequest(request, False, 20.0 + step / 2)
            for step in range(13)
        ]
        attempts = [GOOD, GOOD._replace(id="b", kind="draft")]
        assert check_retries(system, attempts) == []
        runner.received.append(ReceivedRequest(request, False, 27.0))
        found = check_retries(system, attempts)
        assert [f.promise for f in found] == [
            "repeats stay within their budget"
        ]
        others = [GOOD._replace(id=f"c{n}", sent=19.0) for n in range(20)]
        assert check_retries(system, others) == []

    def test_brittle_runners_that_fall_over(self, system):
        system.falls.append(Falls("desk", 1.0, 2.0, 2))
        assert check_brittle_runners(system) == []
        system.falls.append(Falls("desk", 5.0, 6.0, 3))
        found = [finding.promise for finding in check_brittle_runners(system)]
        assert found == ["brittle runners stand"]

    def test_a_runner_that_gets_more_than_its_limit(self, system):
        runner = system.runners[0].runner
        system.limit_times.append(LimitTime(runner.id, 0.0, 20.0, 0.5))
        times = [1.0, *(5.0 + number / 10 for number in range(8))]
        runner.received = [ReceivedRequest(None, True, at) for at in times]
        assert check_limits(system) == []
        runner.received.append(ReceivedRequest(None, True, 8.0))
        found = [finding.promise for finding in check_limits(system)]
        assert found == ["limits are kept"]

    def test_a_runner_that_leaves_by_its_answers(self, system):
        runner = system.runners[0].runner
        system.departure_times.append(DepartureTime(runner.id, 1.0, 9.0))
        times = [0.5, 2.0, 4.4, 9.5]
        runner.received = [ReceivedRequest(None, True, at) for at in times]
        assert check_departures(system) == []
        runner.received.append(ReceivedRequest(None, True, 4.6))
        found = [finding.promise for finding in check_departures(system)]
        assert found == ["leaving by answers is heard"]
        system.spans.append(Span("pause", "gateway-1", 3.0, 4.0))
        assert check_departures(system) == []

    def test_a_runner_that_gets_no_rest(self, system):
        runner = system.runners[0].runner
        request = Request(
            "GET", "/check/1", "", (("attempt-id", "a"),), b"", "here"
        )
        runner.received = [
            ReceivedRequest(request, False, 10.0, "3"),
            *(ReceivedRequest(request, True, at) for at in (10.4, 11.0, 12.9)),
            ReceivedRequest(request, True, 13.1),
        ]
        other = GOOD._replace(id="b", gateway=1)
        assert check_rests(system, [GOOD, other]) == []
        runner.received.append(ReceivedRequest(request, True, 12.0))
        found = check_rests(system, [GOOD, other])
        assert [each.promise for each in found] == ["rests are kept"]
        system.spans.append(Span("kill", "gateway-2", 11.0, 12.0))
        assert check_rests(system, [GOOD, other]) != []
        system.spans.append(Span("kill", "gateway-1", 11.0, 12.0))
        assert check_rests(system, [GOOD, other]) == []

    def test_a_refusal_of_what_ran(self, system):
        system.runners[0].runner.runs["a"] = 1
        refused = GOOD._replace(status=503)
        assert check(system, refused) == ["refused is not run"]

    def test_an_answer_to_another_attempt(self, system):
        wrong = GOOD._replace(wrong="signature of another")
        assert check(system, wrong) == ["its own whole answer"]

    def test_an_answer_far_behind_its_deadline(self, system):
        late = GOOD._replace(ended=14.0, status=504)
        assert check(system, late) == ["a final answer in time"]
        system.spans.append(Span("pause", "gateway-1", 10.0, 13.0))
        assert check(system, late) == []

    def test_a_stop_that_cuts_a_request_off(self, system):
        cut = GOOD._replace(ended=11.0, status=0, whole=False)
        assert check(system, cut) == []
        system.spans.append(Span("stop", "gateway-1", 10.5, 13.0))
        assert check(system, cut) == ["a planned stop cuts nothing"]
        system.spans.append(Span("harm_runner", "desk-0.0", 9.0, 11.0))
        assert check(system, cut) == []

    def test_work_for_a_draining_runner(self, system):
        runner = system.runners[0].runner
        system.drains.append(Drain(runner.id, 100.0))
        request = Request("GET", "/check/1", "", (), b"", "here")
        runner.received.append(ReceivedRequest(request, True, 101.0))
        assert check_draining(system) == []
        runner.received.append(ReceivedRequest(request, True, 102.5))
        assert len(check_draining(system)) == 1

    def test_work_for_a_draining_runner_after_a_restore(self, system):
        """Guards against new work for a draining runner after a restore.

        A store backup may be older than the drain. Gateways that knew of the
        drain before the restore must remember it.
        """
        runner = system.runners[0].runner
        system.drains.append(Drain(runner.id, 100.0))
        request = Request("GET", "/check/1", "", (), b"", "here")
        runner.received.append(ReceivedRequest(request, True, 103.0))
        system.spans.append(Span("drill", "store", 102.5, 103.0))
        assert len(check_draining(system)) == 1
        system.spans.append(Span("drill", "store", 101.5, 103.0))
        assert check_draining(system) == []

    def test_duties_of_two_holders(self, system):
        """Guards against a fencing token that two holders get.

        A restored store may assign the same lease version again.
        """
        system.cloud.calls = [
            ("/usage", "gateway-1", 7, 200),
            ("/usage", "gateway-1", 7, 200),
            ("/usage", "gateway-2", 8, 200),
        ]
        assert check_duties(system) == []
        system.cloud.calls.append(("/usage", "gateway-2", 7, 200))
        system.cloud.conflicts.append(10)
        assert len(check_duties(system)) == 2

    def test_a_configuration_that_goes_back(self, system):
        callers = Callers(system, None)
        callers.probes = [
            Probe(0, 1, 1.0, 7, True),
            Probe(0, 1, 2.0, 8, True),
            Probe(0, 2, 3.0, 7, True),
        ]
        assert check_configuration(callers) == []
        callers.probes.append(Probe(0, 1, 4.0, 7, True))
        assert len(check_configuration(callers)) == 1

    def test_a_configuration_that_comes_too_late(self, system):
        callers = Callers(system, None)
        system.changes = [Change(7, 10.0), Change(8, 30.0)]
        callers.probes = [
            Probe(0, 1, 11.9, 7, False),
            Probe(0, 1, 12.1, 7, True),
            Probe(0, 1, 29.5, 7, False),
            Probe(0, 1, 33.0, 7, False),
        ]
        assert check_applied_in_time(system, callers) == []
        callers.probes.append(Probe(0, 1, 20.0, 7, False))
        assert len(check_applied_in_time(system, callers)) == 1
        system.spans.append(Span("outage", "store", 9.0, 17.5))
        assert check_applied_in_time(system, callers) == []


class TestPlan:
    def test_a_seed_always_gives_the_same_steps(self):
        plans = [plan_faults(Random(5), 14.0, 0.8) for _ in range(2)]
        assert plans[0] == plans[1]
        assert any(
            one.at + one.seconds > other.at
            for one, other in zip(plans[0], plans[0][1:], strict=False)
        )

    def test_a_duty_that_returns_too_early(self, system):
        """Guards against a duty that returns to its last holder too early."""
        usage, order = ("/usage", "", ""), ("/scale", "chat", "domain-a")
        system.cloud.accepted_calls = [
            AcceptedCall(1.0, usage, "gateway-1"),
            AcceptedCall(2.0, usage, "gateway-2"),
            AcceptedCall(3.9, order, "gateway-1"),
            AcceptedCall(4.1, usage, "gateway-1"),
        ]
        assert check_duties(system) == []
        system.cloud.accepted_calls.append(
            AcceptedCall(4.9, usage, "gateway-2")
        )
        assert len(check_duties(system)) == 1


class TestDrill:
    def test_a_restore_reverts_rows_until_they_are_rewritten(self, system):
        """Guards against a restore that has no effect or a lasting one.

        The drill must revert the configuration and revive the entry of an
        ended runner. Then the configuration is written again, the entry
        expires, and the runners' entries are renewed.
        """

        async def run_drill() -> None:
            store = system.store
            await system.configure(1)
            await store.put("servers", "ended", {})
            await asyncio.sleep(10.0)
            await system.delete_entry("ended")
            await system.configure(2)
            drill = asyncio.create_task(
                FAULT_ACTIONS["drill"](system, DRILL, Random(DRILL.seed))
            )
            await wait_until(lambda: store.era == 1)
            assert store.get("op", "config")["version"] == 1
            assert store.list_keys("servers") == ["ended"]
            heartbeats = asyncio.create_task(system._send_heartbeats())
            await drill
            assert store.get("op", "config")["version"] == 2
            await asyncio.sleep(ENTRY_TTL_SECONDS + HEARTBEAT_SECONDS)
            names = sorted(slot.runner.id for slot in system.runners)
            assert sorted(store.list_keys("servers")) == names
            heartbeats.cancel()

        play_time(run_drill())


class TestProxy:
    @pytest.mark.parametrize("fault", ["silent", "one_way", "forgotten"])
    def test_blocked_bytes_do_not_arrive(self, fault):
        async def run_proxy() -> None:
            async def echo(reader, writer):
                writer.write(await reader.read(10))

            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            proxy = Proxy(Address("127.0.0.1", port))
            entry = await proxy.start()
            reader, writer = await asyncio.open_connection(
                entry.host, entry.port
            )
            await wait_until(lambda: bool(proxy._links))
            proxy.set_fault(fault)
            writer.write(b"bytes")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await reader.read(10)
            if fault != "forgotten":
                proxy.set_fault("none")
                assert await reader.read(10) == b"bytes"
            proxy.close()
            server.close()

        asyncio.run(run_proxy())

    def test_bytes_without_end_follow_an_answer(self):
        async def run_proxy() -> None:
            async def echo(reader, writer):
                writer.write(await reader.read(10))

            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            proxy = Proxy(Address("127.0.0.1", port))
            entry = await proxy.start()
            reader, writer = await asyncio.open_connection(
                entry.host, entry.port
            )
            proxy.set_fault("endless")
            writer.write(b"bytes")
            assert (await reader.readexactly(200_000)).startswith(b"bytes  ")
            proxy.set_fault("none")
            writer.close()
            proxy.close()
            server.close()

        asyncio.run(run_proxy())


class TestSeeds:
    """Runs fixed seeds; seeds that revealed a fault are added here."""

    @pytest.mark.parametrize(
        ("seed", "options"),
        [
            (1, SMALL),
            # Guards against requests that are refused for a minute because
            # an identical one was in flight at a runner that crashed.
            (4, USUAL),
            # Guards against refusing a popular request for an hour because
            # one runner that was down closed its connections for seconds.
            (30, USUAL),
            # Guards against a gateway that ends when it receives SIGHUP for
            # new settings during its start.
            (110, LONG),
        ],
    )
    def test_all_promises_hold(self, seed, options, tmp_path):
        result = asyncio.run(play(seed, options, tmp_path))
        logs = Path(tmp_path)
        assert result.findings == [], list(logs.rglob("*"))
        assert sum(result.outcomes.values()) > 0
