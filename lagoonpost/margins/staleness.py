"""How late gateways acted on what others already knew."""

from bisect import bisect_right
from collections.abc import Iterable
from itertools import accumulate
from typing import NamedTuple

from lagoonpost.margins.line import (
    ConfigurationUpdate,
    Line,
    RequestEnd,
    RunnerUpdate,
    Started,
)
from lagoonpost.margins.margin import Margin

_DELIVERED_OUTCOMES = frozenset({"whole", "began", "moved"})
"""Outcomes of offers that surely reached their runner. Others may have been
lost on the way, or turned away as meant for another runner."""

LEAVING_RUNNER_RULE = "offer to a leaving runner"
PROPAGATION_RULE = "configuration from the first gateway to the last"
STALE_CONFIGURATION_RULE = "request judged by an older configuration"


class UnavailablePeriod(NamedTuple):
    """A time for which some gateway knew that a runner leaves or is gone.

    Attributes:
        since: When the first gateway learned it.
        until: When the first learned that it is back; None if none did.
        gateway: The first gateway.
    """

    since: float
    until: float | None
    gateway: str


def list_unavailable_periods(
    lines: Iterable[Line[RunnerUpdate]],
) -> dict[str, list[UnavailablePeriod]]:
    """Return when runners were leaving or gone, by their ids.

    Gateways learn the same news at different times, so that only a newer
    stamp of a runner's entry changes anything.

    Args:
        lines: In the order of time.
    """
    newest: dict[str, int] = {}
    absences: dict[str, list[UnavailablePeriod]] = {}
    for line in lines:
        said = line.message
        if said.version <= newest.get(said.runner, -1):
            continue
        newest[said.runner] = said.version
        known = absences.setdefault(said.runner, [])
        away = bool(known) and known[-1].until is None
        if said.state == "ready" and away:
            known[-1] = known[-1]._replace(until=line.at)
        elif said.state != "ready" and not away:
            known.append(UnavailablePeriod(line.at, None, line.gateway))
    return absences


def find_late_offer(
    news: Iterable[Line[RunnerUpdate]],
    requests: Iterable[Line[RequestEnd]],
    bound: float | None,
) -> Margin:
    """Return the latest offer to a runner that was known to leave.

    A line tells when its request arrived and not when it was offered, so
    that it was offered at least so late. Of requests that arrived before the
    news nothing is told.
    """
    absences = list_unavailable_periods(news)
    margin = Margin(LEAVING_RUNNER_RULE, bound=bound, sense="at least")
    for line in requests:
        arrived = line.at - line.message.took
        for step in line.message.steps:
            runner, _, rest = step.partition(":")
            if rest.partition(":")[0] not in _DELIVERED_OUTCOMES:
                continue
            absence = _find_unavailable_period(
                absences.get(runner, []), arrived
            )
            if absence is None:
                continue
            late = arrived - absence.since
            if _is_worse(late, margin):
                margin = margin._replace(
                    subject=runner,
                    value=late,
                    at=arrived,
                    what=f"request {line.message.request}, after "
                    f"{absence.gateway} knew that the runner leaves",
                    gateways=(line.gateway, absence.gateway),
                )
    if margin.value is None:
        return margin._replace(what="no request that arrived after the news")
    return margin


def _find_unavailable_period(
    absences: list[UnavailablePeriod], at: float
) -> UnavailablePeriod | None:
    """Return the absence in which a time lies."""
    index = bisect_right(absences, at, key=lambda each: each.since)
    if not index:
        return None
    absence = absences[index - 1]
    back = absence.until is not None and at >= absence.until
    return None if back else absence


def find_slowest_propagation(
    news: Iterable[Line[ConfigurationUpdate]],
    starts: Iterable[Line[Started]],
    bound: float | None,
) -> Margin:
    """Return the longest time from a version's first gateway to its last.

    Only gateways count that surely ran when the first one had it, and went
    on until they had it. One that never had the version shows in the
    requests that it judged.

    Args:
        news: In the order of time.
        starts: In the order of time.
        bound: Seconds within which a version must be in force everywhere.
    """
    started: dict[str, list[float]] = {}
    for start in starts:
        started.setdefault(start.gateway, []).append(start.at)
    held = list(news)
    first = _find_first(held)
    versions = sorted(first)
    done: dict[str, int] = {}
    margin = Margin(PROPAGATION_RULE, bound=bound)
    for line in held:
        gateway, version = line.gateway, line.message.version
        before = done.get(gateway)
        done[gateway] = max(version, before or 0)
        lives = started.get(gateway, [])
        begin = bisect_right(versions, before or 0)
        for number in versions[begin : bisect_right(versions, version)]:
            since, earliest, _ = first[number]
            late = line.at - since
            if gateway == earliest or not _is_worse(late, margin):
                continue
            if before is None and not (lives and lives[0] <= since):
                continue
            if any(since < at <= line.at for at in lives):
                continue
            margin = margin._replace(
                subject=f"version {number}",
                value=late,
                at=line.at,
                what=f"version {version} came in force",
                gateways=(gateway,),
            )
    if margin.value is None:
        return margin._replace(what="no version that came to running gateways")
    return margin


def find_stalest_request(
    news: Iterable[Line[ConfigurationUpdate]],
    requests: Iterable[Line[RequestEnd]],
    bound: float | None,
) -> Margin:
    """Return the latest request that an older configuration judged.

    Its lateness is its arrival's, from the time at which the first gateway
    had any newer version. Whether the newer one had judged otherwise, no
    line tells.

    Args:
        news: In the order of time.
        requests: In any order.
        bound: Seconds within which a version must be in force everywhere.
    """
    first = _find_first(news)
    versions = sorted(first)
    times = [first[each].at for each in versions]
    # For each version, when any of it or a newer one was first in force.
    since = list(accumulate(reversed(times), min))[::-1]
    margin = Margin(STALE_CONFIGURATION_RULE, bound=bound)
    for line in requests:
        said = line.message
        newer = bisect_right(versions, said.version)
        if not said.version or newer == len(versions):
            continue
        late = line.at - said.took - since[newer]
        if late < 0 or not _is_worse(late, margin):
            continue
        margin = margin._replace(
            subject=f"version {said.version}",
            value=late,
            at=line.at - said.took,
            what=f"request {said.request}",
            gateways=(line.gateway,),
        )
    if margin.value is None:
        return margin._replace(what="no request that arrived after a newer")
    return margin


def _is_worse(late: float, margin: Margin) -> bool:
    return margin.value is None or late > margin.value


def _find_first(
    news: Iterable[Line[ConfigurationUpdate]],
) -> dict[int, Line[ConfigurationUpdate]]:
    """Return where and when each version was first in force."""
    first: dict[int, Line[ConfigurationUpdate]] = {}
    for line in news:
        first.setdefault(line.message.version, line)
    return first
