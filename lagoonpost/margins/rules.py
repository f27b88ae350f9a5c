"""Computes the margins of all rules from logs."""

from collections.abc import Callable

from lagoonpost.margins.crash import find_late_crashes, find_late_repeats
from lagoonpost.margins.duties import (
    find_holder_returns,
    find_lease_returns,
    find_shared_fences,
    find_shared_lease_fences,
    list_calls,
    list_tenures,
)
from lagoonpost.margins.limit import find_limited_requests
from lagoonpost.margins.line import (
    BrittleRefusal,
    ConfigurationFetch,
    ConfigurationUpdate,
    Conviction,
    DutyCall,
    LeaseChange,
    LimitedRequest,
    Notice,
    PartitionChange,
    RequestEnd,
    Retry,
    RunnerCrash,
    RunnerUpdate,
    SilentRunner,
    Started,
)
from lagoonpost.margins.log_reader import Logs
from lagoonpost.margins.margin import Margin
from lagoonpost.margins.notice import (
    find_offer_after_notice,
    find_requests_in_rest,
)
from lagoonpost.margins.partition import (
    find_brittle_refusals,
    find_keepalive,
    find_partition_service,
    find_shortest_silence,
)
from lagoonpost.margins.quota import find_quota_use
from lagoonpost.margins.retry import find_retry_use
from lagoonpost.margins.staleness import (
    find_late_offer,
    find_longest_want,
    find_slowest_propagation,
    find_stalest_request,
)

Finder = Callable[[Logs], list[Margin]]

UNLOGGED_RULES: dict[str, str] = {
    "requests that run more than once": "no line says whether a request may "
    "be repeated",
    "requests to a version that was taken back": "no line says which version "
    "a runner has",
}
"""Rules that cannot be checked from logs, with the reason."""


def find_margins(logs: Logs) -> list[Margin]:
    """Return the margins of all rules, including those without data."""
    margins = [margin for finder in _FINDERS for margin in finder(logs)]
    return margins + [
        Margin(rule, untold=why) for rule, why in UNLOGGED_RULES.items()
    ]


def _find_calls(logs: Logs) -> list[Margin]:
    calls = list_calls(logs.find(DutyCall))
    bound = logs.find_bound("lease_seconds")
    return [*find_holder_returns(calls, bound), find_shared_fences(calls)]


def _find_leases(logs: Logs) -> list[Margin]:
    tenures = list_tenures(logs.find(LeaseChange))
    bound = logs.find_bound("lease_seconds")
    return [
        *find_lease_returns(tenures, bound),
        find_shared_lease_fences(tenures),
    ]


def _find_staleness(logs: Logs) -> list[Margin]:
    requests = logs.find(RequestEnd)
    updates = logs.find(ConfigurationUpdate)
    drain = logs.find_bound("drain_seconds")
    apply = logs.find_bound("apply_seconds")
    return [
        find_late_offer(logs.find(RunnerUpdate), requests, drain),
        find_slowest_propagation(updates, logs.find(Started), apply),
        find_longest_want(logs.find(ConfigurationFetch), apply),
        find_stalest_request(updates, requests, apply),
    ]


def _find_notices(logs: Logs) -> list[Margin]:
    notices = logs.find(Notice)
    requests = logs.find(RequestEnd)
    updates = logs.find(RunnerUpdate)
    drain = logs.find_bound("drain_seconds")
    return [
        find_offer_after_notice(notices, updates, requests, drain),
        find_requests_in_rest(notices, requests),
    ]


def _find_quota_use(logs: Logs) -> list[Margin]:
    names = ("quota_window", "quota_overage", "quota_slack")
    window, overage, slack = map(logs.find_bound, names)
    return [find_quota_use(logs.find(RequestEnd), window, overage, slack)]


def _find_retry_use(logs: Logs) -> list[Margin]:
    names = ("budget_window", "budget_ratio", "budget_floor")
    window, ratio, floor = map(logs.find_bound, names)
    retries, requests = logs.find(Retry), logs.find(RequestEnd)
    return [find_retry_use(retries, requests, window, ratio, floor)]


def _find_runner_care(logs: Logs) -> list[Margin]:
    contact = logs.find_bound("contact_seconds")
    changes = logs.find(PartitionChange)
    return [
        find_partition_service(changes, logs.find(RequestEnd), contact),
        find_brittle_refusals(logs.find(BrittleRefusal)),
        find_limited_requests(logs.find(LimitedRequest), contact),
        find_late_crashes(
            logs.find(RunnerCrash), logs.find(Conviction), contact
        ),
        find_late_repeats(logs.find(RunnerCrash), contact),
        find_shortest_silence(logs.find(SilentRunner)),
        find_keepalive(logs.find(Started)),
    ]


_FINDERS: tuple[Finder, ...] = (
    _find_calls,
    _find_leases,
    _find_staleness,
    _find_notices,
    _find_quota_use,
    _find_retry_use,
    _find_runner_care,
)
