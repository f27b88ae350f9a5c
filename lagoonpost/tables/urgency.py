"""Levels of urgency in which model runners admit requests."""

from enum import IntEnum

MAX_URGENCY = 9
"""Least urgent level that model runners support; 0 is the most urgent."""
MAX_ORDERED_PRIORITY = MAX_URGENCY // 2
"""Least urgent priority that has levels of its own; priorities after it share
them."""


class RequestClass(IntEnum):
    """Order among requests of one priority.

    Attributes:
        IN_TIME: The first byte is expected within the objective.
        LATER: Runs when no request of the first class waits.
    """

    IN_TIME = 0
    LATER = 1


def find_urgency(priority: int, request_class: RequestClass) -> int:
    """Return the level of urgency, from 0 to `MAX_URGENCY`.

    The priority comes first: a request that will be late still precedes all
    requests of less urgent priorities, so that these are not served more
    often.
    """
    ordered = min(max(0, priority), MAX_ORDERED_PRIORITY)
    return len(RequestClass) * ordered + request_class


def is_later(urgency: int | None) -> bool:
    """Return whether a level belongs to the class that runs later."""
    return urgency is not None and urgency % len(RequestClass) == (
        RequestClass.LATER
    )


def trim(tokens: list[int]) -> tuple[int, ...]:
    """Return tokens by urgency without the zeros at the end."""
    end = len(tokens)
    while end and not tokens[end - 1]:
        end -= 1
    return tuple(tokens[:end])
