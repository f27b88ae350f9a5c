"""What a runner reports of its load, late and now and then."""

from typing import NamedTuple


class LoadReport(NamedTuple):
    """A runner's own count of its work.

    Attributes:
        runner: Name of the runner.
        measured: Runner's time of measurement, turned into our clock.
        running: Requests being generated.
        waiting: Requests queued in the engine.
        pending_tokens: Tokens still to prefill or generate for both.
        cache_used: Part of its prefix cache in use, 0 to 1.
    """

    runner: str
    measured_at: float
    running: int
    waiting: int
    pending_tokens: int
    cache_used: float = 0.0
