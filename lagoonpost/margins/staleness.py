"""Delays with which gateways acted on updates that others already had."""

from bisect import bisect_right
from collections.abc import Iterable
from itertools import accumulate
from typing import NamedTuple

from lagoonpost.margins.line import (
    ConfigurationFetch,
    ConfigurationUpdate,
    Line,
    RequestEnd,
    RunnerUpdate,
    Started,
)
from lagoonpost.margins.margin import Margin

_DELIVERED_OUTCOMES = frozenset({"whole", "began", "moved"})
"""Outcomes of offers that certainly reached their runner. Offers with other
outcomes may have been lost, or rejected as meant for another runner."""

LEAVING_RUNNER_RULE = "offer to a leaving runner"
PROPAGATION_RULE = "configuration from the first gateway to the last"
WANT_RULE = "configuration that a gateway knew of and lacked"
FETCHED_OUTCOME = "version "
"""Start of the outcome of a question that brought a newer configuration."""
STALE_CONFIGURATION_RULE = "request judged by an older configuration"


class UnavailablePeriod(NamedTuple):
    """A period in which a runner was known to be leaving or gone.

    Attributes:
        since: When the first gateway received the update.
        until: When the first gateway received that the runner is ready
            again; None if none did.
        gateway: First gateway to receive the update.
    """

    since: float
    until: float | None
    gateway: str


def list_unavailable_periods(
    lines: Iterable[Line[RunnerUpdate]],
) -> dict[str, list[UnavailablePeriod]]:
    """Return the periods in which runners were leaving or gone, by id.

    Gateways receive the same update at different times, so only an update
    with a newer version of the runner's entry is considered.

    Args:
        lines: Runner updates in chronological order.
    """
    newest: dict[str, int] = {}
    periods: dict[str, list[UnavailablePeriod]] = {}
    for line in lines:
        message = line.message
        if message.version <= newest.get(message.runner, -1):
            continue
        newest[message.runner] = message.version
        runner_periods = periods.setdefault(message.runner, [])
        unavailable = bool(runner_periods) and runner_periods[-1].until is None
        if message.state == "ready" and unavailable:
            runner_periods[-1] = runner_periods[-1]._replace(until=line.at)
        elif message.state != "ready" and not unavailable:
            runner_periods.append(
                UnavailablePeriod(line.at, None, line.gateway)
            )
    return periods


def find_late_offer(
    updates: Iterable[Line[RunnerUpdate]],
    requests: Iterable[Line[RequestEnd]],
    bound: float | None,
) -> Margin:
    """Find the latest offer to a runner known to be leaving.

    A request's line has the time of its arrival but not of its offers, so
    the value is a lower limit of the delay. Requests that arrived before the
    update are ignored, as they may have been offered before it.

    Args:
        updates: Runner updates in chronological order.
        requests: Ended requests in any order.
        bound: Maximum delay in seconds.
    """
    periods = list_unavailable_periods(updates)
    margin = Margin(LEAVING_RUNNER_RULE, bound=bound, sense="at least")
    for line in requests:
        arrived = line.at - line.message.took
        for step in line.message.steps:
            runner, _, rest = step.partition(":")
            if rest.partition(":")[0] not in _DELIVERED_OUTCOMES:
                continue
            period = _find_unavailable_period(periods.get(runner, []), arrived)
            if period is None:
                continue
            late = arrived - period.since
            if _is_worse(late, margin):
                margin = margin._replace(
                    subject=runner,
                    value=late,
                    at=arrived,
                    what=f"request {line.message.request}, after "
                    f"{period.gateway} knew that the runner leaves",
                    gateways=(line.gateway, period.gateway),
                )
    if margin.value is None:
        return margin._replace(
            what="no request arrived after a runner started to leave"
        )
    return margin


def _find_unavailable_period(
    periods: list[UnavailablePeriod], at: float
) -> UnavailablePeriod | None:
    """Return the period that contains a time, or None."""
    index = bisect_right(periods, at, key=lambda period: period.since)
    if not index:
        return None
    period = periods[index - 1]
    back = period.until is not None and at >= period.until
    return None if back else period


def find_slowest_propagation(
    updates: Iterable[Line[ConfigurationUpdate]],
    starts: Iterable[Line[Started]],
    bound: float | None,
) -> Margin:
    """Find the longest delay from a version's first gateway to its last.

    Considers only gateways that certainly ran when the first gateway applied
    the version, and kept running until they applied it. A gateway that never
    applied it shows in ``find_stalest_request``.

    Args:
        updates: Configuration updates in chronological order.
        starts: Gateway starts in chronological order.
        bound: Seconds within which all gateways must apply a version.
    """
    started: dict[str, list[float]] = {}
    for start in starts:
        started.setdefault(start.gateway, []).append(start.at)
    applied = list(updates)
    first = _find_first(applied)
    versions = sorted(first)
    newest: dict[str, int] = {}
    margin = Margin(PROPAGATION_RULE, bound=bound)
    for line in applied:
        gateway, version = line.gateway, line.message.version
        before = newest.get(gateway)
        newest[gateway] = max(version, before or 0)
        starts_of_gateway = started.get(gateway, [])
        begin = bisect_right(versions, before or 0)
        for number in versions[begin : bisect_right(versions, version)]:
            since, earliest, _ = first[number]
            late = line.at - since
            if gateway == earliest or not _is_worse(late, margin):
                continue
            if before is None and not (
                starts_of_gateway and starts_of_gateway[0] <= since
            ):
                continue
            if any(since < at <= line.at for at in starts_of_gateway):
                continue
            margin = margin._replace(
                subject=f"version {number}",
                value=late,
                at=line.at,
                what=f"version {version} was applied",
                gateways=(gateway,),
            )
    if margin.value is None:
        return margin._replace(
            what="no version reached another running gateway"
        )
    return margin


def find_longest_want(
    fetches: Iterable[Line[ConfigurationFetch]], bound: float | None
) -> Margin:
    """Find the longest time for which a gateway lacked a version it knew of.

    A question that ends after another one was answered counts only if that
    one brought the version.

    Args:
        fetches: Ended questions in chronological order.
        bound: Seconds within which all gateways must apply a version.
    """
    margin = Margin(WANT_RULE, bound=bound)
    for line in fetches:
        message = line.message
        if not message.outcome.startswith(FETCHED_OUTCOME):
            continue
        if _is_worse(message.wanted_seconds, margin):
            margin = margin._replace(
                subject=f"version {message.wanted}",
                value=message.wanted_seconds,
                at=line.at,
                what=f"{message.outcome} came from {message.peer}",
                gateways=(line.gateway,),
            )
    if margin.value is None:
        return margin._replace(what="no configuration was fetched")
    return margin


def find_stalest_request(
    updates: Iterable[Line[ConfigurationUpdate]],
    requests: Iterable[Line[RequestEnd]],
    bound: float | None,
) -> Margin:
    """Find the request handled by the most outdated configuration.

    The value is the time from when the first gateway applied any newer
    version to the request's arrival. Whether the newer version would have
    led to another decision is not logged.

    Args:
        updates: Configuration updates in chronological order.
        requests: Ended requests in any order.
        bound: Seconds within which all gateways must apply a version.
    """
    first = _find_first(updates)
    versions = sorted(first)
    times = [first[version].at for version in versions]
    # For each version, when it or any newer version was first applied.
    since = list(accumulate(reversed(times), min))[::-1]
    margin = Margin(STALE_CONFIGURATION_RULE, bound=bound)
    for line in requests:
        message = line.message
        newer = bisect_right(versions, message.version)
        if not message.version or newer == len(versions):
            continue
        late = line.at - message.took - since[newer]
        if late < 0 or not _is_worse(late, margin):
            continue
        margin = margin._replace(
            subject=f"version {message.version}",
            value=late,
            at=line.at - message.took,
            what=f"request {message.request}",
            gateways=(line.gateway,),
        )
    if margin.value is None:
        return margin._replace(
            what="no request arrived after a newer version was applied"
        )
    return margin


def _is_worse(late: float, margin: Margin) -> bool:
    return margin.value is None or late > margin.value


def _find_first(
    updates: Iterable[Line[ConfigurationUpdate]],
) -> dict[int, Line[ConfigurationUpdate]]:
    """Return the first line of each version: where and when it applied."""
    first: dict[int, Line[ConfigurationUpdate]] = {}
    for line in updates:
        first.setdefault(line.message.version, line)
    return first
