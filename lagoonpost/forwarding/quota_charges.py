"""Charges runs to the quotas of workspaces, some by an issuer's grant."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from lagoonpost.forwarding.issuers import (
    ASKED_PER_SECOND,
    ISSUERS_ASKED,
    Issuers,
)
from lagoonpost.http.message import Address, parse_address
from lagoonpost.peers.messenger import DatagramMessenger
from lagoonpost.peers.pending_replies import PendingReplies
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.quota import Quotas
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.peer import Member
from lagoonpost.tables.quota import QuotaOrder, QuotaReply, QuotaRequest

REPLY_TIMEOUT_SECONDS = 0.15
"""Timeout of an issuer's reply, which needs no call to the store: some round
trips between regions."""
MIN_REQUESTS, MAX_REQUESTS = 2, 5
"""Requests on one run to an issuer that does not reply, and to one that
replies to others meanwhile: a tenth of the datagrams may be lost."""


class QuotaCluster(NamedTuple):
    """What charges need to know of the other gateways.

    Attributes:
        issuers: Finds the issuer of a workspace's quota.
        find_sender: Returns this gateway's "NAME/RUN", as in its reports.
        find_share: Returns the connected gateways as a share of all.
        find_heard_share: Returns the part of them heard a moment ago.
        find_report_pause: Returns the longest pause between their reports in
            seconds.
        count_gateways: Returns the number of gateways.
    """

    issuers: Issuers
    find_sender: Callable[[], str]
    find_share: Callable[[], float]
    find_heard_share: Callable[[], float]
    find_report_pause: Callable[[], float]
    count_gateways: Callable[[], int]


class QuotaCharges:
    """Charges runs, and grants those of other gateways as an issuer.

    Args:
        quotas: Usage of all workspaces.
        find_workspaces: Returns all workspaces.
        cluster: What is known of the other gateways.
        on_charged: Called after a run was charged or granted.
        clock: Returns the time in seconds, suspensions included.
    """

    def __init__(
        self,
        quotas: Quotas,
        find_workspaces: Callable[[], Sequence[Workspace]],
        cluster: QuotaCluster,
        on_charged: Callable[[Workspace], None],
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._quotas = quotas
        self._find_workspaces = find_workspaces
        self._cluster = cluster
        self._on_charged = on_charged
        self._clock = clock
        self._post: DatagramMessenger | None = None
        self._pending = PendingReplies[QuotaReply](REPLY_TIMEOUT_SECONDS)

    def listen(self, post: DatagramMessenger) -> None:
        """Exchange messages with other gateways through a messenger."""
        self._post = post
        post.set_handler(QuotaRequest, self._handle_request)
        post.set_handler(QuotaReply, self._handle_reply)

    async def charge(
        self, workspace: Workspace, units: float, margin_share: float = 1.0
    ) -> float | None:
        """Charge a run that is about to begin.

        Args:
            workspace: Workspace of the request.
            units: Units of the run.
            margin_share: Part that the run may use of what is admitted
                beyond the quota.

        Returns:
            None if the run is charged, else the seconds until it could be.
        """
        cluster, now = self._cluster, self._clock()
        self._quotas.set_report_pause(cluster.find_report_pause())
        share, gateways = cluster.find_share(), cluster.count_gateways()
        wait: float | None = None
        if self._quotas.may_decide_alone(
            workspace, units, share, now, gateways
        ):
            self._quotas.charge(workspace, units, now)
        else:
            wait = await self._ask(workspace, units, margin_share)
        if wait is None:
            self._on_charged(workspace)
        return wait

    async def _ask(
        self, workspace: Workspace, units: float, margin_share: float
    ) -> float | None:
        quotas, name = self._quotas, workspace.name
        issuers = self._cluster.issuers
        for _ in range(ISSUERS_ASKED):
            wait = quotas.find_denial(name, units, self._clock())
            if wait is not None and margin_share <= 1:
                return wait
            issuer = issuers.choose(name)
            if issuer is None:
                break
            reply = await self._ask_issuer(
                issuer, workspace, units, margin_share
            )
            now = self._clock()
            if reply is None:
                issuers.note_silent(issuer.name)
            elif reply.retry_after is None:
                quotas.charge(workspace, units, now)
                return None
            else:
                pause = self._cluster.count_gateways() / ASKED_PER_SECOND
                quotas.note_denied(name, units, reply.retry_after, pause, now)
                return reply.retry_after
        share, now = self._cluster.find_share(), self._clock()
        if issuers.is_issuer():
            return quotas.grant(
                workspace,
                units,
                share,
                now,
                margin_share=margin_share,
                heard_share=self._cluster.find_heard_share(),
                issuers=issuers.list_others(),
            )
        gateways = self._cluster.count_gateways()
        return quotas.take(
            workspace, units, share, now, gateways, margin_share
        )

    async def _ask_issuer(
        self,
        issuer: Member,
        workspace: Workspace,
        units: float,
        margin_share: float,
    ) -> QuotaReply | None:
        """Return an issuer's reply; None if it seems to be silent.

        A datagram may be lost. If another gateway were asked for that, two of
        them would grant the same units until they hear of each other.
        """
        issuers = self._cluster.issuers
        for number in range(1, MAX_REQUESTS + 1):
            asked = self._clock()
            reply = await self._send_request(
                issuer, workspace, units, margin_share
            )
            if reply is not None:
                issuers.note_replied(issuer.name)
                return reply
            if number >= MIN_REQUESTS and not issuers.has_replied(
                issuer.name, asked
            ):
                break
        return None

    async def _send_request(
        self,
        issuer: Member,
        workspace: Workspace,
        units: float,
        margin_share: float,
    ) -> QuotaReply | None:
        post, name = self._post, workspace.name
        if post is None:
            return None
        request = QuotaRequest(
            *self._quotas.note_asking(),
            self._cluster.find_sender(),
            name,
            units,
            self._quotas.used.get(name, 0.0),
            margin_share,
        )
        targets = [parse_address(issuer.address)]
        try:
            return await self._pending.wait(
                request.number, lambda: post.send(request, targets)
            )
        finally:
            self._quotas.note_answered(request.number)

    def _handle_request(self, request: QuotaRequest, sender: Address) -> None:
        """Grant or deny a run; without an answer another gateway is asked."""
        workspace = next(
            (
                each
                for each in self._find_workspaces()
                if each.name == request.workspace
            ),
            None,
        )
        if workspace is None or not self._cluster.issuers.is_issuer():
            return
        wait = self._quotas.grant(
            workspace,
            request.units,
            self._cluster.find_share(),
            self._clock(),
            request.sender,
            request.used,
            request.margin_share,
            self._cluster.find_heard_share(),
            QuotaOrder(request.number, request.first_open),
            self._cluster.issuers.list_others(),
        )
        if self._post is not None:
            self._post.send(QuotaReply(request.number, wait), [sender])
        if wait is None:
            self._on_charged(workspace)

    def _handle_reply(self, reply: QuotaReply, sender: Address) -> None:
        self._pending.resolve(reply.number, reply)
