"""Feeds events to the decision core and returns its actions to requests."""

import asyncio
from random import Random

import eliot

from lagoonpost.gateway.metrics import Metrics
from lagoonpost.systems.event import (
    Abandoned,
    Action,
    Arrived,
    AttemptFailed,
    Dispatch,
    Event,
    Refuse,
    Tick,
)
from lagoonpost.systems.gateway import decide
from lagoonpost.systems.gateway_tables import GatewayTables
from lagoonpost.tables.request import RequestRow

TICK_SECONDS = 0.05


class Dispatcher:
    """Calls ``decide`` for each event and keeps a future for each request.

    Args:
        name: Name of this gateway.
        rng: Random source for decisions.
        metrics: Counts placements and refusals.
    """

    def __init__(self, name: str, rng: Random, metrics: Metrics) -> None:
        self.tables = GatewayTables(name)
        self._rng = rng
        self._metrics = metrics
        self._waiting: dict[str, asyncio.Future[Dispatch | Refuse]] = {}
        self._ticker: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to send periodic ticks."""
        self._ticker = asyncio.create_task(self._tick())

    def close(self) -> None:
        """Stop sending ticks."""
        if self._ticker is not None:
            self._ticker.cancel()

    def notify(self, event: Event) -> None:
        """Pass an event to ``decide`` and carry out the actions it returns."""
        now = asyncio.get_running_loop().time()
        for action in decide(self.tables, event, now, self._rng):
            self._resolve(action)

    async def place(self, request: RequestRow) -> Dispatch | Refuse:
        """Return the placement of a new request; wait while it is queued."""
        return await self._ask(request.id, Arrived(request))

    async def replace(
        self, request_id: str, runner: str, kind: str
    ) -> Dispatch | Refuse:
        """Return a new placement of a request after a failed attempt."""
        event = AttemptFailed(request_id, runner, kind, retry=True)
        return await self._ask(request_id, event)

    async def _ask(self, request_id: str, event: Event) -> Dispatch | Refuse:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Dispatch | Refuse] = loop.create_future()
        self._waiting[request_id] = future
        try:
            self.notify(event)
            return await future
        except asyncio.CancelledError:
            self.notify(Abandoned(request_id))
            raise
        finally:
            self._waiting.pop(request_id, None)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.notify(Tick())

    def _resolve(self, action: Action) -> None:
        self._log(action)
        future = self._waiting.get(action.request_id)
        if future is not None and not future.done():
            future.set_result(action)

    def _log(self, action: Action) -> None:
        match action:
            case Dispatch(request_id, runner, version, reason, over):
                self._metrics.count("routed")
                eliot.log_message(
                    message_type="lagoonpost:gateway:routed",
                    request=request_id,
                    runner=runner,
                    version=version,
                    reason=reason,
                    over=over,
                )
            case Refuse(request_id, status, reason, retry_after):
                self._metrics.count(f"refused.{reason}")
                eliot.log_message(
                    message_type="lagoonpost:gateway:refused",
                    request=request_id,
                    status=status,
                    reason=reason,
                    retry_after=retry_after,
                )
