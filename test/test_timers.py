"""Tests for sleeps that end at common wake-up times."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from played_loop import play_time

from lagoonpost.forwarding.timers import WAKEUP_INTERVAL_SECONDS, sleep_aligned


async def measure(begin: float, seconds: float) -> float:
    """Return the duration of a sleep that starts at a given time."""
    await asyncio.sleep(begin)
    loop = asyncio.get_running_loop()
    started = loop.time()
    await sleep_aligned(seconds)
    return loop.time() - started


class TestAlignedSleep:
    @given(st.floats(0.0, 50.0), st.floats(0.0, 5.0))
    def test_a_sleep_is_about_as_long_as_asked_for(self, begin, seconds):
        took = play_time(measure(begin, seconds))
        assert took == pytest.approx(seconds, abs=WAKEUP_INTERVAL_SECONDS)
        assert took > 0

    def test_tasks_started_at_any_time_wake_together(self):
        """Guards against a separate wake-up for each periodic task.

        Without common wake-up times, an idle gateway wakes 78 times a second.
        """
        wakeup_times: set[float] = set()

        async def run_periodically(begin: float, seconds: float) -> None:
            await asyncio.sleep(begin)
            while True:
                await sleep_aligned(seconds)
                wakeup_times.add(asyncio.get_running_loop().time())

        async def scenario() -> None:
            timings = [(0.01, 0.25), (0.1, 0.5), (0.17, 1.0), (0.2, 0.1)]
            tasks = [
                asyncio.create_task(run_periodically(*timing))
                for timing in timings
            ]
            await asyncio.sleep(10.0)
            for task in tasks:
                task.cancel()

        play_time(scenario())
        assert len(wakeup_times) <= 10 / WAKEUP_INTERVAL_SECONDS

    def test_a_cancelled_sleep_leaves_no_timer(self):
        async def scenario() -> int:
            task = asyncio.create_task(sleep_aligned(1.0))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.sleep(2.0)
            return task.cancelled()

        assert play_time(scenario())
