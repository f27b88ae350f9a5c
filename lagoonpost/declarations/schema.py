"""The ticket format, with one struct per kind of object.

Structs are used instead of TypedDicts because msgspec validates types and
ranges only in structs. They ignore unknown fields, since gateways of an older
release must read rows that a newer release wrote. ``find_unknown_fields``
detects unknown fields in tickets, which are rejected.
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
    """A route of a service.

    Attributes:
        path: Path below the service, or a prefix that ends in ``*``.
        request_class: Class that decides queueing and latency targets.
        repeatable: Whether calls are idempotent.
        first: Latency target in seconds for the first token, or for the
            complete response of a plain service.
        between: Latency target in seconds between tokens; 0 for plain
            services.
        timeout: Seconds after which a call fails.
    """

    path: Annotated[str, Meta(min_length=1, max_length=200)]
    request_class: RequestClass = msgspec.field(name="class")
    repeatable: bool
    first: Seconds
    between: Annotated[float, Meta(ge=0, le=60)] = 0.0
    timeout: Seconds = 30.0


class ServiceSpec(Struct, omit_defaults=True):
    """A service, which serves a model or plain requests."""

    kind: ServiceKind
    routes: Annotated[list[RouteSpec], Meta(min_length=1)]


class VersionSpec(Struct, omit_defaults=True):
    """A version of a service; its key is ``version/SERVICE/NAME``."""

    share: Share = 1.0


class WorkspaceSpec(Struct, omit_defaults=True):
    """A customer. Tickets hold only the digest of its key, never the key."""

    key_sha256: Digest
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


class RunnerSpec(Struct, omit_defaults=True):
    """A back end process that serves one version of a service."""

    endpoint: Annotated[str, Meta(pattern=r"^[0-9a-f.:\[\]]+:[0-9]{1,5}$")]
    service: Name
    version: Name
    host: Name
    failure_domain: Name
    checks_fence: bool = True
    slots: Annotated[int, Meta(ge=1, le=10000)] = 8


class MoveSpec(Struct, omit_defaults=True):
    """A move of a service's traffic; its key is ``move/SERVICE``.

    Attributes:
        from_version: Version that loses the traffic.
        to_version: Version that receives the traffic.
        by: Deadline of the move.
    """

    from_version: Name = msgspec.field(name="from")
    to_version: Name = msgspec.field(name="to")
    by: Annotated[datetime, Meta(tz=True)]


class OperatorSpec(Struct, omit_defaults=True):
    """A person or program that may submit tickets."""

    key_sha256: Digest


KIND_BY_SECTION: dict[str, str] = {
    "services": "service",
    "versions": "version",
    "workspaces": "workspace",
    "runners": "runner",
    "moves": "move",
    "operators": "operator",
}
"""Kind of the objects in each section of a ticket."""

SPEC_BY_KIND: dict[str, type[Struct]] = {
    "service": ServiceSpec,
    "version": VersionSpec,
    "workspace": WorkspaceSpec,
    "runner": RunnerSpec,
    "move": MoveSpec,
    "operator": OperatorSpec,
}


def find_unknown_fields(raw: Any, spec: Any, path: str = "$") -> list[str]:
    """Return the paths of all fields in ``raw`` that its struct lacks.

    Args:
        raw: Decoded data.
        spec: The struct, or list of structs, that ``raw`` was converted to.
        path: Path of ``raw`` within the document.
    """
    if isinstance(spec, list):
        return [
            unknown
            for index, item in enumerate(spec)
            for unknown in find_unknown_fields(
                raw[index], item, f"{path}[{index}]"
            )
        ]
    if not isinstance(spec, Struct):
        return []
    names = dict(
        zip(spec.__struct_encode_fields__, spec.__struct_fields__, strict=True)
    )
    unknown = []
    for key, value in raw.items():
        if key not in names:
            unknown.append(f"{path}.{key}")
        else:
            inner = getattr(spec, names[key])
            unknown += find_unknown_fields(value, inner, f"{path}.{key}")
    return unknown
