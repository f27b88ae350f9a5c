"""The configuration in force: routes, services, workspaces and limits."""

from typing import Literal, NamedTuple

RouteKind = Literal["safe", "unsafe", "stream"]


class TrafficShare(NamedTuple):
    """Part of a route's requests that goes to one service.

    Attributes:
        service: Name of the service.
        weight: Part of the requests, in proportion to the other weights.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """One rule for forwarding.

    Attributes:
        name: Name of the route.
        host: Value of the host header that it is for.
        prefix: Beginning of the paths that it is for, with both slashes.
        kind: Whether requests are idempotent, not, or answered by a stream.
        shares: The services that its requests go to.
        timeout: Longest time to keep a request waiting, in seconds.
        target: Time for the first byte that still counts as good, seconds.
        max_attempts: Most runners that one request may be sent to.
        priority: Rank; 0 is the most urgent.
        public: Whether requests need no key.
        resumable: Whether a stream may go on at another runner.
        gap: Longest pause between events that counts as good, seconds.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[TrafficShare, ...]
    timeout: float
    target: float
    max_attempts: int
    priority: int
    public: bool
    resumable: bool
    gap: float

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "safe" or self.resumable


class Scaling(NamedTuple):
    """Bounds and prices of a service's runners.

    Attributes:
        least: Fewest runners in a failure domain.
        most: Most runners in a failure domain, of both tenures together.
        boot: Seconds from an order to a runner that serves.
        spot_price: Price of a reclaimable runner, as a part of the full one.
        prices: Price of a runner's second by failure domain.
    """

    min_runners: int
    max_runners: int
    boot_seconds: float
    spot_price: float
    prices: dict[str, float]


class Service(NamedTuple):
    """What requests are forwarded to.

    Attributes:
        name: Name of the service.
        health_path: Path of its health check.
        engine: Whether its runners serve language models.
        slots: Requests that one model runner works on at once; 0 if the
            runners say so themselves.
        kv_tokens: Tokens that a model runner's memory holds; 0 if unknown.
        scaling: How many runners may be ordered; None if that is fixed.
    """

    name: str
    health_path: str = "/health"
    engine: bool = False
    slots: int = 0
    kv_tokens: int = 0
    scaling: Scaling | None = None


class Workspace(NamedTuple):
    """Who sends requests.

    Attributes:
        name: Name of the workspace.
        keys: Keys that its callers show.
        priority: Rank in place of the route's; None if it has none.
        rate: Units per second over all gateways; 0 is no limit.
        burst: Units beyond the rate.
        by_tokens: Whether units are tokens and not requests.
        plain_tokens: Units of a request that names no token count.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    by_tokens: bool = False
    default_tokens: float = 1.0


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take.

    Attributes:
        head: Most bytes of request line and headers.
        body: Most bytes of a body.
        head_seconds: Longest time to send the headers.
        idle_seconds: Longest pause between two requests.
    """

    head: int = 16384
    body: int = 4 * 1024 * 1024
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


class Configuration(NamedTuple):
    """One version of everything that operators declare.

    Attributes:
        version: Grows with each change; a lower one is never in force again.
        routes: All routes.
        services: Services by name.
        workspaces: All workspaces; empty if requests need no key.
        limits: What callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits = CallerLimits()
