"""Records the outcome of each attempt as evidence on its version."""

import asyncio

from lagoonpost.gateway.state import Gateway
from lagoonpost.runners.answer import Completed, Failed, Part
from lagoonpost.tables.entity import Route, Runner
from lagoonpost.tables.request import RequestRow

# Failure kinds that count against the runner's version. A refusal only means
# that the runner is full, and a reclaim is the cloud's decision.
VERSION_FAILURE_KINDS = frozenset({"failed", "lost", "silent"})
# Failure kinds that hit all requests in flight on a lost runner at once.
RUNNER_LOSS_KINDS = frozenset({"lost", "silent"})


class Attempt:
    """Compares the attempts of one request with its route's latency targets.

    Args:
        gateway: Gateway that serves the request.
        row: The request.
        route: Route of the request, with the latency targets.
    """

    def __init__(
        self, gateway: Gateway, row: RequestRow, route: Route
    ) -> None:
        self._gateway = gateway
        self._row = row
        self._route = route
        self._loop = asyncio.get_running_loop()
        self._first_token_at: float | None = None
        self._tokens = 0
        self.begin()

    def begin(self) -> None:
        """Start the timer of the next attempt."""
        self._sent_at = self._loop.time()
        # The share of the new version at the time of sending: it may change
        # before the attempt ends.
        self._share = self._gateway.moves.share(self._row.service)
        self._first_token_at = None
        self._tokens = 0

    def record_failure(self, runner: Runner, kind: str) -> None:
        """Record that the attempt failed on ``runner``."""
        if kind not in VERSION_FAILURE_KINDS or self._gateway.is_leaving(
            runner.name
        ):
            return
        # A lost host fails all requests in flight on it. If each failure
        # counted, losing one of the new version's few runners would roll
        # back a good version.
        if kind in RUNNER_LOSS_KINDS and not self._gateway.moves.record_loss(
            runner.name
        ):
            return
        self._record(runner, failed=True, slow=False)

    def record_answer(self, runner: Runner) -> None:
        """Record a complete answer of a plain service."""
        late = self._loop.time() - self._sent_at > self._route.first_seconds
        self._record(runner, failed=False, slow=late)

    def record_outcome(
        self, outcome: Part | Completed | Failed, runner: Runner | None
    ) -> None:
        """Record the next outcome of a chat answer."""
        if runner is None:
            return
        match outcome:
            case Part(_, tokens, _):
                if self._first_token_at is None:
                    self._first_token_at = self._loop.time()
                self._tokens += len(tokens)
            case Completed():
                self._record(runner, failed=False, slow=self._is_slow())
            case _:
                pass

    def _is_slow(self) -> bool:
        if self._first_token_at is None:
            return False
        if self._first_token_at - self._sent_at > self._route.first_seconds:
            return True
        spent = self._loop.time() - self._first_token_at
        return spent > self._route.token_seconds * max(1, self._tokens)

    def _record(self, runner: Runner, *, failed: bool, slow: bool) -> None:
        self._gateway.moves.record_attempt(
            self._row, runner, self._share, failed=failed, slow=slow
        )
