"""Gets permits for requests to runners that bear less than usual."""

from collections.abc import Callable, Sequence

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.http.message import Address, parse_address
from lagoonpost.peers.messenger import DatagramMessenger
from lagoonpost.peers.pending_replies import PendingReplies
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.permit_group import INTRODUCTION_SECONDS
from lagoonpost.systems.permit_issuer import Denied, Granted
from lagoonpost.systems.reachability import find_unreachable
from lagoonpost.systems.runner_limits import Ask
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.peer import Member
from lagoonpost.tables.permit import (
    LimitNews,
    PermitClaim,
    PermitReply,
    PermitRequest,
)
from lagoonpost.tables.stated_limits import StatedLimits

MS_PER_SECOND = 1000
REPLY_TIMEOUT_SECONDS = 0.12
"""Timeout of a reply: 20 round trips between the failure domains of one
region, or one with a busy process at its end."""


class Permits:
    """Asks for permits, issues them, and spreads what runners say.

    Args:
        view: Local view of the configuration and the runners, and of what
            each runner bears.
        find_peers: Returns the other gateways.
    """

    def __init__(
        self,
        view: ClusterState,
        find_peers: Callable[[], Sequence[Member]],
    ) -> None:
        self._limits = view.limits
        self._view = view
        self._find_peers = find_peers
        self._post: DatagramMessenger | None = None
        self._pending = PendingReplies[PermitReply](REPLY_TIMEOUT_SECONDS)

    def listen(self, post: DatagramMessenger) -> None:
        """Exchange messages with other gateways through a messenger."""
        self._post = post
        post.set_handler(PermitRequest, self._handle_request)
        post.set_handler(PermitReply, self._handle_reply)
        post.set_handler(LimitNews, self._handle_news)
        post.set_handler(PermitClaim, self._handle_claim)

    def note_members(self, members: Sequence[Member], now: float) -> None:
        """Record the gateways among which limits are shared.

        Args:
            members: All known rows, including members that left or are dead.
            now: Seconds since the epoch, on the clock used in the rows.
        """
        running = {member.name for member in members if member.serving}
        latest = (now - INTRODUCTION_SECONDS) * MS_PER_SECOND
        introduced = {
            member.name
            for member in members
            if member.serving and member.incarnation <= latest
        }
        absent = find_unreachable(members, running, now)
        self._limits.note_gateways(running, introduced, absent, read_clock())
        self._spread_news()

    async def acquire(
        self, endpoint: Endpoint, longest: float
    ) -> Granted | Denied:
        """Get a permit for one request to a runner.

        Args:
            endpoint: The runner.
            longest: Seconds for which the request may wait.
        """
        cold_rate = self._view.find_cold_rate(endpoint.service)
        decision = self._limits.request_permit(
            endpoint, cold_rate, longest, read_clock()
        )
        self._spread_news()
        if isinstance(decision, Ask):
            reply = await self._ask(decision)
            decision = self._limits.handle_reply(
                decision, endpoint, cold_rate, reply, read_clock()
            )
        return decision

    def note_answer(
        self, endpoint: Endpoint, limits: StatedLimits, sent_at: float
    ) -> bool:
        """Record the limits in an answer; return whether they have changed.

        Args:
            endpoint: The runner.
            limits: The limits that it names.
            sent_at: Time in seconds at which the request was sent.
        """
        changed = self._limits.note_answer(
            endpoint, limits, sent_at, read_clock()
        )
        self._spread_news()
        return changed

    def find_stated_rate(self, endpoint: Endpoint) -> float | None:
        """Return the limit that a runner names; None for none."""
        return self._limits.find_rate(endpoint, 0.0, read_clock())

    def note_refused(self, endpoint: Endpoint) -> None:
        """Record that a runner turned a request away for want of room."""
        self._limits.note_refused(endpoint, read_clock())

    async def _ask(self, ask: Ask) -> PermitReply | None:
        """Return the issuer's reply; None if there is none in time."""
        post, addresses = self._post, self._find_addresses(ask.issuer)
        if post is None or not addresses:
            return None
        return await self._pending.wait(
            ask.request.number, lambda: post.send(ask.request, addresses)
        )

    def _find_addresses(self, name: str | None) -> list[Address]:
        """Return the address of one gateway, or those of all others."""
        return [
            parse_address(member.address)
            for member in self._find_peers()
            if name in (None, member.name)
        ]

    def _spread_news(self) -> None:
        for tell in self._limits.take_tells():
            if self._post is not None:
                self._post.send(tell.news, self._find_addresses(tell.gateway))

    # Messages of other gateways

    def _handle_request(self, request: PermitRequest, sender: Address) -> None:
        reply = self._limits.handle_request(request, read_clock())
        if self._post is not None:
            self._post.send(reply, [sender])
        self._spread_news()

    def _handle_reply(self, reply: PermitReply, sender: Address) -> None:
        self._pending.resolve(reply.number, reply)

    def _handle_claim(self, claim: PermitClaim, sender: Address) -> None:
        self._limits.handle_claim(claim, read_clock())

    def _handle_news(self, news: LimitNews, sender: Address) -> None:
        self._limits.handle_news(news, read_clock())
        self._spread_news()
