"""The retry budgets of all services, shared with the other gateways.

A gateway without enough credit asks another one, which collects the credits
of all and reserves retries in the store. It is chosen by hash, so that most
reservations are made by one gateway; any other one may do the same.
"""

import asyncio
import random
from collections.abc import Callable, Collection, Sequence

from lagoonpost.forwarding.issuers import (
    ASKED_PER_SECOND,
    ISSUERS_ASKED,
    Issuers,
)
from lagoonpost.forwarding.quota_recorder import ClockedStore
from lagoonpost.forwarding.request_log import log_retry
from lagoonpost.forwarding.retry_recorder import RetryRecorder
from lagoonpost.http.message import Address, parse_address
from lagoonpost.peers.messenger import DatagramMessenger
from lagoonpost.peers.pending_replies import PendingReplies
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.budget import (
    HOLD_SECONDS,
    TRAVEL_SECONDS,
    RetryBudget,
)
from lagoonpost.tables.bounds import Bounds
from lagoonpost.tables.peer import Member
from lagoonpost.tables.retry import RetryReply, RetryRequest

ISSUE_SECONDS = 0.25
"""Longest wait for a reservation. One that comes later serves later requests;
a request must not use up its time waiting for a slow store."""
REPLY_TIMEOUT_SECONDS = ISSUE_SECONDS + 0.15
"""Timeout of a reply: the issuer's wait and some round trips."""


class _Service:
    """Retries of one service.

    Attributes:
        budget: This gateway's view of the budget.
        waiting: Number of requests that wait for a reservation.
        ask_after: Time in seconds before which no other gateway is asked.
        reserving: Task that reserves retries; None if there was none.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.budget = RetryBudget(
            bounds.budget_ratio, bounds.budget_floor, bounds.budget_window
        )
        self.waiting = 0
        self.ask_after = 0.0
        self.reserving: asyncio.Task[None] | None = None


class RetryBudgets:
    """Grants retries within the budgets of all services.

    Args:
        name: Name of this gateway.
        bounds: Ratio, floor and window of the budgets.
        store: Store that holds the reservations.
        is_store_lost: Returns whether the store doesn't answer this gateway.
        find_issuers: Returns the names of the gateways that may be asked.
        find_peers: Returns the other gateways.
        count_gateways: Returns the number of gateways that may serve callers.
        rng: Source of random pauses.
        clock: Returns the time in seconds, suspensions included.
    """

    def __init__(
        self,
        name: str,
        bounds: Bounds,
        store: ClockedStore,
        is_store_lost: Callable[[], bool],
        find_issuers: Callable[[], Collection[str]],
        find_peers: Callable[[], Sequence[Member]],
        count_gateways: Callable[[], int],
        rng: random.Random,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._name = name
        self._bounds = bounds
        self._recorder = RetryRecorder(store, is_store_lost, rng, clock)
        self._issuers = Issuers(name, find_issuers, find_peers, clock)
        self._count_gateways = count_gateways
        self._clock = clock
        self._services: dict[str, _Service] = {}
        self._post: DatagramMessenger | None = None
        self._pending = PendingReplies[RetryReply](REPLY_TIMEOUT_SECONDS)
        self._last_number = 0
        self._answering: set[asyncio.Task[None]] = set()

    def listen(self, post: DatagramMessenger) -> None:
        """Exchange messages with other gateways through a messenger."""
        self._post = post
        post.set_handler(RetryRequest, self._handle_request)
        post.set_handler(RetryReply, self._handle_reply)

    def set_bounds(self, bounds: Bounds) -> None:
        """Apply new bounds; credits that were earned are lost."""
        self._bounds = bounds
        self._services.clear()
        self._recorder.forget()

    def handle_new_era(self) -> None:
        """Reserve nothing while lost reservations may still count."""
        counted = self._bounds.budget_window + HOLD_SECONDS + TRAVEL_SECONDS
        self._recorder.close_until(self._clock() + counted)

    def note_request(self, service: str) -> None:
        """Count the first offer of a request."""
        budget = self._find(service).budget
        budget.note_request(self._count_gateways(), self._clock())

    async def acquire(self, service: str) -> bool:
        """Return whether a request may be offered once more, and count it."""
        state = self._find(service)
        source = state.budget.take(self._count_gateways(), self._clock())
        if not source:
            source = await self._ask(service, state)
        budget = state.budget.describe(self._count_gateways(), self._clock())
        log_retry(service, source, budget)
        return bool(source)

    async def _ask(self, service: str, state: _Service) -> str:
        """Return what a retry is taken from; empty if it isn't granted."""
        for _ in range(ISSUERS_ASKED):
            issuer = self._issuers.choose(service)
            if issuer is None:
                break
            if self._clock() < state.ask_after:
                return ""
            reply = await self._send_request(issuer, service, state)
            if reply is not None:
                if reply.granted:
                    return "issuer"
                pause = self._count_gateways() / ASKED_PER_SECOND
                state.ask_after = self._clock() + pause
                return ""
            self._issuers.note_silent(issuer.name)
        return await self._issue(service, state)

    async def _send_request(
        self, issuer: Member, service: str, state: _Service
    ) -> RetryReply | None:
        """Hand over the credit that there is, and return the reply."""
        post = self._post
        if post is None:
            return None
        credit = state.budget.hand_over(self._count_gateways(), self._clock())
        self._last_number += 1
        request = RetryRequest(self._last_number, service, credit)
        targets = [parse_address(issuer.address)]
        return await self._pending.wait(
            request.number, lambda: post.send(request, targets)
        )

    # Issuing

    async def _issue(self, service: str, state: _Service) -> str:
        """Return what this gateway takes a retry from; empty for nothing."""
        state.waiting += 1
        try:
            async with asyncio.timeout(ISSUE_SECONDS):
                while True:
                    source = state.budget.take(
                        self._count_gateways(), self._clock()
                    )
                    if source or not self._recorder.may_reserve(service):
                        return source
                    await asyncio.shield(self._reserve(service, state))
        except TimeoutError:
            return ""
        finally:
            state.waiting -= 1

    def _reserve(self, service: str, state: _Service) -> asyncio.Task[None]:
        """Return the task that reserves retries for all that wait."""
        task = state.reserving
        if task is None or task.done():
            task = state.reserving = asyncio.create_task(
                self._recorder.reserve(
                    service, state.budget, lambda: state.waiting
                )
            )
        return task

    def _handle_request(self, request: RetryRequest, sender: Address) -> None:
        task = asyncio.create_task(self._answer(request, sender))
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)

    async def _answer(self, request: RetryRequest, sender: Address) -> None:
        state = self._find(request.service)
        gateways, now = self._count_gateways(), self._clock()
        state.budget.add_credit(request.credit, gateways, now)
        granted = bool(await self._issue(request.service, state))
        if self._post is not None:
            self._post.send(RetryReply(request.number, granted), [sender])

    def _handle_reply(self, reply: RetryReply, sender: Address) -> None:
        self._pending.resolve(reply.number, reply)

    def _find(self, service: str) -> _Service:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service(self._bounds)
        return state
