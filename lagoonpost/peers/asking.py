"""Small requests to peers by letter, and answers to theirs."""

import asyncio
from collections.abc import Callable

from lagoonpost.http.message import Address
from lagoonpost.peers.message import Ask, Told
from lagoonpost.peers.post import Post
from lagoonpost.systems.packet import Packet, Reply

ASK_SECONDS = 0.3
"""Wait for the answer to a letter before the call is made; the way there and
back between failure domains takes a hundredth, but a host may be slow."""


class Asking:
    """Requests under way.

    Args:
        post: Takes and brings the letters.
        answer: Answers a peer's request; None if it gets no answer.
    """

    def __init__(
        self, post: Post, answer: Callable[[Packet], Reply | None]
    ) -> None:
        self._post = post
        self._answer = answer
        self._asked = 0
        self._waiting: dict[int, asyncio.Future[Reply]] = {}
        post.receive(Ask, self._take_ask)
        post.receive(Told, self._take_told)

    async def ask(self, address: Address, packet: Packet) -> Reply | None:
        """Ask by letter; None if no answer came.

        The call that follows then takes the same packet, which may arrive
        twice: rows merge alike however often they come.
        """
        self._asked += 1
        number = self._asked
        waiting: asyncio.Future[Reply]
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[number] = waiting
        try:
            self._post.send(Ask(number, packet), [address])
            async with asyncio.timeout(ASK_SECONDS):
                return await waiting
        except TimeoutError:
            return None
        finally:
            del self._waiting[number]

    def _take_ask(self, ask: Ask, sender: Address) -> None:
        reply = self._answer(ask.packet)
        if reply is not None:
            self._post.send(Told(ask.number, reply), [sender])

    def _take_told(self, told: Told, sender: Address) -> None:
        waiting = self._waiting.get(told.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(told.reply)
