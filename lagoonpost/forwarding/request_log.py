"""Writes the log lines about requests and their offers to runners."""

import eliot

from lagoonpost.forwarding.attempt import Outcome
from lagoonpost.forwarding.exchange import AnswerEnd, Exchange
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.placement import Choice
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.retry import BudgetState
from lagoonpost.tables.scheduling import Scheduling
from lagoonpost.tables.stated_limits import StatedLimits

MAX_LOGGED_CAUSES = 16
"""Limit for the possible causes of a crash in a log line."""


def log_exchange(exchange: Exchange) -> None:
    """Write the log line of one request."""
    route, took = exchange.route, exchange.now() - exchange.started
    arrived = read_clock() - took
    eliot.log_message(
        message_type="lagoonpost:forwarding:request",
        request=exchange.arrival.id,
        route=route.name if route else "",
        service=exchange.requirements.service,
        workspace=exchange.workspace.name if exchange.workspace else "",
        version=exchange.version,
        prompt=exchange.requirements.prompt,
        units=sum(charge.units for charge in exchange.charges),
        runs=[
            (_round(charge.at - arrived), charge.units)
            for charge in exchange.charges
        ],
        quota=[round(value) for value in exchange.quota or ()],
        share=[round(value, 2) for value in exchange.share or ()],
        over_share=exchange.over_share,
        outcome=exchange.outcome,
        status=exchange.status,
        steps=exchange.steps,
        ends=[_describe_end(end) for end in exchange.ends],
        first_byte=_round(exchange.first_byte),
        took=_round(took),
    )


def log_scheduling(scheduling: Scheduling) -> None:
    """Write the log line of the parts of the scheduling now in effect."""
    eliot.log_message(
        message_type="lagoonpost:forwarding:scheduling",
        **scheduling._asdict(),
    )


def log_unreachable(choice: Choice, detail: str, took: float) -> None:
    """Write the log line of a connection that could not be opened.

    Args:
        choice: The runner.
        detail: Reason of the failure.
        took: Seconds until it failed.
    """
    eliot.log_message(
        message_type="lagoonpost:forwarding:unreachable",
        runner=choice.endpoint.id,
        indirect=choice.indirect,
        detail=detail,
        took=_round(took),
    )


def log_silent(choice: Choice, seconds: float, stream: bool) -> None:
    """Write the log line of a runner that was given up as silent.

    Args:
        choice: The runner.
        seconds: Seconds without a byte.
        stream: Whether the request is one for a stream.
    """
    eliot.log_message(
        message_type="lagoonpost:forwarding:silent",
        runner=choice.endpoint.id,
        seconds=_round(seconds),
        stream=stream,
    )


def log_cut_off(exchange: Exchange, choice: Choice, outcome: Outcome) -> None:
    """Write the log line of a run that ended without its whole answer.

    Args:
        exchange: The request.
        choice: The runner.
        outcome: How the run ended.
    """
    eliot.log_message(
        message_type="lagoonpost:forwarding:cut_off",
        request=exchange.arrival.id,
        runner=choice.endpoint.id,
        outcome=type(outcome).__name__.lower(),
        causes=exchange.causes[-MAX_LOGGED_CAUSES:],
        first_byte=_round(exchange.first_byte),
        took=_round(exchange.now() - exchange.started),
    )


def log_retry(service: str, source: str, budget: BudgetState) -> None:
    """Write the log line of a decision on a retry.

    Args:
        service: Name of the service.
        source: What the retry was taken from; empty if it isn't granted.
        budget: What this gateway knows of the budget after the decision.
    """
    eliot.log_message(
        message_type="lagoonpost:forwarding:retry",
        service=service,
        granted=bool(source),
        source=source,
        **budget._asdict(),
    )


def log_trial(exchange: Exchange) -> None:
    """Write the log line of a request that may crash its runner.

    Args:
        exchange: The request; it is sent if it is on trial, else refused.
    """
    eliot.log_message(
        message_type="lagoonpost:forwarding:trial",
        request=exchange.arrival.id,
        causes=exchange.causes,
        granted=exchange.on_trial,
    )


def log_brittle_refusal(runner: Endpoint, threshold: float) -> None:
    """Write the log line of a request that a brittle runner turned away.

    Args:
        runner: The runner.
        threshold: Refusals a second beyond which it falls over.
    """
    eliot.log_message(
        message_type="lagoonpost:forwarding:brittle_refusal",
        runner=runner.id,
        threshold=threshold,
    )


def log_limited_request(choice: Choice, rate: float) -> None:
    """Write the log line of a request that is sent to a runner with a limit.

    Args:
        choice: The runner.
        rate: Requests a second that it takes from all gateways together.
    """
    eliot.log_message(
        message_type="lagoonpost:forwarding:limited_request",
        runner=choice.endpoint.id,
        rate=rate,
    )


def log_stated_limits(runner: Endpoint, limits: StatedLimits) -> None:
    """Write the log line of a runner that names other limits than before.

    Args:
        runner: The runner.
        limits: The limits in its last answer.
    """
    eliot.log_message(
        message_type="lagoonpost:forwarding:stated_limits",
        runner=runner.id,
        rate=limits.rate,
        refusals=limits.refusals,
    )


def log_notice(runner: Endpoint, leaving: bool, rest: float | None) -> None:
    """Write the log line of a runner that leaves or wants a rest.

    Args:
        runner: The runner.
        leaving: Whether it leaves.
        rest: Seconds for which it wants no request from this gateway; None if
            it asks for no rest.
    """
    eliot.log_message(
        message_type="lagoonpost:forwarding:notice",
        runner=runner.id,
        born=runner.born,
        leaving=leaving,
        rest=_round(rest),
    )


def _describe_end(end: AnswerEnd) -> str:
    evidence = end.evidence
    framing = "framed" if evidence.framed else "bare"
    arrived = "ended" if evidence.ended else "cut"
    if evidence.late:
        arrived += "_late"
    return (
        f"{end.runner}:{framing}:{arrived}:stop_{evidence.stop.value}"
        f":upload_{evidence.upload.value}:runner_{evidence.runner.value}"
        f":{end.verdict.value}"
    )


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)
