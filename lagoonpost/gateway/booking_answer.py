"""Builds the response to a booking from the outcome in the ledger."""

from collections.abc import Callable
from typing import Any

from lagoonpost.http.message import Response
from lagoonpost.http.problem import make_problem
from lagoonpost.systems.booking import (
    Earlier,
    Mismatch,
    Outcome,
    Ran,
    Refused,
    Unknown,
)
from lagoonpost.tables.ledger import LedgerEntry, RecordedAnswer

# A call in progress ends within its route's timeout, mostly much sooner.
IN_PROGRESS_RETRY_SECONDS = 1.0
# A claim past its deadline is waiting for a store outage to end, or its
# gateway died; more frequent retries would not help.
OVERDUE_RETRY_SECONDS = 30.0
# Gives the caller time to check with the service before it retries.
UNKNOWN_RETRY_SECONDS = 5.0


def make_response(outcome: Outcome, wall: float) -> Response:
    """Return the response for ``outcome``.

    Args:
        outcome: Outcome of the call in the ledger.
        wall: Current time in seconds since the epoch.
    """
    return _ANSWERS[type(outcome)](outcome, wall)


def _ran(outcome: Ran, wall: float) -> Response:
    return _return_recorded(outcome.answer)


def _earlier(outcome: Earlier, wall: float) -> Response:
    entry = outcome.entry
    if entry.answer is not None and entry.answer.complete:
        return _return_recorded(entry.answer)
    if entry.state == "recorded":
        return make_problem(
            409,
            "Already run",
            "The call with this idempotency key has run; its answer was too "
            "large to be kept.",
            "ran",
            reason="answer_not_kept",
        )
    return _unanswered(entry, wall)


def _unanswered(entry: LedgerEntry, wall: float) -> Response:
    if entry.state == "claimed" and wall < entry.claim_deadline:
        return make_problem(
            409,
            "In progress",
            "A call with this idempotency key is in progress.",
            "unknown",
            IN_PROGRESS_RETRY_SECONDS,
            "in_progress",
        )
    return make_problem(
        409,
        "Outcome unknown",
        "A call with this idempotency key was taken, and its answer is not "
        "known. It is not run again; check with the service whether it took "
        "effect before you use another key.",
        "unknown",
        OVERDUE_RETRY_SECONDS,
        "outcome_unknown",
    )


def _mismatch(outcome: Mismatch, wall: float) -> Response:
    return make_problem(
        422,
        "Idempotency key reused",
        "This idempotency key belongs to a different call. This call was not "
        "run; use a new key for it.",
        "not_run",
        reason="key_reused",
    )


def _refused(outcome: Refused, wall: float) -> Response:
    detail = "This call was not run."
    if outcome.retry_after is not None:
        # An earlier call with this key may have run, so a retry with a new
        # key could book twice.
        detail += " Send it again with the same key."
    return make_problem(
        outcome.status,
        "Not run",
        detail,
        "not_run",
        outcome.retry_after,
        outcome.reason,
    )


def _unknown(outcome: Unknown, wall: float) -> Response:
    return make_problem(
        502,
        "Outcome unknown",
        "Whether the call took effect is not known. Ask again with the same "
        "idempotency key: it does not run twice.",
        "unknown",
        UNKNOWN_RETRY_SECONDS,
        outcome.reason,
    )


def _return_recorded(answer: RecordedAnswer) -> Response:
    return Response(answer.status, answer.headers, answer.body)


_ANSWERS: dict[type[Any], Callable[[Any, float], Response]] = {
    Ran: _ran,
    Earlier: _earlier,
    Mismatch: _mismatch,
    Refused: _refused,
    Unknown: _unknown,
}
