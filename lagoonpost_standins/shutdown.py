"""Shutdown of the stand-ins on signals."""

import asyncio
import signal

GRACE_SECONDS = 1.0


async def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
