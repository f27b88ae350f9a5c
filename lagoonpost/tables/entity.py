"""Entities that operators declare through change tickets."""

from typing import Literal, NamedTuple

ServiceKind = Literal["model", "plain"]
RequestClass = Literal["check", "booking", "draft"]
CapacityType = Literal["reclaimable", "on_demand"]


class Route(NamedTuple):
    """Route of a service.

    Attributes:
        path: Path below the service, or a prefix that ends in ``*``.
        request_class: Class that decides about queueing and latency target.
        repeatable: Whether calls are idempotent.
        first_seconds: Latency target for the first token, or for the whole
            response of a plain service.
        token_seconds: Latency target between tokens; 0 for plain services.
        timeout: Seconds after which a call fails.
    """

    path: str
    request_class: RequestClass
    repeatable: bool
    first_seconds: float
    token_seconds: float = 0.0
    timeout: float = 30.0


class Service(NamedTuple):
    """Service that workspaces call by name.

    Attributes:
        name: Unique name.
        kind: ``model`` for a language model, ``plain`` for any other service.
        routes: Routes of the service.
        ticket: Number of the ticket that declared this state.
    """

    name: str
    kind: ServiceKind
    routes: tuple[Route, ...]
    ticket: int = 0


class Version(NamedTuple):
    """Version of a service.

    Attributes:
        service: Name of the service.
        name: Name of the version.
        share: Fraction of new requests that the version gets, 0 to 1.
        ticket: Number of the ticket that declared this state.
    """

    service: str
    name: str
    share: float = 1.0
    ticket: int = 0


class Workspace(NamedTuple):
    """Customer that sends requests.

    Attributes:
        name: Unique name.
        key_digest: SHA-256 of the bearer key, in hex.
        weight: Weight in fair queueing between workspaces.
        ticket: Number of the ticket that declared this state.
    """

    name: str
    key_digest: str
    weight: float = 1.0
    ticket: int = 0


class Runner(NamedTuple):
    """Back end process.

    Attributes:
        name: Unique name; a replacement process gets a new one.
        endpoint: Address, ``IP:PORT``.
        service: Service that the runner belongs to.
        version: Version that the runner has loaded.
        host: Host that the runner runs on.
        failure_domain: Failure domain of the host.
        checks_fence: Whether the runner rejects orders with an outdated
            fencing token.
        slots: Concurrent requests at which the runner still meets the
            latency target.
        ticket: Number of the ticket that declared this state.
    """

    name: str
    endpoint: str
    service: str
    version: str
    host: str
    failure_domain: str
    checks_fence: bool = True
    slots: int = 8
    ticket: int = 0


class VersionMove(NamedTuple):
    """Gradual shift of a service's traffic from one version to another.

    Attributes:
        service: Service; it has at most one move at a time.
        from_version: Version that serves the traffic before the move.
        to_version: Version that serves the traffic after the move.
        deadline: Time by which the move must be complete, in seconds since
            the epoch.
        ticket: Number of the ticket that declared the move.
    """

    service: str
    from_version: str
    to_version: str
    deadline: float
    ticket: int = 0


class Operator(NamedTuple):
    """Person or tool that may submit change tickets.

    Attributes:
        name: Unique name.
        key_digest: SHA-256 of the bearer key, in hex.
        ticket: Number of the ticket that declared this state.
    """

    name: str
    key_digest: str
    ticket: int = 0


class Declaration(NamedTuple):
    """All declared entities as of one revision.

    Attributes:
        revision: Number that grows with each accepted ticket.
        services: All services.
        versions: All versions of all services.
        workspaces: All workspaces.
        runners: All runners.
        moves: All moves that are declared.
        operators: All operators.
    """

    revision: int = 0
    services: tuple[Service, ...] = ()
    versions: tuple[Version, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    runners: tuple[Runner, ...] = ()
    moves: tuple[VersionMove, ...] = ()
    operators: tuple[Operator, ...] = ()
