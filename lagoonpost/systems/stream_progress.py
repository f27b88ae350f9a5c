"""Tells when a stream that still sends bytes is given up.

Load pattern: a runner in trouble sends an event a byte at a time, or comments
without events. To a check of silence it looks alive for as long as it sends,
and its caller waits in vain although another runner could go on. Only complete
events count here. They may be further apart than bytes, as an event takes time
to arrive, so the limit is several pauses; callers of streams leave after a
pause or two. Time in which the caller doesn't read does not count.
"""

import math

PAUSES_WITHOUT_EVENT = 3
"""Pauses without a complete event after which a stream is given up."""


class StreamProgress:
    """When a stream last made progress.

    Args:
        now: Time at which the stream began, in seconds.
        pause: Seconds without a byte after which a runner counts as silent.

    Attributes:
        limit: Seconds without an event after which the stream is stalled.
    """

    def __init__(self, now: float, pause: float) -> None:
        self._last = now
        self.limit = PAUSES_WITHOUT_EVENT * pause

    def suspend(self) -> None:
        """Stop the clock until the next `note_event`."""
        self._last = math.inf

    def note_event(self, now: float) -> None:
        """Record that a complete event was passed on."""
        self._last = now

    def is_stalled(self, now: float) -> bool:
        """Return whether there was no event for too long."""
        return now >= self._last + self.limit
