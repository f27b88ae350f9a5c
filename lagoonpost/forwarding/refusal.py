"""Responses of the gateway itself to requests that no runner answered."""

from typing import NamedTuple

from lagoonpost.http.message import Headers, Response
from lagoonpost.http.problem import Execution, make_problem
from lagoonpost.systems.trial_issuer import TRIAL_PAUSE_SECONDS


class Refusal(NamedTuple):
    """A final answer that the gateway gives instead of a runner.

    Attributes:
        status: HTTP status.
        reason: Machine-readable reason, also used in logs and metrics.
        detail: Description of the problem for the caller.
        execution: Whether the request was run.
        retry_after: Seconds after which a retry may succeed; None if a retry
            does not help.
    """

    status: int
    reason: str
    detail: str
    execution: Execution = "not_run"
    retry_after: float | None = None


NO_CONFIGURATION = Refusal(
    503, "no_configuration", "this gateway has just started", retry_after=0.5
)
NO_ROUTE = Refusal(404, "no_route", "no route leads to this path")
NO_KEY = Refusal(401, "no_key", "the key is not known")
NO_RUNNER = Refusal(
    503, "no_runner", "no runner of the service serves", retry_after=0.5
)
TOO_LATE = Refusal(
    504, "timeout", "no answer came in time", execution="unknown"
)
NOT_SENT = Refusal(
    503, "not_sent", "no runner took it in time", retry_after=0.5
)
CRASHES_RUNNERS = Refusal(
    503,
    "crashes_runners",
    "runners have crashed that began requests with this content or a part of "
    "this prompt",
    retry_after=60.0,
)
"""The time to return exceeds what callers wait for: the request would be
refused again."""
SUSPECTED = Refusal(
    503,
    "suspected",
    "runners have crashed that began requests with this content, and another "
    "one is being tried",
    retry_after=TRIAL_PAUSE_SECONDS,
)
ANSWER_LOST = Refusal(
    502, "answer_lost", "the runner's answer was lost", execution="unknown"
)


def make_over_quota(retry_after: float) -> Refusal:
    """Return the refusal of a request that its workspace's quota doesn't fit.

    Args:
        retry_after: Seconds after which a retry may succeed.
    """
    detail = "the workspace is over its quota"
    return Refusal(429, "over_quota", detail, retry_after=retry_after)


def make_refusal(refusal: Refusal) -> Response:
    """Return the response for a refusal."""
    headers: Headers = ()
    if refusal.retry_after is not None:
        # Callers accept fractions. A whole second is as long as most callers
        # wait in total.
        headers = (("retry-after", f"{refusal.retry_after:.2f}"),)
    return make_problem(
        refusal.status,
        refusal.reason.replace("_", " "),
        refusal.detail,
        refusal.execution,
        reason=refusal.reason,
        headers=headers,
    )
