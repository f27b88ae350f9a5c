"""The declared entities: what operators create through change tickets."""

from typing import Literal, NamedTuple

ServiceKind = Literal["model", "plain"]
RequestClass = Literal["check", "booking", "draft"]
CapacityType = Literal["reclaimable", "on_demand"]


class Route(NamedTuple):
    """One kind of call of a service.

    Attributes:
        path: Path below the service, or prefix ending in ``*``.
        request_class: Which queue and latency target its calls have.
        repeatable: Whether running a call twice does no harm.
        first_seconds: Target until the first token or the whole answer.
        token_seconds: Target between tokens; 0 for plain services.
        timeout: Seconds after which a call is given up.
    """

    path: str
    request_class: RequestClass
    repeatable: bool
    first_seconds: float
    token_seconds: float = 0.0
    timeout: float = 30.0


class Service(NamedTuple):
    """What workspaces call by name: a model or a plain service."""

    name: str
    kind: ServiceKind
    routes: tuple[Route, ...]
    ticket: int = 0


class Version(NamedTuple):
    """One version of a service; ``share`` is its part of new requests."""

    service: str
    name: str
    share: float = 1.0
    ticket: int = 0


class Workspace(NamedTuple):
    """A customer. ``key_digest`` is the SHA-256 of its bearer key, in hex."""

    name: str
    key_digest: str
    weight: float = 1.0
    ticket: int = 0


class Runner(NamedTuple):
    """A back end process; its endpoint is where it is reached.

    Attributes:
        name: Unique name; a replacement process has another one.
        endpoint: ``IP:PORT``.
        service: The service it runs.
        version: The version it has loaded.
        host: Host it runs on.
        failure_domain: Failure domain of that host.
        checks_fence: Whether it refuses orders with an old fencing number.
        slots: Requests it runs side by side at the latency target.
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
    """Traffic of a service that goes over to another version.

    Attributes:
        service: The service; it has at most one move at a time.
        from_version: Version that has the traffic.
        to_version: Version that is to have it.
        by: Time to be done by, in seconds since the epoch.
        ticket: Ticket that declared the move.
    """

    service: str
    from_version: str
    to_version: str
    deadline: float
    ticket: int = 0


class Operator(NamedTuple):
    """Who may hand in tickets; ``key_digest`` as a workspace's."""

    name: str
    key_digest: str
    ticket: int = 0


class Declaration(NamedTuple):
    """Everything declared, as of one revision."""

    revision: int = 0
    services: tuple[Service, ...] = ()
    versions: tuple[Version, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    runners: tuple[Runner, ...] = ()
    moves: tuple[VersionMove, ...] = ()
    operators: tuple[Operator, ...] = ()
