"""Messages between peers: gossip, document fetch and request hand-over."""

from typing import NamedTuple

from lagoonpost.systems.packet import Packet, Reply


class GossipRequest(NamedTuple):
    """A gossip request in a datagram; the sender assigns the number."""

    number: int
    packet: Packet


class GossipReply(NamedTuple):
    """The reply to the ``GossipRequest`` with the same number."""

    number: int
    reply: Reply


class FetchRequest(NamedTuple):
    """Asks for documents of a kind with numbers above ``after``.

    Attributes:
        kind: Kind of the documents.
        after: Highest number that the sender has.
        least: Number for which the receiver waits if it lacks it.
        wait: Seconds for which it waits at most.
    """

    kind: str
    after: int
    least: int = 0
    wait: float = 0.0


class Document(NamedTuple):
    """One numbered document, such as an accepted change ticket."""

    number: int
    body: bytes


class FetchReply(NamedTuple):
    """Documents in ascending order; ``more`` is set if others remain."""

    documents: tuple[Document, ...]
    more: bool


class HandOver(NamedTuple):
    """An accepted request that a leaving gateway transfers to a peer.

    Attributes:
        request_id: Id of the request; a peer accepts an id at most once.
        workspace: Workspace that sent the request.
        service: Requested service.
        body: Body of the request, byte for byte.
        tokens: Tokens generated so far.
        runner: Name of the runner that serves the stream, or empty.
        deadline: Seconds remaining until the request's deadline.
        stream: Whether the caller wants the answer as a stream.
    """

    request_id: str
    workspace: str
    service: str
    body: bytes
    tokens: tuple[str, ...]
    runner: str
    deadline: float
    stream: bool


class HandOverReply(NamedTuple):
    """Reports whether the peer accepted the request."""

    accepted: bool
