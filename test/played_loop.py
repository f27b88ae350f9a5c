"""An event loop on played time, so that waits cost nothing and are exact."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_T = TypeVar("_T")


class _JumpingSelector(selectors.SelectSelector):
    """Does not wait: the time jumps to the next timer instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "nothing is left to happen"
            self.now += timeout
        return ready


class PlayedLoop(asyncio.SelectorEventLoop):
    """Runs coroutines that use no sockets; its clock starts at 0."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def play_time(story: Coroutine[Any, Any, _T]) -> _T:
    """Run a story on played time and return its result."""
    with asyncio.Runner(loop_factory=PlayedLoop) as runner:
        return runner.run(story)
