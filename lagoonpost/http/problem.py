"""Error answers to callers: problem details that say what was run."""

import math
from typing import Literal

import msgspec

from lagoonpost.http.message import Headers, Response, find_header

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
    """Return an error answer.

    Args:
        status: HTTP status.
        title: Short summary, the same for each problem of this kind.
        detail: What happened and what the caller can do.
        execution: Whether the call was run.
        retry_after: Seconds until coming back helps; None if it won't.
        reason: Short machine word, as in logs and metrics.
        headers: More headers.
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
        # The header holds whole seconds; never 0, which would bring every
        # refused caller back at once.
        seconds = max(1, math.ceil(retry_after))
        fields += (("retry-after", str(seconds)),)
    return Response(status, (*fields, *headers), msgspec.json.encode(value))


def read_execution(headers: Headers, body: bytes) -> str | None:
    """Return what a problem answer says was run; None if it says nothing."""
    content_type = find_header(headers, "content-type") or ""
    if content_type.partition(";")[0].strip() != PROBLEM_TYPE:
        return None
    try:
        value = msgspec.json.decode(body, type=dict[str, object])
    except msgspec.DecodeError:
        return None
    execution = value.get("execution")
    return execution if isinstance(execution, str) else None
