"""Sleeps that end together."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from played_loop import play_time

from lagoonpost.forwarding.timers import WAKEUP_INTERVAL_SECONDS, sleep_aligned


async def measure(begin: float, seconds: float) -> float:
    """Return how long a sleep takes that begins at a time."""
    await asyncio.sleep(begin)
    loop = asyncio.get_running_loop()
    started = loop.time()
    await sleep_aligned(seconds)
    return loop.time() - started


class TestStep:
    @given(st.floats(0.0, 50.0), st.floats(0.0, 5.0))
    def test_a_sleep_is_about_as_long_as_asked_for(self, begin, seconds):
        took = play_time(measure(begin, seconds))
        assert took == pytest.approx(seconds, abs=WAKEUP_INTERVAL_SECONDS)
        assert took > 0

    def test_works_of_any_begin_wake_together(self):
        """An idle gateway woke 78 times a second."""
        woken: set[float] = set()

        async def work(begin: float, seconds: float) -> None:
            await asyncio.sleep(begin)
            while True:
                await sleep_aligned(seconds)
                woken.add(asyncio.get_running_loop().time())

        async def story() -> None:
            works = [(0.01, 0.25), (0.1, 0.5), (0.17, 1.0), (0.2, 0.1)]
            tasks = [asyncio.create_task(work(*each)) for each in works]
            await asyncio.sleep(10.0)
            for task in tasks:
                task.cancel()

        play_time(story())
        assert len(woken) <= 10 / WAKEUP_INTERVAL_SECONDS

    def test_a_cancelled_sleep_leaves_no_timer(self):
        async def story() -> int:
            task = asyncio.create_task(sleep_aligned(1.0))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.sleep(2.0)
            return task.cancelled()

        assert play_time(story())
