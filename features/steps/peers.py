"""Steps of the stories about members."""

import asyncio
import contextlib
import signal
from collections.abc import Coroutine
from typing import Any

from behave import given, then, when

from bench.gossip import Member, Plan, start_all, start_member

PLAN = Plan(seconds=0, burst=0, regions=1, channels=8, rings=3)
TRIES = 600
PAUSE = 0.1


class Cluster:
    """Member processes, and the loop that talks to them."""

    def __init__(self, size: int) -> None:
        self._loop = asyncio.new_event_loop()
        self._stack = contextlib.AsyncExitStack()
        self.members = self.run(start_all(size, PLAN, self._stack))
        self.away: set[int] = set()

    def run(self, task: Coroutine[Any, Any, Any]) -> Any:
        """Run until the task has ended."""
        return self._loop.run_until_complete(task)

    def close(self) -> None:
        """End all processes."""
        self.run(self._stack.aclose())
        self._loop.close()

    def restart(self, number: int) -> None:
        """Start a process with the name of one that was killed."""
        seeds = [
            self.members[other].address
            for other in range(len(self.members))
            if other not in self.away
        ]
        member: Member = self.run(start_member(number, seeds, PLAN))
        self._stack.push_async_callback(member.stop)
        self.members[number] = member
        self.away.discard(number)

    async def wait_until_all_hold(self, count: int) -> None:
        """Wait until each running member lists ``count`` of them."""
        running = set(range(len(self.members))) - self.away
        for _ in range(TRIES):
            reports = [await self.members[n].report() for n in running]
            if all(report["members"] == count for report in reports):
                return
            await asyncio.sleep(PAUSE)
        raise AssertionError(f"not all came to hold {count} members")

    async def wait_until_running_know(self, key: str) -> None:
        """Wait until each running member has a fact."""
        running = set(range(len(self.members))) - self.away
        for _ in range(TRIES):
            reports = [await self.members[n].report() for n in running]
            if all(key in report["known"] for report in reports):
                return
            await asyncio.sleep(PAUSE)
        raise AssertionError(f"not all came to know {key}")

    async def check_current(self, number: int, key: str) -> None:
        """Check that the member is current only with the fact."""
        for _ in range(TRIES):
            report = await self.members[number].report()
            if report["current"]:
                assert key in report["known"]
                return
            await asyncio.sleep(PAUSE)
        raise AssertionError("the member did not become current")


@given("{size:d} members of one region")
def start_cluster(context: Any, size: int) -> None:
    context.cluster = Cluster(size)
    context.add_cleanup(context.cluster.close)


@when("member {number:d} is frozen")
def freeze(context: Any, number: int) -> None:
    context.cluster.members[number].usage.send_signal(signal.SIGSTOP)
    context.cluster.away.add(number)


@when("member {number:d} goes on")
def thaw(context: Any, number: int) -> None:
    context.cluster.members[number].usage.send_signal(signal.SIGCONT)
    context.cluster.away.discard(number)


@when("member {number:d} is killed")
def kill(context: Any, number: int) -> None:
    context.cluster.members[number].usage.kill()
    context.cluster.away.add(number)


@when("member {number:d} is started again")
def restart(context: Any, number: int) -> None:
    context.cluster.restart(number)


@when('member {number:d} publishes "{key}"')
def publish(context: Any, number: int, key: str) -> None:
    # A story goes on once its step has happened: a busy member may take the
    # line only after the next step, and what nobody knows yet can't be
    # missed by one that thaws.
    context.cluster.members[number].send_command(f"publish {key}")
    context.cluster.run(context.cluster.wait_until_running_know(key))


@then("the others hold {count:d} members")
@then("all hold {count:d} members")
def check_members(context: Any, count: int) -> None:
    context.cluster.run(context.cluster.wait_until_all_hold(count))


@then('member {number:d} knows "{key}" once it is current')
def check_fact(context: Any, number: int, key: str) -> None:
    context.cluster.run(context.cluster.check_current(number, key))
