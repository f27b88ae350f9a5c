"""Timeouts that a process which stands still does not use up.

A host that is frozen or busy may stop a process for longer than a timeout.
What others sent meanwhile waits in its sockets, but its timers are due at
once: plain timeouts would take sound runners and gateways for lost, all of
them at the same moment.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

PARTS = 4
"""Parts of a timeout that pass one after the other, each by a timer of its
own. A pause of the process counts as one of them at the most."""


class _PartedTimer:
    """A timer that is made of several, one after the other.

    Args:
        seconds: Time after which it ends.
        on_end: Called when it has ended.
    """

    def __init__(self, seconds: float, on_end: Callable[[], None]) -> None:
        self._seconds = seconds / PARTS
        self._left = PARTS
        self._on_end = on_end
        self._start()

    def _start(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._seconds, self._end_part)

    def _end_part(self) -> None:
        self._left -= 1
        if self._left:
            self._start()
        else:
            self._on_end()

    def cancel(self) -> None:
        self._timer.cancel()


@asynccontextmanager
async def limit_running_time(seconds: float | None) -> AsyncIterator[None]:
    """Limit the time for which the body waits while this process runs.

    Args:
        seconds: The limit; None for none.

    Raises:
        TimeoutError: If the body does not end in time.
    """
    async with asyncio.timeout(None) as timeout:
        if seconds is None:
            yield
            return
        loop = asyncio.get_running_loop()
        timer = _PartedTimer(seconds, lambda: timeout.reschedule(loop.time()))
        try:
            yield
        finally:
            timer.cancel()
