"""Tests of timeouts of processes that stand still."""

import asyncio
import time

import pytest
from forwarding_stack import Stack, play, wait_until
from test_limited_forwarding import press_gateways
from test_partition import cut_path

from lagoonpost.http.running_time import limit_running_time
from lagoonpost.peers.pending_replies import PendingReplies

TIMEOUT_SECONDS = 0.2
STILL_SECONDS = 0.6
"""Longer than the timeouts of connections and of answers between gateways."""


def stand_still() -> None:
    """Keep the loop of the calling task from running."""
    time.sleep(STILL_SECONDS)


class TestLimit:
    def test_what_came_while_it_stood_still_is_in_time(self):
        """Guards against peers that count as lost after a pause of one's own.

        What they sent needs some turns of the loop to be read.
        """

        async def wait() -> str:
            loop = asyncio.get_running_loop()
            async with limit_running_time(TIMEOUT_SECONDS):
                loop.call_soon(stand_still)
                for _ in range(20):
                    await asyncio.sleep(0)
            return "in time"

        assert asyncio.run(wait()) == "in time"

    def test_it_ends_a_wait_without_an_answer(self):
        async def wait() -> None:
            async with limit_running_time(TIMEOUT_SECONDS):
                await asyncio.Future()

        with pytest.raises(TimeoutError):
            asyncio.run(wait())

    def test_an_outer_timeout_ends_it(self):
        """Guards against waits beyond the deadline of a caller."""

        async def wait() -> None:
            async with (
                asyncio.timeout(TIMEOUT_SECONDS),
                limit_running_time(None),
            ):
                await asyncio.Future()

        with pytest.raises(TimeoutError):
            asyncio.run(wait())

    def test_a_reply_that_came_meanwhile_counts(self):
        """Guards against issuers that count as silent after such a pause."""

        async def wait() -> str | None:
            pending = PendingReplies[str](TIMEOUT_SECONDS)
            loop = asyncio.get_running_loop()

            def send() -> None:
                loop.call_soon(stand_still)
                # Two turns of the loop after the timer is due.
                loop.call_later(
                    TIMEOUT_SECONDS,
                    lambda: loop.call_soon(
                        lambda: loop.call_soon(pending.resolve, 1, "granted")
                    ),
                )

            return await pending.wait(1, send)

        assert asyncio.run(wait()) == "granted"


class TestForwarding:
    def test_a_partitioned_gateway_serves_on_after_pauses(self):
        """Guards against refusals because all tunnels seemed to fail."""

        async def story(stack: Stack) -> set[int]:
            await wait_until(
                lambda: all(
                    daemon._peer_key.current for daemon in stack.gateways
                )
            )
            cut_path(stack, stack.gateways[0], "refuse")
            answers = asyncio.create_task(press_gateways(stack, senders=20))
            while not answers.done():
                await asyncio.sleep(0.31)
                stand_still()
            return await answers

        assert play(story, gateways=3) == {200}
