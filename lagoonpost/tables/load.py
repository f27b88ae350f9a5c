"""What one gateway knows of runners' load and of its own flights."""

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from lagoonpost.tables.entity import RequestClass, Runner
from lagoonpost.tables.health import Health

HISTORY_SECONDS = 5.0


class InFlightRequest(NamedTuple):
    """One of our requests at a runner.

    Attributes:
        runner: Where it runs.
        version: Version of that runner.
        workspace: Who pays.
        request_class: Its class.
        cost: Estimated cost in output tokens.
        prefill: Prompt tokens that were expected not to be cached.
        expected: Seconds until its first part, or 0 if unknown.
        dispatched: Time at which it was sent.
        first: Time of its first part, or None.
    """

    runner: str
    version: str
    workspace: str
    request_class: RequestClass
    cost: float
    prefill: int
    expected_seconds: float
    dispatched_at: float
    first_part_at: float | None = None


@dataclass(slots=True)
class RunnerLoad:
    """One runner's load as this gateway sees it.

    Attributes:
        runner: The declared runner.
        own: Our own requests in flight there.
        others: Other gateways' requests there at ``measured``.
        measured: Time of the newest report.
        quota: Own requests that we may have there until the next report.
        assigned: Tokens that we sent there, decayed over seconds.
        assigned_at: Time to which ``assigned`` is decayed.
        exclusive: Request that has the runner to itself, if any.
        flights: Ids of our requests there, oldest first.
        ended: Requests that ended since ``quota`` grew, without reports.
        tokens: Tokens that our streams there brought since ``streams`` was
            counted.
        streams: Streams that we had there then.
        awaiting: Those of them that have not shown a first part.
        changes: Recent changes of ``own``, to look back at a report's time.
        health: How well it answered lately.
    """

    runner: Runner
    own: int = 0
    others: float = 0.0
    measured_at: float = -math.inf
    quota: int = 0
    ended: int = 0
    tokens: int = 0
    streams: int = 0
    assigned: float = 0.0
    assigned_at: float = 0.0
    exclusive: str | None = None
    request_ids: dict[str, None] = field(default_factory=dict)
    awaiting: dict[str, None] = field(default_factory=dict)
    changes: deque[tuple[float, int]] = field(default_factory=deque)
    health: Health = field(default_factory=Health)

    @property
    def reported(self) -> bool:
        """Whether it has ever reported its load."""
        return self.measured_at > -math.inf

    def add(self, request_id: str, now: float) -> None:
        """Count a request that we send there."""
        self.request_ids[request_id] = None
        self.awaiting[request_id] = None
        self._change(now, 1)

    def remove(self, request_id: str, now: float) -> bool:
        """Stop counting a request; return False if it wasn't there."""
        if request_id not in self.request_ids:
            return False
        del self.request_ids[request_id]
        self.awaiting.pop(request_id, None)
        self._change(now, -1)
        return True

    def own_at(self, time: float) -> int:
        """Return our own requests there at an earlier time."""
        return self.own - sum(d for t, d in self.changes if t > time)

    def _change(self, now: float, delta: int) -> None:
        self.own += delta
        self.changes.append((now, delta))
        while self.changes[0][0] < now - HISTORY_SECONDS:
            self.changes.popleft()
