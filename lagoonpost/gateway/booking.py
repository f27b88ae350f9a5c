"""Runs non-repeatable calls, such as bookings, through the ledger."""

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
from lagoonpost.store.ledger import LEDGER_PREFIX, Ledger
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
        request_id: Unique id assigned by this gateway.
        workspace: Name of the caller's workspace.
        key: The caller's idempotency key, or None.
        method: HTTP method.
        path: Path and query below the service.
        headers: Headers to forward to the runner.
        body: Body to forward, byte for byte.
        service: Name of the service.
        timeout: Time limit for the runner's answer, in seconds.
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
    """Runs the non-repeatable calls of one gateway.

    Args:
        ledger: Ledger that deduplicates the calls.
        client: HTTP client for calls to runners.
        rng: Random source for the jitter of retry delays.
    """

    def __init__(
        self, ledger: Ledger, client: Client, rng: Random | None = None
    ) -> None:
        self._ledger = ledger
        self._client = client
        self._rng = rng or Random()

    async def book(self, call: BookingCall, place: ChooseRunner) -> Response:
        """Run ``call`` at most once and return the response for the caller.

        Args:
            call: The call.
            place: Chooses a runner. Takes the name of the runner that did
                not run the call and the kind of its failure, or None for
                both on the first attempt.
        """
        dispatcher = _Dispatcher(self._client, call, place)
        outcome = await self._ledger.run_booking(
            make_row_key(call), make_digest(call), call.timeout, dispatcher
        )
        answer = make_response(self._add_jitter(outcome), time.time())
        _log(call, dispatcher, outcome, answer)
        return answer

    def _add_jitter(self, outcome: Outcome) -> Outcome:
        if outcome != STORE_DOWN:
            return outcome
        # Without jitter all callers refused during an outage would retry in
        # the same second and overload the store as it recovers.
        delay = compute_outage_delay(
            self._ledger.get_outage_seconds(), self._rng
        )
        return STORE_DOWN._replace(retry_after=delay)

    async def close(self, grace: float) -> None:
        """Wait up to ``grace`` seconds for bookings in progress to end."""
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
            # Never "lost", even if the runner was unreachable: placement
            # reads "lost" as "may have run" and allows no further runner,
            # but this call certainly did not run.
            self._failure = outcome.kind
        return outcome


def make_row_key(call: BookingCall) -> str:
    """Return the key of the ledger row of ``call``.

    A call without an idempotency key is claimed under its request id: the
    caller cannot repeat it, and it is still dispatched at most once.
    """
    kind, key = ("key", call.key)
    if call.key is None:
        kind, key = ("request", call.request_id)
    digest = hashlib.sha256(f"{kind} {key}".encode()).hexdigest()
    return f"{LEDGER_PREFIX}{call.workspace}/{digest}"


def make_digest(call: BookingCall) -> str:
    """Return the digest that tells a repeated call from a reused key."""
    digest = hashlib.sha256()
    texts = (call.service, call.method, call.path)
    for part in (*(text.encode() for text in texts), call.body):
        # Length prefixes make the digested bytes unambiguous: without them
        # different calls could concatenate to the same bytes.
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
