"""Names of the platform's headers and paths; parsing and building headers."""

import math
from typing import NamedTuple

from lagoonpost.http.message import (
    Address,
    Headers,
    find_header,
    list_values,
    read_number,
)
from lagoonpost.tables.answer_head import AnswerHead, HealthHead
from lagoonpost.tables.kv_copy import KvCopy
from lagoonpost.tables.metadata import PromptPart, RequestMetadata, TokenCount
from lagoonpost.tables.runner_notice import RunnerNotice
from lagoonpost.tables.stated_limits import StatedLimits

REQUEST_ID = "attempt-id"
DEADLINE = "deadline-ms"
AUTHORIZATION = "authorization"
BEARER = "bearer "
WORKSPACE = "tenant"
EXPECTED_RUNNER = "target-instance"
RUNNER_ID = "instance-id"
NOT_EXECUTED = "not-executed"
SIGNATURE = "response-signature"
ENCODING = "content-encoding"
TOKEN_COUNT = "token-count"
PROMPT_PREFIX = "prompt-prefix"
MODEL = "model"
LAST_EVENT = "last-event-id"
URGENCY = "request-urgency"
SAVED_RUN = "kv-from"
CACHE_HOLDER = "kv-fetch"
LENGTH_HINT = "length-hint"
BRITTLE = "server-brittle"
RATE_LIMIT = "server-limit"
LEAVING = "server-leaving"
RETRY_AFTER = "retry-after"
REPORT_PATH = "/v1/report"
READY_PATH = "/v1/ready"
RESOLVE_PATH = "/v1/resolve"
MISDIRECTED, UNAVAILABLE = 421, 503

# Framing is per connection.
_FRAMING = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "trailer",
        "upgrade",
    }
)
# Set by the gateway or valid per connection; never forwarded from a caller.
_DROPPED = _FRAMING | {
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "expect",
    AUTHORIZATION,
    DEADLINE,
    WORKSPACE,
    EXPECTED_RUNNER,
    LAST_EVENT,
    URGENCY,
    "expect-version",
    "pin-ms",
    "kv-hold",
    CACHE_HOLDER,
    SAVED_RUN,
    "kv-backup",
}


class AddedHeaders(NamedTuple):
    """Values of the headers that the gateway adds to a forwarded request.

    Attributes:
        runner: Id of the intended runner.
        left: Seconds until the deadline; None if there is no deadline.
        workspace: Workspace of the caller; empty if there is none.
        last_event: Id of the last event that the caller received, or empty.
        urgency: From 0, the most urgent, to 9; None to send no urgency.
        saved: KV cache of the stopped run to resume from, or None.
        holder: Runner from which KV cache of missing prompt parts may be
            copied, or None.
    """

    runner: str
    left: float | None
    workspace: str
    last_event: str
    urgency: int | None
    saved: KvCopy | None = None
    holder: Address | None = None


def parse_request_headers(headers: Headers) -> RequestMetadata:
    """Parse the headers of a caller's request."""
    key = find_header(headers, AUTHORIZATION) or ""
    scheme, token = key[: len(BEARER)], key[len(BEARER) :].strip()
    return RequestMetadata(
        id=find_header(headers, REQUEST_ID) or "",
        host=(find_header(headers, "host") or "").lower(),
        key=token if scheme.lower() == BEARER else "",
        left=_read_milliseconds(find_header(headers, DEADLINE)),
        tokens=_read_tokens(find_header(headers, TOKEN_COUNT)),
        parts=_read_parts(find_header(headers, PROMPT_PREFIX)),
        last_event=find_header(headers, LAST_EVENT) or "",
    )


def make_request_headers(headers: Headers, added: AddedHeaders) -> Headers:
    """Return the headers of the request to the runner.

    Args:
        headers: Headers of the caller's request.
        added: Values of the headers that the gateway adds.
    """
    own = [(EXPECTED_RUNNER, added.runner)]
    if added.left is not None:
        own.append((DEADLINE, str(max(1, int(added.left * 1000)))))
    if added.workspace:
        own.append((WORKSPACE, added.workspace))
    if added.last_event:
        own.append((LAST_EVENT, added.last_event))
    if added.urgency is not None:
        own.append((URGENCY, str(added.urgency)))
    if added.saved is not None:
        location = f"{added.saved.source}/{added.saved.handle}"
        own.append((SAVED_RUN, location))
    elif added.holder is not None:
        own.append((CACHE_HOLDER, str(added.holder)))
    return (*_drop(headers, _DROPPED), *own)


def make_response_headers(headers: Headers) -> Headers:
    """Return the headers of the response to the caller."""
    return _drop(headers, _FRAMING)


def read_head(status: int, headers: Headers) -> AnswerHead:
    """Return what the head of an answer shows of whose answer it is."""
    stated = find_header(headers, NOT_EXECUTED) is not None
    return AnswerHead(
        ids=list_values(headers, REQUEST_ID),
        signatures=list_values(headers, SIGNATURE),
        encoded=find_header(headers, ENCODING) is not None,
        success=200 <= status < 300,
        refuses=stated or status == MISDIRECTED,
    )


def make_health_headers(runner: str) -> Headers:
    """Return the headers of a health check that only one runner answers."""
    return ((EXPECTED_RUNNER, runner),)


def read_health_head(status: int, headers: Headers) -> HealthHead:
    """Return what the head of an answer to a health check shows."""
    return HealthHead(list_values(headers, RUNNER_ID), status == MISDIRECTED)


def read_notice(status: int, headers: Headers) -> RunnerNotice:
    """Return what a runner says of itself in the head of an answer."""
    rest = find_header(headers, RETRY_AFTER)
    limits = _read_limit(headers, RATE_LIMIT), _read_limit(headers, BRITTLE)
    return RunnerNotice(
        refused=read_head(status, headers).refuses,
        leaving=find_header(headers, LEAVING) not in (None, "0"),
        rest=read_number(rest) if status == UNAVAILABLE and rest else None,
        limits=StatedLimits(*limits),
    )


def _read_limit(headers: Headers, name: str) -> float | None:
    """Return a header's number; None if it is no limit that can be kept."""
    limit = read_number(find_header(headers, name) or "")
    return limit if math.isfinite(limit) and limit >= 0 else None


def _drop(headers: Headers, names: frozenset[str]) -> Headers:
    """Return the headers without these and those named by ``connection``."""
    named = ",".join(value for name, value in headers if name == "connection")
    dropped = names.union(word.strip().lower() for word in named.split(","))
    return tuple(field for field in headers if field[0] not in dropped)


def _read_milliseconds(text: str | None) -> float | None:
    number = read_number(text or "")
    return None if math.isnan(number) else number / 1000


def _read_tokens(text: str | None) -> TokenCount | None:
    try:
        prompt, output = (text or "").split(",")
        return TokenCount(int(prompt), int(output))
    except ValueError:
        return None


def _read_parts(text: str | None) -> tuple[PromptPart, ...]:
    parts = []
    for word in (text or "").split(","):
        id_, _, tokens = word.strip().partition(":")
        if not tokens.isdecimal():
            return ()
        parts.append(PromptPart(id_, int(tokens)))
    return tuple(parts)
