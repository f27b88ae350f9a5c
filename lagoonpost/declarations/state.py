"""Builds the declaration from stored objects and checks its consistency."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

from lagoonpost.declarations.schema import (
    SPEC_BY_KIND,
    MoveSpec,
    OperatorSpec,
    RouteSpec,
    RunnerSpec,
    ServiceSpec,
    VersionSpec,
    WorkspaceSpec,
)
from lagoonpost.tables.entity import (
    Declaration,
    Operator,
    Route,
    Runner,
    Service,
    Version,
    VersionMove,
    Workspace,
)
from lagoonpost.tables.ticket import ABSENT, FieldError, ObjectRecord, Snapshot

SHARE_TOLERANCE = 1e-6
"""Largest rounding error in the sum of shares, which are given as decimals."""


def build_declaration(snapshot: Snapshot) -> Declaration:
    """Return the entities that the objects of ``snapshot`` describe.

    Objects that this release cannot read are skipped, so that gateways of
    two releases can run at the same time.
    """
    entities: dict[str, list[Any]] = defaultdict(list)
    for key, record in sorted(snapshot.objects.items()):
        kind, _, name = key.partition("/")
        if record.state == ABSENT or kind not in SPEC_BY_KIND:
            continue
        try:
            spec = msgspec.convert(record.state, SPEC_BY_KIND[kind])
        except msgspec.ValidationError:
            continue
        entities[kind].append(_BUILDERS[kind](name, spec, record.ticket))
    return Declaration(
        revision=snapshot.revision,
        services=tuple(entities["service"]),
        versions=tuple(entities["version"]),
        workspaces=tuple(entities["workspace"]),
        runners=tuple(entities["runner"]),
        moves=tuple(entities["move"]),
        operators=tuple(entities["operator"]),
    )


def merge_objects(
    old: Mapping[str, ObjectRecord], number: int, new: Mapping[str, Any]
) -> dict[str, ObjectRecord]:
    """Return ``old`` updated with the states of a ticket.

    An object that a later ticket has set keeps its state.

    Args:
        old: Stored objects by key.
        number: Number of the ticket.
        new: States of the ticket by key.
    """
    merged = dict(old)
    for key, state in new.items():
        if key not in merged or merged[key].ticket < number:
            merged[key] = ObjectRecord(number, state)
    return merged


def find_inconsistencies(declaration: Declaration) -> Iterator[FieldError]:
    """Yield dangling references, wrong sums of shares and duplicates."""
    names = _collect_names(declaration)
    yield from _find_dangling_references(declaration, names)
    yield from _find_share_errors(declaration)
    yield from _find_duplicates(
        ("runners." + runner.name, runner.endpoint)
        for runner in declaration.runners
    )
    # A key with two owners would not identify the sender of a request.
    yield from _find_duplicates(_list_keys(declaration))


class _DeclaredNames(NamedTuple):
    """Names of all services, and (service, name) of all versions."""

    services: set[str]
    versions: set[tuple[str, str]]


def _collect_names(declaration: Declaration) -> _DeclaredNames:
    return _DeclaredNames(
        {service.name for service in declaration.services},
        {(version.service, version.name) for version in declaration.versions},
    )


def _find_dangling_references(
    declaration: Declaration, names: _DeclaredNames
) -> Iterator[FieldError]:
    for version in declaration.versions:
        if version.service not in names.services:
            field = f"versions.{version.service}/{version.name}"
            yield FieldError(
                field, f"service {version.service!r} is not declared"
            )
    for runner in declaration.runners:
        if (runner.service, runner.version) not in names.versions:
            reference = f"{runner.service}/{runner.version}"
            field = f"runners.{runner.name}.version"
            yield FieldError(field, f"version {reference!r} is not declared")
    for move in declaration.moves:
        field = f"moves.{move.service}"
        if move.from_version == move.to_version:
            yield FieldError(f"{field}.to", "must differ from `from`")
        versions_by_side = {"from": move.from_version, "to": move.to_version}
        for side, version_name in versions_by_side.items():
            if (move.service, version_name) not in names.versions:
                reference = f"{move.service}/{version_name}"
                yield FieldError(
                    f"{field}.{side}", f"version {reference!r} is not declared"
                )


def _find_share_errors(declaration: Declaration) -> Iterator[FieldError]:
    sums: dict[str, float] = defaultdict(float)
    for version in declaration.versions:
        sums[version.service] += version.share
    for service, total in sums.items():
        if abs(total - 1) > SHARE_TOLERANCE:
            message = f"shares of all versions add up to {total:g}, not 1"
            yield FieldError(f"versions.{service}", message)


def _list_keys(declaration: Declaration) -> Iterator[tuple[str, str]]:
    for workspace in declaration.workspaces:
        yield f"workspaces.{workspace.name}", workspace.key_digest
    for operator in declaration.operators:
        yield f"operators.{operator.name}", operator.key_digest


def _find_duplicates(
    fields: Iterable[tuple[str, str]],
) -> Iterator[FieldError]:
    pairs = tuple(fields)
    counts = Counter(value for _, value in pairs)
    for field, value in pairs:
        if counts[value] > 1:
            yield FieldError(field, f"{value} is given {counts[value]} times")


def _make_route(spec: RouteSpec) -> Route:
    return Route(
        path=spec.path,
        request_class=spec.request_class,
        repeatable=spec.repeatable,
        first_seconds=spec.first,
        token_seconds=spec.between,
        timeout=spec.timeout,
    )


def _make_service(name: str, spec: ServiceSpec, ticket: int) -> Service:
    routes = tuple(_make_route(route) for route in spec.routes)
    return Service(name, spec.kind, routes, ticket)


def _make_version(name: str, spec: VersionSpec, ticket: int) -> Version:
    service, _, version = name.partition("/")
    return Version(service, version, spec.share, ticket)


def _make_workspace(name: str, spec: WorkspaceSpec, ticket: int) -> Workspace:
    return Workspace(name, spec.key_sha256, spec.weight, ticket)


def _make_runner(name: str, spec: RunnerSpec, ticket: int) -> Runner:
    return Runner(
        name=name,
        endpoint=spec.endpoint,
        service=spec.service,
        version=spec.version,
        host=spec.host,
        failure_domain=spec.failure_domain,
        checks_fence=spec.checks_fence,
        slots=spec.slots,
        ticket=ticket,
    )


def _make_move(name: str, spec: MoveSpec, ticket: int) -> VersionMove:
    by = spec.by.timestamp()
    return VersionMove(name, spec.from_version, spec.to_version, by, ticket)


def _make_operator(name: str, spec: OperatorSpec, ticket: int) -> Operator:
    return Operator(name, spec.key_sha256, ticket)


_BUILDERS: dict[str, Callable[[str, Any, int], Any]] = {
    "service": _make_service,
    "version": _make_version,
    "workspace": _make_workspace,
    "runner": _make_runner,
    "move": _make_move,
    "operator": _make_operator,
}
