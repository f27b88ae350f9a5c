"""Load reports of runners, which arrive late and at irregular intervals."""

from typing import NamedTuple


class LoadReport(NamedTuple):
    """Load of a runner as measured by the runner.

    Attributes:
        runner: Name of the runner.
        measured_at: Time of measurement, converted to the local clock.
        running: Requests being generated.
        waiting: Requests queued in the engine.
        pending_tokens: Tokens still to be prefilled or generated for running
            and waiting requests.
        cache_used: Fraction of the prefix cache in use, 0 to 1.
    """

    runner: str
    measured_at: float
    running: int
    waiting: int
    pending_tokens: int
    cache_used: float = 0.0
