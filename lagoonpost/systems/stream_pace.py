"""Measures a runner's pace from the arrivals of a stream's events.

Load pattern: between the tokens of a stream, a runner prefills chunks of other
callers' prompts, and callers on slow links delay the reading of events. Both
lengthen some of the gaps between events, so the pace is taken from the shorter
ones, and gaps in which the caller held up the stream are left out.
"""

GAPS_PER_SAMPLE = 6
"""Gaps of which one sample is made: a tenth of a second to a third of one at
usual speeds, so that a long stream shows a change before it ends."""
MIN_GAPS = 2
"""Fewest gaps for a sample at the end of a stream."""
GAP_QUANTILE = 0.25
"""Quantile of the gaps that counts as the pace."""
MAX_BLOCKED_SHARE = 0.1
"""Longest time that passing events on may take, relative to the gap; the
arrival of the next events is not seen while the caller blocks."""


class StreamPace:
    """Collects the gaps between the events of one stream."""

    def __init__(self) -> None:
        self._gaps: list[float] = []
        self._arrived: float | None = None
        self._blocked = 0.0

    def note_arrival(self, events: int, at: float) -> float | None:
        """Record that events arrived together.

        Args:
            events: Number of complete events, at least 1.
            at: Time in seconds.

        Returns:
            A sample in seconds per event, or None until there is one.
        """
        arrived, self._arrived = self._arrived, at
        blocked, self._blocked = self._blocked, 0.0
        if arrived is None or at <= arrived:
            return None
        if blocked > MAX_BLOCKED_SHARE * (at - arrived):
            return None
        # A busy gateway reads several events at once.
        self._gaps += [(at - arrived) / events] * events
        if len(self._gaps) < GAPS_PER_SAMPLE:
            return None
        return self.end()

    def note_passed_on(self, at: float) -> None:
        """Record that the last events were passed on to the caller."""
        if self._arrived is not None:
            self._blocked = at - self._arrived

    def end(self) -> float | None:
        """Return a sample of the gaps since the last one, if it has enough."""
        gaps, self._gaps = sorted(self._gaps), []
        if len(gaps) < MIN_GAPS:
            return None
        return gaps[int(len(gaps) * GAP_QUANTILE)]
