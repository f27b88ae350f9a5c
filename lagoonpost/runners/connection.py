"""Reads an answer from one connection and detects silence.

Load pattern: a runner may freeze, or a middlebox may silently drop a
connection, in the middle of an answer. Without a check the caller would wait
until the deadline. The limit follows the mean gap between tokens.
"""

import asyncio
from collections.abc import Awaitable, Callable

from lagoonpost.http.client import (
    CallFailedError,
    EndlessAnswerError,
    Stream,
)
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

# A runner whose response head to a probe takes longer is frozen: a live one
# sends the head at once, and a round trip within a region takes milliseconds.
# For a new request, the limit is that of a first token instead: the heads of
# 200 requests sent at once to a runner short of CPU took more than 1.5 s, and
# moving all of them spreads the overload to the next runner.
PROBE_TIMEOUT_SECONDS = 1.5
# Weight of the newest gap in the moving average.
NEWEST_GAP_WEIGHT = 0.125
# Events queued for a slow caller before reading pauses, so that TCP flow
# control slows the runner down.
MAX_QUEUED_EVENTS = 256

_BUSY_STATUSES = frozenset({404, 409, 429, 503})


class AnswerConnection:
    """Reads one connection and queues its events until it is closed.

    Attributes:
        task: Task that reads; ends with the connection.
        mean_gap: Moving average of the seconds between reads with tokens.
    """

    def __init__(
        self,
        opening: Awaitable[Stream | Refusal],
        attempt: int,
        queue_event: Callable[[Event], int],
        previous: "AnswerConnection | None",
    ) -> None:
        """Start to read.

        Args:
            opening: Opens the connection.
            attempt: Attempt number of the events.
            queue_event: Queues an event and returns the queue's length.
            previous: Connection that the probe replaces, or None for the
                first connection of an attempt.
        """
        self._attempt = attempt
        self._queue_event = queue_event
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
        """Close the connection; no more events are queued."""
        self.task.cancel()

    def resume(self) -> None:
        """Resume reading after the queued events were processed."""
        self._drained.set()

    def estimate_end(self, limit: int, have: int) -> float:
        """Return the loop time at which an answer ends at the current rate.

        Args:
            limit: Maximum number of tokens of the answer.
            have: Number of tokens received.
        """
        if self._token_count < 2:
            return float("inf")
        now = self._loop.time()
        gap = (now - self._first_at) / self._token_count
        return now + gap * max(0, limit - have)

    async def _run(self, opening: Awaitable[Stream | Refusal]) -> None:
        attempt = self._attempt
        timeout = (
            PROBE_TIMEOUT_SECONDS
            if self._probing
            else FIRST_TOKEN_SILENCE_SECONDS
        )
        try:
            async with asyncio.timeout(timeout):
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
            except EndlessAnswerError:
                # Reading it again would bring the same bytes.
                self._queue_event(AttemptFailed(attempt, "failed", "ran"))
                return
            except CallFailedError:
                pass
            finally:
                if self._timer is not None:
                    self._timer.cancel()
        # Ignored by the relay if the answer is complete.
        self._queue_event(Interrupted(attempt, self._silent))

    async def _read(self, stream: Stream) -> None:
        reader = EventReader()
        self._silent_since = self._loop.time()
        async for data in stream.parts():
            events = reader.feed(data)
            if not events:
                # Comment lines (keep-alives) are not progress: they must not
                # mask a frozen answer.
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
        """Close the connection if it is silent, else reschedule the check.

        One timer per connection checks the time of the last token, because
        a timeout around each read would cost more than the read.
        """
        now = self._loop.time()
        since = now if self._silent_since is None else self._silent_since
        left = since + self._silence_limit() - now
        if left > 0:
            # The limit falls from seconds to the minimum with the first
            # token, so a timer set for the old limit would fire too late.
            left = min(left, MIN_SILENCE_SECONDS)
            self._timer = self._loop.call_later(
                left, self._check_silence, stream
            )
            return
        self._silent = True
        # The reading task sees the end of file and queues the interruption.
        stream.close()

    def _classify_refusal(self, refusal: Refusal) -> Event:
        attempt = self._attempt
        execution: Execution = "unknown"
        if refusal.execution == "not_run":
            execution = "not_run"
        if self._probing:
            # The runner is alive but has lost the answer, as after a restart.
            return AttemptFailed(attempt, "lost", "unknown")
        if 400 <= refusal.status < 500 and refusal.status not in (
            _BUSY_STATUSES
        ):
            return Rejected(attempt, refusal.status)
        kind: FailureKind = "failed"
        if refusal.status in _BUSY_STATUSES:
            kind = "refused"
        return AttemptFailed(attempt, kind, execution)
