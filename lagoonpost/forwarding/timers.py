"""Sleeps aligned to common wake-up times, for periodic tasks."""

import asyncio
import math

WAKEUP_INTERVAL_SECONDS = 0.25
"""Interval between common wake-up times. A gateway has a dozen periodic tasks;
separate wake-ups for each of them would be most of the load of an idle
gateway."""


async def sleep_aligned(seconds: float) -> None:
    """Sleep until the common wake-up time nearest to the requested end.

    Args:
        seconds: Requested duration.
    """
    now = asyncio.get_running_loop().time()
    earliest = math.floor(now / WAKEUP_INTERVAL_SECONDS) + 1
    wakeup = max(earliest, round((now + seconds) / WAKEUP_INTERVAL_SECONDS))
    await _sleep_until(wakeup * WAKEUP_INTERVAL_SECONDS)


async def _sleep_until(when: float) -> None:
    loop = asyncio.get_running_loop()
    wakeup = loop.create_future()
    # Timers with equal times fire in the same iteration of the event loop.
    # asyncio.sleep() computes the time from a duration, so its timers differ.
    timer = loop.call_at(when, _wake, wakeup)
    try:
        await wakeup
    finally:
        timer.cancel()


def _wake(wakeup: asyncio.Future[None]) -> None:
    if not wakeup.done():
        wakeup.set_result(None)
