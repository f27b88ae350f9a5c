"""Answers of the stand-in engine and the batching loop."""

import asyncio
import heapq
from collections.abc import Callable
from typing import NamedTuple

from lagoonpost_standins.engine_fault import Counts, Faults
from lagoonpost_standins.engine_model import (
    PrefixCache,
    find_default_length,
    hash_blocks,
    hash_messages,
    make_token,
    split_prompt,
)

MIN_STEP_SECONDS = 0.004
MAX_STEP_SECONDS = 0.02
# After SIGCONT, the process does not generate the tokens of its pause.
MAX_ELAPSED_SECONDS = 0.1


class EngineOptions(NamedTuple):
    """Behavior of the stand-in engine without faults.

    Attributes:
        token_rate: Tokens per second generated for each running answer.
        prefill_rate: Tokens per second prefilled, shared by all answers.
        slots: Maximum number of answers that run concurrently.
        cache_tokens: Capacity of the prefix cache in tokens.
        kv_bytes: Bytes of exported KV cache per token.
        export_rate: Bytes per second of an export; 0 for no limit.
        keep_seconds: Time to keep an answer that has no connection.
        report_seconds: Maximum age of the load report.
        checks_fence: Whether to reject orders with an old fencing token.
        load_seconds: Time to load a version.
        versions: Versions loaded at the start; empty to serve any.
    """

    token_rate: float = 50.0
    prefill_rate: float = 5000.0
    slots: int = 8
    cache_tokens: int = 65536
    kv_bytes: int = 256
    export_rate: float = 0.0
    keep_seconds: float = 30.0
    report_seconds: float = 0.2
    checks_fence: bool = True
    load_seconds: float = 0.0
    versions: tuple[str, ...] = ()


class Answer:
    """One answer: its tokens and events so far, and its readers.

    Attributes:
        length: Number of tokens of the whole answer.
        resumed_tokens: Number of tokens that the request brought along.
        events: Encoded server-sent events, one per token and one at the end.
        prefill_left: Prompt tokens still to prefill.
        token_credit: Fraction of a token carried over to the next step.
        readers: Number of open connections.
        attempts: Attempts that opened a connection, oldest first.
        unread_since: Loop time at which the last connection closed.
        new_events: Set when events are added, then replaced.
    """

    def __init__(self, request_id: str, body: dict[str, object]) -> None:
        messages = body.get("messages")
        earlier = body.get("continue_tokens")
        limit = body.get("max_tokens")
        self.id = request_id
        self.body = body
        messages = messages if isinstance(messages, list) else []
        self.seed = hash_messages(messages)
        self.prompt = split_prompt(messages)
        natural = find_default_length(self.seed)
        self.length = limit if isinstance(limit, int) else natural
        self.finish_reason = "length" if isinstance(limit, int) else "stop"
        self.version = str(body.get("version", ""))
        self.tokens = list(earlier) if isinstance(earlier, list) else []
        self.resumed_tokens = len(self.tokens)
        self.events = [
            _encode_token(n + 1, token) for n, token in enumerate(self.tokens)
        ]
        self.prefill_left = 0.0
        self.prefilled = 0
        self.token_credit = 0.0
        self.ended = False
        self.failed = False
        self.readers = 0
        self.attempts: list[str] = []
        self.unread_since = 0.0
        self.new_events = asyncio.Event()

    def record_attempt(self, attempt: str) -> None:
        """Add an attempt; one already known keeps its position."""
        if attempt not in self.attempts:
            self.attempts.append(attempt)

    def can_be_canceled_by(self, attempt: str) -> bool:
        """Return whether this attempt is the newest, or is not named."""
        return not attempt or attempt == self.attempts[-1]

    def has_valid_prefix(self) -> bool:
        """Return whether the tokens so far are a prefix of this answer."""
        return all(
            token == make_token(self.seed, n + 1)
            for n, token in enumerate(self.tokens)
        )

    def all_tokens(self) -> list[str]:
        """Return the tokens of the prompt and of the answer so far."""
        return self.prompt + [token.strip() for token in self.tokens]

    def notify_readers(self) -> None:
        """Wake the connections that wait for new events."""
        self.new_events.set()
        self.new_events = asyncio.Event()

    def generate(self, most: int) -> int:
        """Generate up to ``most`` tokens; return the number generated."""
        count = min(most, self.length - len(self.tokens))
        for _ in range(count):
            n = len(self.tokens) + 1
            token = make_token(self.seed, n)
            self.tokens.append(token)
            self.events.append(_encode_token(n, token))
        if len(self.tokens) >= self.length and not self.ended:
            self.ended = True
            self.events.append(self._encode_end())
        return count

    def fail(self) -> None:
        """End with an error event."""
        self.ended = True
        self.failed = True
        self.events.append(b'data: {"error":{"message":"failed"}}\n\n')
        self.notify_readers()

    def _encode_end(self) -> bytes:
        return (
            b'data: {"object":"chat.completion.chunk","choices":[{"index":0,'
            b'"delta":{},"finish_reason":"%b"}],"usage":{"prompt_tokens":%d,'
            b'"completion_tokens":%d,"prefilled_tokens":%d}}\n\n'
            b"data: [DONE]\n\n"
            % (
                self.finish_reason.encode(),
                len(self.prompt),
                len(self.tokens),
                self.prefilled,
            )
        )


def _encode_token(n: int, token: str) -> bytes:
    # The generated tokens contain no characters that JSON escapes.
    return (
        b'id: %d\ndata: {"object":"chat.completion.chunk","choices":[{"index"'
        b':0,"delta":{"content":"%b"},"finish_reason":null}]}\n\n'
        % (n, token.encode())
    )


class Batch:
    """Runs answers concurrently, as continuous batching does."""

    def __init__(
        self, options: EngineOptions, crash: Callable[[], None]
    ) -> None:
        self.options = options
        self.crash = crash
        self.faults = Faults()
        self.counts = Counts()
        self.cache = PrefixCache(options.cache_tokens)
        self.answers: dict[str, Answer] = {}
        self.running: list[Answer] = []
        self._waiting: list[tuple[int, int, Answer]] = []
        self._order = 0
        self._work = asyncio.Event()

    @property
    def waiting(self) -> int:
        """Number of answers that wait for a slot."""
        return len(self._waiting)

    def count_pending(self) -> int:
        """Return the number of tokens still to prefill or generate."""
        answers = [*self.running, *(entry[2] for entry in self._waiting)]
        return sum(
            int(answer.prefill_left) + answer.length - len(answer.tokens)
            for answer in answers
        )

    def submit(self, answer: Answer, priority: int) -> None:
        """Queue an answer; higher priorities start first."""
        self.cancel(answer.id)
        self.answers[answer.id] = answer
        answer.unread_since = _now()
        self._order += 1
        heapq.heappush(self._waiting, (-priority, self._order, answer))
        self._work.set()

    def find(self, request_id: str) -> Answer | None:
        """Return the answer with this id, or None if it was dropped."""
        self._drop_abandoned()
        return self.answers.get(request_id)

    def cancel(self, request_id: str) -> bool:
        """Drop an answer; return whether it existed."""
        answer = self.answers.pop(request_id, None)
        if answer is None:
            return False
        if answer in self.running:
            self.running.remove(answer)
        self._waiting = [
            entry for entry in self._waiting if entry[2] is not answer
        ]
        heapq.heapify(self._waiting)
        answer.ended = True
        answer.notify_readers()
        return True

    async def run(self) -> None:
        """Generate tokens until canceled."""
        step = 1.0 / self.options.token_rate
        step = min(max(step, MIN_STEP_SECONDS), MAX_STEP_SECONDS)
        last = _now()
        while True:
            self._drop_abandoned()
            if not self.running and not self._waiting:
                self._work.clear()
                await self._work.wait()
                last = _now()
            self._admit()
            await asyncio.sleep(step)
            elapsed = (
                min(_now() - last, MAX_ELAPSED_SECONDS) / self.faults.slow
            )
            last = _now()
            self._step(elapsed)

    def _admit(self) -> None:
        while self._waiting and len(self.running) < self.options.slots:
            answer = heapq.heappop(self._waiting)[2]
            self.running.append(answer)
            counts = self.counts
            counts.requests += 1
            counts.runs[answer.id] = counts.runs.get(answer.id, 0) + 1
            tokens = answer.all_tokens()
            cached = self.cache.count_cached(hash_blocks(tokens))
            answer.prefilled = len(tokens) - cached
            answer.prefill_left = float(answer.prefilled)
            counts.tokens_prefilled += answer.prefilled
            if answer.resumed_tokens:
                counts.tokens_recomputed += answer.prefilled
        for answer in self.running:
            most = self.counts.together.get(answer.id, 0)
            self.counts.together[answer.id] = max(most, len(self.running))

    def _step(self, elapsed: float) -> None:
        prefill = elapsed * self.options.prefill_rate
        for answer in tuple(self.running):
            if answer.prefill_left > 0:
                spent = min(prefill, answer.prefill_left)
                answer.prefill_left -= spent
                prefill -= spent
                if answer.prefill_left <= 0:
                    self.cache.store(hash_blocks(answer.all_tokens()))
                continue
            self._generate(answer, elapsed)
            if answer.ended:
                self.cache.store(hash_blocks(answer.all_tokens()))
                self.running.remove(answer)

    def _generate(self, answer: Answer, elapsed: float) -> None:
        faults = self.faults
        answer.token_credit += elapsed * self.options.token_rate
        count = int(answer.token_credit)
        answer.token_credit -= count
        done = len(answer.tokens)
        if self._triggers_crash(answer) and done + count >= faults.crash_after:
            self.crash()
            return
        if faults.freeze_after is not None:
            count = min(count, max(0, faults.freeze_after - done))
        failing = faults.fail_after is not None
        if faults.fail_after is not None:
            count = min(count, max(0, faults.fail_after - done))
        if count:
            self.counts.tokens_generated += answer.generate(count)
            answer.notify_readers()
        if failing and len(answer.tokens) == faults.fail_after:
            answer.fail()

    def _triggers_crash(self, answer: Answer) -> bool:
        marker = self.faults.crash_marker
        if marker is not None and marker in str(answer.body.get("messages")):
            return True
        version = self.faults.crash_version
        return version is not None and version == answer.version

    def _drop_abandoned(self) -> None:
        """Cancel answers that have had no reader for ``keep_seconds``."""
        oldest = _now() - self.options.keep_seconds
        for answer in tuple(self.answers.values()):
            if answer.readers == 0 and answer.unread_since < oldest:
                self.cancel(answer.id)


def _now() -> float:
    return asyncio.get_running_loop().time()
