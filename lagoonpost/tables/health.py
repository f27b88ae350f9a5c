"""How well a runner has answered lately, as one gateway saw it."""

import math
from dataclasses import dataclass
from typing import Literal

HealthState = Literal["healthy", "ejected", "returning"]


@dataclass(slots=True)
class Health:
    """One runner's health.

    Attributes:
        state: Whether it gets its full work, only probes, or a growing part.
        score: Average ratio of seen to expected seconds, in logarithms.
        lost: Connections that were lost in a row.
        limit: Own requests that it may have while not healthy.
        ceiling: Limit above which it was last found slow.
        since: Time of the last change of state or of the limit.
        probe_at: Earliest time of the next probe while ejected.
        probe_from: Number of requests sent before the next probe.
        probe_wait: Seconds between probes, growing.
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
