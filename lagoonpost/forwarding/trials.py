"""Gets permits for trials of requests that may crash their runner."""

from collections.abc import Callable, Sequence

from lagoonpost.http.message import Address, parse_address
from lagoonpost.peers.messenger import DatagramMessenger
from lagoonpost.peers.pending_replies import PendingReplies
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.permit_group import PermitGroup
from lagoonpost.systems.trial_issuer import TrialIssuer
from lagoonpost.tables.peer import Member
from lagoonpost.tables.trial import TrialReply, TrialRequest

REPLY_TIMEOUT_SECONDS = 0.3
"""Timeout of a reply, for hosts that respond slowly: a request without a
permit is refused."""


class Trials:
    """Asks for permits for trials, and issues them.

    Args:
        group: The gateways that this one knows.
        find_peers: Returns the other gateways.
    """

    def __init__(
        self,
        group: PermitGroup,
        find_peers: Callable[[], Sequence[Member]],
    ) -> None:
        self._name = group.name
        self._issuer = TrialIssuer(group)
        self._find_peers = find_peers
        self._post: DatagramMessenger | None = None
        self._pending = PendingReplies[TrialReply](REPLY_TIMEOUT_SECONDS)
        self._last_number = 0

    def listen(self, post: DatagramMessenger) -> None:
        """Exchange messages with other gateways through a messenger."""
        self._post = post
        post.set_handler(TrialRequest, self._handle_request)
        post.set_handler(TrialReply, self._handle_reply)

    async def acquire(self, service: str) -> bool:
        """Return whether a request may be sent to a service as a trial."""
        issuer = self._issuer.find_issuer(service, read_clock())
        if issuer == self._name:
            return self._issuer.issue(service, read_clock())
        post = self._post
        addresses = [
            parse_address(member.address)
            for member in self._find_peers()
            if member.name == issuer
        ]
        if post is None or not addresses:
            return False
        self._last_number += 1
        request = TrialRequest(self._last_number, service)
        reply = await self._pending.wait(
            request.number, lambda: post.send(request, addresses)
        )
        return reply is not None and reply.granted

    def _handle_request(self, request: TrialRequest, sender: Address) -> None:
        granted = self._issuer.issue(request.service, read_clock())
        if self._post is not None:
            self._post.send(TrialReply(request.number, granted), [sender])

    def _handle_reply(self, reply: TrialReply, sender: Address) -> None:
        self._pending.resolve(reply.number, reply)
