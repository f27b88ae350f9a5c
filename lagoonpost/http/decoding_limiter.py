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


STALL_SECONDS = 0.5
"""Time for which a body may wait for its client before another takes its
place."""


class DecodingLimiter:
    """Lets a few bodies take turns, with pauses between the turns."""

    def __init__(self) -> None:
        # Each body with the time since which it waits for its client, if so.
        self._bodies: dict[object, float | None] = {}
        self._lock = asyncio.Lock()

    def join(self, body: object, now: float) -> bool:
        """Take a place, or keep it, for bytes that have arrived.

        Args:
            body: Identifies the body.
            now: Current time in seconds.

        Returns:
            False if there is no place.
        """
        if body not in self._bodies and len(self._bodies) >= MAX_MEMBERS:
            stalled = [
                each
                for each, since in self._bodies.items()
                if since is not None and since < now - STALL_SECONDS
            ]
            if not stalled:
                return False
            self.leave(stalled[0])
        self._bodies[body] = None
        return True

    def wait(self, body: object, now: float) -> None:
        """Record that a body waits for its client."""
        if body in self._bodies:
            self._bodies[body] = now

    def leave(self, body: object) -> None:
        """Give up a place, if there is one."""
        self._bodies.pop(body, None)

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
