"""HTTP client of model engines: answers, load, cache events and orders."""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeVar

import msgspec

from lagoonpost.http.client import CallFailedError, Client, Stream
from lagoonpost.http.message import Address, Headers, Response
from lagoonpost.tables.decoding import UNREADABLE, read_json
from lagoonpost.tables.load_report import LoadReport
from lagoonpost.unreadable import log_unreadable

_T = TypeVar("_T")

CALL_TIMEOUT_SECONDS = 2.0
CANCEL_TIMEOUT_SECONDS = 1.0
READER_HEADER = "x-reader-id"
"""Header with the id of the attempt that reads a run. An engine that supports
it lets only the latest reading attempt cancel the run; other engines accept a
cancellation from any attempt."""


class Refusal(NamedTuple):
    """A response of an engine that is not a stream.

    Attributes:
        status: HTTP status.
        execution: ``not_run`` if the engine reports it, else ``unknown``.
        detail: The engine's error message, for the log.
    """

    status: int
    execution: str
    detail: str


class CacheEvent(msgspec.Struct, frozen=True):
    """Prefix blocks stored in or evicted from an engine's cache."""

    seq: int
    stored: list[int]
    dropped: list[int]


class EngineOrder(msgspec.Struct, frozen=True):
    """Complete desired state of an engine, with the lease's fencing token."""

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
    """Request an answer, from its first token or a later one.

    Args:
        client: HTTP client.
        address: The runner's endpoint.
        request_id: Id of the request, also that of the engine's stream.
        body: The caller's chat-completions request.
        tokens: Tokens of the answer already sent to the caller.
        priority: Higher is more urgent.
        version: Version to run, overriding that of the body.
        attempt: Id of the attempt that reads the answer.

    Raises:
        CallFailedError: If the connection fails.
    """
    payload = dict(body)
    payload["stream"] = True
    if version:
        payload["version"] = version
    if tokens:
        payload["continue_tokens"] = tokens
    headers = (
        ("content-type", "application/json"),
        ("x-request-id", request_id),
        ("x-priority", str(priority)),
        *_make_attempt_headers(attempt),
    )
    data = msgspec.json.encode(payload)
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
    """Continue reading an answer after token ``after``, on a new connection.

    Args:
        client: HTTP client.
        address: The runner's endpoint.
        request_id: Id of the request, also that of the engine's stream.
        after: Number of tokens already received.
        attempt: Id of the attempt that reads the answer.

    Raises:
        CallFailedError: If the connection fails.
    """
    # A middlebox may have dropped the state of all open connections; they
    # look healthy but stay silent. Only a new connection distinguishes a
    # silent path from a dead runner.
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
    """Cancel an answer at its engine.

    Args:
        client: HTTP client.
        address: The runner's endpoint.
        request_id: Id of the request, also that of the engine's stream.
        attempt: Id of the attempt that read the answer. The answer continues
            if another attempt has started to read it since.

    Returns:
        False if the call failed.
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
    """Fetch a load report; return None if the runner provides none.

    Args:
        client: HTTP client.
        address: The runner's endpoint.
        runner: The runner's name.
        age: Assumed age of the report in seconds, as the runner's clock may
            differ from the local one.
        now: Current local time in seconds.
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
    """Fetch the cache events after number ``after``.

    Returns:
        The events, possibly with gaps, or None if the call failed.
    """
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
    """Send an order to an engine.

    Args:
        client: HTTP client.
        address: The runner's endpoint.
        order: The order.
        timeout: Timeout of the whole call in seconds.
        may_send: Called right before the first byte is sent; the call is
            abandoned if it returns False.

    Returns:
        The response, or None if it is unknown whether the order took effect.
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
        # Also on cancellation, as nothing else references this connection.
        stream.close()
        raise
    stream.close()
    problem = _decode_problem(answer.body)
    return Refusal(answer.status, problem.execution, problem.detail)


def _decode_problem(body: bytes) -> _Problem:
    try:
        return msgspec.json.decode(body, type=_Problem)
    except UNREADABLE:
        return _Problem(detail=body[:200].decode("utf-8", "replace"))


async def _fetch(
    client: Client, address: Address, target: str, kind: type[_T]
) -> _T | None:
    try:
        answer = await client.call(
            address, "GET", target, timeout=CALL_TIMEOUT_SECONDS
        )
    except CallFailedError:
        return None
    if answer.status != 200:
        return None
    found = read_json(answer.body, kind)
    if found is None:
        log_unreadable("runner", str(address), f"answer to GET {target}")
    return found
