"""Sends a request to one runner and classifies the answer."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

from lagoonpost.forwarding.refusal import Refusal
from lagoonpost.http.client import (
    CallFailedError,
    Client,
    EndlessAnswerError,
    Socket,
    Stream,
)
from lagoonpost.http.message import Headers, Request, Response
from lagoonpost.http.running_time import limit_running_time
from lagoonpost.platform.headers import (
    AddedHeaders,
    make_request_headers,
    read_head,
)
from lagoonpost.systems.answer_head import HeadVerdict, judge_head
from lagoonpost.tables.answer_end import UploadState
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.kv_copy import KvCopy

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Limit for an answer that is not a stream; a larger one counts as broken."""


class Unreachable(NamedTuple):
    """No byte of the request was sent, so the runner has not run it."""

    detail: str


class Barred(NamedTuple):
    """The request was not sent, as it would or might crash the runner.

    Attributes:
        refusal: What the caller is told if no runner has run the request.
    """

    refusal: Refusal


class Withheld(NamedTuple):
    """The request was not sent, as the runner takes none any more or now."""


class OverQuota(NamedTuple):
    """The request was not sent, as its workspace's quota has no room.

    Attributes:
        retry_after: Seconds until it could be sent.
    """

    retry_after: float


class NotRun(NamedTuple):
    """The runner answered that it did not run the request."""

    status: int
    headers: Headers


class Foreign(NamedTuple):
    """What came back is no answer to the request, which may have run.

    It tells nothing of the runner that the request was sent to.

    Attributes:
        status: HTTP status of what came back.
        reason: Why it is no answer to the request.
    """

    status: int
    reason: str


class Broken(NamedTuple):
    """The request was sent without a complete answer: it may have run.

    Attributes:
        detail: What happened.
        endless: Whether the runner sent more bytes than any answer has.
    """

    detail: str
    endless: bool = False


class Silent(NamedTuple):
    """The runner sent nothing for so long that it is considered lost.

    Attributes:
        seconds: Timeout that expired.
    """

    seconds: float


class Whole(NamedTuple):
    """A complete answer that is not a stream.

    Attributes:
        response: The answer.
        call: Call that is still open, if nothing but the end of its
            connection shows that the answer is complete.
    """

    response: Response
    call: "RunnerCall | None" = None


class Began(NamedTuple):
    """The runner started to stream its answer.

    Attributes:
        call: Call from which to read the rest of the stream.
        first: First bytes of the stream.
    """

    call: "RunnerCall"
    first: bytes


class Moved(NamedTuple):
    """The run was stopped and can be resumed by another runner.

    Attributes:
        target: The runner that received the saved state.
        saved: State from which the run is resumed.
    """

    target: Endpoint
    saved: KvCopy


Outcome = (
    Unreachable
    | Barred
    | Withheld
    | OverQuota
    | NotRun
    | Foreign
    | Broken
    | Silent
    | Whole
    | Began
    | Moved
)


class RunnerCall:
    """A request in flight at one runner.

    Closing the call makes the runner cancel the request.
    """

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._parts: AsyncIterator[bytes] = stream.parts()
        self._next: asyncio.Future[bytes] | None = None

    @property
    def status(self) -> int:
        """HTTP status of the answer."""
        return self._stream.status

    @property
    def headers(self) -> Headers:
        """Headers of the answer."""
        return self._stream.headers

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection marks the answer's end."""
        return self._stream.ends_with_connection

    def next_part(self) -> asyncio.Future[bytes]:
        """Return the future of the next part, which `read` returns."""
        if self._next is None:
            self._next = asyncio.ensure_future(anext(self._parts))
        return self._next

    @property
    def longest_wait(self) -> float:
        """Longest time until the next bytes of the answer, in seconds."""
        return self._stream.longest_wait

    async def read(
        self, idle_timeout: float | None
    ) -> bytes | Broken | Silent:
        """Read the next part of the body.

        After a timeout, the next call waits for the same part.

        Args:
            idle_timeout: Seconds without a byte after which the runner is
                considered lost; None for no timeout.

        Returns:
            The next bytes, empty at the end of the body, or how the call
            failed.
        """
        part = self.next_part()
        try:
            done, _ = await asyncio.wait({part}, timeout=idle_timeout)
            if not done:
                return Silent(idle_timeout or 0.0)
            self._next = None
            return part.result()
        except StopAsyncIteration:
            return b""
        except CallFailedError as error:
            return _read_failure(error)
        except asyncio.CancelledError:
            part.cancel()
            raise

    async def find_upload(self, patience: float) -> UploadState:
        """Return whether the runner has read the request it answered.

        Args:
            patience: Longest wait for a reset, in seconds, once the runner's
                kernel has taken the request.
        """
        return await self._stream.find_upload(patience)

    def hold(self, size: int) -> Broken | None:
        """Account for bytes of the answer that are kept.

        Args:
            size: Bytes kept now.

        Returns:
            How the call failed if there is no memory for them.
        """
        try:
            self._stream.hold(size)
        except CallFailedError as error:
            return _read_failure(error)
        return None

    def close(self) -> None:
        """End the call."""
        if self._next is not None:
            self._next.cancel()
        self._stream.close()


async def send_request(
    client: Client,
    endpoint: Endpoint,
    connect: Callable[[], Awaitable[Socket]],
    request: Request,
    request_id: str,
    make_instructions: Callable[[], AddedHeaders],
    find_obstacle: Callable[
        [], Awaitable[Barred | Withheld | OverQuota | None]
    ],
    on_head: Callable[[int, Headers], None],
    first_byte_timeout: float | None,
    on_unfinished: Callable[[], None],
) -> Outcome:
    """Send a request over a new connection and read the start of its answer.

    The runner may already have closed a reused connection. This is detected
    only after the request was sent, when it is unknown whether the request
    ran. A new connection costs a round trip, but if it cannot be opened, the
    request has certainly not run.

    Args:
        client: HTTP client.
        endpoint: The runner.
        connect: Opens the connection.
        request: The caller's request.
        request_id: Id of the request, which the answer has to repeat.
        make_instructions: Returns the headers added for the runner. They
            name the time that is left, of which connecting takes a part.
        find_obstacle: Returns why the request must not be sent, or None.
            Asked right before its first byte leaves.
        on_head: Called with the status and the headers of the answer as soon
            as they are read, whatever becomes of its body; not for what is no
            answer to this request.
        first_byte_timeout: Seconds to wait for the head of the answer, and
            again for the first bytes of a stream, or for each part of any
            other body; None for no timeout.
        on_unfinished: Called if the call is cancelled while the answer
            arrives.

    Returns:
        The outcome; a `Began` and a `Whole` with a call leave the connection
        open.
    """
    try:
        socket = await connect()
    except CallFailedError as error:
        return Unreachable(str(error))
    obstacle: Outcome | None = Withheld()
    try:
        obstacle = await find_obstacle()
    finally:
        if obstacle is not None:
            socket.writer.close()
    if obstacle is not None:
        return obstacle
    stream = client.send(
        socket,
        endpoint.address,
        request.method,
        request.target,
        request.body,
        make_request_headers(request.headers, make_instructions()),
        reusable=False,
    )
    keep_open = False
    try:
        async with limit_running_time(first_byte_timeout):
            await stream.receive_head()
        decided = _check_head(stream, request_id)
        if not isinstance(decided, Foreign):
            on_head(stream.status, stream.headers)
        if decided is not None:
            return decided
        outcome = await _read_start(stream, first_byte_timeout)
        keep_open = isinstance(outcome, Began) or (
            isinstance(outcome, Whole) and outcome.call is not None
        )
        return outcome
    except TimeoutError:
        return Silent(first_byte_timeout or 0.0)
    except CallFailedError as error:
        return Broken(str(error))
    except asyncio.CancelledError:
        if stream.received:
            on_unfinished()
        raise
    finally:
        if not keep_open:
            stream.close()


def _check_head(stream: Stream, request_id: str) -> NotRun | Foreign | None:
    """Return the outcome if the head decides it; None for an own answer."""
    verdict, reason = judge_head(
        read_head(stream.status, stream.headers), request_id
    )
    if verdict is HeadVerdict.FOREIGN:
        return Foreign(stream.status, reason)
    if verdict is HeadVerdict.REFUSED:
        return NotRun(stream.status, stream.headers)
    return None


async def _read_start(
    stream: Stream, first_byte_timeout: float | None
) -> Broken | Silent | Whole | Began:
    call = RunnerCall(stream)
    if is_event_stream(stream.headers) and stream.status == 200:
        first = await call.read(first_byte_timeout)
        return first if not isinstance(first, bytes) else Began(call, first)
    try:
        response = await stream.read(MAX_BODY_BYTES, first_byte_timeout)
    except TimeoutError:
        # Bytes arrive, so that the path to the runner works.
        if stream.content:
            return Broken("the body does not end", endless=True)
        raise
    return Whole(response, call if stream.ends_with_connection else None)


def _read_failure(error: CallFailedError) -> Broken:
    return Broken(str(error), isinstance(error, EndlessAnswerError))


def is_event_stream(headers: Headers) -> bool:
    """Return whether the body is a stream of server-sent events."""
    return any(
        name == "content-type" and value.startswith("text/event-stream")
        for name, value in headers
    )
