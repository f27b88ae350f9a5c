"""Waits for the replies to numbered datagrams."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from lagoonpost.http.running_time import limit_running_time

Reply = TypeVar("Reply")


class PendingReplies(Generic[Reply]):
    """Requests that wait for their replies.

    Args:
        seconds: Timeout of a reply.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._waiting: dict[int, asyncio.Future[Reply]] = {}

    async def wait(
        self, number: int, send: Callable[[], None]
    ) -> Reply | None:
        """Send a request and wait for its reply.

        Args:
            number: Number of the request, unique among those that wait.
            send: Sends the request.

        Returns:
            The reply; None if none arrives in time.
        """
        reply: asyncio.Future[Reply] = asyncio.Future()
        self._waiting[number] = reply
        try:
            send()
            async with limit_running_time(self._seconds):
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._waiting[number]

    def resolve(self, number: int, reply: Reply) -> None:
        """Hand over a reply; one that comes too late is dropped."""
        waiting = self._waiting.get(number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)
