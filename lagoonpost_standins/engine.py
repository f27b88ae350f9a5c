"""A stand-in model engine: HTTP, server-sent events, faults on order."""

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
    # A crash runs no clean-up: that is what the product has to stand.
    os._exit(CRASH_STATUS)


class EngineStandin:
    """The stand-in engine; ``crash`` replaces the death of the process."""

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
        """What the engine did so far."""
        return self.state.batch.counts

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults in force."""
        self.state.set_faults(faults)

    async def start(self, listen: Address) -> Address:
        """Listen, generate, and return the bound address."""
        self._loop = asyncio.create_task(self.state.batch.run())
        return await self._server.start(listen)

    async def close(self, grace: float = 0.0) -> None:
        """Stop; connections that are open after ``grace`` s are cut."""
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
