"""Prometheus metrics of a forwarding gateway."""

from collections.abc import Callable, Iterable, Iterator

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4
from prometheus_client.registry import Collector

from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.http.message import Request, Response
from lagoonpost.http.responder import Responder
from lagoonpost.tables.control_traffic import ControlTraffic

METRICS_PATH = "/metrics"
LATENCY_BUCKETS_SECONDS = (
    0.01,
    0.03,
    0.1,
    0.2,
    0.4,
    0.8,
    1.2,
    2.0,
    4.0,
    8.0,
    15.0,
)
"""Upper bounds of the latency buckets. They cover the range from a check at an
idle runner to the longest draft."""


class _TrafficCollector(Collector):
    """Exports the counts of control messages at each scrape."""

    def __init__(self, traffic: ControlTraffic) -> None:
        self._traffic = traffic

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the counters of messages and of bytes."""
        labels = ("kind", "direction")
        messages = CounterMetricFamily(
            "lagoonpost_control_messages",
            "Messages to run the system.",
            labels=labels,
        )
        sizes = CounterMetricFamily(
            "lagoonpost_control_bytes",
            "Bytes of their contents.",
            labels=labels,
        )
        for flow, count, size in self._traffic.list_flows():
            messages.add_metric(flow, count)
            sizes.add_metric(flow, size)
        yield messages
        yield sizes


class ForwardingMetrics:
    """Metrics of one forwarding gateway.

    Args:
        traffic: Counts of control messages sent and received.
        update_gauges: Called before each scrape to set the gauges.

    Attributes:
        configuration: Version of the configuration in force.
        store_lost: Whether the store does not answer this gateway.
        store_age: Seconds since the store last answered, by table.
        duties_held: Whether this gateway performs the control duties.
        gateways: Number of gateways considered running, including this one.
        client_bytes: Bytes that callers' connections hold.
        client_descriptors: Descriptors of callers' connections.
        clients_bounded: Connections closed for others, and what was refused.
    """

    def __init__(
        self, traffic: ControlTraffic, update_gauges: Callable[[], None]
    ) -> None:
        self._update_gauges = update_gauges
        registry = self._registry = CollectorRegistry()
        registry.register(_TrafficCollector(traffic))
        self._requests = Counter(
            "lagoonpost_requests",
            "Requests by route and outcome.",
            ("route", "outcome"),
            registry=registry,
        )
        self._offers = Counter(
            "lagoonpost_offers",
            "Offers of requests to runners by outcome.",
            ("outcome",),
            registry=registry,
        )
        self._foreign = Counter(
            "lagoonpost_foreign_answers",
            "What came back from runners and answered no request, by reason.",
            ("reason",),
            registry=registry,
        )
        self._shares = Counter(
            "lagoonpost_share_checks",
            "Requests while their service was short, by share.",
            ("route", "share"),
            registry=registry,
        )
        self._ordered = Counter(
            "lagoonpost_ordered_requests",
            "Requests by what the order of requests decided.",
            ("action", "outlook", "standing"),
            registry=registry,
        )
        self._first_byte = Histogram(
            "lagoonpost_first_byte_seconds",
            "Time from a request's arrival to its first byte.",
            ("route",),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        )
        self._whole = Histogram(
            "lagoonpost_whole_seconds",
            "Time from a request's arrival to its end.",
            ("route",),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        )
        self.configuration = Gauge(
            "lagoonpost_configuration_version",
            "Version of the configuration in force.",
            registry=registry,
        )
        self.store_lost = Gauge(
            "lagoonpost_store_lost",
            "Whether the store does not answer here.",
            registry=registry,
        )
        self.store_age = Gauge(
            "lagoonpost_store_answer_age_seconds",
            "Time since the store last answered for a table.",
            ("table",),
            registry=registry,
        )
        self.duties_held = Gauge(
            "lagoonpost_duties_held",
            "Whether this gateway does the duties.",
            registry=registry,
        )
        self.gateways = Gauge(
            "lagoonpost_gateways",
            "Gateways that are held to run, this one included.",
            registry=registry,
        )
        self.client_bytes = Gauge(
            "lagoonpost_client_bytes",
            "Bytes that the callers' connections make this process hold.",
            registry=registry,
        )
        self.client_descriptors = Gauge(
            "lagoonpost_client_descriptors",
            "Descriptors of the callers' connections.",
            registry=registry,
        )
        self.clients_bounded = Gauge(
            "lagoonpost_clients_bounded",
            "Connections closed, and connections and requests refused, "
            "because callers held too much.",
            ("action",),
            registry=registry,
        )
        self._slowness = Gauge(
            "lagoonpost_runner_slowness",
            "Time of a runner relative to its service's mean.",
            ("runner",),
            registry=registry,
        )

    def set_slowness(self, runners: Iterable[tuple[str, float]]) -> None:
        """Replace the exported runners by those that deviate most now."""
        self._slowness.clear()
        for runner, slowness in runners:
            self._slowness.labels(runner).set(slowness)

    def note(self, exchange: Exchange) -> None:
        """Record a finished request."""
        route = exchange.route.name if exchange.route else ""
        self._requests.labels(route, exchange.outcome).inc()
        if exchange.share is not None:
            share = "over" if exchange.over_share else "within"
            self._shares.labels(route, share).inc()
        if exchange.first_byte is not None:
            self._first_byte.labels(route).observe(exchange.first_byte)
        self._whole.labels(route).observe(exchange.now() - exchange.started)
        if exchange.decision is not None:
            action, outlook, standing, _ = exchange.decision
            self._ordered.labels(
                action.name.lower(),
                outlook.name.lower(),
                standing.name.lower(),
            ).inc()
        for outcome in exchange.outcomes:
            self._offers.labels(outcome).inc()
        for reason in exchange.foreign_reasons:
            self._foreign.labels(reason).inc()

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer a scrape."""
        if request.path != METRICS_PATH:
            await responder.send(Response(404))
            return
        headers = (("content-type", CONTENT_TYPE_PLAIN_0_0_4),)
        self._update_gauges()
        body = generate_latest(self._registry)
        await responder.send(Response(200, headers, body))
