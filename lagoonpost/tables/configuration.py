"""Active configuration: routes, services, workspaces and limits."""

from typing import Literal, NamedTuple

RouteKind = Literal["safe", "unsafe", "stream"]


class TrafficShare(NamedTuple):
    """Weight of one service in a route's traffic split.

    Attributes:
        service: Name of the service.
        weight: Relative weight; weights need not add up to 1.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Forwarding rule for requests of one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host header that the route matches.
        prefix: Path prefix that the route matches, with leading and trailing
            slash.
        kind: ``safe`` for idempotent requests, ``unsafe`` for requests that
            must not run twice, ``stream`` for streamed responses.
        shares: Services that receive the route's requests, with weights.
        timeout: Time after which a request fails, in seconds.
        target: Latency target for the first byte, in seconds.
        max_attempts: Maximum number of runners that a request is sent to.
        priority: Priority class; 0 is the most urgent.
        public: Whether requests are accepted without an API key.
        resumable: Whether a stream may be resumed on another runner.
        gap: Latency target between two events of a stream, in seconds.
        regions: Regions in which requests may be handled; empty for all.
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
    regions: tuple[str, ...] = ()

    @property
    def idempotent(self) -> bool:
        """Whether it is safe to run a request more than once."""
        return self.kind == "safe" or self.resumable


class Scaling(NamedTuple):
    """Autoscaling bounds and prices of a service's runners.

    Attributes:
        min_runners: Minimum number of runners in each failure domain.
        max_runners: Maximum number of runners in each failure domain,
            reclaimable and on-demand ones together.
        boot_seconds: Time from ordering a runner until it serves.
        spot_price: Price of a reclaimable runner as a fraction of the
            on-demand price.
        prices: On-demand price of a runner per second, by failure domain.
    """

    min_runners: int
    max_runners: int
    boot_seconds: float
    spot_price: float
    prices: dict[str, float]


class Service(NamedTuple):
    """Group of interchangeable runners that routes forward to.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        engine: Whether the runners serve language models.
        slots: Concurrent requests per model runner; 0 to use the number that
            each runner registers.
        kv_tokens: Capacity of a model runner's KV cache in tokens; 0 if
            unknown.
        scaling: Autoscaling bounds; None if the number of runners is fixed.
        cold_seconds: Time after its start in which a runner is cold.
        cold_rate: Requests a second that a cold runner bears; 0 for no limit.
    """

    name: str
    health_path: str = "/health"
    engine: bool = False
    slots: int = 0
    kv_tokens: int = 0
    scaling: Scaling | None = None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


class Workspace(NamedTuple):
    """Customer with API keys and a quota.

    Attributes:
        name: Name of the workspace.
        keys: API keys that identify its callers.
        priority: Priority class that overrides the route's; None to use the
            route's.
        rate: Quota in units per second over all gateways; 0 for no limit.
        burst: Units allowed above the rate.
        by_tokens: Whether a unit is a token; otherwise it is a request.
        default_tokens: Units charged for a request that states no token
            count, if ``by_tokens`` is set.
        regions: Regions in which requests may be handled; empty for all.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    by_tokens: bool = False
    default_tokens: float = 1.0
    regions: tuple[str, ...] = ()


class CallerLimits(NamedTuple):
    """Size and time limits for requests from callers.

    Attributes:
        head: Maximum size of the request line and headers, in bytes.
        body: Maximum size of a request body, in bytes.
        head_seconds: Time within which the headers must arrive.
        idle_seconds: Time after which an idle connection is closed.
    """

    head: int = 16384
    body: int = 4 * 1024 * 1024
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


class Configuration(NamedTuple):
    """One version of the complete configuration.

    Attributes:
        version: Version number; it grows with each change, and a gateway
            never goes back to a lower one.
        routes: All routes.
        services: Services by name.
        workspaces: All workspaces; empty if requests need no API key.
        limits: Limits for requests from callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    workspaces: tuple[Workspace, ...]
    limits: CallerLimits = CallerLimits()
