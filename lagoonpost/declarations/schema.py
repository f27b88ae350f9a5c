"""The ticket format: one struct for each kind of object.

msgspec checks types and ranges of structs only, so these are structs and
not TypedDicts. They ignore unknown fields: a gateway of an older release
must be able to read rows that a newer one wrote. Unknown fields in tickets
are refused by ``find_unknown``.
"""

from datetime import datetime
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from lagoonpost.tables.entity import RequestClass, ServiceKind

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
Share = Annotated[float, Meta(ge=0, le=1)]


class RouteSpec(Struct, omit_defaults=True):
    """A route of a service; times in seconds."""

    path: Annotated[str, Meta(min_length=1, max_length=200)]
    request_class: RequestClass = msgspec.field(name="class")
    repeatable: bool
    first: Seconds
    between: Annotated[float, Meta(ge=0, le=60)] = 0.0
    timeout: Seconds = 30.0


class ServiceSpec(Struct, omit_defaults=True):
    """A model or plain service."""

    kind: ServiceKind
    routes: Annotated[list[RouteSpec], Meta(min_length=1)]


class VersionSpec(Struct, omit_defaults=True):
    """A version; its key is ``version/SERVICE/NAME``."""

    share: Share = 1.0


class WorkspaceSpec(Struct, omit_defaults=True):
    """A customer; the key itself never stands in a ticket."""

    key_sha256: Digest
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


class RunnerSpec(Struct, omit_defaults=True):
    """A back end process."""

    endpoint: Annotated[str, Meta(pattern=r"^[0-9a-f.:\[\]]+:[0-9]{1,5}$")]
    service: Name
    version: Name
    host: Name
    failure_domain: Name
    checks_fence: bool = True
    slots: Annotated[int, Meta(ge=1, le=10000)] = 8


class MoveSpec(Struct, omit_defaults=True):
    """A move of a service's traffic; its key is ``move/SERVICE``."""

    from_version: Name = msgspec.field(name="from")
    to_version: Name = msgspec.field(name="to")
    by: Annotated[datetime, Meta(tz=True)]


class OperatorSpec(Struct, omit_defaults=True):
    """Somebody who may hand in tickets."""

    key_sha256: Digest


KIND_BY_SECTION: dict[str, str] = {
    "services": "service",
    "versions": "version",
    "workspaces": "workspace",
    "runners": "runner",
    "moves": "move",
    "operators": "operator",
}
"""Section of the file by the kind of its objects."""

SPEC_BY_KIND: dict[str, type[Struct]] = {
    "service": ServiceSpec,
    "version": VersionSpec,
    "workspace": WorkspaceSpec,
    "runner": RunnerSpec,
    "move": MoveSpec,
    "operator": OperatorSpec,
}


def find_unknown_fields(raw: Any, spec: Any, path: str = "$") -> list[str]:
    """Return the paths in ``raw`` that ``spec`` has no field for."""
    if isinstance(spec, list):
        return [
            found
            for index, item in enumerate(spec)
            for found in find_unknown_fields(
                raw[index], item, f"{path}[{index}]"
            )
        ]
    if not isinstance(spec, Struct):
        return []
    names = dict(
        zip(spec.__struct_encode_fields__, spec.__struct_fields__, strict=True)
    )
    found = []
    for key, value in raw.items():
        if key not in names:
            found.append(f"{path}.{key}")
        else:
            inner = getattr(spec, names[key])
            found += find_unknown_fields(value, inner, f"{path}.{key}")
    return found
