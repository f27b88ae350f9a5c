"""`lagoonpost explain` names the cause of a failed request from logs alone."""

import asyncio
import json
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import eliot
import pytest
from click.testing import CliRunner
from forwarding_stack import (
    Stack,
    make_configuration,
    make_prompt,
    make_route,
    play,
    wait_until,
)

from lagoonpost.cli.main import main
from lagoonpost.forwarding import service_loads
from lagoonpost.http.client import CallFailedError
from lagoonpost.systems.scheduling import SchedulingSetting
from lagoonpost.tables.scheduling import Scheduling
from lagoonpost.tables.service_share import ServiceLoad

ID = "request-1"


@pytest.fixture
def log(tmp_path: Path) -> Iterator[Path]:
    """A file that receives all log messages of one gateway."""
    path = tmp_path / "gateway-1.log"
    with path.open("w") as file:

        def write(message: dict[str, Any]) -> None:
            file.write(json.dumps(message, default=str) + "\n")
            file.flush()

        eliot.add_destinations(write)
        yield path
        eliot.remove_destination(write)


def explain(log: Path, request: str = ID) -> str:
    arguments = ["explain", request, "--logs", str(log)]
    return CliRunner().invoke(main, arguments).output


def find_line(log: Path, kind: str) -> dict[str, Any]:
    lines = (json.loads(line) for line in log.read_text().splitlines())
    return next(line for line in lines if line["message_type"] == kind)


async def ask(stack: Stack, path: str, **more: Any) -> None:
    headers = (("attempt-id", ID), *more.pop("headers", ()))
    method = "GET" if path.startswith("/check") else "POST"
    # The log has to explain failures that the caller cannot.
    with suppress(CallFailedError):
        await stack.call(path, method, headers=headers, **more)


class TestExplain:
    @pytest.mark.parametrize(
        ("fault", "path", "causes"),
        [
            ("full", "/check/1", ["it said that it did not run it"]),
            ("reset_after", "/book/1", ["ended the connection", "may have"]),
            ("torn", "/book/1", ["ended the connection", "answer_lost"]),
            ("hang", "/book/1", ["time was over while a runner may"]),
            ("crash", "/check/1", ["ended the connection", "502"]),
            ("fail", "/book/1", ["answered whole", "500"]),
        ],
    )
    def test_a_runners_fault(self, log, fault, path, causes):
        async def scenario(stack: Stack):
            stack.set_fault(fault, "desk")
            await ask(stack, path, deadline=0.6)

        play(scenario)
        output = explain(log)
        for cause in causes:
            assert cause in output, output

    def test_a_stream_that_broke_off(self, log):
        async def scenario(stack: Stack):
            stack.runners["chat-1"].fault = "break_off"
            await ask(stack, "/draft/1", headers=make_prompt())

        play(scenario, chat=1)
        output = explain(log)
        assert "chat-1" in output
        assert "began a stream" in output or "ended the connection" in output
        assert "broken_off" in output

    @pytest.mark.parametrize(
        ("fault", "cause"),
        [
            ("none", "it stopped the run, which went on at another runner"),
            ("no_room", "it was to leave its runner: noroom"),
            ("stop_unanswered", "it was to leave its runner: unanswered"),
        ],
    )
    def test_a_stream_that_was_to_leave_its_runner(self, log, fault, cause):
        """A runner shuts down while it streams a draft.

        The explanation states whether the draft was moved to another runner,
        and if not, why.
        """

        async def scenario(stack: Stack):
            for runner in stack.runners.values():
                runner.pause, runner.events = 0.05, 60
                runner.move_fault = fault
            request_task = asyncio.create_task(
                ask(stack, "/reply/1", headers=make_prompt())
            )
            runners = stack.runners.values()
            await wait_until(lambda: any(r.runs for r in runners))
            busy = next(r for r in runners if r.runs)
            await stack.register(busy.id, state="draining", leaves_ms=500)
            await asyncio.sleep(1.0)
            await busy.close()
            await request_task

        play(scenario)
        assert cause in explain(log)

    def test_a_runner_that_could_not_be_reached(self, log):
        async def scenario(stack: Stack):
            await stack.runners["desk-1"].close()
            await ask(stack, "/check/1")

        play(scenario, desk=1)
        assert "could not be connected to" in explain(log)

    def test_all_runners_had_left(self, log):
        async def scenario(stack: Stack):
            await stack.register("desk-1", state="draining")
            view = stack.gateways[0].view
            await wait_until(lambda: not view.find_runners("desk"))
            await ask(stack, "/check/1")

        play(scenario, desk=1)
        output = explain(log)
        assert (
            "desk-1 of desk became known as leaving, from the store" in output
        )
        assert "no_runner" in output

    def test_a_workspace_over_its_quota(self, log):
        tenants = [
            {
                "name": "pottery",
                "api_keys": ["key-of-pottery"],
                "rate_per_s": 0.1,
                "burst": 1,
            }
        ]
        configuration = make_configuration(tenants=tenants)

        async def scenario(stack: Stack):
            for _ in range(20):
                await ask(stack, "/check/1")

        play(scenario, configuration=configuration)
        assert "the workspace was over its quota" in explain(log)

    def test_a_request_over_its_share_says_so(self, log, monkeypatch):
        """Guards against requests put behind without a trace in the log."""
        short = ServiceLoad(2.0, 1.0)
        monkeypatch.setattr(
            service_loads, "measure_load", lambda *inputs: short
        )
        setting = SchedulingSetting(Scheduling(shares=True), automatic=False)

        async def scenario(stack: Stack) -> None:
            daemon = stack.gateways[0]
            daemon._scheduling = setting
            shares = daemon._forwarder.admission.shares
            await wait_until(lambda: shares.is_short("desk"))
            for _ in range(20):
                await ask(stack, "/check/1")
            await wait_until(lambda: shares._levels["desk"] < 1.0)
            await ask(stack, "/check/1")

        play(scenario)
        assert "its workspace asked for more than its share" in explain(log)

    def test_a_key_that_was_taken_away(self, log):
        async def scenario(stack: Stack):
            tenants = [{"name": "pottery", "api_keys": ["another"]}]
            await stack.store.put(
                "op", "config", make_configuration(2, tenants=tenants)
            )
            view = stack.gateways[0].view
            await wait_until(lambda: view.version == 2)
            await ask(stack, "/check/1")

        play(scenario)
        output = explain(log)
        assert "a newer configuration came in force" in output
        assert "by configuration 2" in output
        assert "has the key" in output

    def test_a_route_that_was_dropped(self, log):
        routes = [make_route("book", "unsafe", "desk")]

        async def scenario(stack: Stack):
            await ask(stack, "/check/1")

        play(scenario, configuration=make_configuration(routes=routes))
        assert "no route of the configuration in force" in explain(log)

    def test_a_store_that_was_lost_before(self, log):
        async def scenario(stack: Stack):
            stack.store.outage = "reset"
            await stack.store.delete("servers", "none")
            follower = stack.gateways[0]._follower
            await wait_until(lambda: follower.lost)
            await ask(stack, "/check/1")

        play(scenario)
        assert "the store no longer answered this gateway" in explain(log)

    def test_a_caller_that_went_away(self, log):
        async def scenario(stack: Stack):
            stack.set_fault("hang")
            call = asyncio.create_task(ask(stack, "/check/1"))
            runners = stack.runners.values()
            await wait_until(
                lambda: any(runner.received for runner in runners)
            )
            call.cancel()
            await wait_until(
                lambda: any(runner.cancelled for runner in runners)
            )

        play(scenario)
        assert "the caller closed its connection" in explain(log)

    def test_an_id_that_no_log_names(self, log):
        play(lambda stack: ask(stack, "/check/1"))
        result = CliRunner().invoke(
            main, ["explain", "another", "--logs", str(log)]
        )
        assert result.exit_code == 7
        assert "no log names the request another" in result.output

    def test_a_line_that_was_cut_off(self, log):
        play(lambda stack: ask(stack, "/check/1"))
        with log.open("a") as file:
            file.write('{"message_type": "lagoonpost:forw')
        assert "answered" in explain(log)


class TestTimeline:
    def test_one_change_at_several_gateways_is_one_event(self, log):
        async def scenario(stack: Stack):
            await stack.store.put("op", "config", make_configuration(2))
            for daemon in stack.gateways:
                view = daemon.view
                await wait_until(lambda v=view: v.version == 2)
            stack.store.outage = "reset"
            await stack.store.delete("servers", "none")
            for daemon in stack.gateways:
                follower = daemon._follower
                await wait_until(lambda f=follower: f.lost)

        play(scenario, gateways=2)
        result = CliRunner().invoke(main, ["timeline", "--logs", str(log)])
        output = result.output
        assert output.count("configuration 2 in force") == 1
        assert "lost the store" in output
        assert output.index("started") < output.index("configuration 2")

    def test_an_entry_held_after_an_outage(self, log):
        async def scenario(stack: Stack):
            daemon = stack.gateways[0]
            stack.store.outage = "reset"
            await stack.store.delete("servers", "none")
            await wait_until(lambda: daemon._follower.endpoints.lost)
            await stack.store.delete("servers", "desk-1")
            stack.store.outage = "none"
            await wait_until(lambda: not daemon.view.is_known("desk-1"))
            return {table for table, _ in daemon._follower.list_ages()}

        assert play(scenario) == {"operator", "endpoints"}
        result = CliRunner().invoke(main, ["timeline", "--logs", str(log)])
        output = result.output
        held = "entry of runner desk-1 is gone; held, as it may have lapsed"
        assert output.index("regained the store (endpoints)") < output.index(
            held
        )
        assert output.index(held) < output.index("runner desk-1 gone")
        regained = find_line(log, "lagoonpost:store:regained")
        assert regained["age"] >= regained["call"] >= 0

    def test_a_log_without_changes(self, log):
        result = CliRunner().invoke(main, ["timeline", "--logs", str(log)])
        assert result.exit_code == 7
