"""Sends a request to one runner, and records what comes of it."""

import asyncio
from collections.abc import Awaitable, Callable

from lagoonpost.forwarding.attempt import (
    Barred,
    Began,
    Broken,
    Foreign,
    NotRun,
    Outcome,
    OverQuota,
    RunnerCall,
    Silent,
    Unreachable,
    Whole,
    Withheld,
    send_request,
)
from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.crash_watch import CrashWatch
from lagoonpost.forwarding.end_check import check_end
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.forwarding.migration import Migrations
from lagoonpost.forwarding.notice_reader import NoticeReader
from lagoonpost.forwarding.permits import Permits
from lagoonpost.forwarding.relay import STREAM_IDLE_TIMEOUT_SECONDS, relay
from lagoonpost.forwarding.request_log import (
    log_limited_request,
    log_silent,
    log_unreachable,
)
from lagoonpost.forwarding.request_ordering import RequestOrdering
from lagoonpost.forwarding.runner_paths import RunnerPaths
from lagoonpost.forwarding.speed_sampler import SpeedSampler
from lagoonpost.forwarding.successor import Gate, Successor
from lagoonpost.forwarding.usage_counter import UsageCounter
from lagoonpost.forwarding.version_shifts import VersionShifts
from lagoonpost.http.client import Client
from lagoonpost.http.message import Response
from lagoonpost.http.responder import Responder
from lagoonpost.platform.headers import (
    AddedHeaders,
    make_response_headers,
)
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.answer_end import EndVerdict
from lagoonpost.systems.placement import Choice, Placement
from lagoonpost.tables.answer_end import EndEvidence, RunnerState, UploadState
from lagoonpost.tables.kv_copy import KvCopy

MIN_FIRST_BYTE_TIMEOUT_SECONDS = STREAM_IDLE_TIMEOUT_SECONDS
"""Shortest wait for the first byte before another runner is tried, unless the
deadline is too close."""
FIRST_BYTE_TIMEOUT_SHARE = 0.5
"""Limit for the wait for one silent runner, relative to the time until the
deadline. Callers of checks wait for one second in total, and another runner
needs part of it."""


CLOCK_SLACK_SECONDS = 0.001
"""Time before the deadline at which it counts as passed: timers may fire early
by the resolution of their clock."""


_Unanswered = Unreachable | Barred | Withheld | OverQuota | NotRun | Foreign
"""Outcomes without an answer of the runner to the request."""


class Offers:
    """Offers requests to runners.

    Args:
        client: HTTP client.
        paths: Opens connections to runners.
        placement: Load of the runners.
        permits: Tells the limits that runners name.
        migrations: Streams in flight and their moves to other runners.
        usage: Counts of started requests by workspace.
        crashes: Tells which requests crash runners.
        view: Local view of the runners.
        notices: Reads what runners say of themselves in answers.
        ordering: Learns from requests that are sent and answered.
        charge: Charges a run to the quota, given whether it continues an
            answer; returns the seconds to wait if there is no room for it.
        refund: Returns the units of the last run, which has not begun.

    Attributes:
        choose_next: Chooses a runner for one more run, for which it takes a
            retry; None if there is none.
        shifts: Services that shift to another version.
        prompt_tokens: Prompt tokens sent to runners that were not in their
            caches, by service.
    """

    def __init__(
        self,
        client: Client,
        paths: RunnerPaths,
        placement: Placement,
        permits: Permits,
        migrations: Migrations,
        usage: UsageCounter,
        crashes: CrashWatch,
        view: ClusterState,
        notices: NoticeReader,
        ordering: RequestOrdering,
        charge: Callable[[Exchange, bool], Awaitable[float | None]],
        refund: Callable[[Exchange], None],
    ) -> None:
        self._charge = charge
        self._refund = refund
        self._ordering = ordering
        self._view = view
        self._notices = notices
        self._client = client
        self._paths = paths
        self._placement = placement
        self._permits = permits
        self._migrations = migrations
        self._usage = usage
        self._crashes = crashes
        self.choose_next: Callable[
            [Exchange, Responder], Awaitable[Choice | None]
        ]
        self.shifts: VersionShifts
        self.prompt_tokens: dict[str, int] = {}

    async def send(
        self,
        exchange: Exchange,
        choice: Choice,
        responder: Responder,
        saved: KvCopy | None,
        gate: Gate | None = None,
    ) -> Outcome:
        """Offer a request to a runner for which it has a permit.

        Args:
            exchange: The request.
            choice: The runner.
            responder: Passes the answer on to the caller.
            saved: Saved state of the run to resume, or None.
            gate: Where to wait before the answer is passed on, or None.
        """
        exchange.note_sent(choice)
        self.shifts.note_sent(choice.endpoint)
        # An overloaded version answers too late to be judged by its answers.
        late = asyncio.get_running_loop().call_later(
            exchange.target, self._note_late, exchange, choice
        )
        placement = self._placement
        requirements = exchange.requirements
        placement.note_sent(choice, requirements, exchange.now())
        sampler = SpeedSampler(placement, exchange, choice)
        self._ordering.note_sent(exchange, choice)
        sent_at, clock_sent_at = exchange.now(), read_clock()
        rate = self._permits.find_stated_rate(choice.endpoint)
        if rate is not None:
            log_limited_request(choice, rate)
        began, began_at = False, sent_at
        watched = self._crashes.watch(exchange, choice)
        ended: Outcome | None = None
        try:
            outcome = await send_request(
                self._client,
                choice.endpoint,
                lambda: self._paths.connect(
                    choice.endpoint,
                    choice.indirect,
                    "requests",
                    exchange.arrival.id,
                ),
                exchange.request,
                exchange.arrival.id,
                lambda: self._make_instructions(exchange, choice, saved),
                lambda: self._find_obstacle(
                    exchange, choice, saved, responder.started
                ),
                lambda status, headers: self._notices.note_head(
                    choice.endpoint, status, headers, clock_sent_at
                ),
                self._find_first_byte_timeout(exchange, choice),
                lambda: self._note_unfinished(exchange, choice),
            )
            # Waiting for proof of the answer's end doesn't make it slow.
            took = exchange.now() - sent_at
            if took <= exchange.target:
                late.cancel()
            if isinstance(outcome, Whole):
                outcome = await self._confirm_end(exchange, choice, outcome)
            if saved is not None and isinstance(
                outcome, Unreachable | Barred | Withheld
            ):
                self._refund(exchange)
            sampler.note_answer(outcome, took)
            self._record_outcome(exchange, choice, outcome, took)
            began = isinstance(outcome, Began | Whole)
            began_at = exchange.now()
            if gate is not None:
                await gate.pass_through(outcome)
            if isinstance(outcome, Began):
                watched.note_first_byte()
                outcome = await relay(
                    exchange,
                    choice,
                    outcome,
                    responder,
                    self._migrations,
                    lambda call: self._paths.find_state(
                        choice, call.longest_wait, exchange.patience
                    ),
                    sampler,
                    lambda: self._note_failure(choice),
                    lambda call: self._take_over(
                        exchange, choice, responder, call
                    ),
                )
            ended = outcome
            if isinstance(outcome, Whole) and responder.started:
                return Broken("the answer doesn't go on with the stream")
            if isinstance(outcome, Whole):
                await _answer_or_retry(exchange, outcome, responder)
            return outcome
        finally:
            if exchange.now() - sent_at <= exchange.target:
                late.cancel()
            sampler.end()
            watched.end(ended)
            placement.note_ended(choice, began)
            if began:
                self._ordering.note_ended(exchange, exchange.now() - began_at)

    async def _take_over(
        self,
        exchange: Exchange,
        choice: Choice,
        responder: Responder,
        call: RunnerCall,
    ) -> bool:
        """Return whether another runner goes on for one that is silent.

        Args:
            exchange: The request.
            choice: The silent runner.
            responder: Passes the answer on to the caller.
            call: The call to the silent runner. If it goes on before the other
                one has begun, the other one is withdrawn.
        """
        if not self._has_other(exchange, choice):
            return False
        exchange.tried_runners.add(choice.endpoint.id)
        other = await self.choose_next(exchange, responder)
        if other is None or call.next_part().done():
            return False
        successor = Successor(
            other,
            lambda gate: self.send(exchange, other, responder, None, gate),
        )
        exchange.successor = successor
        if await successor.overtakes(call):
            return True
        exchange.successor = None
        outcome = await successor.withdraw()
        if outcome is None:
            exchange.note_withdrawn(other)
        else:
            exchange.note_outcome(other, outcome)
        return False

    async def _confirm_end(
        self, exchange: Exchange, choice: Choice, outcome: Whole
    ) -> Whole | Broken:
        """Return an answer, or that it may have been cut off."""
        call = outcome.call

        async def find_upload() -> UploadState:
            if call is None:
                return UploadState.UNKNOWN
            return await call.find_upload(exchange.patience)

        async def find_runner() -> RunnerState:
            waited = call.longest_wait if call is not None else 0.0
            return await self._paths.find_state(
                choice, waited, exchange.patience
            )

        try:
            verdict = await check_end(
                exchange,
                choice,
                EndEvidence(
                    ended=True,
                    framed=call is None,
                    repeatable=exchange.idempotent,
                    late=exchange.is_deadline_near(),
                ),
                find_upload,
                find_runner,
            )
        finally:
            if call is not None:
                call.close()
        if verdict is EndVerdict.WHOLE:
            return outcome
        return Broken("the end of the answer is not proved")

    def _make_instructions(
        self, exchange: Exchange, choice: Choice, saved: KvCopy | None
    ) -> AddedHeaders:
        workspace = exchange.workspace
        return AddedHeaders(
            runner=choice.endpoint.id,
            left=exchange.deadline - exchange.now(),
            workspace=workspace.name if workspace else "",
            last_event=exchange.last_event,
            urgency=exchange.urgency,
            saved=saved,
            holder=choice.copy_source.address if choice.copy_source else None,
        )

    def _find_first_byte_timeout(
        self, exchange: Exchange, choice: Choice
    ) -> float | None:
        """Return the timeout for a runner's first byte, in seconds.

        There is none if the request may not run twice: a silent runner may
        still be working on a booking, which must not be cancelled.
        """
        if not exchange.idempotent:
            return None
        timeout = max(
            MIN_FIRST_BYTE_TIMEOUT_SECONDS,
            2 * exchange.target,
            4 * choice.seconds,
        )
        left = exchange.deadline - exchange.now()
        return min(timeout, FIRST_BYTE_TIMEOUT_SHARE * left)

    def _record_outcome(
        self,
        exchange: Exchange,
        choice: Choice,
        outcome: Outcome,
        took: float,
    ) -> None:
        state = self._placement.state(choice.endpoint.id)
        reach = self._placement.reach
        now = exchange.now()
        match outcome:
            case Unreachable(detail):
                log_unreachable(choice, detail, took)
            case NotRun():
                state.note_outcome(True)
                self._refund(exchange)
            case Broken():
                state.note_outcome(True)
            case Silent(seconds):
                state.note_outcome(True)
                log_silent(choice, seconds, exchange.requirements.engine)
                reach.note_silent(choice.endpoint.id, now)
            case Whole(response):
                reach.note_answered(choice.endpoint.id)
                state.note_outcome(response.status >= 500)
            case Began():
                reach.note_answered(choice.endpoint.id)
                state.note_outcome(False)
        # One that was late has been counted.
        if took <= exchange.target and not isinstance(outcome, _Unanswered):
            self._note_answer(exchange, choice, _has_failed(outcome), False)
        if isinstance(outcome, Whole | Began):
            self._placement.note_first_byte(
                choice, exchange.requirements, took, now
            )
            self._ordering.note_first_byte(exchange, choice, took)
            if exchange.note_began() and exchange.workspace is not None:
                self._usage.record_begun(exchange.workspace.name)
            if isinstance(outcome, Began):
                self._count_prompt(exchange, choice)

    def _note_late(self, exchange: Exchange, choice: Choice) -> None:
        self._note_answer(exchange, choice, failed=False, slow=True)

    def _note_answer(
        self, exchange: Exchange, choice: Choice, failed: bool, slow: bool
    ) -> None:
        """Count an answer, or a wait beyond the target, for its version."""
        route = exchange.route.name if exchange.route else ""
        self.shifts.note_answer(
            choice.endpoint, route, failed=failed, slow=slow
        )

    def _note_unfinished(self, exchange: Exchange, choice: Choice) -> None:
        """Record an answer that had begun and was given up.

        It is no failure of the runner if the caller left before.
        """
        if exchange.deadline - exchange.now() < CLOCK_SLACK_SECONDS:
            self._note_failure(choice)

    def _note_failure(self, choice: Choice) -> None:
        self._placement.state(choice.endpoint.id).note_outcome(True)

    async def _find_obstacle(
        self,
        exchange: Exchange,
        choice: Choice,
        saved: KvCopy | None,
        continues: bool,
    ) -> Barred | Withheld | OverQuota | None:
        """Return why the request must not be sent to the runner now.

        A run that was moved has been charged before the run before it was
        stopped.

        Args:
            exchange: The request.
            choice: The runner.
            saved: Saved state of the run to resume, or None.
            continues: Whether the caller has a part of the answer.
        """
        obstacle = self._find_bar(exchange, choice, saved)
        if obstacle is None and saved is None:
            wait = await self._charge(exchange, continues)
            if wait is not None:
                return OverQuota(wait)
            obstacle = self._find_bar(exchange, choice, saved)
            if obstacle is not None:
                self._refund(exchange)
        if obstacle is None:
            exchange.on_trial = False
        return obstacle

    def _find_bar(
        self, exchange: Exchange, choice: Choice, saved: KvCopy | None
    ) -> Barred | Withheld | None:
        """Return why the runner must not get the request, if it mustn't.

        A run that was moved and may run only once has no other runner to go
        to. Its target was asked for before the run was stopped.
        """
        refusal = self._crashes.find_refusal(exchange)
        if refusal is not None:
            return Barred(refusal)
        is_committed = saved is not None and not exchange.idempotent
        if is_committed or self._view.may_send(choice.endpoint):
            return None
        return Withheld()

    def _has_other(self, exchange: Exchange, choice: Choice) -> bool:
        """Return whether a stream may go on at a runner not tried yet."""
        route = exchange.route
        if route is None or exchange.run_count + 1 >= route.max_attempts:
            return False
        tried = exchange.tried_runners | {choice.endpoint.id}
        return any(
            runner.id not in tried
            for runner in self._view.find_runners(
                exchange.requirements.service, exchange.regions
            )
        )

    def _count_prompt(self, exchange: Exchange, choice: Choice) -> None:
        service = exchange.requirements.service
        before = self.prompt_tokens.get(service, 0)
        self.prompt_tokens[service] = before + choice.uncached_tokens


def _has_failed(outcome: Outcome) -> bool:
    if isinstance(outcome, Whole):
        return outcome.response.status >= 500
    return isinstance(outcome, Broken | Silent)


async def _answer_or_retry(
    exchange: Exchange, outcome: Whole, responder: Responder
) -> None:
    response = outcome.response
    if exchange.may_retry_failure(response.status):
        exchange.fallback_response = response
        return
    await send_response(exchange, response, responder)


async def send_response(
    exchange: Exchange, response: Response, responder: Responder
) -> None:
    """Pass a runner's whole answer on to the caller."""
    headers = make_response_headers(response.headers)
    await responder.send(response._replace(headers=headers))
    exchange.note_answered(response.status)
