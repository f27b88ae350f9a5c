"""An event loop with simulated time: waits are exact and take no real time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_T = TypeVar("_T")


class _JumpingSelector(selectors.SelectSelector):
    """Advances the time to the next timer instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "no event or timer is pending"
            self.now += timeout
        return ready


class PlayedLoop(asyncio.SelectorEventLoop):
    """Runs coroutines without sockets in simulated time, starting at 0."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def play_time(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Run a coroutine in simulated time and return its result."""
    with asyncio.Runner(loop_factory=PlayedLoop) as runner:
        return runner.run(coroutine)
