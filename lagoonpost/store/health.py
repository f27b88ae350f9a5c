"""Tells at once whether the store is worth a call.

Load: an outage of the store under a steady stream of bookings. Without this
each of them waits for the store's timeout and then ends as ``unknown``, since
a write that was sent may have taken effect. With it only those under way when
the outage begins do; all later ones are refused at once as not run.

One failed call makes the store suspect: a read follows, and calls wait for
it, so that one lost reply costs nobody a refusal. If the read fails as well,
calls are refused until a later read succeeds. A probe has as long as any
call, so that a store that is slow, but answers in time, is not given up.
Probes come every ``PROBE_SECONDS``: at 320 gateways that is 640 reads a
second, a third of what the store is rated for, and a gateway serves again at
most that long after the store does.
"""

import asyncio
from typing import Literal

import eliot

from lagoonpost.store.store import Store, Unavailable

PROBE_SECONDS = 0.5
PROBE_KEY = "health"

State = Literal["up", "suspect", "down"]


class StoreHealth:
    """State of the store as one process sees it.

    Attributes:
        state: ``up``, ``suspect`` after a failure, or ``down``.
    """

    def __init__(self, store: Store) -> None:
        self.state: State = "up"
        self._since = 0.0
        self._store = store
        self._probing: asyncio.Task[None] | None = None
        self._first_probe = asyncio.Event()

    async def check(self) -> bool:
        """Tell whether to call the store, after a probe if in doubt."""
        if self.state == "suspect":
            await self._first_probe.wait()
        return self.state == "up"

    def get_outage_seconds(self) -> float:
        """Return for how many seconds the store has not answered."""
        if self.state == "up":
            return 0.0
        return asyncio.get_running_loop().time() - self._since

    def report_failure(self) -> None:
        """Take note that a call got no answer."""
        if self.state != "up":
            return
        self.state = "suspect"
        self._since = asyncio.get_running_loop().time()
        self._first_probe.clear()
        self._probing = asyncio.create_task(self._probe())

    def close(self) -> None:
        """Stop probing."""
        if self._probing is not None:
            self._probing.cancel()

    async def _probe(self) -> None:
        while not await self._answers():
            self._enter("down")
            await asyncio.sleep(PROBE_SECONDS)
        self._enter("up")

    async def _answers(self) -> bool:
        outcome = await self._store.read([PROBE_KEY])
        return not isinstance(outcome, Unavailable)

    def _enter(self, state: State) -> None:
        if state != self.state:
            eliot.log_message(
                message_type="lagoonpost:platform:store_health", state=state
            )
        self.state = state
        self._first_probe.set()
