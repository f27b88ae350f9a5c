"""Requests to runners that had said in answers that they leave or rest."""

from collections import defaultdict
from collections.abc import Iterable
from math import inf

from lagoonpost.margins.line import Line, Notice, RequestEnd, RunnerUpdate
from lagoonpost.margins.margin import Margin

DEPARTURE_RULE = "offer to a runner after an answer that says that it leaves"
REST_RULE = "requests to a runner within a rest that it has asked for"
MOST_IN_REST, REST_SLACK_SECONDS = 2, 0.5
"""Requests of a gateway that may reach a runner in a rest, and time from the
refusal on that does not count."""
_DELIVERED_OUTCOMES = frozenset({"whole", "began", "moved", "notrun"})


def find_offer_after_notice(
    notices: Iterable[Line[Notice]],
    updates: Iterable[Line[RunnerUpdate]],
    requests: Iterable[Line[RequestEnd]],
    bound: float | None,
) -> Margin:
    """Find the latest offer to a runner by a gateway that it had told.

    A request's line has the time of its arrival but not of its offers, so the
    value is a lower limit of the delay.

    Args:
        notices: What runners said in answers, in chronological order.
        updates: Runner updates.
        requests: Ended requests.
        bound: Maximum delay in seconds.
    """
    told: dict[tuple[str, str], Line[Notice]] = {}
    for line in notices:
        if line.message.leaving:
            told.setdefault((line.gateway, line.message.runner), line)
    starts = [line for line in updates if line.message.state == "ready"]
    margin = Margin(DEPARTURE_RULE, bound=bound, sense="at least")
    for request in requests:
        arrived = request.at - request.message.took
        for runner in _list_runners(request):
            notice = told.get((request.gateway, runner))
            if notice is None or arrived <= notice.at:
                continue
            late = arrived - notice.at
            is_worse = margin.value is None or late > margin.value
            if is_worse and not _has_restarted(notice, starts, arrived):
                margin = margin._replace(
                    subject=runner,
                    value=late,
                    at=arrived,
                    what=f"request {request.message.request}",
                    gateways=(request.gateway,),
                )
    if margin.value is None:
        return margin._replace(
            what="no request arrived after a runner said that it leaves"
        )
    return margin


def _list_runners(request: Line[RequestEnd]) -> list[str]:
    """Return the runners that a request certainly reached."""
    steps = (step.split(":") for step in request.message.steps)
    return [
        step[0]
        for step in steps
        if len(step) > 1 and step[1] in _DELIVERED_OUTCOMES
    ]


def _has_restarted(
    notice: Line[Notice], starts: list[Line[RunnerUpdate]], at: float
) -> bool:
    """Return whether a runner was known to have started anew by a time."""
    return any(
        line.message.runner == notice.message.runner
        and line.message.born > notice.message.born
        and line.at <= at
        for line in starts
    )


def find_requests_in_rest(
    notices: Iterable[Line[Notice]], requests: Iterable[Line[RequestEnd]]
) -> Margin:
    """Find the rest in which a runner got most requests of one gateway.

    Only requests that arrived and ended within the rest certainly reached
    their runner in it.

    Args:
        notices: What runners said in answers.
        requests: Ended requests.
    """
    reached: dict[tuple[str, str], list[tuple[float, float]]]
    reached = defaultdict(list)
    for line in requests:
        for runner in _list_runners(line):
            reached[line.gateway, runner].append(
                (line.at - line.message.took, line.at)
            )
    margin = Margin(
        REST_RULE, unit="", bound=float(MOST_IN_REST), sense="at least"
    )
    most = -inf
    for notice in notices:
        rest = notice.message.rest
        if rest is None:
            continue
        begin, end = notice.at + REST_SLACK_SECONDS, notice.at + rest
        count = sum(
            begin <= arrived and ended < end
            for arrived, ended in reached[
                notice.gateway, notice.message.runner
            ]
        )
        if count > most:
            most = count
            margin = margin._replace(
                subject=notice.message.runner,
                value=float(count),
                at=notice.at,
                gateways=(notice.gateway,),
            )
    if margin.value is None:
        return margin._replace(what="no runner asked for a rest")
    return margin
