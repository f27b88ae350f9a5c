"""Reports about in-flight work and quota use that gateways exchange."""

from collections.abc import Iterable, Mapping
from itertools import zip_longest
from typing import NamedTuple

from lagoonpost.tables.fact import RecentFact
from lagoonpost.tables.quota import QuotaOrder
from lagoonpost.tables.runner_speed import SpeedEvidence, SpeedSamples
from lagoonpost.tables.urgency import trim
from lagoonpost.tables.version_shift import VersionCounts


class RunnerWork(NamedTuple):
    """In-flight work at a runner.

    Attributes:
        requests: Requests without a complete response.
        tokens: Prompt tokens of these requests that still need prefill.
        by_urgency: The part of these tokens whose requests state an urgency,
            by level, without zeros at the end.
    """

    requests: int = 0
    tokens: int = 0
    by_urgency: tuple[int, ...] = ()


UsageByAge = dict[str, list[tuple[float, float]]]
"""Admitted quota units by workspace, as pairs of age in seconds and units."""


class DatedUsage(NamedTuple):
    """Quota units that a gateway admitted recently, by age.

    Attributes:
        buckets: Pairs of a bucket's index and units, by workspace. The
            buckets are equal parts of a window, the latest first.
        earlier: Ages of the gateway's earlier reports in seconds.
    """

    buckets: dict[str, list[tuple[int, float]]]
    earlier: tuple[float, ...] = ()


class GatewayReport(NamedTuple):
    """State of one gateway process.

    Attributes:
        name: Name of the gateway.
        run: Id of the process; a restarted gateway has a new one.
        work: In-flight work of this gateway by runner.
        used: Quota units admitted since the process started, by workspace.
        recent: Quota units admitted within the quota window, by workspace.
        begun: Requests that runners started, by usage window, then by
            workspace.
        prompt_tokens: Prompt tokens sent since the process started, by
            service; tokens expected to be in a runner's prefix cache are not
            counted.
        unread_prompt_tokens: Prompt tokens in flight that still need
            prefill, by service.
        seconds_per_prompt_token: Measured prefill time per token without
            concurrent requests, by service.
        version: Version of the active configuration.
        shift_counts: Response counts by service and route, for services
            whose traffic is being shifted to another version.
        sequence: Sequence number within the run; receivers ignore a report
            whose number is not higher than the last one.
        read_age: Age in seconds of the last successful store read of the
            least recently read table; None if some table was never read.
        speeds: New measurements of the runners' speeds, by runner; those of
            a lost report are lost.
        demand: Units a second that callers ask for, by service, then by
            workspace; only of services that are nearly short.
        recent_facts: Facts that the gateway received recently.
        quota_order: Order of the report among the requests to issuers of
            quotas; None from builds that send none.
        dated_usage: The units in ``recent`` by age, for a new hub; None for
            others, and from builds that send none.
    """

    name: str
    run: str
    work: dict[str, RunnerWork]
    used: dict[str, float]
    recent: dict[str, float]
    begun: dict[int, dict[str, int]]
    prompt_tokens: dict[str, int]
    unread_prompt_tokens: dict[str, int]
    seconds_per_prompt_token: dict[str, float]
    version: int
    shift_counts: dict[str, dict[str, VersionCounts]]
    sequence: int = 0
    read_age: float | None = None
    speeds: dict[str, SpeedSamples] | None = None
    demand: dict[str, dict[str, float]] | None = None
    recent_facts: tuple[RecentFact, ...] = ()
    quota_order: QuotaOrder | None = None
    dated_usage: DatedUsage | None = None


class HubSummary(NamedTuple):
    """Totals over all gateways that a hub sends to one gateway.

    Attributes:
        hub: Id of the hub's process.
        number: Sequence number of the summary; receivers ignore one that is
            not higher than the last one from the same hub.
        run: Process id of the receiver whose report is included in the
            totals; empty if none is.
        sequence: Sequence number of the receiver's included report.
        gateways: Number of gateways in the totals, the hub included.
        work: In-flight work of all gateways by runner.
        recent_usage: Quota units admitted by all gateways within the quota
            window.
        read_age: Age in seconds of the last successful store read by any
            gateway; None if there was none.
        speeds: What all gateways together know of the runners' speeds, by
            runner; others are as told before.
        demand: Units a second that callers ask for at all gateways, by
            service, then by workspace; only of services that are nearly
            short.
        version: Newest version of the configuration in force at any gateway.
        recent_facts: Facts that the hub received recently.
    """

    hub: str
    number: int
    run: str
    sequence: int
    gateways: int
    work: dict[str, RunnerWork]
    recent_usage: UsageByAge
    read_age: float | None = None
    speeds: dict[str, SpeedEvidence] | None = None
    demand: dict[str, dict[str, float]] | None = None
    version: int = 0
    recent_facts: tuple[RecentFact, ...] = ()


def add_work(reports: Iterable[GatewayReport]) -> dict[str, RunnerWork]:
    """Return the total in-flight work of several gateways by runner."""
    total: dict[str, RunnerWork] = {}
    for report in reports:
        for runner, work in report.work.items():
            subtotal = total.get(runner, RunnerWork())
            total[runner] = RunnerWork(
                subtotal.requests + work.requests,
                subtotal.tokens + work.tokens,
                _combine(subtotal.by_urgency, work.by_urgency, 1),
            )
    return total


def subtract_work(
    total: Mapping[str, RunnerWork], part: Mapping[str, RunnerWork]
) -> dict[str, RunnerWork]:
    """Subtract in-flight work from a total, with 0 as the lower bound.

    Args:
        total: In-flight work by runner.
        part: Work to subtract; runners that are not in ``total`` are ignored.
    """
    return {
        runner: RunnerWork(
            max(0, work.requests - part.get(runner, _NO_WORK).requests),
            max(0, work.tokens - part.get(runner, _NO_WORK).tokens),
            _combine(
                work.by_urgency, part.get(runner, _NO_WORK).by_urgency, -1
            ),
        )
        for runner, work in total.items()
    }


def _combine(
    first: tuple[int, ...], second: tuple[int, ...], sign: int
) -> tuple[int, ...]:
    """Return the sum by level; the second counts with the given sign."""
    if not second:
        return first
    levels = zip_longest(first, second, fillvalue=0)
    return trim([max(0, one + sign * other) for one, other in levels])


_NO_WORK = RunnerWork()
