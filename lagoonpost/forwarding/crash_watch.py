"""Watches runs for what crashes runners; tells which requests to refuse."""

import asyncio
from collections.abc import Callable

import eliot

from lagoonpost.forwarding.attempt import (
    Began,
    Broken,
    NotRun,
    Outcome,
    Silent,
    Whole,
)
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.forwarding.refusal import CRASHES_RUNNERS, SUSPECTED, Refusal
from lagoonpost.platform.headers import MISDIRECTED
from lagoonpost.systems.crash_causes import SURVIVAL_SECONDS, CrashCauses, News
from lagoonpost.systems.placement import Choice
from lagoonpost.systems.request_causes import find_causes
from lagoonpost.tables.crash import Crash, Verdict

FAILED_STATUS = 500
"""Status from which a runner's answer says that it has failed."""


class CrashWatch:
    """Gathers this gateway's evidence on crashes, and merges the others'.

    Args:
        clock: Seconds since the epoch, on the clock that gateways share.

    Attributes:
        causes: The evidence and the verdicts.
        publish: Tells the other gateways of evidence and verdicts.
        check_runner: Finds out whether a runner accepts connections; its
            result is passed to `note_down`.
        on_change: Called after each change of evidence or verdicts.
    """

    publish: Callable[[News], None]
    check_runner: Callable[[Choice], None]

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.causes = CrashCauses()
        self.on_change: Callable[[], None] = lambda: None

    def identify(self, exchange: Exchange) -> None:
        """Set what a request may have in common with others."""
        exchange.causes = find_causes(
            exchange.workspace.name if exchange.workspace else "",
            exchange.request.target,
            exchange.request.body,
            [part.id for part in exchange.arrival.parts],
        )

    def may_send(self, exchange: Exchange) -> bool:
        """Return whether a request may be sent to a runner.

        To be asked right before each sending, as the verdict may come while
        a request waits for a runner.
        """
        return self.find_refusal(exchange) is None

    def find_refusal(self, exchange: Exchange) -> Refusal | None:
        """Return why a request may not be sent to a runner, or None."""
        now = self.clock()
        allowed = self.causes.may_send(exchange.causes, now)
        self._spread()
        if allowed or exchange.on_trial:
            return None
        if self.causes.may_try(exchange.causes, now):
            return SUSPECTED
        return CRASHES_RUNNERS

    def may_retry(self, exchange: Exchange) -> bool:
        """Return whether a request that was cut off may be sent again."""
        return self.causes.may_retry(exchange.causes, exchange.arrival.id)

    def watch(self, exchange: Exchange, choice: Choice) -> "WatchedRun":
        """Watch a run from its sending on."""
        return WatchedRun(self, exchange, choice)

    def note_sound(self, exchange: Exchange, began: float) -> None:
        """Record a run that did not crash its runner.

        Args:
            exchange: The request.
            began: Time by which its answer had begun.
        """
        self.causes.note_sound(exchange.causes, began, self.clock())
        self._spread()

    def note_down(self, runner: str) -> None:
        """Record that a runner is down, or another has its address."""
        self.causes.note_down(runner, self.clock())
        self._spread()

    def merge(self, news: News) -> None:
        """Add evidence or a verdict of another gateway, or of the store."""
        self.causes.merge(news, self.clock())
        self._spread()
        self.on_change()

    def forget_old(self) -> None:
        """Drop evidence that no longer counts, and judge what is due."""
        self.causes.forget_old(self.clock())
        self._spread()

    def _spread(self) -> None:
        news = self.causes.take_news()
        for each in news:
            _log_news(each)
            self.publish(each)
        if news:
            self.on_change()


def _log_news(news: News) -> None:
    match news:
        case Crash():
            eliot.log_message(
                message_type="lagoonpost:forwarding:runner_crash",
                runner=news.runner,
                request=news.attempt,
                causes=news.causes,
                crashed=round(news.latest, 3),
            )
        case Verdict():
            eliot.log_message(
                message_type="lagoonpost:forwarding:convicted",
                cause=news.cause,
                since=round(news.since, 3),
                number=news.number,
            )


class WatchedRun:
    """One run of a request at one runner.

    Args:
        watch: Gathers the evidence.
        exchange: The request.
        choice: The runner.
    """

    def __init__(
        self, watch: CrashWatch, exchange: Exchange, choice: Choice
    ) -> None:
        self._watch = watch
        self._exchange = exchange
        self._choice = choice
        self._sent = watch.clock()
        self._first_byte: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    def note_first_byte(self) -> None:
        """Record that the answer has begun."""
        self._first_byte = self._watch.clock()
        self._timer = asyncio.get_running_loop().call_later(
            SURVIVAL_SECONDS, self._note_sound
        )

    def end(self, outcome: Outcome | None) -> None:
        """Record how the run ended.

        Args:
            outcome: The outcome; None if it was given up while it ran.
        """
        if self._timer is not None:
            self._timer.cancel()
        now = self._watch.clock()
        match outcome:
            case Whole(response) if response.status >= FAILED_STATUS:
                # The runner may never have begun to run it.
                pass
            case Whole() | Began():
                self._note_sound()
            case Broken():
                self._note_cut_off(now, now)
                self._watch.check_runner(self._choice)
            case Silent(seconds):
                self._note_cut_off(now - seconds, now)
                self._watch.check_runner(self._choice)
            case None:
                self._note_cut_off(self._first_byte or self._sent, now)
            case NotRun(status) if status == MISDIRECTED:
                self._watch.note_down(self._choice.endpoint.id)

    def _note_sound(self) -> None:
        self._watch.note_sound(self._exchange, self._first_byte or self._sent)

    def _note_cut_off(self, earliest: float, latest: float) -> None:
        """Record the end of the run unless its answer went on for long."""
        first_byte = self._first_byte
        if first_byte and earliest > first_byte + SURVIVAL_SECONDS:
            return
        crash = Crash(
            self._choice.endpoint.id,
            self._exchange.arrival.id,
            self._exchange.causes,
            earliest,
            latest,
            self._sent,
            self._choice.endpoint.born,
        )
        self._watch.causes.note_cut_off(crash)
