"""How one attempt of a request went, as evidence on its version."""

import asyncio

from lagoonpost.gateway.state import Gateway
from lagoonpost.runners.answer import Completed, Failed, Part
from lagoonpost.tables.entity import Route, Runner
from lagoonpost.tables.request import RequestRow

# Kinds of failure that speak against a runner's version. A refusal says
# that it is full, and a reclaim comes from the cloud.
VERSION_FAILURE_KINDS = frozenset({"failed", "lost", "silent"})
# Of these, kinds that all requests of a runner share when it goes.
RUNNER_LOSS_KINDS = frozenset({"lost", "silent"})


class Attempt:
    """Times one request's attempts against its route's targets.

    Args:
        gateway: The gateway that runs it.
        row: The request.
        route: Its route, with the targets.
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
        """Start the clock of the next attempt."""
        self._sent_at = self._loop.time()
        # The chance that the new version had when this attempt was sent; by
        # its end the share may be another.
        self._share = self._gateway.moves.share(self._row.service)
        self._first_token_at = None
        self._tokens = 0

    def record_failure(self, runner: Runner, kind: str) -> None:
        """Take in that the runner failed under the attempt."""
        if kind not in VERSION_FAILURE_KINDS or self._gateway.is_leaving(
            runner.name
        ):
            return
        # A lost host fails all that ran there. Counted one by one, a single
        # loss of the new version's few runners would take a good one back.
        if kind in RUNNER_LOSS_KINDS and not self._gateway.moves.record_loss(
            runner.name
        ):
            return
        self._record(runner, failed=True, slow=False)

    def record_answer(self, runner: Runner) -> None:
        """Take in that a plain service answered whole."""
        late = self._loop.time() - self._sent_at > self._route.first_seconds
        self._record(runner, failed=False, slow=late)

    def record_outcome(
        self, outcome: Part | Completed | Failed, runner: Runner | None
    ) -> None:
        """Take in what came of a draft."""
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
