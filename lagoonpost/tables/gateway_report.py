"""What each gateway tells all others about its own work."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lagoonpost.tables.version_shift import VersionCounts


class RunnerWork(NamedTuple):
    """One gateway's open work at a runner.

    Attributes:
        requests: Requests that have not been answered whole.
        tokens: Prompt tokens that have still to be read for them.
    """

    requests: int = 0
    tokens: int = 0


class GatewayReport(NamedTuple):
    """The state of one run of a gateway.

    Attributes:
        name: Name of the gateway.
        run: Identifies this run of its process.
        work: Open work by runner.
        used: Units of quota by workspace that were let through since start.
        recent: The part of them within the quotas' window.
        begun: Requests that runners began, by workspace, by usage window.
        prompt_tokens: Prompt tokens sent since the start, by service, that
            no runner was expected to hold already.
        waiting: Prompt tokens under way that have not been read, by service.
        pace: Seconds for reading a prompt token alone, by service, as
            measured here.
        version: Version of its configuration.
        versions: Answers by service and route while a service moves to
            another version.
        rank: Number of this report; the highest one of a run holds.
        read_age: Seconds since the store last answered it for each of the
            tables; None if it never did.
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


UsageByAge = dict[str, list[tuple[float, float]]]
"""Units let through, by workspace, as pairs of their age in seconds and their
number."""


class HubSummary(NamedTuple):
    """What a hub says of all gateways to one of them.

    Attributes:
        hub: Run of the hub.
        number: Number of the summary; the highest one of a hub holds.
        run: The receiver's run that is in the sums; empty if none is.
        rank: Number of that run's last report.
        gateways: Gateways that the hub hears, itself included.
        work: Open work of all gateways by runner.
        taken: Units of quota that all let through within the window.
        read_age: Seconds since the store last answered any of them; None if
            it never did.
    """

    hub: str
    number: int
    run: str
    sequence: int
    gateways: int
    work: dict[str, RunnerWork]
    recent_usage: UsageByAge
    read_age: float | None = None


def add_work(reports: Iterable[GatewayReport]) -> dict[str, RunnerWork]:
    """Return the sum of some gateways' open work by runner."""
    total: dict[str, RunnerWork] = {}
    for report in reports:
        for runner, work in report.work.items():
            before = total.get(runner, RunnerWork())
            total[runner] = RunnerWork(
                before.requests + work.requests, before.tokens + work.tokens
            )
    return total


def subtract_work(
    total: Mapping[str, RunnerWork], part: Mapping[str, RunnerWork]
) -> dict[str, RunnerWork]:
    """Return what is left of a sum of open work without one part of it."""
    return {
        runner: RunnerWork(
            max(0, work.requests - part.get(runner, _NONE).requests),
            max(0, work.tokens - part.get(runner, _NONE).tokens),
        )
        for runner, work in total.items()
    }


_NONE = RunnerWork()
