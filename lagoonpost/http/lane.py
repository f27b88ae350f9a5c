"""Shares the loop's time for bodies that take long to decode.

Load pattern: many clients at once send bodies in very small chunks, which take
a hundred times the processor time of their bytes. While one is decoded nothing
else runs, so that leases and reports are late and ordinary requests wait. A
single such body within the limits is served.
"""

import asyncio
from collections.abc import Callable

LOOP_SHARE = 1 / 3
"""Share of the loop's time that all such bodies take together."""
MAX_MEMBERS = 4
"""Bodies that take turns. Each further one would make the others later than
their clients wait."""


class DecodingLane:
    """Lets a few bodies take turns, with pauses between the turns."""

    def __init__(self) -> None:
        self._members = 0
        self._lock = asyncio.Lock()

    def join(self) -> bool:
        """Take a place; return False if there is none."""
        if self._members >= MAX_MEMBERS:
            return False
        self._members += 1
        return True

    def leave(self) -> None:
        """Give up a place."""
        self._members -= 1

    async def run(self, decode: Callable[[], None]) -> None:
        """Run one turn and the pause after it."""
        loop = asyncio.get_running_loop()
        async with self._lock:
            begin = loop.time()
            try:
                decode()
            finally:
                took = loop.time() - begin
                await asyncio.sleep(took * (1 / LOOP_SHARE - 1))
