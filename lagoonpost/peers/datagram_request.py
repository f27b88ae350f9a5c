"""Gossip requests and replies carried in UDP datagrams."""

from collections.abc import Callable

from lagoonpost.http.message import Address
from lagoonpost.peers.message import GossipReply, GossipRequest
from lagoonpost.peers.messenger import DatagramMessenger
from lagoonpost.peers.pending_replies import PendingReplies
from lagoonpost.systems.packet import Packet, Reply

REPLY_TIMEOUT_SECONDS = 0.3
"""Wait for a reply datagram before falling back to gRPC. A round trip between
failure domains takes a hundredth of it, but a host may respond slowly."""


class DatagramRequests:
    """Sends gossip requests in datagrams and answers those of peers.

    Args:
        messenger: Sends and receives the datagrams.
        handler: Returns the reply to a peer's request, or None to send no
            reply.
    """

    def __init__(
        self,
        messenger: DatagramMessenger,
        handler: Callable[[Packet], Reply | None],
    ) -> None:
        self._messenger = messenger
        self._handler = handler
        self._last_number = 0
        self._pending = PendingReplies[Reply](REPLY_TIMEOUT_SECONDS)
        messenger.set_handler(GossipRequest, self._handle_request)
        messenger.set_handler(GossipReply, self._handle_reply)

    async def request(self, address: Address, packet: Packet) -> Reply | None:
        """Send a packet to a peer and wait for its reply.

        After a timeout the caller sends the same packet over gRPC, so it may
        arrive twice. This is safe because merging rows is idempotent.

        Returns:
            The reply, or None if none arrived within
            ``REPLY_TIMEOUT_SECONDS``.
        """
        self._last_number += 1
        request = GossipRequest(self._last_number, packet)
        return await self._pending.wait(
            request.number, lambda: self._messenger.send(request, [address])
        )

    def _handle_request(self, request: GossipRequest, sender: Address) -> None:
        reply = self._handler(request.packet)
        if reply is not None:
            self._messenger.send(GossipReply(request.number, reply), [sender])

    def _handle_reply(self, message: GossipReply, sender: Address) -> None:
        self._pending.resolve(message.number, message.reply)
