"""Sleeps that end together, for small work that is done again and again."""

import asyncio
import math

WAKEUP_INTERVAL_SECONDS = 0.25
"""Pause between two wake-ups. A gateway has a dozen such works; each waking
it by itself took most of what an idle one takes."""


async def sleep_aligned(seconds: float) -> None:
    """Sleep to the common wake-up nearest to some seconds from now."""
    now = asyncio.get_running_loop().time()
    soonest = math.floor(now / WAKEUP_INTERVAL_SECONDS) + 1
    step = max(soonest, round((now + seconds) / WAKEUP_INTERVAL_SECONDS))
    await _sleep_until(step * WAKEUP_INTERVAL_SECONDS)


async def _sleep_until(when: float) -> None:
    loop = asyncio.get_running_loop()
    woken = loop.create_future()
    # Equal times end in one turn of the loop; a sleep by its length does not.
    timer = loop.call_at(when, _wake, woken)
    try:
        await woken
    finally:
        timer.cancel()


def _wake(woken: asyncio.Future[None]) -> None:
    if not woken.done():
        woken.set_result(None)
