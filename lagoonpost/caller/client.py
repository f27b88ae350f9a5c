"""A caller that keeps its entries, retries safely and resumes drafts."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from typing import Any, NamedTuple
from urllib.parse import urlsplit

import msgspec

from lagoonpost.http.client import CallFailedError, Client, Stream
from lagoonpost.http.events import ServerEvent, read_events
from lagoonpost.http.message import (
    Address,
    Headers,
    Response,
    parse_address,
)

CALL_TIMEOUT_SECONDS = 40.0
ENTRIES_TIMEOUT_SECONDS = 2.0
STREAM_IDLE_TIMEOUT_SECONDS = 15.0
"""Longest silence of a stream: gateways send a comment every 5 s."""
MAX_ATTEMPTS = 12
INITIAL_BACKOFF_SECONDS = 0.2
SEE_OTHER_STATUS = 303
IN_PROGRESS = "in_progress"


class Token(NamedTuple):
    """One part of a draft."""

    text: str


class Resumed(NamedTuple):
    """The draft goes on at another entry, or on a new connection."""

    entry: Address
    offset: int
    cause: str


class Finished(NamedTuple):
    """The draft is whole."""

    finish_reason: str
    usage: dict[str, int]


class Problem(NamedTuple):
    """The final answer is a problem, as the gateway put it."""

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


class _Problem(msgspec.Struct):
    status: int = 502
    execution: str = "unknown"
    detail: str = "no problem was named"
    retry_after: float | None = None
    reason: str = ""


class Caller:
    """Calls lagoonpost by any of its entries.

    Args:
        entries: Some entries that are known beforehand.
        key: Bearer key of the workspace.
    """

    def __init__(self, entries: Sequence[Address], key: str) -> None:
        self._known = list(entries)
        self._entries: list[Address] = []
        self._until = 0.0
        self._client = Client()
        self._headers: Headers = (
            ("authorization", f"Bearer {key}"),
            ("content-type", "application/json"),
        )

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    async def list_entries(self) -> list[Address]:
        """Return the entries to use, in order, asking when due."""
        now = asyncio.get_running_loop().time()
        if now < self._until:
            return self._entries
        for entry in [*self._entries, *self._known]:
            try:
                answer = await self._client.call(
                    entry,
                    "GET",
                    "/v1/entries",
                    headers=self._headers,
                    timeout=ENTRIES_TIMEOUT_SECONDS,
                )
                listed = msgspec.json.decode(answer.body, type=_Entries)
            except (CallFailedError, msgspec.DecodeError):
                continue
            if listed.entries:
                self._entries = [
                    parse_address(entry.address) for entry in listed.entries
                ]
                self._until = now + listed.ttl
                return self._entries
        return self._known

    async def call(
        self, method: str, path: str, body: bytes = b"", key: str = ""
    ) -> Response | Problem:
        """Call for a whole answer, at other entries where that is safe.

        Args:
            method: HTTP method.
            path: Path from ``/v1`` on.
            body: Request body.
            key: Idempotency key; empty for calls that may be repeated.
        """
        headers = self._headers
        if key:
            headers = (*headers, ("idempotency-key", key))
        last = Problem(503, "not_run", "no entry could be reached")
        target: Address | None = None
        for attempt in range(MAX_ATTEMPTS):
            entries = await self.list_entries()
            entry = target or entries[attempt % len(entries)]
            target = None
            try:
                answer = await self._client.call(
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
                last = Problem(502, execution, str(error))
                await self._pause(attempt)
                continue
            if answer.status == SEE_OTHER_STATUS:
                # The gateway is leaving; another one has the answer.
                location = answer.header("location") or ""
                target, path = parse_location(location)
                method, body = "GET", b""
                continue
            if answer.status < 400:
                return answer
            last = _read_problem(answer.body)
            # With its idempotency key a call that is still in progress can
            # be asked for again without running twice.
            again = last.execution == "not_run" or last.reason == IN_PROGRESS
            if not again or last.retry_after is None:
                return last
            await asyncio.sleep(last.retry_after)
        return last

    async def draft(self, body: dict[str, Any]) -> AsyncIterator[DraftEvent]:
        """Stream a draft and resume it wherever it goes on.

        The caller itself holds the state: the last event id and the tokens
        so far let any gateway go on, also when the runner is gone as well.
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
            except (CallFailedError, TimeoutError) as error:
                cause = str(error) or "silent"
            if draft.refused is not None:
                await asyncio.sleep(draft.refused.retry_after or 0)
                cause = draft.refused.reason
            if len(draft.tokens) == offset and target is None:
                self._until = 0.0
                await self._pause(attempt)
            yield Resumed(target or entry, len(draft.tokens), cause)
        yield draft.refused or Problem(502, "unknown", "gave up resuming")

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
                    if draft.take_refusal(problem):
                        return
                    yield problem
                    return
                async for event in read_events(_watch(stream, silence)):
                    taken = draft.take(event)
                    if taken is not None:
                        yield taken
                    if isinstance(taken, Finished | Problem | Address):
                        return
        raise CallFailedError("the stream ended early", sent=True)

    async def _pause(self, attempt: int) -> None:
        await asyncio.sleep(min(2.0, INITIAL_BACKOFF_SECONDS * 2**attempt))


class _Draft:
    """What a caller knows of its draft so far."""

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

    def take_refusal(self, problem: Problem) -> bool:
        """Keep a refusal after which it helps to come back."""
        again = (
            problem.execution == "not_run" and problem.retry_after is not None
        )
        if again:
            self.refused = problem
        return again

    def take(
        self, event: ServerEvent
    ) -> Token | Finished | Problem | Address | None:
        if event.kind == "moved":
            return parse_address(msgspec.json.decode(event.data)["entry"])
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


async def _watch(
    stream: Stream, silence: asyncio.Timeout
) -> AsyncIterator[bytes]:
    """Yield the parts of a stream and put off its timeout with each."""
    loop = asyncio.get_running_loop()
    async for part in stream.parts():
        silence.reschedule(loop.time() + STREAM_IDLE_TIMEOUT_SECONDS)
        yield part


def _read_problem(body: bytes) -> Problem:
    try:
        found = msgspec.json.decode(body, type=_Problem)
    except msgspec.DecodeError:
        found = _Problem()
    return Problem(
        found.status,
        found.execution,
        found.detail,
        found.retry_after,
        found.reason,
    )


def parse_location(location: str) -> tuple[Address, str]:
    """Return the address and the target of a redirect."""
    url = urlsplit(location)
    return parse_address(url.netloc), f"{url.path}?{url.query}"
