"""Load of runners and requests in flight, as known to one gateway."""

import math
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from lagoonpost.tables.entity import RequestClass, Runner
from lagoonpost.tables.health import Health

# Time for which changes of the in-flight count are kept. Load reports that
# were measured earlier than this can't be corrected exactly.
HISTORY_SECONDS = 5.0


class InFlightRequest(NamedTuple):
    """Request of this gateway that was sent to a runner.

    Attributes:
        runner: Name of the runner.
        version: Version of the runner.
        workspace: Workspace that the request is charged to.
        request_class: Class of the request.
        cost: Estimated cost in output tokens.
        prefill: Prompt tokens that were not expected to be in the runner's
            prefix cache.
        expected_seconds: Expected time to the first part of the response; 0
            if unknown.
        dispatched_at: Time at which the request was sent.
        first_part_at: Time of the first part of the response, or None.
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
    """Load of a runner.

    Attributes:
        runner: The declared runner.
        own: This gateway's requests in flight at the runner.
        others: Other gateways' requests in flight at the runner at
            ``measured_at``.
        measured_at: Time of measurement of the latest load report.
        quota: Maximum of ``own`` until the next load report.
        ended: Requests that ended since ``quota`` last grew; used for runners
            that send no load reports.
        tokens: Tokens received from the runner since ``streams`` was counted.
        streams: Number of streams at the last comparison of token rates.
        assigned: Tokens sent to the runner, with exponential decay.
        assigned_at: Time up to which the decay of ``assigned`` is applied.
        exclusive: Id of the request that runs alone on the runner, if any.
        request_ids: Ids of this gateway's requests in flight, oldest first.
        awaiting: Ids of those requests whose response has not started.
        changes: Times and amounts of recent changes of ``own``, from which
            its value at a report's time of measurement is derived.
        health: Health of the runner.
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
        """Whether the runner has ever reported its load."""
        return self.measured_at > -math.inf

    def add(self, request_id: str, now: float) -> None:
        """Add a request that is sent to the runner.

        Args:
            request_id: Id of the request.
            now: Time in seconds.
        """
        self.request_ids[request_id] = None
        self.awaiting[request_id] = None
        self._change(now, 1)

    def remove(self, request_id: str, now: float) -> bool:
        """Remove a request that ended.

        Args:
            request_id: Id of the request.
            now: Time in seconds.

        Returns:
            False if the request was not in flight at the runner.
        """
        if request_id not in self.request_ids:
            return False
        del self.request_ids[request_id]
        self.awaiting.pop(request_id, None)
        self._change(now, -1)
        return True

    def own_at(self, time: float) -> int:
        """Return the value of ``own`` at an earlier time.

        Args:
            time: Time in seconds, at most ``HISTORY_SECONDS`` ago.
        """
        return self.own - sum(d for t, d in self.changes if t > time)

    def _change(self, now: float, delta: int) -> None:
        self.own += delta
        self.changes.append((now, delta))
        while self.changes[0][0] < now - HISTORY_SECONDS:
            self.changes.popleft()
