"""Sends a request to one runner and reads what comes back."""

import asyncio
from collections.abc import AsyncIterator
from typing import NamedTuple

from lagoonpost.http.client import CallFailedError, Client, Stream
from lagoonpost.http.message import Headers, Request, Response
from lagoonpost.platform.headers import (
    Instructions,
    is_answer_to,
    is_not_run,
    make_forwarded,
)
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.saved_run import SavedRun

CONNECT_TIMEOUT_SECONDS = 0.3
"""Longest time to connect to a runner, 50 round trips between the failure
domains of one region; one that is gone without a reset costs as much."""
MAX_BODY_BYTES = 8 * 1024 * 1024
"""Bytes of an answer that is not a stream; larger ones count as broken."""


class Unreachable(NamedTuple):
    """No byte of the request left: it has not run."""

    detail: str


class NotRun(NamedTuple):
    """The runner says that it did not run the request."""

    status: int
    headers: Headers


class Broken(NamedTuple):
    """The request left and no whole answer came: it may have run."""

    detail: str


class Silent(NamedTuple):
    """Nothing came for so long that the runner is taken to be lost."""

    seconds: float


class Whole(NamedTuple):
    """An answer with its whole body."""

    response: Response


class Began(NamedTuple):
    """A stream began; ``call`` gives the rest, ``first`` is its beginning."""

    call: "RunnerCall"
    first: bytes


class Moved(NamedTuple):
    """The run was stopped, and goes on at another runner."""

    target: Endpoint
    saved: SavedRun


Outcome = Unreachable | NotRun | Broken | Silent | Whole | Began | Moved


class RunnerCall:
    """One request at one runner; closing it makes the runner drop it."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._parts: AsyncIterator[bytes] = stream.parts()

    @property
    def status(self) -> int:
        """Status of the answer."""
        return self._stream.status

    @property
    def headers(self) -> Headers:
        """Headers of the answer."""
        return self._stream.headers

    async def read(
        self, idle_timeout: float | None
    ) -> bytes | Broken | Silent:
        """Return the next part of the body; empty at its end.

        Args:
            patience: Seconds without a byte after which the runner is taken
                to be lost; None waits for as long as it takes.
        """
        try:
            if idle_timeout is None:
                return await anext(self._parts)
            async with asyncio.timeout(idle_timeout):
                return await anext(self._parts)
        except StopAsyncIteration:
            return b""
        except TimeoutError:
            return Silent(idle_timeout or 0.0)
        except CallFailedError as error:
            return Broken(str(error))

    def close(self) -> None:
        """End the call."""
        self._stream.close()


async def send_request(
    client: Client,
    endpoint: Endpoint,
    request: Request,
    request_id: str,
    instructions: Instructions,
    first_byte_timeout: float | None,
) -> Outcome:
    """Send a request over a new connection and read how its answer begins.

    A connection that was kept may have been closed by the runner, which
    shows only after sending: then nobody knows whether the request ran. A
    new one costs a round trip and leaves no doubt when it fails.

    Args:
        client: HTTP client.
        endpoint: The runner.
        request: The caller's request.
        request_id: Its id, which the answer has to name.
        told: What the runner is told besides.
        patience: As for `RunnerCall.read`, until the first byte.
    """
    try:
        stream = await client.open(
            endpoint.address,
            request.method,
            request.target,
            request.body,
            make_forwarded(request.headers, instructions),
            fresh=True,
            connect_seconds=CONNECT_TIMEOUT_SECONDS,
        )
    except CallFailedError as error:
        return Unreachable(str(error))
    keep = False
    try:
        async with asyncio.timeout(first_byte_timeout):
            await stream.receive_head()
        outcome = await _read_beginning(stream, request_id, first_byte_timeout)
        keep = isinstance(outcome, Began)
        return outcome
    except TimeoutError:
        return Silent(first_byte_timeout or 0.0)
    except CallFailedError as error:
        return Broken(str(error))
    finally:
        if not keep:
            stream.close()


async def _read_beginning(
    stream: Stream, request_id: str, patience: float | None
) -> Outcome:
    if is_not_run(stream.status, stream.headers):
        return NotRun(stream.status, stream.headers)
    if not is_answer_to(stream.headers, request_id):
        return Broken("the answer is to another request")
    call = RunnerCall(stream)
    if is_event_stream(stream.headers) and stream.status == 200:
        first = await call.read(patience)
        return first if not isinstance(first, bytes) else Began(call, first)
    response = await stream.read(MAX_BODY_BYTES)
    return Whole(response)


def is_event_stream(headers: Headers) -> bool:
    """Tell whether a body is a series of events."""
    return any(
        name == "content-type" and value.startswith("text/event-stream")
        for name, value in headers
    )
