"""A second run of a stream whose runner is silent, until it takes over.

The runner that is silent may go on, and the next one may turn the stream away.
So both are kept until one of them sends something.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from lagoonpost.forwarding.attempt import Began, Outcome, RunnerCall, Whole
from lagoonpost.systems.placement import Choice


class Gate:
    """Holds a run back from its caller once its answer has begun.

    Attributes:
        reached: Set once the answer has begun.
        opened: Set once the run before has been given up.
    """

    def __init__(self) -> None:
        self.reached = asyncio.Event()
        self.opened = asyncio.Event()

    async def pass_through(self, outcome: Outcome) -> None:
        """Wait until a run may answer its caller, if it has an answer."""
        if isinstance(outcome, Began | Whole):
            self.reached.set()
            await self.opened.wait()


class Successor:
    """A run that is to take over from a silent runner.

    Args:
        choice: The next runner.
        send: Sends the request to it, given the gate to wait at.
    """

    def __init__(
        self, choice: Choice, send: Callable[[Gate], Awaitable[Outcome]]
    ) -> None:
        self.choice = choice
        self._gate = Gate()
        self._task = asyncio.ensure_future(send(self._gate))

    async def overtakes(self, call: RunnerCall) -> bool:
        """Return whether it has an answer before the silent runner goes on."""
        begun = asyncio.ensure_future(self._gate.reached.wait())
        ends: set[asyncio.Future[Any]] = {begun, self._task, call.next_part()}
        try:
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        finally:
            begun.cancel()
        return self._gate.reached.is_set()

    async def finish(self) -> Outcome:
        """Let it answer the caller, and return its outcome."""
        self._gate.opened.set()
        return await self._task

    async def withdraw(self) -> Outcome | None:
        """End the run; return its outcome if it has ended by itself."""
        self._task.cancel()
        await asyncio.wait({self._task})
        return None if self._task.cancelled() else self._task.result()

    def cancel(self) -> None:
        """End the run without waiting for it."""
        self._task.cancel()
