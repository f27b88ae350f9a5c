"""State of the stand-in engine: role, loaded versions and load report."""

import asyncio
from collections.abc import Callable

import msgspec

from lagoonpost.http.message import Response, make_json_response
from lagoonpost_standins.engine_batch import Batch, EngineOptions
from lagoonpost_standins.engine_events import EventSender
from lagoonpost_standins.engine_fault import Faults


class Order(msgspec.Struct):
    """Desired state of an engine, with a fencing token.

    Attributes:
        fence: Fencing token; orders with an older one are rejected.
        versions: Versions to keep loaded; all others are unloaded.
        role: Role; only ``serving`` engines accept requests.
    """

    fence: int
    versions: list[str] = []
    role: str = "serving"


class EngineState:
    """State shared by the routes of the stand-in engine."""

    def __init__(
        self, name: str, options: EngineOptions, crash: Callable[[], None]
    ) -> None:
        self.name = name
        self.options = options
        self.batch = Batch(options, crash)
        self.feed = EventSender()
        self.role = "serving"
        self.versions = set(options.versions)
        self.fence = 0
        self._load: tuple[float, dict[str, float]] = (0.0, {})

    @property
    def faults(self) -> Faults:
        """The injected faults."""
        return self.batch.faults

    def set_faults(self, faults: Faults) -> None:
        """Replace all injected faults."""
        self.batch.faults = faults
        self.feed.set_faults(faults)
        for answer in self.batch.answers.values():
            answer.notify_readers()

    def report_load(self) -> dict[str, float]:
        """Return a load report that is up to ``report_seconds`` old."""
        now = asyncio.get_running_loop().time()
        if now - self._load[0] > self.options.report_seconds:
            report = {
                "running": len(self.batch.running),
                "waiting": self.batch.waiting,
                "pending_tokens": self.batch.count_pending(),
                "cache_used": self.batch.cache.used,
                "measured": now,
            }
            self._load = (now, report)
        return self._load[1]

    def apply_order(self, order: Order) -> Response:
        """Apply the desired state, or reject an old fencing token."""
        if self.options.checks_fence and order.fence < self.fence:
            return make_problem(409, "the fencing number is old")
        self.fence = order.fence
        self.role = order.role
        wanted = set(order.versions)
        self.versions &= wanted
        loop = asyncio.get_running_loop()
        for version in wanted - self.versions:
            loop.call_later(
                self.options.load_seconds, self.versions.add, version
            )
        return make_json_response(200, self.describe())

    def describe(self) -> dict[str, object]:
        """Return the state that orders change."""
        return {
            "name": self.name,
            "fence": self.fence,
            "role": self.role,
            "versions": sorted(self.versions),
        }

    def find_refusal(self, version: str) -> str | None:
        """Return why requests for ``version`` are refused, or None."""
        if self.faults.refuse or self.role != "serving":
            return "no new work"
        if self.versions and version and version not in self.versions:
            return f"version {version} is not loaded"
        return None


def make_problem(
    status: int, detail: str, execution: str = "not_run"
) -> Response:
    """Return a problem+json response that states whether the call ran."""
    problem = {"status": status, "detail": detail, "execution": execution}
    headers = (("content-type", "application/problem+json"),)
    return Response(status, headers, msgspec.json.encode(problem))
