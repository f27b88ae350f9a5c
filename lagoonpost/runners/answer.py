"""Streams one answer by executing the actions of its relay.

The relay is a state machine without I/O; this module feeds it events from the
runners' connections and turns its actions into calls.
"""

import asyncio
import secrets
from collections import deque
from collections.abc import (
    AsyncGenerator,
    Awaitable,
    Callable,
    Coroutine,
    Mapping,
)
from typing import NamedTuple

from eliot import log_message

from lagoonpost.http.client import Client, Stream
from lagoonpost.http.message import Address, parse_address
from lagoonpost.runners.connection import AnswerConnection
from lagoonpost.runners.engine import (
    Refusal,
    cancel_answer,
    open_answer,
    resume_answer,
)
from lagoonpost.runners.kv import KvMover
from lagoonpost.systems import relay_event as ev
from lagoonpost.systems.evacuation import PendingTransfer
from lagoonpost.systems.event import Refuse
from lagoonpost.systems.relay import Phase, Relay, step
from lagoonpost.systems.relay_event import Execution, FailureKind
from lagoonpost.tables.entity import Runner
from lagoonpost.tables.token_usage import TokenUsage

# Time left to complete a move before the runner is reclaimed.
LEAVE_MARGIN_SECONDS = 0.5

PlacementCallback = Callable[[Runner, FailureKind], Awaitable[Runner | Refuse]]


class Generation(NamedTuple):
    """A request for a streamed answer.

    Attributes:
        request_id: Id of the request, also of the engine's stream.
        body: The caller's chat-completions request.
        tokens: Tokens already sent to the caller.
        priority: Higher is more urgent.
        deadline: Loop time at which the answer is abandoned, or None.
        prompt_tokens: Estimated tokens of the prompt.
    """

    request_id: str
    body: Mapping[str, object]
    tokens: tuple[str, ...] = ()
    priority: int = 0
    deadline: float | None = None
    prompt_tokens: int = 0


class Part(NamedTuple):
    """Consecutive tokens of an answer.

    Attributes:
        offset: Number of the answer's tokens before these.
        tokens: The tokens.
        runner: Name of the runner that generated them.
    """

    offset: int
    tokens: list[str]
    runner: str

    @property
    def text(self) -> str:
        """The tokens as one text."""
        return "".join(self.tokens)

    @property
    def end(self) -> int:
        """Number of the answer's tokens up to and including these."""
        return self.offset + len(self.tokens)


class Completed(NamedTuple):
    """The answer is complete."""

    finish_reason: str
    usage: TokenUsage


class Failed(NamedTuple):
    """The answer was abandoned.

    Attributes:
        execution: Whether the request ran.
        reason: Reason of the failure.
        retry_after: Seconds after which a retry may succeed, or None.
    """

    execution: Execution
    reason: str
    retry_after: float | None


Outcome = Part | Completed | Failed


class RelayedAnswer:
    """An answer in progress; supports a single iteration.

    Args:
        generation: Request to answer.
        runner: Runner on which the answer starts.
        place: Requests another runner from placement.
        client: HTTP client.
        mover: Moves KV caches between runners.
        attach: Whether the runner already generates the answer.
    """

    def __init__(
        self,
        generation: Generation,
        runner: Runner,
        place: PlacementCallback,
        client: Client,
        mover: KvMover,
        attach: bool = False,
    ) -> None:
        self._generation = generation
        self._place = place
        self._client = client
        self._mover = mover
        self._relay = Relay(list(generation.tokens))
        self._inbox: deque[ev.Event] = deque(
            [ev.Attached(runner) if attach else ev.Placed(runner)]
        )
        self._event_available: asyncio.Future[None] | None = None
        self._connection: AnswerConnection | None = None
        self._detached = False
        self._placing: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._cancels: dict[str, asyncio.Task[None]] = {}
        self._id = secrets.token_hex(6)
        self._attempt_ids: dict[str, str] = {}
        self._task_error: BaseException | None = None

    @property
    def runner(self) -> Runner | None:
        """Runner that currently generates the answer, or None."""
        return self._relay.runner

    @property
    def tokens(self) -> list[str]:
        """Tokens emitted so far; must not be modified."""
        return self._relay.tokens

    @property
    def reached(self) -> bool:
        """Whether the current attempt may have reached the runner."""
        return self._relay.reached

    def give_up(self, reason: str, retry_after: float | None) -> None:
        """Abandon the answer and cancel it at its runner."""
        self._queue_event(ev.Expired(reason, retry_after))

    def announce_reclaim(self, deadline: float) -> None:
        """Prepare to move, as the runner is reclaimed at ``deadline``.

        Args:
            deadline: Loop time at which the current runner is reclaimed.
        """
        relay = self._relay
        limit = self._generation.body.get("max_tokens")
        end = float("inf")
        if isinstance(limit, int) and self._connection is not None:
            end = self._connection.estimate_end(limit, len(relay.tokens))
        move_by = deadline - LEAVE_MARGIN_SECONDS
        self._queue_event(ev.Leaving(relay.attempt, move_by, end))

    def detach(self) -> None:
        """Keep the answer running when the iterator is closed.

        The caller continues to read it through another gateway.
        """
        self._detached = True

    def __aiter__(self) -> AsyncGenerator[Outcome, None]:
        """Return the only iterator over the outcomes."""
        return self.outcomes()

    async def outcomes(self) -> AsyncGenerator[Outcome, None]:
        """Yield parts as they arrive, then ``Completed`` or ``Failed``.

        Closing the iterator cancels the answer at its runner, unless
        ``detach`` was called.
        """
        loop = asyncio.get_running_loop()
        deadline = self._generation.deadline
        timer = None
        if deadline is not None:
            timer = loop.call_at(deadline, self._queue_event, ev.Expired())
        try:
            while self._relay.phase is not Phase.ENDED:
                event = await self._next_event()
                for action in step(self._relay, event):
                    outcome = self._execute(action)
                    if outcome is not None:
                        yield outcome
        finally:
            if timer is not None:
                timer.cancel()
            self._stop()

    def _queue_event(self, event: ev.Event) -> int:
        self._inbox.append(event)
        self._wake()
        return len(self._inbox)

    def _wake(self) -> None:
        if (
            self._event_available is not None
            and not self._event_available.done()
        ):
            self._event_available.set_result(None)

    async def _next_event(self) -> ev.Event:
        if not self._inbox and self._task_error is None:
            if self._connection is not None:
                self._connection.resume()
            self._event_available = asyncio.get_running_loop().create_future()
            await self._event_available
        if self._task_error is not None:
            raise self._task_error
        return self._inbox.popleft()

    def _execute(self, action: ev.Action) -> Outcome | None:
        match action:
            case ev.Emit(offset, tokens):
                assert self._relay.runner is not None
                return Part(offset, tokens, self._relay.runner.name)
            case ev.Finish(reason, usage):
                return Completed(reason, usage)
            case ev.Fail(execution, reason, retry_after):
                return Failed(execution, reason, retry_after)
            case ev.Open(attempt, runner):
                self._open(attempt, runner)
            case ev.Probe(attempt, runner, after):
                self._probe(attempt, runner, after)
            case ev.Place(failed, kind):
                self._request_placement(failed, kind)
            case ev.Cancel(runner):
                address = parse_address(runner.endpoint)
                name = self._generation.request_id
                reader = self._attempt_ids.get(runner.name, "")
                self._cancels[runner.name] = self._start(
                    _cancel(self._client, address, name, reader)
                )
            case ev.Export():
                self._start(self._export(action))
        return None

    def _open(self, attempt: int, runner: Runner) -> None:
        self._close_connection()
        opening = self._begin(runner, self._make_attempt_id(attempt, runner))
        self._connection = AnswerConnection(
            opening, attempt, self._queue_event, None
        )
        self._watch(self._connection.task)

    def _make_attempt_id(self, attempt: int, runner: Runner) -> str:
        name = f"{self._id}.{attempt}"
        self._attempt_ids[runner.name] = name
        return name

    async def _begin(self, runner: Runner, attempt: str) -> Stream | Refusal:
        cancel = self._cancels.get(runner.name)
        if cancel is not None:
            # An engine that identifies runs only by their request would
            # apply a late cancellation to the new run.
            await asyncio.wait([cancel])
        return await open_answer(
            self._client,
            parse_address(runner.endpoint),
            self._generation.request_id,
            self._generation.body,
            self._relay.tokens,
            self._generation.priority,
            runner.version,
            attempt,
        )

    def _probe(self, attempt: int, runner: Runner, after: int) -> None:
        self._log("probed", runner, "")
        previous = self._connection
        self._close_connection()
        opening = resume_answer(
            self._client,
            parse_address(runner.endpoint),
            self._generation.request_id,
            after,
            self._make_attempt_id(attempt, runner),
        )
        self._connection = AnswerConnection(
            opening, attempt, self._queue_event, previous
        )
        self._watch(self._connection.task)

    def _request_placement(self, failed: Runner, kind: FailureKind) -> None:
        if self._relay.phase is Phase.PLACING:
            self._close_connection()
        if self._placing is None:
            # Only one placement is requested at a time: if a runner dies
            # after its reclaim notice, the placement requested for the
            # notice is used.
            self._log("moved", failed, kind)
            self._placing = self._start(self._await_placement(failed, kind))

    async def _await_placement(
        self, failed: Runner, kind: FailureKind
    ) -> None:
        answer = await self._place(failed, kind)
        self._placing = None
        if isinstance(answer, Refuse):
            self._queue_event(ev.NotPlaced(answer.reason, answer.retry_after))
        else:
            self._queue_event(ev.Placed(answer))

    async def _export(self, action: ev.Export) -> None:
        relay = self._relay
        size = self._generation.prompt_tokens + len(relay.tokens)
        transfer = PendingTransfer(
            self._generation.request_id, size, action.deadline
        )
        moved = await self._mover.move(transfer, action.source, action.target)
        self._log("exported" if moved else "not_exported", action.source, "")
        self._queue_event(ev.Exported(action.attempt))

    def _start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        return self._watch(asyncio.create_task(work))

    def _watch(self, task: asyncio.Task[None]) -> asyncio.Task[None]:
        self._tasks.add(task)
        task.add_done_callback(self._reap)
        return task

    def _reap(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # Raised by the iterator. Otherwise a failed invariant in a task of
        # this answer would show only as an answer that never ends.
        self._task_error = task.exception()
        self._wake()

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _stop(self) -> None:
        self._close_connection()
        if self._placing is not None:
            self._placing.cancel()
        relay = self._relay
        if self._detached:
            return
        if relay.phase is not Phase.ENDED and relay.runner is not None:
            relay.phase = Phase.ENDED
            self._execute(ev.Cancel(relay.runner))

    def _log(self, what: str, runner: Runner, kind: str) -> None:
        log_message(
            message_type=f"lagoonpost:answer:{what}",
            request=self._generation.request_id,
            runner=runner.name,
            tokens=len(self._relay.tokens),
            kind=kind,
        )


async def _cancel(
    client: Client, address: Address, name: str, attempt: str
) -> None:
    await cancel_answer(client, address, name, attempt)


def relay_answer(
    generation: Generation,
    runner: Runner,
    place: PlacementCallback,
    client: Client,
    mover: KvMover | None = None,
    *,
    attach: bool = False,
) -> RelayedAnswer:
    """Stream an answer from ``runner`` and, after failures, from others.

    Args:
        generation: Request to answer.
        runner: Runner on which the answer starts.
        place: Requests a runner other than the failed one from placement.
            For ``leaving`` it may be slow, as the answer continues
            meanwhile.
        client: HTTP client.
        mover: Moves KV caches. All answers of a process share one, so that
            answers of the same runner are exported one at a time.
        attach: Whether the runner already generates the answer; reading
            then continues after the tokens of ``generation``.

    Returns:
        The answer; iterate over it for ``Part`` and, last, ``Completed``
        or ``Failed``.
    """
    return RelayedAnswer(
        generation, runner, place, client, mover or KvMover(client), attach
    )
