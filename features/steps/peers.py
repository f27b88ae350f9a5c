"""Steps of the gossip scenarios."""

import asyncio
import contextlib
import signal
from collections.abc import Coroutine
from typing import Any

from behave import given, then, when

from bench.gossip import Member, Plan, start_all, start_member

PLAN = Plan(seconds=0, burst=0, regions=1, channels=8, rings=3)
POLLS = 600
POLL_SECONDS = 0.1


class Cluster:
    """Member processes and the event loop that drives them."""

    def __init__(self, size: int) -> None:
        self._loop = asyncio.new_event_loop()
        self._stack = contextlib.AsyncExitStack()
        self.members = self.run(start_all(size, PLAN, self._stack))
        self.stopped: set[int] = set()

    def run(self, task: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine to completion and return its result."""
        return self._loop.run_until_complete(task)

    def close(self) -> None:
        """Stop all processes and close the loop."""
        self.run(self._stack.aclose())
        self._loop.close()

    def restart(self, number: int) -> None:
        """Start a new process under the name of a killed member."""
        seeds = [
            self.members[other].address
            for other in range(len(self.members))
            if other not in self.stopped
        ]
        member: Member = self.run(start_member(number, seeds, PLAN))
        self._stack.push_async_callback(member.stop)
        self.members[number] = member
        self.stopped.discard(number)

    async def wait_until_all_list(self, count: int) -> None:
        """Wait until each running member lists ``count`` members."""
        running = set(range(len(self.members))) - self.stopped
        for _ in range(POLLS):
            reports = [await self.members[n].report() for n in running]
            if all(report["members"] == count for report in reports):
                return
            await asyncio.sleep(POLL_SECONDS)
        raise AssertionError(f"not every running member lists {count} members")

    async def wait_until_running_have(self, key: str) -> None:
        """Wait until each running member has received a fact."""
        running = set(range(len(self.members))) - self.stopped
        for _ in range(POLLS):
            reports = [await self.members[n].report() for n in running]
            if all(key in report["known"] for report in reports):
                return
            await asyncio.sleep(POLL_SECONDS)
        raise AssertionError(f"not every running member has {key}")

    async def check_current(self, number: int, key: str) -> None:
        """Check that a member has the fact once it reports as current."""
        for _ in range(POLLS):
            report = await self.members[number].report()
            if report["current"]:
                assert key in report["known"]
                return
            await asyncio.sleep(POLL_SECONDS)
        raise AssertionError("the member did not become current")


@given("{size:d} members of one region")
def start_cluster(context: Any, size: int) -> None:
    context.cluster = Cluster(size)
    context.add_cleanup(context.cluster.close)


@when("member {number:d} is frozen")
def freeze(context: Any, number: int) -> None:
    context.cluster.members[number].usage.send_signal(signal.SIGSTOP)
    context.cluster.stopped.add(number)


@when("member {number:d} resumes")
def thaw(context: Any, number: int) -> None:
    context.cluster.members[number].usage.send_signal(signal.SIGCONT)
    context.cluster.stopped.discard(number)


@when("member {number:d} is killed")
def kill(context: Any, number: int) -> None:
    context.cluster.members[number].usage.kill()
    context.cluster.stopped.add(number)


@when("member {number:d} is started again")
def restart(context: Any, number: int) -> None:
    context.cluster.restart(number)


@when('member {number:d} publishes "{key}"')
def publish(context: Any, number: int, key: str) -> None:
    # Wait until the fact has spread. A busy member may read the command only
    # after the next step, and a fact that no member has yet cannot be missed
    # by a member that resumes.
    context.cluster.members[number].send_command(f"publish {key}")
    context.cluster.run(context.cluster.wait_until_running_have(key))


@then("the others list {count:d} members")
@then("all list {count:d} members")
def check_members(context: Any, count: int) -> None:
    context.cluster.run(context.cluster.wait_until_all_list(count))


@then('member {number:d} has "{key}" once it is current')
def check_fact(context: Any, number: int, key: str) -> None:
    context.cluster.run(context.cluster.check_current(number, key))
