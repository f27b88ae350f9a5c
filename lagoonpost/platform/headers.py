"""Names of headers and paths, and what callers and runners say in them."""

from typing import NamedTuple

from lagoonpost.http.message import Address, Headers, find_header
from lagoonpost.tables.kv_copy import KvCopy
from lagoonpost.tables.metadata import PromptPart, RequestMetadata, TokenCount

REQUEST_ID = "attempt-id"
DEADLINE = "deadline-ms"
AUTHORIZATION = "authorization"
BEARER = "bearer "
WORKSPACE = "tenant"
EXPECTED_RUNNER = "target-instance"
NOT_EXECUTED = "not-executed"
SIGNATURE = "response-signature"
TOKEN_COUNT = "token-count"
PROMPT_PREFIX = "prompt-prefix"
MODEL = "model"
LAST_EVENT = "last-event-id"
URGENCY = "request-urgency"
SAVED_RUN = "kv-from"
CACHE_HOLDER = "kv-fetch"
LENGTH_HINT = "length-hint"
READY_PATH = "/v1/ready"
RESOLVE_PATH = "/v1/resolve"
NOT_RUN_STATUS = frozenset({421})
MISDIRECTED = 421

# Set by us or meant for one connection; a caller's own value never passes.
_DROPPED = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
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
)
# Of a runner's answer: framing is made anew on the caller's connection.
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


class AddedHeaders(NamedTuple):
    """What we tell a runner besides the caller's own headers.

    Attributes:
        runner: Id of the runner that is meant.
        left: Seconds that are left for the request; None for no bound.
        workspace: Whose request it is; empty if nobody's.
        last_event: Id of the last event that the caller has, or empty.
        urgency: From 0, the most urgent, to 9.
        saved: Memory of the stopped run that it goes on from, if it does.
        holder: Runner from which it may copy what it does not hold of the
            prompt.
    """

    runner: str
    left: float | None
    workspace: str
    last_event: str
    urgency: int | None
    saved: KvCopy | None = None
    holder: Address | None = None


def parse_request_headers(headers: Headers) -> RequestMetadata:
    """Decode what a caller says of its request."""
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


def make_request_headers(headers: Headers, told: AddedHeaders) -> Headers:
    """Return the headers for the runner.

    Args:
        headers: The caller's.
        told: What we set ourselves.
    """
    listed = _list_hop_headers(headers)
    kept = tuple(
        (name, value)
        for name, value in headers
        if name not in _DROPPED and name not in listed
    )
    own = [(EXPECTED_RUNNER, told.runner)]
    if told.left is not None:
        own.append((DEADLINE, str(max(1, int(told.left * 1000)))))
    if told.workspace:
        own.append((WORKSPACE, told.workspace))
    if told.last_event:
        own.append((LAST_EVENT, told.last_event))
    if told.urgency is not None:
        own.append((URGENCY, str(told.urgency)))
    if told.saved is not None:
        place = f"{told.saved.source}/{told.saved.handle}"
        own.append((SAVED_RUN, place))
    elif told.holder is not None:
        own.append((CACHE_HOLDER, str(told.holder)))
    return (*kept, *own)


def make_response_headers(headers: Headers) -> Headers:
    """Return a runner's headers as the caller is to get them."""
    listed = _list_hop_headers(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _FRAMING and name not in listed
    )


def is_not_run(status: int, headers: Headers) -> bool:
    """Tell whether a runner says that it did not run the request."""
    if status == MISDIRECTED:
        return True
    return find_header(headers, NOT_EXECUTED) is not None


def is_answer_to(headers: Headers, request_id: str) -> bool:
    """Tell whether an answer names the request or none at all."""
    echoed = find_header(headers, REQUEST_ID)
    return echoed is None or echoed == request_id


def is_signed(headers: Headers) -> bool:
    """Tell whether an answer bears a runner's signature."""
    return find_header(headers, SIGNATURE) is not None


def _list_hop_headers(headers: Headers) -> frozenset[str]:
    named = [value for name, value in headers if name == "connection"]
    return frozenset(
        word.strip().lower() for value in named for word in value.split(",")
    )


def _read_milliseconds(text: str | None) -> float | None:
    try:
        return float(text) / 1000 if text else None
    except ValueError:
        return None


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
