"""Small messages between gateways, each in one UDP datagram.

Load pattern: several times a second, each gateway reports its in-flight work
to other gateways and compares its gossip state with a neighbour's. Over
HTTP/2, either exchange costs more than a millisecond of CPU time at both
ends; a datagram costs about 30 us. Losing a datagram is harmless: reports
carry totals, so the next one replaces it, and a gossip request falls back to
gRPC.
"""

from collections.abc import Callable, Sequence
from typing import Any, Literal, NamedTuple

import msgspec

from lagoonpost.http.message import Address
from lagoonpost.peers.datagram_socket import DatagramSocket
from lagoonpost.peers.message import GossipReply, GossipRequest
from lagoonpost.tables.control_traffic import ControlTraffic
from lagoonpost.tables.decoding import UNREADABLE
from lagoonpost.tables.gateway_report import GatewayReport, HubSummary
from lagoonpost.tables.permit import (
    LimitNews,
    PermitClaim,
    PermitReply,
    PermitRequest,
)
from lagoonpost.tables.quota import QuotaReply, QuotaRequest
from lagoonpost.tables.retry import RetryReply, RetryRequest
from lagoonpost.tables.trial import TrialReply, TrialRequest
from lagoonpost.unreadable import log_unreadable

DatagramMessage = (
    GatewayReport
    | HubSummary
    | GossipRequest
    | GossipReply
    | PermitRequest
    | PermitReply
    | LimitNews
    | PermitClaim
    | TrialRequest
    | TrialReply
    | RetryRequest
    | RetryReply
    | QuotaRequest
    | QuotaReply
)
Kind = Literal[
    "report",
    "summary",
    "ask",
    "told",
    "permit_request",
    "permit_reply",
    "limit_news",
    "permit_claim",
    "trial_request",
    "trial_reply",
    "retry_request",
    "retry_reply",
    "quota_request",
    "quota_reply",
]


class _Envelope(NamedTuple):
    """Contents of a datagram: the kind of message and its encoding."""

    kind: str
    body: msgspec.Raw


_TYPES: dict[Kind, Any] = {
    "report": GatewayReport,
    "summary": HubSummary,
    "ask": GossipRequest,
    "told": GossipReply,
    "permit_request": PermitRequest,
    "permit_reply": PermitReply,
    "limit_news": LimitNews,
    "permit_claim": PermitClaim,
    "trial_request": TrialRequest,
    "trial_reply": TrialReply,
    "retry_request": RetryRequest,
    "retry_reply": RetryReply,
    "quota_request": QuotaRequest,
    "quota_reply": QuotaReply,
}
_KINDS: dict[type, Kind] = {type_: kind for kind, type_ in _TYPES.items()}
_decode_envelope = msgspec.msgpack.Decoder(_Envelope).decode
_DECODERS: dict[str, msgspec.msgpack.Decoder[Any]] = {
    kind: msgspec.msgpack.Decoder(type_) for kind, type_ in _TYPES.items()
}


def encode_message(message: DatagramMessage) -> bytes:
    """Encode a message as the body of a datagram."""
    body = msgspec.Raw(msgspec.msgpack.encode(message))
    return msgspec.msgpack.encode((_KINDS[type(message)], body))


def decode_message(datagram: bytes) -> DatagramMessage | None:
    """Decode the body of a datagram.

    Returns:
        The message; None if it is of a kind that only newer builds know.

    Raises:
        msgspec.DecodeError: If it holds no valid message.
    """
    envelope = _decode_envelope(datagram)
    decoder = _DECODERS.get(envelope.kind)
    if decoder is None:
        return None
    message: DatagramMessage = decoder.decode(envelope.body)
    return message


class DatagramMessenger:
    """Sends messages and dispatches received ones to handlers.

    Args:
        traffic: Counts messages and bytes by kind.
    """

    def __init__(self, traffic: ControlTraffic | None = None) -> None:
        self._traffic = traffic or ControlTraffic()
        self._handlers: dict[type, Callable[[Any, Address], None]] = {}
        self._socket = DatagramSocket(self._dispatch)

    def set_handler(
        self, type_: type, handler: Callable[[Any, Address], None]
    ) -> None:
        """Register the handler of a message type.

        Args:
            type_: Type of the messages.
            handler: Called with each message and its sender's address.
        """
        self._handlers[type_] = handler

    async def start(self, address: Address) -> None:
        """Listen on ``address``."""
        await self._socket.start(address)

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()

    def send(
        self, message: DatagramMessage, targets: Sequence[Address]
    ) -> None:
        """Send a message to gateways, without delivery guarantee."""
        data = encode_message(message)
        for _ in targets:
            self._traffic.note(_KINDS[type(message)], "sent", len(data))
        self._socket.send(data, targets)

    def _dispatch(self, data: bytes, sender: Address) -> None:
        try:
            message = decode_message(data)
        except UNREADABLE as error:
            log_unreadable("datagram", str(sender), error)
            return
        if message is None:
            return
        self._traffic.note(_KINDS[type(message)], "received", len(data))
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, sender)
