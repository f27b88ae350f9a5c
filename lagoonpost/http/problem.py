"""Error responses as problem details (RFC 9457).

Besides the standard members they state whether the request was executed.
"""

import math
from typing import Literal

import msgspec

from lagoonpost.http.message import Headers, Response, find_header
from lagoonpost.tables.decoding import UNREADABLE

Execution = Literal["not_run", "unknown", "ran"]

PROBLEM_TYPE = "application/problem+json"


def make_problem(
    status: int,
    title: str,
    detail: str,
    execution: Execution,
    retry_after: float | None = None,
    reason: str = "",
    headers: Headers = (),
) -> Response:
    """Return an error response.

    Args:
        status: HTTP status.
        title: Summary that is the same for all problems of one type.
        detail: What happened and what the caller can do about it.
        execution: Whether the request was executed.
        retry_after: Seconds after which a retry may succeed; None if no
            retry can.
        reason: Machine-readable reason, as in logs and metrics.
        headers: Additional headers.
    """
    value: dict[str, object] = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": detail,
        "execution": execution,
    }
    if reason:
        value["reason"] = reason
    fields: Headers = (("content-type", PROBLEM_TYPE),)
    if retry_after is not None:
        value["retry_after"] = round(retry_after, 3)
        # The header takes whole seconds. It is never 0, because all refused
        # callers would then retry immediately.
        seconds = max(1, math.ceil(retry_after))
        fields += (("retry-after", str(seconds)),)
    return Response(status, (*fields, *headers), msgspec.json.encode(value))


def read_execution(headers: Headers, body: bytes) -> str | None:
    """Return the ``execution`` member of a problem response.

    None stands for a response that is no problem or lacks the member.
    """
    content_type = find_header(headers, "content-type") or ""
    if content_type.partition(";")[0].strip() != PROBLEM_TYPE:
        return None
    try:
        value = msgspec.json.decode(body, type=dict[str, object])
    except UNREADABLE:
        return None
    execution = value.get("execution")
    return execution if isinstance(execution, str) else None
