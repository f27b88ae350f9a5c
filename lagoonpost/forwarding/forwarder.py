"""Forwards callers' requests to runners: one path for all kinds."""

import asyncio
import random
from collections.abc import Callable

from lagoonpost.forwarding.admission import Admission
from lagoonpost.forwarding.attempt import (
    Began,
    Broken,
    Moved,
    NotRun,
    Outcome,
    Silent,
    Unreachable,
    Whole,
    send_request,
)
from lagoonpost.forwarding.belief import Belief
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.forwarding.migration import Migrations
from lagoonpost.forwarding.refusal import (
    ANSWER_LOST,
    NO_RUNNER,
    NOT_SENT,
    TOO_LATE,
    Refusal,
    make_refusal,
)
from lagoonpost.forwarding.relay import relay
from lagoonpost.forwarding.shared import Shared
from lagoonpost.forwarding.shifts import Shifts
from lagoonpost.forwarding.usage import UsageCount
from lagoonpost.http.client import Client
from lagoonpost.http.message import Request, Response
from lagoonpost.http.responder import Responder
from lagoonpost.platform.headers import (
    Instructions,
    make_returned,
    read_arrival,
)
from lagoonpost.platform.memory import RunMemory
from lagoonpost.platform.settings import Bounds
from lagoonpost.systems.budget import RetryBudget
from lagoonpost.systems.placement import Choice, Placement
from lagoonpost.systems.poison import BrokenAnswer
from lagoonpost.tables.saved_run import SavedRun

MAX_RUNNERS_PER_REQUEST = 4
"""Runners that one request is offered to, those that did not run it
included: each costs the caller a round trip or a connection's time-out."""
CONFIGURATION_WAIT_SECONDS = 0.4
"""How long after the first request of a start callers wait for the first
configuration: it mostly comes some hundredths of a second later."""
MIN_FIRST_BYTE_TIMEOUT_SECONDS = 1.0
"""Least wait for the first byte before another runner is tried."""
FIRST_BYTE_TIMEOUT_SHARE = 0.5
"""Most of the time left that one silent runner gets: callers of checks wait
for a second in all, and another runner needs some of it."""


class Forwarder:
    """Handles callers' requests.

    Args:
        belief: Configuration and runners.
        shared: What is known of the other gateways.
        client: HTTP client.
        usage: Counts of begun requests.
        bounds: Promised times and shares.
        rng: Source of random choices.
        log: Told each exchange that ended.
        admission: Decides about requests before runners are asked.
    """

    def __init__(
        self,
        belief: Belief,
        client: Client,
        usage: UsageCount,
        bounds: Bounds,
        rng: random.Random,
        log: Callable[[Exchange], None],
        admission: Admission,
    ) -> None:
        self._belief = belief
        self._client = client
        self._usage = usage
        self._bounds = bounds
        self._rng = rng
        self._log = log
        self.admission = admission
        self.cluster: Shared
        self.shifts: Shifts
        self.placement = Placement()
        self.migrations = Migrations(
            belief,
            self.placement,
            RunMemory(client),
            self._take_repeat,
            lambda: self._bounds.drain_seconds,
            rng,
        )
        self.prompt_tokens: dict[str, int] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._loaded_by: float | None = None

    def set_bounds(self, bounds: Bounds) -> None:
        """Keep to other bounds from now on."""
        if bounds == self._bounds:
            return
        self._bounds = bounds
        self._budgets.clear()
        self.admission.set_bounds(bounds)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        loop = asyncio.get_running_loop()
        exchange = Exchange(request, read_arrival(request.headers), loop.time)
        try:
            if not self._belief.loaded.is_set():
                await self._wait_loaded(exchange.now())
            refusal = self.admission.admit(exchange)
            if refusal is None:
                refusal = await self._forward(exchange, responder)
            if refusal is not None:
                exchange.note_refused(refusal)
                await responder.send(make_refusal(refusal))
        except asyncio.CancelledError:
            exchange.outcome = "caller_gone"
            raise
        finally:
            self._log(exchange)

    async def _wait_loaded(self, now: float) -> None:
        """Wait for the first configuration, for some time from the start."""
        if self._loaded_by is None:
            self._loaded_by = now + CONFIGURATION_WAIT_SECONDS
        try:
            async with asyncio.timeout_at(self._loaded_by):
                await self._belief.loaded.wait()
        except TimeoutError:
            pass

    # Forwarding

    async def _forward(
        self, exchange: Exchange, responder: Responder
    ) -> Refusal | None:
        """Offer the request to runners until one answers."""
        budget = self._budget(exchange.requirements.service)
        budget.note_request(exchange.now())
        try:
            async with asyncio.timeout_at(exchange.deadline):
                return await self._try_runners(exchange, responder, budget)
        except TimeoutError:
            exchange.note("timeout")
            exchange.last_refusal = (
                NOT_SENT if exchange.known_not_run else TOO_LATE
            )
            return await self._give_up(exchange, responder)
        finally:
            self.admission.give_back(exchange)

    async def _try_runners(
        self, exchange: Exchange, responder: Responder, budget: RetryBudget
    ) -> Refusal | None:
        moved: Moved | None = None
        while True:
            choice = self._choose(exchange, moved)
            if choice is None:
                return await self._give_up(exchange, responder)
            # A move has taken its repeat before it stopped the run.
            if (
                exchange.reached_count
                and not moved
                and not budget.take(
                    self.cluster.count_gateways(), exchange.now()
                )
            ):
                exchange.note("no_budget")
                return await self._give_up(exchange, responder)
            saved = moved.saved if moved else None
            outcome = await self._send(exchange, choice, responder, saved)
            exchange.note_outcome(choice, outcome)
            moved = outcome if isinstance(outcome, Moved) else None
            if moved:
                continue
            self._judge(exchange, choice, outcome)
            if responder.finished or exchange.outcome == "answered":
                return None
            poison = self.admission.crashes.is_poison(
                exchange.fingerprint, exchange.now()
            )
            if poison or not exchange.may_retry():
                return await self._give_up(exchange, responder)

    def _judge(
        self, exchange: Exchange, choice: Choice, outcome: Outcome
    ) -> None:
        """Note what speaks for and against a request that crashes runners."""
        runner = choice.endpoint.id
        if isinstance(outcome, Whole | Began):
            self.admission.crashes.note_answered(exchange.fingerprint)
        elif isinstance(outcome, Unreachable):
            self.admission.crashes.note_down(runner, exchange.now())
        elif isinstance(outcome, Broken):
            seen = BrokenAnswer(
                exchange.fingerprint, runner, exchange.arrival.id
            )
            self.admission.crashes.note(seen, exchange.now())
            self.cluster.publish_break(seen)

    async def _give_up(
        self, exchange: Exchange, responder: Responder
    ) -> Refusal | None:
        """End a request that no further runner is asked for."""
        # A stream that has begun can only be broken off: the caller sees
        # from its missing end that it is not whole.
        if responder.started:
            exchange.outcome = "broken_off"
            return None
        # A runner's own failure says more than that its answer was lost,
        # and that nobody took the request would not be true.
        if exchange.fallback_response is not None:
            await self._pass_back(
                exchange, exchange.fallback_response, responder
            )
            return None
        if exchange.last_refusal is not None:
            return exchange.last_refusal
        return NO_RUNNER if exchange.known_not_run else ANSWER_LOST

    def _choose(
        self, exchange: Exchange, moved: Moved | None
    ) -> Choice | None:
        if moved is not None:
            return Choice(moved.target, 0.0, 1, suspect=False)
        if len(exchange.tried_runners) >= MAX_RUNNERS_PER_REQUEST:
            return None
        service = exchange.requirements.service
        runners = [
            each
            for each in self._belief.find_runners(service)
            if each.id not in exchange.tried_runners
        ]
        leaving = [
            each for each in self._belief.find_all(service) if each.leaving
        ]
        group = self.shifts.choose_group(
            service, runners, self.cluster.count_gateways()
        )
        return self.placement.choose(
            group, exchange.requirements, exchange.now(), self._rng, leaving
        )

    async def _send(
        self,
        exchange: Exchange,
        choice: Choice,
        responder: Responder,
        saved: SavedRun | None,
    ) -> Outcome:
        exchange.note_sent(choice)
        self.shifts.note_sent(choice.endpoint)
        placement = self.placement
        wanted = exchange.requirements
        placement.note_sent(choice, wanted, exchange.now())
        sent = exchange.now()
        began = False
        try:
            outcome = await send_request(
                self._client,
                choice.endpoint,
                exchange.request,
                exchange.arrival.id,
                self._instruct(exchange, choice, saved),
                self._find_patience(exchange, choice),
            )
            self._learn(exchange, choice, outcome, exchange.now() - sent)
            began = isinstance(outcome, Began | Whole)
            if isinstance(outcome, Whole):
                await self._answer_whole(exchange, outcome, responder)
            elif isinstance(outcome, Began):
                outcome = await relay(
                    exchange, choice, outcome, responder, self.migrations
                )
            return outcome
        finally:
            placement.note_ended(choice, began)

    def _instruct(
        self, exchange: Exchange, choice: Choice, saved: SavedRun | None
    ) -> Instructions:
        workspace = exchange.workspace
        return Instructions(
            runner=choice.endpoint.id,
            left=exchange.deadline - exchange.now(),
            workspace=workspace.name if workspace else "",
            last_event=exchange.last_event,
            urgency=exchange.urgency,
            saved=saved,
            holder=choice.holder.address if choice.holder else None,
        )

    def _find_patience(
        self, exchange: Exchange, choice: Choice
    ) -> float | None:
        """Return how long a runner may be silent before its first byte.

        Only where another runner may be asked: the silence of one that may
        be at work on a booking is no reason to end it.
        """
        if not exchange.idempotent:
            return None
        usual = max(
            MIN_FIRST_BYTE_TIMEOUT_SECONDS,
            2 * exchange.target,
            4 * choice.seconds,
        )
        left = exchange.deadline - exchange.now()
        return min(usual, FIRST_BYTE_TIMEOUT_SHARE * left)

    def _learn(
        self,
        exchange: Exchange,
        choice: Choice,
        outcome: Outcome,
        took: float,
    ) -> None:
        state = self.placement.state(choice.endpoint.id)
        now = exchange.now()
        match outcome:
            case Unreachable():
                state.note_unreachable(now)
            case NotRun() | Broken():
                state.note_outcome(True)
            case Silent():
                state.note_outcome(True)
                state.note_unreachable(now)
            case Whole(response):
                state.note_reached()
                state.note_outcome(response.status >= 500)
            case Began():
                state.note_reached()
                state.note_outcome(False)
        if not isinstance(outcome, Unreachable | NotRun):
            self.shifts.note_answer(
                choice.endpoint,
                exchange.route.name if exchange.route else "",
                failed=_is_failure(outcome),
                slow=took > exchange.target,
            )
        if isinstance(outcome, Whole | Began):
            self.placement.note_first_byte(
                choice, exchange.requirements, took, now
            )
            if exchange.note_began() and exchange.workspace is not None:
                self._usage.note_begun(exchange.workspace.name)
            if isinstance(outcome, Began):
                self._count_prompt(exchange, choice)

    def _count_prompt(self, exchange: Exchange, choice: Choice) -> None:
        service = exchange.requirements.service
        before = self.prompt_tokens.get(service, 0)
        self.prompt_tokens[service] = before + choice.unread

    # Answers

    async def _answer_whole(
        self, exchange: Exchange, outcome: Whole, responder: Responder
    ) -> None:
        response = outcome.response
        if exchange.may_retry_failure(response.status):
            exchange.fallback_response = response
            return
        await self._pass_back(exchange, response, responder)

    async def _pass_back(
        self, exchange: Exchange, response: Response, responder: Responder
    ) -> None:
        headers = make_returned(response.headers)
        await responder.send(response._replace(headers=headers))
        exchange.note_answered(response.status)

    def _take_repeat(self, service: str) -> bool:
        now = asyncio.get_running_loop().time()
        return self._budget(service).take(self.cluster.count_gateways(), now)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                self._bounds.budget_ratio,
                self._bounds.budget_floor,
                self._bounds.budget_window,
            )
        return budget


def _is_failure(outcome: Outcome) -> bool:
    if isinstance(outcome, Whole):
        return outcome.response.status >= 500
    return isinstance(outcome, Broken | Silent)
