"""Health of a runner as observed by one gateway."""

import math
from dataclasses import dataclass
from typing import Literal

HealthState = Literal["healthy", "ejected", "returning"]


@dataclass(slots=True)
class Health:
    """Health and concurrency limit of a runner.

    Attributes:
        state: ``healthy`` runners get their full share of requests,
            ``ejected`` ones only probes, ``returning`` ones as many as
            ``limit`` allows.
        score: Moving average of the logarithm of observed over expected
            latency.
        consecutive_losses: Connections lost in a row.
        limit: Maximum number of this gateway's requests in flight at the
            runner; infinite while it is healthy.
        slow_threshold: Limit up to which slow start doubles ``limit``: half
            of the concurrency at which the runner was last found slow.
        changed_at: Time of the last change of ``state`` or ``limit``.
        probe_at: Earliest time of the next probe while ejected.
        probe_after_sent: Count of requests sent to the service from which
            the next probe may be sent.
        probe_interval: Seconds between probes; grows with each probe.
    """

    state: HealthState = "healthy"
    score: float = 0.0
    consecutive_losses: int = 0
    limit: float = math.inf
    slow_threshold: float = math.inf
    changed_at: float = -math.inf
    probe_at: float = 0.0
    probe_after_sent: int = 0
    probe_interval: float = 0.0
