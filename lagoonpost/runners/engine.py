"""Client of model engines: answers, load, cache events and orders."""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeVar

import msgspec

from lagoonpost.http.client import CallFailedError, Client, Stream
from lagoonpost.http.message import Address, Headers, Response
from lagoonpost.tables.load_report import LoadReport

_T = TypeVar("_T")

CALL_TIMEOUT_SECONDS = 2.0
CANCEL_TIMEOUT_SECONDS = 1.0
READER_HEADER = "x-reader-id"
"""Names who reads a run. An engine that knows it ends the run for the last
attempt alone that came to read it; others end it for whoever asks."""


class Refusal(NamedTuple):
    """An engine answered a request by something else than a stream.

    Attributes:
        status: HTTP status.
        execution: ``not_run`` if the engine says so, else ``unknown``.
        detail: The engine's own words, for the log.
    """

    status: int
    execution: str
    detail: str


class CacheEvent(msgspec.Struct, frozen=True):
    """Prefix blocks stored in or dropped from an engine's cache."""

    seq: int
    stored: list[int]
    dropped: list[int]


class EngineOrder(msgspec.Struct, frozen=True):
    """The whole wanted state of an engine and the lease's fence."""

    fence: int
    versions: list[str]
    role: str = "serving"


class _Problem(msgspec.Struct):
    execution: str = "unknown"
    detail: str = ""


class _Load(msgspec.Struct):
    running: int
    waiting: int
    pending_tokens: int
    cache_used: float
    measured: float


class _CacheEvents(msgspec.Struct):
    events: list[CacheEvent]


async def open_answer(
    client: Client,
    address: Address,
    request_id: str,
    body: Mapping[str, object],
    tokens: Sequence[str],
    priority: int,
    version: str = "",
    attempt: str = "",
) -> Stream | Refusal:
    """Ask an engine for an answer, from its first token or a later one.

    Args:
        client: HTTP client.
        address: The runner's endpoint.
        request_id: Id of the request, also that of the engine's stream.
        body: The caller's chat-completions request.
        tokens: The answer's tokens that the caller already has.
        priority: Higher is more urgent.
        version: The version to run, in place of the body's.
        attempt: Id of the attempt that reads it.

    Raises:
        CallFailedError: If the connection fails.
    """
    wanted = dict(body)
    wanted["stream"] = True
    if version:
        wanted["version"] = version
    if tokens:
        wanted["continue_tokens"] = tokens
    headers = (
        ("content-type", "application/json"),
        ("x-request-id", request_id),
        ("x-priority", str(priority)),
        *_make_attempt_headers(attempt),
    )
    data = msgspec.json.encode(wanted)
    stream = await client.open(
        address, "POST", "/v1/chat/completions", data, headers
    )
    return await _receive(stream)


async def resume_answer(
    client: Client,
    address: Address,
    request_id: str,
    after: int,
    attempt: str = "",
) -> Stream | Refusal:
    """Read an answer on from token ``after`` over a new connection.

    Args:
        client: HTTP client.
        address: The runner's endpoint.
        request_id: Id of the request, also that of the engine's stream.
        after: Number of its tokens that are not wanted again.
        attempt: Id of the attempt that reads it.

    Raises:
        CallFailedError: If the connection fails.
    """
    # Connections that are open may all have been forgotten by something
    # between the two ends; they look healthy but stay silent. Only a
    # connection made now tells a silent path from a dead runner.
    target = f"/v1/streams/{request_id}?after={after}"
    stream = await client.open(
        address,
        "GET",
        target,
        headers=_make_attempt_headers(attempt),
        fresh=True,
    )
    return await _receive(stream)


async def cancel_answer(
    client: Client, address: Address, request_id: str, attempt: str = ""
) -> bool:
    """Tell an engine to drop an answer; False if it can't be told.

    Args:
        client: HTTP client.
        address: The runner's endpoint.
        request_id: Id of the request, also that of the engine's stream.
        attempt: Id of the attempt that read it; the answer goes on if
            another one came to read it since.
    """
    try:
        await client.call(
            address,
            "DELETE",
            f"/v1/streams/{request_id}",
            headers=_make_attempt_headers(attempt),
            timeout=CANCEL_TIMEOUT_SECONDS,
            fresh=True,
        )
    except CallFailedError:
        return False
    return True


async def fetch_load(
    client: Client, address: Address, runner: str, age: float, now: float
) -> LoadReport | None:
    """Fetch a load report, or None if the runner gives none.

    Args:
        client: HTTP client.
        address: The runner's endpoint.
        runner: The runner's name.
        age: How old the report is taken to be, in seconds; the runner's
            clock is not ours.
        now: Our time.
    """
    load = await _fetch(client, address, "/v1/load", _Load)
    if load is None:
        return None
    return LoadReport(
        runner,
        now - age,
        load.running,
        load.waiting,
        load.pending_tokens,
        load.cache_used,
    )


async def fetch_cache_events(
    client: Client, address: Address, after: int
) -> list[CacheEvent] | None:
    """Fetch the cache events after number ``after``, maybe with gaps."""
    target = f"/v1/cache-events?after={after}"
    answer = await _fetch(client, address, target, _CacheEvents)
    return None if answer is None else answer.events


async def send_order(
    client: Client,
    address: Address,
    order: EngineOrder,
    timeout: float,
    may_send: Callable[[], bool] | None = None,
) -> Response | None:
    """Send an order; None if it is unknown whether it took effect.

    Args:
        client: HTTP client.
        address: The runner's endpoint.
        order: The order.
        timeout: Seconds for the whole call.
        may_send: Asked right before the first byte leaves.
    """
    try:
        return await client.call(
            address,
            "POST",
            "/v1/orders",
            msgspec.json.encode(order),
            timeout=timeout,
            fresh=True,
            may_send=may_send,
        )
    except CallFailedError:
        return None


def _make_attempt_headers(attempt: str) -> Headers:
    return ((READER_HEADER, attempt),) if attempt else ()


async def _receive(stream: Stream) -> Stream | Refusal:
    try:
        await stream.receive_head()
        if stream.status == 200:
            return stream
        answer = await stream.read()
    except BaseException:
        # Also on cancellation: nobody else holds this connection.
        stream.close()
        raise
    stream.close()
    problem = _decode_problem(answer.body)
    return Refusal(answer.status, problem.execution, problem.detail)


def _decode_problem(body: bytes) -> _Problem:
    try:
        return msgspec.json.decode(body, type=_Problem)
    except msgspec.DecodeError:
        return _Problem(detail=body[:200].decode("utf-8", "replace"))


async def _fetch(
    client: Client, address: Address, target: str, kind: type[_T]
) -> _T | None:
    try:
        answer = await client.call(
            address, "GET", target, timeout=CALL_TIMEOUT_SECONDS
        )
        if answer.status != 200:
            return None
        return msgspec.json.decode(answer.body, type=kind)
    except (CallFailedError, msgspec.DecodeError):
        return None
