"""Circuit breaker for the store: fails calls fast during an outage.

Load pattern: a store outage under a steady stream of bookings. Without the
breaker, every booking waits for the store's timeout and then ends as
``unknown``, because a write that was sent may have taken effect. With it,
only the bookings in flight when the outage begins do so; later bookings are
refused at once as not run.

One failed call makes the store ``suspect``: a probe read follows and new
calls wait for its result, so a single lost reply causes no refusals. If the
probe fails as well, calls are refused until a later probe succeeds. A probe
has the same timeout as any other call, so a store that is slow but answers in
time is not marked as down. Probes run every ``PROBE_SECONDS``: at 320
gateways this is 640 reads a second, a third of the store's rated load, and a
gateway resumes at most that long after the store recovers.
"""

import asyncio
from typing import Literal

import eliot

from lagoonpost.store.store import Store, Unavailable

PROBE_SECONDS = 0.5
PROBE_KEY = "health"

State = Literal["up", "suspect", "down"]


class StoreHealth:
    """Health of the store as observed by one process.

    Attributes:
        state: ``up``, ``suspect`` after a failed call, or ``down`` after a
            failed probe.
    """

    def __init__(self, store: Store) -> None:
        self.state: State = "up"
        self._down_since = 0.0
        self._store = store
        self._probing: asyncio.Task[None] | None = None
        self._first_probe = asyncio.Event()

    async def check(self) -> bool:
        """Return whether to call the store; wait for a probe if suspect."""
        if self.state == "suspect":
            await self._first_probe.wait()
        return self.state == "up"

    def get_outage_seconds(self) -> float:
        """Return the duration of the current outage in seconds, or 0.0."""
        if self.state == "up":
            return 0.0
        return asyncio.get_running_loop().time() - self._down_since

    def report_failure(self) -> None:
        """Record a call without a response and start probing."""
        if self.state != "up":
            return
        self.state = "suspect"
        self._down_since = asyncio.get_running_loop().time()
        self._first_probe.clear()
        self._probing = asyncio.create_task(self._probe())

    def close(self) -> None:
        """Stop probing."""
        if self._probing is not None:
            self._probing.cancel()

    async def _probe(self) -> None:
        while not await self._is_reachable():
            self._set_state("down")
            await asyncio.sleep(PROBE_SECONDS)
        self._set_state("up")

    async def _is_reachable(self) -> bool:
        outcome = await self._store.read([PROBE_KEY])
        return not isinstance(outcome, Unavailable)

    def _set_state(self, state: State) -> None:
        if state != self.state:
            eliot.log_message(
                message_type="lagoonpost:platform:store_health", state=state
            )
        self.state = state
        self._first_probe.set()
