"""Calls that must not be repeated, such as bookings, through the ledger."""

import hashlib
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import NamedTuple

import eliot

from lagoonpost.gateway.booking_answer import make_response
from lagoonpost.http.client import Client
from lagoonpost.http.message import Headers, Response, parse_address
from lagoonpost.runners.plain import call_once
from lagoonpost.store.ledger import PREFIX, Ledger
from lagoonpost.systems.backoff import compute_outage_delay
from lagoonpost.systems.booking import (
    Answered,
    Lost,
    NoRunner,
    NotRun,
    Outcome,
    RunnerChosen,
)
from lagoonpost.systems.event import Refuse
from lagoonpost.systems.ledger import STORE_DOWN
from lagoonpost.tables.entity import Runner


class BookingCall(NamedTuple):
    """A call that runs at most once.

    Attributes:
        request_id: Unique id given by this gateway.
        workspace: Whose call it is.
        key: The caller's idempotency key, or None.
        method: HTTP method.
        path: Path and query below the service.
        headers: Headers to pass on.
        body: Body to pass on, byte for byte.
        service: Name of the service.
        timeout: Seconds the runner has for its answer.
    """

    request_id: str
    workspace: str
    key: str | None
    method: str
    path: str
    headers: Headers
    body: bytes
    service: str
    timeout: float


ChooseRunner = Callable[[str | None, str | None], Awaitable[Runner | Refuse]]


class Bookings:
    """Takes bookings for one gateway.

    Args:
        ledger: Ledger over the table service.
        client: HTTP client to the runners.
        rng: Spreads when refused callers come back.
    """

    def __init__(
        self, ledger: Ledger, client: Client, rng: Random | None = None
    ) -> None:
        self._ledger = ledger
        self._client = client
        self._rng = rng or Random()

    async def book(self, call: BookingCall, place: ChooseRunner) -> Response:
        """Run ``call`` at most once and return what to tell the caller.

        Args:
            call: The call.
            place: Chooses a runner; takes the name of the one that did not
                run the call and ``refused``, or None for both at first.
        """
        dispatcher = _Dispatcher(self._client, call, place)
        outcome = await self._ledger.take(
            make_row_key(call), make_digest(call), call.timeout, dispatcher
        )
        answer = make_response(self._add_jitter(outcome), time.time())
        _log(call, dispatcher, outcome, answer)
        return answer

    def _add_jitter(self, outcome: Outcome) -> Outcome:
        if outcome != STORE_DOWN:
            return outcome
        # All bookings of an outage would come back in the same second, and
        # the store, just back, would go down under them again.
        delay = compute_outage_delay(self._ledger.count_outage(), self._rng)
        return STORE_DOWN._replace(retry_after=delay)

    async def close(self, grace: float) -> None:
        """Let open bookings end within ``grace`` seconds."""
        await self._ledger.close(grace)


class _Dispatcher:
    def __init__(
        self, client: Client, call: BookingCall, place: ChooseRunner
    ) -> None:
        self._client = client
        self._call = call
        self._place = place
        self._failure: str | None = None
        self.runner: Runner | None = None

    async def choose(self) -> RunnerChosen | NoRunner:
        failed = self.runner.name if self.runner else None
        placed = await self._place(failed, self._failure)
        if isinstance(placed, Refuse):
            return NoRunner(placed.status, placed.reason, placed.retry_after)
        self.runner = placed
        return RunnerChosen()

    async def send(
        self, may_send: Callable[[], bool]
    ) -> Answered | NotRun | Lost:
        assert self.runner is not None
        call = self._call
        outcome = await call_once(
            self._client,
            parse_address(self.runner.endpoint),
            call.method,
            call.path,
            call.headers,
            call.body,
            call.timeout,
            may_send,
        )
        if isinstance(outcome, NotRun):
            # Also when the runner could not be reached: to the decisions
            # "lost" means that a call may have run, and they let no other
            # runner have it. This one surely did not run.
            self._failure = outcome.kind
        return outcome


def make_row_key(call: BookingCall) -> str:
    """Return the key of the ledger row of ``call``.

    A call without a key of its caller is claimed under its request id:
    nobody can repeat it, and it is still dispatched at most once.
    """
    kind, key = ("key", call.key)
    if call.key is None:
        kind, key = ("request", call.request_id)
    digest = hashlib.sha256(f"{kind} {key}".encode()).hexdigest()
    return f"{PREFIX}{call.workspace}/{digest}"


def make_digest(call: BookingCall) -> str:
    """Return the digest by which a reused key is told from a repeat."""
    digest = hashlib.sha256()
    texts = (call.service, call.method, call.path)
    for part in (*(text.encode() for text in texts), call.body):
        # With its length before each part, no two calls that differ give
        # the same bytes.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _log(
    call: BookingCall,
    dispatcher: _Dispatcher,
    outcome: Outcome,
    answer: Response,
) -> None:
    eliot.log_message(
        message_type="lagoonpost:gateway:booked",
        request=call.request_id,
        workspace=call.workspace,
        service=call.service,
        runner=dispatcher.runner.name if dispatcher.runner else None,
        outcome=type(outcome).__name__,
        status=answer.status,
    )
