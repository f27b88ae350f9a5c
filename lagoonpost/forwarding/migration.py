"""Live migration of streams away from runners that are shutting down.

When a runner's host is reclaimed, all of the runner's streams are in flight.
Without migration, a stream that may run only once is lost with its runner,
and any other one is started again at another runner.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable

import eliot

from lagoonpost.forwarding.attempt import Broken, Moved
from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.forwarding.permits import Permits
from lagoonpost.platform.kv_cache import (
    COPY_TIMEOUT_SECONDS,
    KvCacheClient,
)
from lagoonpost.systems.migration import (
    MIGRATION_LEAD_SECONDS,
    Candidate,
    choose_target,
    compute_migration_delay,
    is_worth_migrating,
)
from lagoonpost.systems.permit_issuer import Denied
from lagoonpost.systems.placement import Choice, Placement
from lagoonpost.systems.stop_order import read_stop_answer
from lagoonpost.tables.answer_end import StopState
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.kv_copy import (
    Copied,
    CopyOutcome,
    KvCopy,
    NoRoom,
    PartlyCopied,
    Unanswered,
    Unreached,
)

DEPARTURE_RETENTION_SECONDS = 30.0
"""How long a runner's departure is remembered."""
PERMIT_WAIT_SECONDS = 0.5
"""Longest wait until a moved run may be sent to its target: a part of the time
between the notice and the shutdown."""
ENTRY_WAIT_SECONDS = 0.3
"""How long to wait for the entry of a runner that says in an answer that it
leaves: most entries come as soon, and tell how much time is left."""
MAX_TARGETS = 2
"""Limit for the targets tried for one run. The time between the notice and
the shutdown does not suffice for more."""
STOP_TIMEOUT_SECONDS = 1.5
"""Longest wait for an answer to the order to stop a run, repetitions included:
callers leave a stream after a pause of two seconds or more."""
STOP_ORDERS = 3
"""Orders to stop one run. A runner that answers none of them at once is not
likely to answer the next, and the stream waits meanwhile."""
STOP_PAUSE_SECONDS = 0.1
"""Pause before a run's stop is ordered again."""
CLOSE_DELAY_SECONDS = 0.2
"""Time in which the runner closes the stream of a stopped run by itself. By
then the last events in flight have arrived, and the gateway closes the stream:
a dead connection must not delay the resumption."""


class StreamRun:
    """One stream in flight at one runner.

    Attributes:
        exchange: The request.
        choice: The runner.
        close: Closes the stream.
        target: Runner that the run's state was last copied to.
        saved: Saved state of the run at ``target``, while a copy is kept.
        charged: Whether the resumption of the run was charged.
        resumed: Whether the run goes on from its saved state.
        stop: What became of the order to stop the run, if there was one.
        reason: Why the move failed, as far as is known.
        task: Task that moves the run, if it has to be moved.
    """

    def __init__(
        self, exchange: Exchange, choice: Choice, close: Callable[[], None]
    ) -> None:
        self.exchange = exchange
        self.choice = choice
        self.close = close
        self.target: Endpoint | None = None
        self.saved: KvCopy | None = None
        self.charged = False
        self.resumed = False
        self.stop = StopState.NONE
        self.reason = ""
        self.task: asyncio.Task[None] | None = None


class Migrations:
    """Tracks streams in flight and moves them off departing runners.

    Args:
        view: Local view of the configuration and the runners.
        placement: Load of the runners.
        memory: Client for copying runs between runners.
        find_waits: Returns the seconds until a request may be sent to the
            runners of its service, given the longest wait.
        permits: Gets permits for runners that bear less than usual.
        acquire_retry: Takes one retry from a service's budget and returns
            whether one was left.
        may_send: Tells whether a request may be sent to a runner.
        charge: Charges one more run of a request that continues its answer;
            returns the seconds to wait if the quota has no room for it.
        refund: Returns the units of the last run, which has not begun.
        get_drain_seconds: Returns the least time for which a departing
            runner serves on, for runners that announce no time.
        rng: Source of random choices.
    """

    def __init__(
        self,
        view: ClusterState,
        placement: Placement,
        memory: KvCacheClient,
        find_waits: Callable[[Exchange, float], dict[Endpoint, float | None]],
        permits: Permits,
        acquire_retry: Callable[[str], Awaitable[bool]],
        may_send: Callable[[Exchange], bool],
        charge: Callable[[Exchange], Awaitable[float | None]],
        refund: Callable[[Exchange], None],
        get_drain_seconds: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._placement = placement
        self._memory = memory
        self._find_waits = find_waits
        self._permits = permits
        self._acquire_retry = acquire_retry
        self._may_send = may_send
        self._charge = charge
        self._refund = refund
        self._get_drain_seconds = get_drain_seconds
        self._rng = rng
        self._runs: dict[str, set[StreamRun]] = {}
        self._departures: dict[str, float] = {}
        self._incoming_counts: Counter[str] = Counter()
        self._cleanup_tasks: set[asyncio.Task[None]] = set()
        view.on_runner_leaving.append(self._note_leaving)
        view.on_notice.append(self._note_notice)

    def track_run(
        self, exchange: Exchange, choice: Choice, close: Callable[[], None]
    ) -> StreamRun:
        """Track a stream that has started, and move it if its runner departs.

        Args:
            exchange: The request.
            choice: The runner.
            close: Closes the stream.
        """
        run = StreamRun(exchange, choice, close)
        runner = choice.endpoint.id
        self._runs.setdefault(runner, set()).add(run)
        if runner in self._departures and not self._has_returned(runner):
            self._schedule(run)
        return run

    async def wait_for_stop(self, run: StreamRun) -> None:
        """Wait until it is known whether a stream that ended was stopped.

        The end of the stream may arrive before the answer to the call that
        stops the run.
        """
        if run.task is not None and run.stop is not StopState.NONE:
            await asyncio.wait({run.task})

    def resume(self, run: StreamRun) -> Moved | Broken:
        """Return where a run goes on that was stopped, or may have been."""
        if run.target is None or run.saved is None:
            return Broken("the run was ordered to stop")
        run.resumed = True
        return Moved(run.target, run.saved)

    def end_run(self, run: StreamRun) -> None:
        """Stop tracking a stream and free a copy that will not be resumed."""
        runner = run.choice.endpoint.id
        runs = self._runs.get(runner, set())
        runs.discard(run)
        if not runs:
            self._runs.pop(runner, None)
        if run.task is not None:
            run.task.cancel()
        if run.resumed:
            return
        if run.charged:
            self._refund(run.exchange)
        if run.saved is not None:
            task = asyncio.create_task(self._memory.free(run.saved))
            self._cleanup_tasks.add(task)
            task.add_done_callback(self._cleanup_tasks.discard)

    def _has_returned(self, runner: str) -> bool:
        """Return whether a departed runner serves again under the same id.

        A runner that crashed is back after some seconds. If it still counted
        as departing, its new streams would be moved as soon as they start.
        """
        entry = self._view.entries.get(runner)
        if entry is None or entry.endpoint is None or entry.endpoint.leaving:
            return False
        del self._departures[runner]
        return True

    def _note_leaving(self, runner: str, seconds: float | None) -> None:
        now = asyncio.get_running_loop().time()
        left = self._get_drain_seconds() if seconds is None else seconds
        self._departures = {
            departed: departure
            for departed, departure in self._departures.items()
            if departure > now - DEPARTURE_RETENTION_SECONDS
        }
        self._departures[runner] = now + left
        for run in self._runs.get(runner, ()):
            self._schedule(run)

    def _note_notice(self, runner: str) -> None:
        """Move a runner's streams soon, as it may have been leaving for long.

        If its entry comes meanwhile, it tells when.
        """
        if runner not in self._departures or self._has_returned(runner):
            wait = MIGRATION_LEAD_SECONDS + ENTRY_WAIT_SECONDS
            self._note_leaving(runner, wait)

    def _schedule(self, run: StreamRun) -> None:
        exchange = run.exchange
        prompt = exchange.requirements.prompt
        if run.task is None and is_worth_migrating(
            exchange.idempotent, prompt
        ):
            run.task = asyncio.create_task(self._move(run))

    async def _move(self, run: StreamRun) -> None:
        loop = asyncio.get_running_loop()
        departure = await self._wait_for_departure(run.choice.endpoint.id)
        outcome, target = "no_target", None
        for _ in range(MAX_TARGETS):
            target = self._choose_target(run)
            if target is None:
                break
            self._incoming_counts[target.id] += 1
            try:
                outcome = await self._move_to(run, target)
            finally:
                self._incoming_counts[target.id] -= 1
            # A run that may have been stopped has its state at this target.
            if (
                run.stop is StopState.UNKNOWN
                or outcome not in _WORTH_ANOTHER_TARGET
            ):
                break
        eliot.log_message(
            message_type="lagoonpost:forwarding:moved",
            request=run.exchange.arrival.id,
            source=run.choice.endpoint.id,
            target=target.id if target else "",
            left=round(departure - loop.time(), 3),
            outcome=outcome,
            reason=run.reason,
            stop=run.stop.value,
        )

    async def _wait_for_departure(self, runner: str) -> float:
        """Wait until a runner's streams are to be moved.

        Returns:
            Loop time at which the runner departs, as far as is known.
        """
        loop = asyncio.get_running_loop()
        while True:
            departure = self._departures.get(runner, loop.time())
            delay = compute_migration_delay(departure, loop.time())
            if not delay:
                return departure
            await asyncio.sleep(delay)

    def _choose_target(self, run: StreamRun) -> Endpoint | None:
        now = asyncio.get_running_loop().time()
        waits = self._find_waits(run.exchange, PERMIT_WAIT_SECONDS)
        shortest = min(
            (wait for wait in waits.values() if wait is not None), default=0.0
        )
        places = []
        for runner, wait in waits.items():
            if wait != shortest:
                continue
            state = self._placement.state(runner.id)
            running = state.requests + state.peer_work.requests
            running += self._incoming_counts[runner.id]
            is_lost = self._placement.reach.is_lost(runner.id, now)
            places.append(Candidate(runner, running, is_lost))
        return choose_target(places, run.choice.endpoint, self._rng)

    async def _move_to(self, run: StreamRun, target: Endpoint) -> str:
        """Copy the run's state while it runs, then stop it and copy the rest.

        The first copy may queue behind other copies on the same links. The
        second one transfers only what was added since, which keeps the pause
        in the caller's stream short.

        Without an answer it is unknown whether the run was stopped. It goes on
        from the first copy then, unless its stream ends by a length or chunks.

        Returns:
            The outcome for the log; "moved" on success.
        """
        source = run.choice.endpoint.address
        request_id = run.exchange.arrival.id
        first = await self._memory.copy(
            source, request_id, target.address, stop=False
        )
        if not isinstance(first, Copied):
            return _note_failure(run, first)
        run.saved, run.target = first.saved, target
        permit = await self._permits.acquire(target, PERMIT_WAIT_SECONDS)
        if isinstance(permit, Denied):
            run.saved = None
            await self._memory.free(first.saved)
            return "no_permit"
        await asyncio.sleep(permit.wait)
        if not await self._acquire_retry(run.exchange.requirements.service):
            return "no_budget"
        if not self._may_send(run.exchange):
            return "barred"
        if await self._charge(run.exchange) is not None:
            return "over_quota"
        run.charged = True
        if not self._view.may_send(target):
            self._drop_charge(run)
            await self._memory.free(first.saved)
            run.saved = None
            return "withheld"
        last = await self._stop(run, target)
        if isinstance(last, Copied | PartlyCopied):
            run.saved = last.saved
            loop = asyncio.get_running_loop()
            loop.call_later(CLOSE_DELAY_SECONDS, run.close)
            return "moved"
        if run.stop is not StopState.UNKNOWN:
            self._drop_charge(run)
        return _note_failure(run, last)

    async def _stop(self, run: StreamRun, target: Endpoint) -> CopyOutcome:
        """Order a run's stop until an answer tells what became of it."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + STOP_TIMEOUT_SECONDS
        known = run.stop
        for order in range(1, STOP_ORDERS + 1):
            run.stop = StopState.UNKNOWN
            answer = await self._memory.copy(
                run.choice.endpoint.address,
                run.exchange.arrival.id,
                target.address,
                stop=True,
                timeout=min(COPY_TIMEOUT_SECONDS, deadline - loop.time()),
            )
            known, again = read_stop_answer(known, answer)
            run.stop = known
            is_late = loop.time() + STOP_PAUSE_SECONDS >= deadline
            if not again or is_late or order == STOP_ORDERS:
                break
            await asyncio.sleep(STOP_PAUSE_SECONDS)
        return answer

    def _drop_charge(self, run: StreamRun) -> None:
        self._refund(run.exchange)
        run.charged = False


def _note_failure(run: StreamRun, answer: CopyOutcome) -> str:
    """Keep why a copy failed; return the outcome for the log."""
    if isinstance(answer, Unanswered | Unreached):
        run.reason = answer.detail
    return type(answer).__name__.lower()


_WORTH_ANOTHER_TARGET = frozenset(
    (NoRoom.__name__.lower(), "no_permit", "withheld")
)
"""Outcomes of a move that say nothing of other targets."""
