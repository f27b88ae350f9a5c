"""Reads one connection of an answer and watches it for silence."""

import asyncio
from collections.abc import Awaitable, Callable

from lagoonpost.http.client import CallFailedError, Stream
from lagoonpost.runners.engine import Refusal
from lagoonpost.runners.sse import Closing, EventReader, Tokens
from lagoonpost.systems.relay import (
    FIRST_TOKEN_SILENCE_SECONDS,
    MIN_SILENCE_SECONDS,
    silence_limit,
)
from lagoonpost.systems.relay_event import (
    Arrived,
    AttemptFailed,
    Closed,
    Event,
    Execution,
    FailureKind,
    Interrupted,
    Opened,
    Rejected,
)

# A probe's head that takes longer comes from a frozen process: a live one
# sends it at once, and one region takes milliseconds. A new request's head
# waits as long as a first token: 200 requests sent at once to a runner short
# of processor time took more than 1.5 s, and moving them all spreads the
# overload to the next runner.
PROBE_TIMEOUT_SECONDS = 1.5
# Weight of the newest gap in the mean.
NEWEST_GAP_WEIGHT = 0.125
# Events read ahead of a caller who reads slowly; then reading pauses, and
# TCP makes the runner wait.
MAX_QUEUED_EVENTS = 256

_BUSY_STATUSES = frozenset({404, 409, 429, 503})


class AnswerConnection:
    """One connection; its events go to ``post`` until it is closed.

    Attributes:
        task: Reads; ends by itself with the connection.
        mean_gap: Mean seconds between reads that brought tokens.
    """

    def __init__(
        self,
        opening: Awaitable[Stream | Refusal],
        attempt: int,
        post: Callable[[Event], int],
        previous: "Reading | None",
    ) -> None:
        """Start to read.

        Args:
            opening: Gives the connection.
            attempt: Number that its events carry.
            post: Takes an event and returns how many now wait.
            previous: The connection that this one probes for, or None if
                the attempt begins.
        """
        self._attempt = attempt
        self._queue_event = post
        self._probing = previous is not None
        self.mean_gap: float = previous.mean_gap if previous else 0.0
        self._token_count: int = previous._token_count if previous else 0
        self._first_at: float = previous._first_at if previous else 0.0
        self._loop = asyncio.get_running_loop()
        self._silent_since: float | None = None
        self._silent = False
        self._timer: asyncio.TimerHandle | None = None
        self._drained = asyncio.Event()
        self.task = asyncio.create_task(self._run(opening))

    def close(self) -> None:
        """Close the connection; no more events are posted."""
        self.task.cancel()

    def resume(self) -> None:
        """Say that waiting events were taken."""
        self._drained.set()

    def estimate_end(self, limit: int, have: int) -> float:
        """Return when an answer of ``limit`` tokens ends at this rate."""
        if self._token_count < 2:
            return float("inf")
        now = self._loop.time()
        gap = (now - self._first_at) / self._token_count
        return now + gap * max(0, limit - have)

    async def _run(self, opening: Awaitable[Stream | Refusal]) -> None:
        attempt = self._attempt
        patience = (
            PROBE_TIMEOUT_SECONDS
            if self._probing
            else FIRST_TOKEN_SILENCE_SECONDS
        )
        try:
            async with asyncio.timeout(patience):
                answer = await opening
        except TimeoutError:
            self._queue_event(AttemptFailed(attempt, "lost", "unknown"))
            return
        except CallFailedError as error:
            execution: Execution = "unknown" if error.sent else "not_run"
            self._queue_event(AttemptFailed(attempt, "lost", execution))
            return
        if isinstance(answer, Refusal):
            self._queue_event(self._classify_refusal(answer))
            return
        self._queue_event(Opened(attempt))
        async with answer:
            self._start_silence_timer(answer)
            try:
                await self._read(answer)
            except CallFailedError:
                pass
            finally:
                if self._timer is not None:
                    self._timer.cancel()
        # After the whole answer this event finds the relay ended.
        self._queue_event(Interrupted(attempt, self._silent))

    async def _read(self, stream: Stream) -> None:
        reader = EventReader()
        self._silent_since = self._loop.time()
        async for data in stream.parts():
            events = reader.feed(data)
            if not events:
                # Comment lines keep a connection alive but say nothing of
                # the answer: a frozen one must not hide behind them.
                continue
            now = self._loop.time()
            waiting = 0
            for event in events:
                if isinstance(event, Tokens):
                    self._record_tokens(now, len(event.tokens))
                    waiting = self._queue_event(Arrived(self._attempt, *event))
                elif isinstance(event, Closing):
                    waiting = self._queue_event(Closed(self._attempt, *event))
                else:
                    self._queue_event(
                        AttemptFailed(self._attempt, "failed", "ran")
                    )
            self._silent_since = now
            if waiting > MAX_QUEUED_EVENTS:
                await self._wait_until_drained()

    async def _wait_until_drained(self) -> None:
        self._silent_since = None
        self._drained.clear()
        await self._drained.wait()
        self._silent_since = self._loop.time()

    def _record_tokens(self, now: float, tokens: int) -> None:
        if self._token_count and self._silent_since is not None:
            gap = now - self._silent_since
            self.mean_gap += NEWEST_GAP_WEIGHT * (gap - self.mean_gap)
        elif not self._token_count:
            self._first_at = now
        self._token_count += tokens

    def _start_silence_timer(self, stream: Stream) -> None:
        self._timer = self._loop.call_later(
            MIN_SILENCE_SECONDS, self._check_silence, stream
        )

    def _silence_limit(self) -> float:
        return silence_limit(
            self.mean_gap, self._token_count > 0, self._probing
        )

    def _check_silence(self, stream: Stream) -> None:
        """Close a silent connection, or look again when it could be one.

        One timer per connection which asks when the last token came, for a
        timeout around each read would cost more than the read.
        """
        now = self._loop.time()
        since = now if self._silent_since is None else self._silent_since
        left = since + self._silence_limit() - now
        if left > 0:
            # The limit falls from seconds to the floor with the first
            # token, so a timer set for the old limit would come too late.
            left = min(left, MIN_SILENCE_SECONDS)
            self._timer = self._loop.call_later(
                left, self._check_silence, stream
            )
            return
        self._silent = True
        # The reader wakes with an end of file and posts the interruption.
        stream.close()

    def _classify_refusal(self, refusal: Refusal) -> Event:
        attempt = self._attempt
        execution: Execution = "unknown"
        if refusal.execution == "not_run":
            execution = "not_run"
        if self._probing:
            # It runs but has lost the answer, as after a restart.
            return AttemptFailed(attempt, "lost", "unknown")
        if 400 <= refusal.status < 500 and refusal.status not in (
            _BUSY_STATUSES
        ):
            return Rejected(attempt, refusal.status)
        kind: FailureKind = "failed"
        if refusal.status in _BUSY_STATUSES:
            kind = "refused"
        return AttemptFailed(attempt, kind, execution)
