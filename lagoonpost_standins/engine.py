"""Stand-in model engine: HTTP, server-sent events, fault injection."""

import asyncio
import os
from collections.abc import Callable

from lagoonpost.http.message import Address
from lagoonpost.http.responder import Limits
from lagoonpost.http.server import Server
from lagoonpost_standins.engine_batch import EngineOptions
from lagoonpost_standins.engine_fault import Counts, Faults
from lagoonpost_standins.engine_routes import Routes
from lagoonpost_standins.engine_state import EngineState
from lagoonpost_standins.shutdown import GRACE_SECONDS, wait_for_stop

CRASH_STATUS = 70
LIMITS = Limits(body=64 * 1024 * 1024)


def _crash_process() -> None:
    # Skips all clean-up, as a real crash does.
    os._exit(CRASH_STATUS)


class EngineStandin:
    """A model engine that listens on one address.

    Args:
        name: Name that the engine reports.
        options: Behavior without faults.
        crash: Called by crash faults instead of ending the process.
    """

    def __init__(
        self,
        name: str,
        options: EngineOptions | None = None,
        crash: Callable[[], None] = _crash_process,
    ) -> None:
        self.name = name
        self.state = EngineState(name, options or EngineOptions(), crash)
        self._server = Server(Routes(self.state).handle, LIMITS)
        self._loop: asyncio.Task[None] | None = None

    @property
    def counts(self) -> Counts:
        """Counters of the engine's work so far."""
        return self.state.batch.counts

    def set_faults(self, faults: Faults) -> None:
        """Replace all injected faults."""
        self.state.set_faults(faults)

    async def start(self, listen: Address) -> Address:
        """Start to listen and generate; return the bound address."""
        self._loop = asyncio.create_task(self.state.batch.run())
        return await self._server.start(listen)

    async def close(self, grace: float = 0.0) -> None:
        """Stop; cut connections still open after ``grace`` seconds."""
        await self._server.close(grace)
        if self._loop is not None:
            self._loop.cancel()


async def serve_engine(
    listen: Address, name: str, options: EngineOptions | None = None
) -> None:
    """Serve a stand-in engine until SIGTERM or SIGINT."""
    engine = EngineStandin(name, options)
    address = await engine.start(listen)
    print(f"listening on {address}", flush=True)
    await wait_for_stop()
    await engine.close(GRACE_SECONDS)
