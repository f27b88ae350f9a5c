"""What a process sends and receives to run the system, counted by kind."""

from collections import Counter
from collections.abc import Iterator
from typing import Literal, NamedTuple

Direction = Literal["sent", "received"]


class Flow(NamedTuple):
    """One kind of message in one direction.

    Attributes:
        kind: What the messages are for, such as ``report`` or ``probe``.
        direction: Whether they leave this process.
    """

    kind: str
    direction: Direction


class ControlTraffic:
    """Messages and their bytes by flow."""

    def __init__(self) -> None:
        self._messages: Counter[Flow] = Counter()
        self._bytes: Counter[Flow] = Counter()

    def note(self, kind: str, direction: Direction, size: int) -> None:
        """Count one message of ``size`` bytes."""
        flow = Flow(kind, direction)
        self._messages[flow] += 1
        self._bytes[flow] += size

    def list_flows(self) -> Iterator[tuple[Flow, int, int]]:
        """Yield each flow with its messages and bytes so far."""
        for flow, messages in self._messages.items():
            yield flow, messages, self._bytes[flow]
