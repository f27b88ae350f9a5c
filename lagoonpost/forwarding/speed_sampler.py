"""Measures the speed of a runner during one request."""

from lagoonpost.forwarding.attempt import Began, Outcome, Whole
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.systems.placement import (
    MIN_UNLOADED_TOKENS,
    Choice,
    Placement,
)
from lagoonpost.systems.stream_pace import StreamPace
from lagoonpost.tables.runner_speed import Measure


class SpeedSampler:
    """Takes the times of one request that hold no wait at its runner.

    Args:
        placement: Load and speeds of the runners.
        exchange: The request, which was just sent.
        choice: The runner.
    """

    def __init__(
        self, placement: Placement, exchange: Exchange, choice: Choice
    ) -> None:
        self._placement = placement
        self._exchange = exchange
        self._choice = choice
        self._found_open = placement.count_open(choice.endpoint.id)
        self._pace = StreamPace() if placement.scheduling.speeds else None
        self._seconds_per_token: float | None = None

    def note_answer(self, outcome: Outcome, took: float) -> None:
        """Record the first bytes of a stream, or a whole answer.

        Those that came through another gateway took longer on the way.

        Args:
            outcome: What came of the request so far.
            took: Seconds since it was sent.
        """
        choice = self._choice
        if choice.indirect:
            return
        if self._exchange.requirements.engine:
            tokens = choice.uncached_tokens
            read_alone = choice.unloaded and tokens >= MIN_UNLOADED_TOKENS
            if isinstance(outcome, Began) and read_alone:
                self._seconds_per_token = took / tokens
            return
        # A refused or failed call may not have been run.
        was_run = isinstance(outcome, Whole) and outcome.response.status < 400
        if was_run and self._found_open <= choice.endpoint.slots:
            self._note(Measure.PLAIN_CALL, took, self._found_open)

    def note_events(self, count: int) -> None:
        """Record that complete events arrived."""
        if self._pace is not None and count:
            gap = self._pace.note_arrival(count, self._exchange.now())
            self._note_gap(gap)

    def note_passed_on(self) -> None:
        """Record that the caller has taken the events."""
        if self._pace is not None:
            self._pace.note_passed_on(self._exchange.now())

    def end(self) -> None:
        """Record the end of the request.

        The time of a prompt may hold a wait behind a prompt that this gateway
        doesn't know of, so it counts only if the stream was too short.
        """
        if self._pace is not None:
            self._note_gap(self._pace.end())
        if self._seconds_per_token is not None:
            self._note(
                Measure.PROMPT_TOKEN, self._seconds_per_token, self._found_open
            )

    def _note_gap(self, gap: float | None) -> None:
        if gap is not None:
            self._seconds_per_token = None
            runner = self._choice.endpoint.id
            open_now = self._placement.count_open(runner)
            self._note(Measure.EVENT_GAP, gap, open_now)

    def _note(self, measure: Measure, seconds: float, requests: int) -> None:
        if self._placement.scheduling.speeds:
            self._placement.speeds.note_sample(
                self._choice.endpoint,
                measure,
                seconds,
                requests,
                self._exchange.now(),
            )
