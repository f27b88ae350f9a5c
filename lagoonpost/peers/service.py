"""gRPC service that a member offers to its peers."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from grpclib.const import Cardinality, Handler
from grpclib.server import Stream

from lagoonpost.peers.message import (
    Document,
    FetchReply,
    FetchRequest,
    HandOver,
    HandOverReply,
)
from lagoonpost.peers.pool import Method
from lagoonpost.systems.packet import Packet, Reply

GOSSIP = Method("/lagoonpost.Peer/Gossip", Packet, Reply)
FETCH = Method("/lagoonpost.Peer/Fetch", FetchRequest, FetchReply)
HAND_OVER = Method("/lagoonpost.Peer/HandOver", HandOver, HandOverReply)

# Documents of one Fetch reply; well within a channel's 4 MiB window, so that
# a process that catches up takes little memory at either end.
MAX_FETCH_REPLY_BYTES = 256 * 1024
# Hand-over decisions kept to deduplicate retries. A leaving gateway hands
# over its open requests once, some hundreds, and retries within seconds.
MAX_REMEMBERED_HAND_OVERS = 4096

OnGossip = Callable[[Packet], Reply]
OnFetch = Callable[[str, int], Sequence[Document]]
OnWait = Callable[[FetchRequest], Awaitable[None]]
OnHandOver = Callable[[HandOver], Awaitable[bool]]


def refuse_fetch(kind: str, after: int) -> Sequence[Document]:
    """Return no documents, whatever their kind."""
    return ()


async def skip_wait(request: FetchRequest) -> None:
    """Return at once."""


async def refuse_hand_over(request: HandOver) -> bool:
    """Refuse every hand-over, as a controller does."""
    return False


class PeerService:
    """Answers peers' requests by calling three handlers.

    Args:
        on_gossip: Returns the reply to a gossip packet.
        on_fetch: Returns the documents of a kind with numbers above a
            given one.
        on_hand_over: Returns whether it accepts a handed-over request.
        on_wait: Waits for the documents that a request to fetch wants.
    """

    def __init__(
        self,
        on_gossip: OnGossip,
        on_fetch: OnFetch,
        on_hand_over: OnHandOver,
        on_wait: OnWait = skip_wait,
    ) -> None:
        self._on_gossip = on_gossip
        self._on_fetch = on_fetch
        self._on_hand_over = on_hand_over
        self._on_wait = on_wait
        self._decisions: OrderedDict[str, asyncio.Task[bool]] = OrderedDict()

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path; required by grpclib."""
        return {
            method.path: Handler(
                function,
                Cardinality.UNARY_UNARY,
                method.request_type,
                method.reply_type,
            )
            for method, function in (
                (GOSSIP, self._gossip),
                (FETCH, self._fetch),
                (HAND_OVER, self._hand_over),
            )
        }

    async def _gossip(self, stream: Stream[Any, Any]) -> None:
        packet = await stream.recv_message()
        if packet is not None:
            await stream.send_message(self._on_gossip(packet))

    async def _fetch(self, stream: Stream[Any, Any]) -> None:
        request = await stream.recv_message()
        if request is not None:
            await self._on_wait(request)
            documents = self._on_fetch(request.kind, request.after)
            await stream.send_message(_paginate(documents))

    async def _hand_over(self, stream: Stream[Any, Any]) -> None:
        request = await stream.recv_message()
        if request is not None:
            accepted = await self._accept_once(request)
            await stream.send_message(HandOverReply(accepted))

    async def _accept_once(self, request: HandOver) -> bool:
        # The reply to a hand-over may be lost after the request was accepted.
        # The leaving gateway then retries; without the stored decision, the
        # request would run twice.
        task = self._decisions.get(request.request_id)
        if task is None:
            task = asyncio.ensure_future(self._decide(request))
            self._decisions[request.request_id] = task
            if len(self._decisions) > MAX_REMEMBERED_HAND_OVERS:
                self._decisions.popitem(last=False)
        # Losing the connection must not cancel a pending decision.
        return await asyncio.shield(task)

    async def _decide(self, request: HandOver) -> bool:
        accepted = False
        try:
            accepted = await self._on_hand_over(request)
        finally:
            if not accepted:
                # Refusals are not stored, so that a retry may be accepted.
                del self._decisions[request.request_id]
        return accepted


def _paginate(documents: Sequence[Document]) -> FetchReply:
    ordered = sorted(documents)
    size = 0
    page: list[Document] = []
    for document in ordered:
        size += len(document.body)
        if page and size > MAX_FETCH_REPLY_BYTES:
            break
        page.append(document)
    return FetchReply(tuple(page), len(page) < len(ordered))
