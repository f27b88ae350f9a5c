"""Messages between peers: asking, fetching and hand-over."""

from typing import NamedTuple

from lagoonpost.systems.packet import Packet, Reply


class GossipRequest(NamedTuple):
    """A gossip request as a letter; its number is the asker's own."""

    number: int
    packet: Packet


class GossipReply(NamedTuple):
    """The answer to the letter with this number."""

    number: int
    reply: Reply


class FetchRequest(NamedTuple):
    """Ask for documents of a kind with numbers above ``after``."""

    kind: str
    after: int


class Document(NamedTuple):
    """One numbered document, such as an accepted change ticket."""

    number: int
    body: bytes


class FetchReply(NamedTuple):
    """Documents in the order of their numbers; ``more`` if some are left."""

    documents: tuple[Document, ...]
    more: bool


class HandOver(NamedTuple):
    """An accepted request that a leaving gateway gives to a peer.

    Attributes:
        request_id: Id of the request; a peer takes each id at most once.
        workspace: Who asked.
        service: Service asked for.
        body: Body of the request, byte for byte.
        tokens: Tokens of the answer so far.
        runner: Name of the runner that has the stream, or empty.
        deadline: Seconds left until the request's deadline.
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
    """Whether the peer has accepted the request."""

    accepted: bool
