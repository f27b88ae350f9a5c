"""Tests that what stacks of different processes use stays apart."""

import asyncio
import socket

import pytest
from forwarding_stack import Stack, play

from lagoonpost_standins.runner import RunnerStandin


def take(port: int) -> None:
    """Listen on a port, as another process would."""
    with socket.socket() as other:
        other.bind(("127.0.0.1", port))


class TestRunners:
    def test_the_port_of_one_that_has_stopped_is_kept(self):
        """Guards against requests that reach the runners of other tests."""

        async def scenario(stack: Stack) -> int:
            runner = stack.runners["desk-1"]
            await runner.close()
            with pytest.raises(OSError, match="in use"):
                take(runner.address.port)
            return runner.address.port

        take(play(scenario))

    def test_the_port_of_one_that_crashes_is_kept(self):
        """Guards against runners that can't listen again."""

        async def scenario() -> None:
            runner = RunnerStandin("desk-1")
            runner.down_seconds = 0.2
            await runner.start()
            runner.crash()
            await asyncio.sleep(0.1)
            with pytest.raises(OSError, match="in use"):
                take(runner.address.port)
            assert runner._crashing is not None
            await runner._crashing
            _, writer = await asyncio.open_connection(*runner.address)
            writer.close()
            await runner.close()
            runner.release()

        asyncio.run(scenario())
