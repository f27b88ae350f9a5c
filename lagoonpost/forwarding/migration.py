"""Moves streams away from runners that are about to go."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

import eliot

from lagoonpost.forwarding.belief import Belief
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.platform.memory import RunMemory
from lagoonpost.systems.migration import (
    Candidate,
    choose_target,
    compute_migration_delay,
    is_worth_migrating,
)
from lagoonpost.systems.placement import Choice, Placement
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.saved_run import Copied, NoRoom, SavedRun

DEPARTURE_RETENTION_SECONDS = 30.0
"""How long it is remembered that a runner was about to go."""
MAX_TARGETS = 2
"""Runners that a run is offered to: a notice leaves no time for more."""
CLOSE_DELAY_SECONDS = 0.2
"""Time in which a stopped run's stream is closed by its runner; what is on the
way by then has come, and a connection gone silent must not hold the rest."""


class StreamRun:
    """One stream at one runner.

    Attributes:
        exchange: The request.
        choice: The runner, as it was chosen.
        target: Where the run goes on; None unless it was moved.
        saved: Its memory, once a copy was made.
    """

    def __init__(
        self, exchange: Exchange, choice: Choice, close: Callable[[], None]
    ) -> None:
        self.exchange = exchange
        self.choice = choice
        self.close = close
        self.target: Endpoint | None = None
        self.saved: SavedRun | None = None
        self.stopping = False
        self.task: asyncio.Task[None] | None = None


class Migrations:
    """The streams under way, and their moves.

    Args:
        belief: Runners.
        placement: How busy they are.
        memory: Runners' calls.
        take_repeat: Takes one repeat of a service's budget, if it has any.
        find_drain: Returns the seconds that a leaving runner goes on for, at
            least, where it does not say.
        rng: Source of random choices.
    """

    def __init__(
        self,
        belief: Belief,
        placement: Placement,
        memory: RunMemory,
        take_repeat: Callable[[str], bool],
        find_drain: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._belief = belief
        self._placement = placement
        self._memory = memory
        self._take_repeat = take_repeat
        self._find_drain = find_drain
        self._rng = rng
        self._runs: dict[str, set[StreamRun]] = {}
        self._gone: dict[str, float] = {}
        self._coming: Counter[str] = Counter()
        self._freeing: set[asyncio.Task[None]] = set()
        belief.on_leaving.append(self._note_leaving)

    def track_run(
        self, exchange: Exchange, choice: Choice, close: Callable[[], None]
    ) -> StreamRun:
        """Take a stream that has begun into account."""
        run = StreamRun(exchange, choice, close)
        runner = choice.endpoint.id
        self._runs.setdefault(runner, set()).add(run)
        if runner in self._gone and not self._has_come_back(runner):
            self._schedule(run)
        return run

    async def wait_for_move(self, run: StreamRun) -> bool:
        """Tell whether a stream that came to its end was moved.

        The answer to the call that stops the run may come after the end of
        the stream that it stops.
        """
        if run.task is not None and run.stopping:
            await asyncio.wait({run.task})
        return run.target is not None

    def end_run(self, run: StreamRun) -> None:
        """Forget a stream, and free what nobody goes on from."""
        runner = run.choice.endpoint.id
        runs = self._runs.get(runner, set())
        runs.discard(run)
        if not runs:
            self._runs.pop(runner, None)
        if run.task is not None:
            run.task.cancel()
        if run.saved is not None and run.target is None:
            task = asyncio.create_task(self._memory.free(run.saved))
            self._freeing.add(task)
            task.add_done_callback(self._freeing.discard)

    def _has_come_back(self, runner: str) -> bool:
        """Tell whether a runner that went serves again under its id.

        One that crashed is back after some seconds; its new streams would
        be moved away as soon as they begin.
        """
        entry = self._belief.entries.get(runner)
        if entry is None or entry.endpoint is None or entry.endpoint.leaving:
            return False
        del self._gone[runner]
        return True

    def _note_leaving(self, runner: str, seconds: float | None) -> None:
        now = asyncio.get_running_loop().time()
        left = self._find_drain() if seconds is None else seconds
        self._gone = {
            key: gone
            for key, gone in self._gone.items()
            if gone > now - DEPARTURE_RETENTION_SECONDS
        }
        self._gone[runner] = now + left
        for run in self._runs.get(runner, ()):
            self._schedule(run)

    def _schedule(self, run: StreamRun) -> None:
        exchange = run.exchange
        prompt = exchange.requirements.prompt
        if run.task is None and is_worth_migrating(
            exchange.idempotent, prompt
        ):
            run.task = asyncio.create_task(self._move(run))

    async def _move(self, run: StreamRun) -> None:
        loop = asyncio.get_running_loop()
        gone = self._gone[run.choice.endpoint.id]
        await asyncio.sleep(compute_migration_delay(gone, loop.time()))
        outcome = "no_target"
        for _ in range(MAX_TARGETS):
            target = self._choose(run)
            if target is None:
                break
            self._coming[target.id] += 1
            try:
                outcome = await self._move_to(run, target)
            finally:
                self._coming[target.id] -= 1
            if outcome != NoRoom.__name__.lower():
                break
        eliot.log_message(
            message_type="lagoonpost:forwarding:moved",
            request=run.exchange.arrival.id,
            source=run.choice.endpoint.id,
            target=run.target.id if run.target else "",
            left=round(gone - loop.time(), 3),
            outcome=outcome,
        )

    def _choose(self, run: StreamRun) -> Endpoint | None:
        now = asyncio.get_running_loop().time()
        places = []
        for each in self._belief.find_runners(
            run.exchange.requirements.service
        ):
            state = self._placement.state(each.id)
            running = state.requests + state.others.requests
            running += self._coming[each.id]
            places.append(Candidate(each, running, state.is_suspect(now)))
        return choose_target(places, run.choice.endpoint, self._rng)

    async def _move_to(self, run: StreamRun, target: Endpoint) -> str:
        """Copy while the run goes on, then stop it and copy the rest.

        The first copy may wait for others on the same links; the second has
        only what came meanwhile, so that the caller's pause is short.
        """
        source = run.choice.endpoint.address
        request_id = run.exchange.arrival.id
        first = await self._memory.copy(
            source, request_id, target.address, stop=False
        )
        if not isinstance(first, Copied):
            return type(first).__name__.lower()
        run.saved = first.saved
        if not self._take_repeat(run.exchange.requirements.service):
            return "no_budget"
        run.stopping = True
        last = await self._memory.copy(
            source, request_id, target.address, stop=True
        )
        if not isinstance(last, Copied):
            return type(last).__name__.lower()
        run.saved = last.saved
        run.target = target
        asyncio.get_running_loop().call_later(CLOSE_DELAY_SECONDS, run.close)
        return "moved"
