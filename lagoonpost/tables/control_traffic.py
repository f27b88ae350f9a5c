"""Counters of control messages sent and received, by kind of message."""

from collections import Counter
from collections.abc import Iterator
from typing import Literal, NamedTuple

Direction = Literal["sent", "received"]


class Flow(NamedTuple):
    """Kind and direction of control messages.

    Attributes:
        kind: Purpose of the messages, such as ``report`` or ``probe``.
        direction: Direction as seen from this process.
    """

    kind: str
    direction: Direction


class ControlTraffic:
    """Number and size of control messages by flow."""

    def __init__(self) -> None:
        self._messages: Counter[Flow] = Counter()
        self._bytes: Counter[Flow] = Counter()

    def note(self, kind: str, direction: Direction, size: int) -> None:
        """Count one message.

        Args:
            kind: Purpose of the message.
            direction: Direction as seen from this process.
            size: Size in bytes.
        """
        flow = Flow(kind, direction)
        self._messages[flow] += 1
        self._bytes[flow] += size

    def list_flows(self) -> Iterator[tuple[Flow, int, int]]:
        """Yield each flow with its total number of messages and bytes."""
        for flow, messages in self._messages.items():
            yield flow, messages, self._bytes[flow]
