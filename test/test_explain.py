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
from lagoonpost.http.client import CallFailedError

ID = "request-1"


@pytest.fixture
def log(tmp_path: Path) -> Iterator[Path]:
    """A file with all that one gateway logs."""
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
    # What the caller can't say, the log has to.
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
        async def story(stack: Stack):
            stack.set_fault(fault, "desk")
            await ask(stack, path, deadline=0.6)

        play(story)
        told = explain(log)
        for cause in causes:
            assert cause in told, told

    def test_a_stream_that_broke_off(self, log):
        async def story(stack: Stack):
            stack.runners["chat-1"].fault = "break_off"
            await ask(stack, "/draft/1", headers=make_prompt())

        play(story, chat=1)
        told = explain(log)
        assert "chat-1" in told
        assert "began a stream" in told or "ended the connection" in told
        assert "broken_off" in told

    @pytest.mark.parametrize(
        ("fault", "cause"),
        [
            ("none", "it stopped the run, which went on at another runner"),
            ("no_room", "it was to leave its runner: noroom"),
            ("stop_unanswered", "it was to leave its runner: unanswered"),
        ],
    )
    def test_a_stream_that_was_to_leave_its_runner(self, log, fault, cause):
        """A runner goes in the middle of a draft, with or without it.

        Whoever is asked why the draft broke off, or paused, finds whether
        it was moved and why not.
        """

        async def story(stack: Stack):
            for runner in stack.runners.values():
                runner.pause, runner.events = 0.05, 60
                runner.move_fault = fault
            asked = asyncio.create_task(
                ask(stack, "/reply/1", headers=make_prompt())
            )
            runners = stack.runners.values()
            await wait_until(lambda: any(r.runs for r in runners))
            busy = next(r for r in runners if r.runs)
            await stack.register(busy.id, state="draining", leaves_ms=500)
            await asyncio.sleep(1.0)
            await busy.close()
            await asked

        play(story)
        assert cause in explain(log)

    def test_a_runner_that_could_not_be_reached(self, log):
        async def story(stack: Stack):
            await stack.runners["desk-1"].close()
            await ask(stack, "/check/1")

        play(story, desk=1)
        assert "could not be connected to" in explain(log)

    def test_all_runners_had_left(self, log):
        async def story(stack: Stack):
            await stack.register("desk-1", state="draining")
            belief = stack.gateways[0].view
            await wait_until(lambda: not belief.find_runners("desk"))
            await ask(stack, "/check/1")

        play(story, desk=1)
        told = explain(log)
        assert "desk-1 of desk became known as leaving, from the store" in told
        assert "no_runner" in told

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

        async def story(stack: Stack):
            for _ in range(20):
                await ask(stack, "/check/1")

        play(story, configuration=configuration)
        assert "the workspace was over its quota" in explain(log)

    def test_a_key_that_was_taken_away(self, log):
        async def story(stack: Stack):
            tenants = [{"name": "pottery", "api_keys": ["another"]}]
            await stack.store.put(
                "op", "config", make_configuration(2, tenants=tenants)
            )
            belief = stack.gateways[0].view
            await wait_until(lambda: belief.version == 2)
            await ask(stack, "/check/1")

        play(story)
        told = explain(log)
        assert "a newer configuration came in force" in told
        assert "by configuration 2" in told
        assert "has the key" in told

    def test_a_route_that_was_dropped(self, log):
        routes = [make_route("book", "unsafe", "desk")]

        async def story(stack: Stack):
            await ask(stack, "/check/1")

        play(story, configuration=make_configuration(routes=routes))
        assert "no route of the configuration in force" in explain(log)

    def test_a_store_that_was_lost_before(self, log):
        async def story(stack: Stack):
            stack.store.outage = "reset"
            await stack.store.delete("servers", "none")
            follower = stack.gateways[0]._follower
            await wait_until(lambda: follower.lost)
            await ask(stack, "/check/1")

        play(story)
        assert "the store no longer answered this gateway" in explain(log)

    def test_a_caller_that_went_away(self, log):
        async def story(stack: Stack):
            stack.set_fault("hang")
            call = asyncio.create_task(ask(stack, "/check/1"))
            runners = stack.runners.values()
            await wait_until(lambda: any(each.seen for each in runners))
            call.cancel()
            await wait_until(lambda: any(each.cancelled for each in runners))

        play(story)
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
        async def story(stack: Stack):
            await stack.store.put("op", "config", make_configuration(2))
            for daemon in stack.gateways:
                belief = daemon.view
                await wait_until(lambda b=belief: b.version == 2)
            stack.store.outage = "reset"
            await stack.store.delete("servers", "none")
            for daemon in stack.gateways:
                follower = daemon._follower
                await wait_until(lambda f=follower: f.lost)

        play(story, gateways=2)
        result = CliRunner().invoke(main, ["timeline", "--logs", str(log)])
        told = result.output
        assert told.count("configuration 2 in force") == 1
        assert "lost the store" in told
        assert told.index("started") < told.index("configuration 2")

    def test_an_entry_held_after_an_outage(self, log):
        async def story(stack: Stack):
            daemon = stack.gateways[0]
            stack.store.outage = "reset"
            await stack.store.delete("servers", "none")
            await wait_until(lambda: daemon._follower.endpoints.lost)
            await stack.store.delete("servers", "desk-1")
            stack.store.outage = "none"
            await wait_until(lambda: not daemon.view.is_known("desk-1"))
            return {table for table, _ in daemon._follower.list_ages()}

        assert play(story) == {"operator", "endpoints"}
        result = CliRunner().invoke(main, ["timeline", "--logs", str(log)])
        told = result.output
        held = "entry of runner desk-1 is gone; held, as it may have lapsed"
        assert told.index("regained the store (endpoints)") < told.index(held)
        assert told.index(held) < told.index("runner desk-1 gone")
        regained = find_line(log, "lagoonpost:store:regained")
        assert regained["age"] >= regained["call"] >= 0

    def test_a_log_without_changes(self, log):
        result = CliRunner().invoke(main, ["timeline", "--logs", str(log)])
        assert result.exit_code == 7
