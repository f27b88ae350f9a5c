"""All margins of some logs, and what no log tells."""

from collections.abc import Callable

from lagoonpost.margins.duties import (
    find_lease_returns,
    find_returns,
    find_shared_fences,
    find_shared_lease_fences,
    list_calls,
    list_tenures,
)
from lagoonpost.margins.line import (
    ConfigurationNews,
    DutyCall,
    LeaseChange,
    RequestEnd,
    RunnerNews,
    Started,
)
from lagoonpost.margins.margin import Margin
from lagoonpost.margins.news import find_late_offer, find_older, find_spread
from lagoonpost.margins.quota import find_use
from lagoonpost.margins.reading import Logs

Finder = Callable[[Logs], list[Margin]]

UNTOLD: dict[str, str] = {
    "requests that run more than once": "no line says whether a request may "
    "be repeated",
    "repeats of requests within their budget": "no line says when a request "
    "was offered again",
    "requests to a version that was taken back": "no line says which version "
    "a runner has",
}
"""What is promised and no line tells, with the reason."""


def find_margins(logs: Logs) -> list[Margin]:
    """Return all margins, and each that the logs don't tell."""
    margins = [margin for finder in _FINDERS for margin in finder(logs)]
    return margins + [Margin(rule, untold=why) for rule, why in UNTOLD.items()]


def _find_calls(logs: Logs) -> list[Margin]:
    calls = list_calls(logs.find(DutyCall))
    bound = logs.find_bound("lease_seconds")
    return [*find_returns(calls, bound), find_shared_fences(calls)]


def _find_leases(logs: Logs) -> list[Margin]:
    tenures = list_tenures(logs.find(LeaseChange))
    bound = logs.find_bound("lease_seconds")
    return [
        *find_lease_returns(tenures, bound),
        find_shared_lease_fences(tenures),
    ]


def _find_news(logs: Logs) -> list[Margin]:
    requests = logs.find(RequestEnd)
    news = logs.find(ConfigurationNews)
    drain = logs.find_bound("drain_seconds")
    apply = logs.find_bound("apply_seconds")
    return [
        find_late_offer(logs.find(RunnerNews), requests, drain),
        find_spread(news, logs.find(Started), apply),
        find_older(news, requests, apply),
    ]


def _find_use(logs: Logs) -> list[Margin]:
    names = ("quota_window", "quota_overage", "quota_slack")
    window, overage, slack = map(logs.find_bound, names)
    return [find_use(logs.find(RequestEnd), window, overage, slack)]


_FINDERS: tuple[Finder, ...] = (
    _find_calls,
    _find_leases,
    _find_news,
    _find_use,
)
