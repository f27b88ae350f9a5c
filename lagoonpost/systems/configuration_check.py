"""Finds what cannot work in a configuration before it is sent.

A configuration that decodes may still hold entries that no request ever
matches, and limits that contradict each other. Gateways take it as it is, and
callers notice first. Each rule names one such fault; an error makes requests
fail or an entry useless as written, a warning is likely no intention.

Findings name their place in the terms of ``Configuration``. Each rule is a
function of its own, listed in a table.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Literal, NamedTuple

from lagoonpost.systems.quota_limit import compute_limit
from lagoonpost.tables.configuration import (
    Configuration,
    Route,
    Scaling,
    Workspace,
)
from lagoonpost.tables.quota import QuotaBounds

Severity = Literal["error", "warning"]
LOWEST_PRIORITY = 9
"""Lowest priority that model runners know; 0 is the highest."""


class Place(NamedTuple):
    """Place of a value in a configuration.

    Attributes:
        section: ``routes``, ``services``, ``workspaces`` or ``limits``.
        entry: Number of the entry in its section, from 0; None for a section
            that has no entries.
        field: Name of the field; empty for the whole entry.
        item: Number of the item in a field with several; None for all.
        part: Field of the item; empty for the whole item.
    """

    section: str
    entry: int | None = None
    field: str = ""
    item: int | None = None
    part: str = ""


class Finding(NamedTuple):
    """One fault of a configuration.

    Attributes:
        severity: Whether it is an error or a warning.
        place: Where it is.
        message: What it leads to. It holds no key.
    """

    severity: Severity
    place: Place
    message: str


class Deployment(NamedTuple):
    """What the gateways' settings tell of a deployment.

    Attributes:
        regions: Region of each failure domain; None if unknown.
        quota: How quotas are counted.
        version: Version of the configuration in force; None if unknown.
    """

    regions: Mapping[str, str] | None
    quota: QuotaBounds
    version: int | None = None


Findings = Iterator[Finding]


def check_configuration(
    configuration: Configuration, deployment: Deployment
) -> list[Finding]:
    """Return the faults of a configuration, errors first.

    Args:
        configuration: The configuration.
        deployment: What is known of the deployment.
    """
    findings = [
        finding
        for rule in _RULES
        for finding in rule(configuration, deployment)
    ]
    return sorted(findings, key=lambda finding: finding.severity != "error")


def _check_version(
    configuration: Configuration, deployment: Deployment
) -> Findings:
    force = deployment.version
    if force is not None and configuration.version <= force:
        yield Finding(
            "error",
            Place("version"),
            f"never comes into force, as version {force} is in force",
        )


def _check_matches(configuration: Configuration, _: Deployment) -> Findings:
    """Find routes that no request matches."""
    last = {
        (route.host.lower(), route.prefix): index
        for index, route in enumerate(configuration.routes)
    }
    for index, route in enumerate(configuration.routes):
        winner = last[(route.host.lower(), route.prefix)]
        if winner != index:
            name = configuration.routes[winner].name
            yield Finding(
                "error",
                Place("routes", index, "prefix"),
                f"never matches: route {name!r} has the same host and prefix",
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield Finding(
                "error",
                Place("routes", index, "prefix"),
                "never matches: a prefix begins and ends with a slash",
            )
        if not route.host:
            yield Finding(
                "error",
                Place("routes", index, "host"),
                "never matches: every request names a host",
            )


def _check_shares(configuration: Configuration, _: Deployment) -> Findings:
    """Find shares of traffic that lead nowhere."""
    for index, route in enumerate(configuration.routes):
        weights = [share.weight for share in route.shares]
        if not any(weight > 0 for weight in weights):
            yield Finding(
                "error",
                Place("routes", index, "shares"),
                "no service gets requests: no weight is above 0",
            )
        for item, share in enumerate(route.shares):
            if share.service not in configuration.services:
                yield Finding(
                    "error",
                    Place("routes", index, "shares", item, "service"),
                    f"there is no service {share.service!r}",
                )
            if share.weight < 0:
                yield Finding(
                    "error",
                    Place("routes", index, "shares", item, "weight"),
                    "a weight is not negative",
                )
            elif share.weight == 0 and any(weights):
                yield Finding(
                    "warning",
                    Place("routes", index, "shares", item, "weight"),
                    f"service {share.service!r} gets no requests of the route",
                )


def _find_route_faults(route: Route) -> Iterator[tuple[Severity, str, str]]:
    """Yield severity, field and message of contradictions in a route."""
    if route.timeout <= 0:
        yield "error", "timeout", "every request fails at once"
    if route.target > route.timeout:
        yield (
            "error",
            "target",
            f"is later than the timeout of {route.timeout:g} s",
        )
    if route.gap > route.timeout:
        yield (
            "error",
            "gap",
            f"is longer than the timeout of {route.timeout:g} s",
        )
    if route.gap and route.kind != "stream":
        yield "warning", "gap", f"has no effect: the route is {route.kind!r}"
    if route.resumable and route.kind == "unsafe":
        yield (
            "error",
            "resumable",
            "lets requests run twice though they are unsafe",
        )
    if route.max_attempts < 1:
        yield "error", "max_attempts", "a request needs one attempt at least"
    if route.max_attempts > 1 and not route.idempotent:
        yield (
            "warning",
            "max_attempts",
            "attempts beyond the first are used only if no runner has run the"
            " request, as it may not run twice",
        )
    if not 0 <= route.priority <= LOWEST_PRIORITY:
        yield (
            "error" if route.priority < 0 else "warning",
            "priority",
            f"priorities are from 0 to {LOWEST_PRIORITY}",
        )


def _check_routes(configuration: Configuration, _: Deployment) -> Findings:
    for index, route in enumerate(configuration.routes):
        for severity, field, message in _find_route_faults(route):
            yield Finding(severity, Place("routes", index, field), message)


def _check_services(
    configuration: Configuration, deployment: Deployment
) -> Findings:
    used = {
        share.service
        for route in configuration.routes
        for share in route.shares
    }
    for index, service in enumerate(configuration.services.values()):
        if service.name not in used:
            yield Finding(
                "warning", Place("services", index), "no route uses it"
            )
        for field, other, value, needed in (
            (
                "cold_rate",
                "cold_seconds",
                service.cold_rate,
                service.cold_seconds,
            ),
            (
                "cold_seconds",
                "cold_rate",
                service.cold_seconds,
                service.cold_rate,
            ),
        ):
            if value > 0 and needed <= 0:
                yield Finding(
                    "warning",
                    Place("services", index, field),
                    f"has no effect without {other.replace('_', ' ')}",
                )
        if service.scaling is not None:
            for severity, field, message in _find_scaling_faults(
                service.scaling, deployment.regions
            ):
                yield Finding(
                    severity, Place("services", index, field), message
                )


def _find_scaling_faults(
    scaling: Scaling, regions: Mapping[str, str] | None
) -> Iterator[tuple[Severity, str, str]]:
    """Yield severity, field and message of contradictions in scaling."""
    if scaling.min_runners > scaling.max_runners:
        yield (
            "error",
            "min_runners",
            f"is more than the most, {scaling.max_runners}",
        )
    elif scaling.max_runners == 0:
        yield "warning", "max_runners", "no runner is ever ordered"
    if not scaling.prices:
        yield "warning", "prices", "no failure domain has a price"
    for domain, price in scaling.prices.items():
        if price <= 0:
            yield "error", "prices", f"the price in {domain!r} is not above 0"
        if regions is not None and domain not in regions:
            yield "error", "prices", f"there is no failure domain {domain!r}"


def _check_keys(configuration: Configuration, _: Deployment) -> Findings:
    """Find keys that don't lead to the workspace that holds them."""
    holders = {
        key: workspace.name
        for workspace in configuration.workspaces
        for key in workspace.keys
    }
    for index, workspace in enumerate(configuration.workspaces):
        if not workspace.keys:
            yield Finding(
                "warning",
                Place("workspaces", index, "keys"),
                "no request belongs to it, as it has no key",
            )
        for item, key in enumerate(workspace.keys):
            place = Place("workspaces", index, "keys", item)
            if not key:
                yield Finding("error", place, "an empty key never matches")
            elif holders[key] != workspace.name:
                yield Finding(
                    "error",
                    place,
                    f"workspace {holders[key]!r} has the same key and gets"
                    " its requests",
                )
            elif key in workspace.keys[:item]:
                yield Finding("warning", place, "is there twice")


def _find_quota_faults(
    workspace: Workspace, bounds: QuotaBounds
) -> Iterator[tuple[Severity, str, str]]:
    """Yield severity, field and message of contradictions in a quota."""
    for field, value in (("rate", workspace.rate), ("burst", workspace.burst)):
        if value < 0:
            yield "error", field, "is negative"
    if workspace.burst > 0 and workspace.rate == 0:
        yield "warning", "burst", "has no effect: a rate of 0 is no limit"
    if workspace.priority is not None and workspace.priority < 0:
        yield "error", "priority", "the most urgent priority is 0"
    units = workspace.default_tokens if workspace.by_tokens else 1.0
    limit = compute_limit(bounds, workspace)
    if workspace.rate > 0 and limit < units:
        yield (
            "error",
            "rate",
            f"admits {limit:g} units in {bounds.window:g} s, and a request"
            f" takes {units:g}: all are refused",
        )


def _check_quotas(
    configuration: Configuration, deployment: Deployment
) -> Findings:
    for index, workspace in enumerate(configuration.workspaces):
        for severity, field, message in _find_quota_faults(
            workspace, deployment.quota
        ):
            yield Finding(severity, Place("workspaces", index, field), message)


def _check_regions(
    configuration: Configuration, deployment: Deployment
) -> Findings:
    """Find homes that no failure domain is in, or that exclude each other."""
    sections: dict[str, Sequence[Route | Workspace]] = {
        "routes": configuration.routes,
        "workspaces": configuration.workspaces,
    }
    if deployment.regions is not None:
        known = set(deployment.regions.values())
        for section, owners in sections.items():
            for index, owner in enumerate(owners):
                for item, region in enumerate(owner.regions):
                    if region not in known:
                        yield Finding(
                            "error",
                            Place(section, index, "regions", item),
                            "no failure domain is in this region",
                        )
    for index, workspace in enumerate(configuration.workspaces):
        excluded = [
            route.name
            for route in configuration.routes
            if route.regions
            and workspace.regions
            and not set(route.regions) & set(workspace.regions)
        ]
        if excluded:
            yield Finding(
                "warning",
                Place("workspaces", index, "regions"),
                f"no region is common with routes {', '.join(excluded)}",
            )


def _check_limits(configuration: Configuration, _: Deployment) -> Findings:
    for field, value in configuration.limits._asdict().items():
        if value <= 0:
            yield Finding(
                "error", Place("limits", field=field), "refuses every request"
            )


_RULES: tuple[Callable[[Configuration, Deployment], Findings], ...] = (
    _check_version,
    _check_matches,
    _check_shares,
    _check_routes,
    _check_services,
    _check_keys,
    _check_quotas,
    _check_regions,
    _check_limits,
)
