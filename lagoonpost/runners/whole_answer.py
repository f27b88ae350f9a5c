"""Calls runners for answers that don't show themselves where they end.

The body of such an answer may be any bytes. Without a length or chunks it ends
with its connection, as it would if its process were killed.
"""

import asyncio
from collections.abc import Callable

from lagoonpost.http.client import (
    CONNECT_TIMEOUT_SECONDS,
    CallFailedError,
    Client,
    Stream,
    ends_with_connection,
)
from lagoonpost.http.message import Address, Headers, Response
from lagoonpost.systems.answer_end import EndVerdict, judge_end
from lagoonpost.tables.answer_end import (
    EndEvidence,
    RunnerState,
    UploadState,
)

PATIENCE_SHARE = 0.5
"""Part of the time left in which a service may show that it cut an answer off
before it had read the request."""


async def call_whole(
    client: Client,
    address: Address,
    method: str,
    target: str,
    body: bytes = b"",
    headers: Headers = (),
    *,
    repeatable: bool,
    timeout: float,
    fresh: bool = False,
    may_send: Callable[[], bool] | None = None,
) -> Response:
    """Send a request and return its response if it is proved to be whole.

    Args:
        client: HTTP client.
        address: Endpoint of the runner.
        method: HTTP method.
        target: Path and query.
        body: Request body.
        headers: Request headers.
        repeatable: Whether the request may run more than once.
        timeout: Seconds for the entire call.
        fresh: Whether to open a new connection; see ``Client.call``.
        may_send: Checked right before the first byte is sent; see
            ``Client.call``.

    Raises:
        CallFailedError: If no complete response arrives in time, or it may
            have been cut off.
    """
    now = asyncio.get_running_loop().time
    deadline = now() + timeout
    upload = UploadState.UNKNOWN

    async def note_upload(stream: Stream) -> None:
        nonlocal upload
        patience = PATIENCE_SHARE * (deadline - now())
        upload = await stream.find_upload(patience)

    response = await client.call(
        address,
        method,
        target,
        body,
        headers,
        timeout=timeout,
        fresh=fresh,
        may_send=may_send,
        on_bare_end=note_upload,
    )
    if method == "HEAD" or not ends_with_connection(
        response.status, response.headers
    ):
        return response
    seconds = min(CONNECT_TIMEOUT_SECONDS, max(0.0, deadline - now()))
    evidence = EndEvidence(
        ended=True,
        framed=False,
        repeatable=repeatable,
        upload=upload,
        runner=await _find_state(client, address, seconds),
    )
    if judge_end(evidence) is not EndVerdict.WHOLE:
        detail = f"the end of the response of {address} is not proved"
        raise CallFailedError(detail, sent=True)
    return response


async def _find_state(
    client: Client, address: Address, seconds: float
) -> RunnerState:
    try:
        socket = await client.connect(address, seconds)
    except CallFailedError:
        return RunnerState.DOWN
    socket.writer.close()
    return RunnerState.UP
