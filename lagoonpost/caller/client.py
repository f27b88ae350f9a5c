"""Client that discovers entries, retries safely and resumes drafts.

An entry is the address of a gateway that accepts requests. A draft is a
streamed completion of a model.
"""

import asyncio
from collections.abc import AsyncIterator, Sequence
from typing import Any, NamedTuple
from urllib.parse import urlsplit

import msgspec

from lagoonpost.http.client import CallFailedError, Client, Stream
from lagoonpost.http.events import EventSizeError, ServerEvent, read_events
from lagoonpost.http.message import (
    Address,
    Headers,
    Response,
    parse_address,
)
from lagoonpost.tables.decoding import UNREADABLE

CALL_TIMEOUT_SECONDS = 40.0
ENTRIES_TIMEOUT_SECONDS = 2.0
STREAM_IDLE_TIMEOUT_SECONDS = 15.0
"""Longest silence of a stream; gateways send a comment every 5 s."""
MAX_ATTEMPTS = 12
INITIAL_BACKOFF_SECONDS = 0.2
SEE_OTHER_STATUS = 303
IN_PROGRESS = "in_progress"


class Token(NamedTuple):
    """One token of a draft."""

    text: str


class Resumed(NamedTuple):
    """The draft continues at another entry or on a new connection.

    Attributes:
        entry: Address at which it continues.
        offset: Number of tokens received before.
        cause: Why the previous connection ended.
    """

    entry: Address
    offset: int
    cause: str


class Finished(NamedTuple):
    """The draft is complete.

    Attributes:
        finish_reason: Why generation ended, as the gateway reports it.
        usage: Token counts by name.
    """

    finish_reason: str
    usage: dict[str, int]


class Problem(NamedTuple):
    """The call failed with a problem response.

    Attributes:
        status: HTTP status.
        execution: ``not_run``, ``unknown`` or ``ran``: whether the request
            was executed.
        detail: What happened.
        retry_after: Seconds after which a retry may succeed; None if no
            retry can.
        reason: Machine-readable reason; may be empty.
    """

    status: int
    execution: str
    detail: str
    retry_after: float | None = None
    reason: str = ""


DraftEvent = Token | Resumed | Finished | Problem


class _Chunk(msgspec.Struct):
    choices: list[dict[str, Any]] = []
    usage: dict[str, int] | None = None


class _Entry(msgspec.Struct):
    address: str


class _Entries(msgspec.Struct):
    entries: list[_Entry]
    ttl: float


class _Moved(msgspec.Struct):
    entry: str


class _Problem(msgspec.Struct):
    status: int = 502
    execution: str = "unknown"
    detail: str = "the response contains no problem details"
    retry_after: float | None = None
    reason: str = ""


class Caller:
    """Calls lagoonpost through any of its entries.

    Args:
        entries: Entries from which all others are discovered.
        key: Bearer key of the workspace.
    """

    def __init__(self, entries: Sequence[Address], key: str) -> None:
        self._seed_entries = list(entries)
        self._entries: list[Address] = []
        self._entries_expire_at = 0.0
        self._client = Client()
        self._headers: Headers = (
            ("authorization", f"Bearer {key}"),
            ("content-type", "application/json"),
        )

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    async def list_entries(self) -> list[Address]:
        """Return the entries in order of preference; refresh them if due."""
        now = asyncio.get_running_loop().time()
        if now < self._entries_expire_at:
            return self._entries
        for entry in [*self._entries, *self._seed_entries]:
            try:
                response = await self._client.call(
                    entry,
                    "GET",
                    "/v1/entries",
                    headers=self._headers,
                    timeout=ENTRIES_TIMEOUT_SECONDS,
                )
                entry_list = msgspec.json.decode(response.body, type=_Entries)
                entries = [
                    parse_address(entry.address)
                    for entry in entry_list.entries
                ]
            except (CallFailedError, *UNREADABLE):
                continue
            if entries:
                self._entries = entries
                self._entries_expire_at = now + entry_list.ttl
                return self._entries
        return self._seed_entries

    async def call(
        self, method: str, path: str, body: bytes = b"", key: str = ""
    ) -> Response | Problem:
        """Call and return a complete response, retrying where that is safe.

        Args:
            method: HTTP method.
            path: Path that starts with ``/v1``.
            body: Request body.
            key: Idempotency key; empty for idempotent calls.

        Returns:
            The response, or the last problem if no attempt succeeded.
        """
        headers = self._headers
        if key:
            headers = (*headers, ("idempotency-key", key))
        last_problem = Problem(503, "not_run", "no entry could be reached")
        target: Address | None = None
        for attempt in range(MAX_ATTEMPTS):
            entries = await self.list_entries()
            entry = target or entries[attempt % len(entries)]
            target = None
            try:
                response = await self._client.call(
                    entry,
                    method,
                    path,
                    body,
                    headers,
                    timeout=CALL_TIMEOUT_SECONDS,
                    fresh=bool(key),
                )
            except CallFailedError as error:
                execution = "unknown" if error.sent else "not_run"
                last_problem = Problem(502, execution, str(error))
                await self._back_off(attempt)
                continue
            if response.status == SEE_OTHER_STATUS:
                # The gateway is shutting down; another one holds the
                # response.
                location = response.header("location") or ""
                target, path = parse_location(location)
                method, body = "GET", b""
                continue
            if response.status < 400:
                return response
            last_problem = _read_problem(response.body)
            # A call that is still in progress can be sent again, because its
            # idempotency key prevents a second execution.
            retryable = (
                last_problem.execution == "not_run"
                or last_problem.reason == IN_PROGRESS
            )
            if not retryable or last_problem.retry_after is None:
                return last_problem
            await asyncio.sleep(last_problem.retry_after)
        return last_problem

    async def draft(self, body: dict[str, Any]) -> AsyncIterator[DraftEvent]:
        """Stream a draft and resume it when its connection breaks off.

        The client holds all state that resuming needs. The last event id and
        the tokens received so far let any gateway continue the draft, even if
        its runner is lost too.

        Args:
            body: Request body of the chat completion.

        Yields:
            Tokens and resumptions, then one ``Finished`` or ``Problem``.
        """
        draft = _Draft(body)
        target: Address | None = None
        for attempt in range(MAX_ATTEMPTS):
            entries = await self.list_entries()
            entry = target or entries[attempt % len(entries)]
            target = None
            offset = len(draft.tokens)
            cause = ""
            try:
                async for event in self._attempt(entry, draft):
                    if isinstance(event, Address):
                        target, cause = event, "moved"
                    else:
                        yield event
                        if isinstance(event, Finished | Problem):
                            return
            except (CallFailedError, EventSizeError, TimeoutError) as error:
                cause = str(error) or "silent"
            if draft.refused is not None:
                await asyncio.sleep(draft.refused.retry_after or 0)
                cause = draft.refused.reason
            if len(draft.tokens) == offset and target is None:
                self._entries_expire_at = 0.0
                await self._back_off(attempt)
            yield Resumed(target or entry, len(draft.tokens), cause)
        yield draft.refused or Problem(
            502, "unknown", "the draft could not be resumed"
        )

    async def _attempt(
        self, entry: Address, draft: "_Draft"
    ) -> AsyncIterator[DraftEvent | Address]:
        draft.refused = None
        async with asyncio.timeout(STREAM_IDLE_TIMEOUT_SECONDS) as silence:
            stream = await self._client.open(
                entry,
                "POST",
                "/v1/chat/completions",
                draft.encode(),
                (*self._headers, *draft.make_headers()),
                fresh=True,
            )
            async with stream:
                await stream.receive_head()
                if stream.status != 200:
                    problem = _read_problem((await stream.read()).body)
                    if draft.record_refusal(problem):
                        return
                    yield problem
                    return
                async for event in read_events(_iter_parts(stream, silence)):
                    result = draft.handle_event(event)
                    if result is not None:
                        yield result
                    if isinstance(result, Finished | Problem | Address):
                        return
        raise CallFailedError(
            "the stream ended before the draft was complete", sent=True
        )

    async def _back_off(self, attempt: int) -> None:
        await asyncio.sleep(min(2.0, INITIAL_BACKOFF_SECONDS * 2**attempt))


class _Draft:
    """The state of a draft that is needed to resume it.

    Attributes:
        tokens: Tokens received so far.
        refused: Refusal of the last attempt, if a retry may succeed.
    """

    def __init__(self, body: dict[str, Any]) -> None:
        self._body = body
        self._last_id = ""
        self.tokens: list[str] = []
        self.refused: Problem | None = None

    def encode(self) -> bytes:
        body = {**self._body, "stream": True}
        if self.tokens:
            body["continue_tokens"] = self.tokens
        return msgspec.json.encode(body)

    def make_headers(self) -> Headers:
        if not self._last_id:
            return ()
        return (("last-event-id", self._last_id),)

    def record_refusal(self, problem: Problem) -> bool:
        """Record a refusal that may be retried; return whether it may."""
        retryable = (
            problem.execution == "not_run" and problem.retry_after is not None
        )
        if retryable:
            self.refused = problem
        return retryable

    def handle_event(
        self, event: ServerEvent
    ) -> Token | Finished | Problem | Address | None:
        try:
            return self._read_event(event)
        except (*UNREADABLE, LookupError, TypeError) as error:
            # The draft is resumed, as after any other break.
            detail = f"event {event.id!r} can't be read: {error!r}"
            raise CallFailedError(detail, sent=True) from error

    def _read_event(
        self, event: ServerEvent
    ) -> Token | Finished | Problem | Address | None:
        if event.kind == "moved":
            moved = msgspec.json.decode(event.data, type=_Moved)
            return parse_address(moved.entry)
        if event.kind == "error":
            return _read_problem(event.data)
        if event.data == b"[DONE]":
            return None
        chunk = msgspec.json.decode(event.data, type=_Chunk)
        choice = chunk.choices[0]
        if choice.get("finish_reason"):
            return Finished(choice["finish_reason"], chunk.usage or {})
        text = choice["delta"].get("content", "")
        self._last_id = event.id
        self.tokens.append(text)
        return Token(text)


async def _iter_parts(
    stream: Stream, silence: asyncio.Timeout
) -> AsyncIterator[bytes]:
    """Yield the chunks of a stream and restart its timeout after each one."""
    loop = asyncio.get_running_loop()
    async for part in stream.parts():
        silence.reschedule(loop.time() + STREAM_IDLE_TIMEOUT_SECONDS)
        yield part


def _read_problem(body: bytes) -> Problem:
    try:
        problem = msgspec.json.decode(body, type=_Problem)
    except UNREADABLE:
        problem = _Problem()
    return Problem(
        problem.status,
        problem.execution,
        problem.detail,
        problem.retry_after,
        problem.reason,
    )


def parse_location(location: str) -> tuple[Address, str]:
    """Return the address and the request target of a ``location`` header."""
    url = urlsplit(location)
    return parse_address(url.netloc), f"{url.path}?{url.query}"
