"""Small requests to peers by letter, and answers to theirs."""

import asyncio
from collections.abc import Callable

from lagoonpost.http.message import Address
from lagoonpost.peers.message import GossipReply, GossipRequest
from lagoonpost.peers.messenger import DatagramMessenger
from lagoonpost.systems.packet import Packet, Reply

REPLY_TIMEOUT_SECONDS = 0.3
"""Wait for the answer to a letter before the call is made; the way there and
back between failure domains takes a hundredth, but a host may be slow."""


class DatagramRequests:
    """Requests under way.

    Args:
        post: Takes and brings the letters.
        answer: Answers a peer's request; None if it gets no answer.
    """

    def __init__(
        self, post: DatagramMessenger, answer: Callable[[Packet], Reply | None]
    ) -> None:
        self._messenger = post
        self._handler = answer
        self._last_number = 0
        self._waiting: dict[int, asyncio.Future[Reply]] = {}
        post.set_handler(GossipRequest, self._handle_request)
        post.set_handler(GossipReply, self._handle_reply)

    async def request(self, address: Address, packet: Packet) -> Reply | None:
        """Ask by letter; None if no answer came.

        The call that follows then takes the same packet, which may arrive
        twice: rows merge alike however often they come.
        """
        self._last_number += 1
        number = self._last_number
        waiting: asyncio.Future[Reply]
        waiting = asyncio.get_running_loop().create_future()
        self._waiting[number] = waiting
        try:
            self._messenger.send(GossipRequest(number, packet), [address])
            async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                return await waiting
        except TimeoutError:
            return None
        finally:
            del self._waiting[number]

    def _handle_request(self, ask: GossipRequest, sender: Address) -> None:
        reply = self._handler(ask.packet)
        if reply is not None:
            self._messenger.send(GossipReply(ask.number, reply), [sender])

    def _handle_reply(self, told: GossipReply, sender: Address) -> None:
        waiting = self._waiting.get(told.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(told.reply)
