"""Letters between gateways: small messages, each one datagram.

Pattern of load: each gateway tells others some times a second what it has
under way, and asks a neighbour whether both know the same. As calls over
HTTP/2 either took over a millisecond of processor time at both ends; a
datagram takes some 30 us. One that is lost is made good by the next, as
reports carry totals, or by a call.
"""

from collections.abc import Callable, Sequence
from typing import Any, Literal, NamedTuple

import eliot
import msgspec

from lagoonpost.http.message import Address
from lagoonpost.peers.datagram_socket import DatagramSocket
from lagoonpost.peers.message import GossipReply, GossipRequest
from lagoonpost.tables.control_traffic import ControlTraffic
from lagoonpost.tables.gateway_report import GatewayReport, HubSummary

DatagramMessage = GatewayReport | HubSummary | GossipRequest | GossipReply
Kind = Literal["report", "summary", "ask", "told"]


class _Envelope(NamedTuple):
    """What a datagram holds: a word for the type, and the letter."""

    kind: Kind
    body: msgspec.Raw


_TYPES: dict[Kind, Any] = {
    "report": GatewayReport,
    "summary": HubSummary,
    "ask": GossipRequest,
    "told": GossipReply,
}
_KINDS: dict[type, Kind] = {type_: kind for kind, type_ in _TYPES.items()}
_decode_envelope = msgspec.msgpack.Decoder(_Envelope).decode
_DECODERS = {
    kind: msgspec.msgpack.Decoder(type_) for kind, type_ in _TYPES.items()
}


def encode_message(letter: DatagramMessage) -> bytes:
    """Return a datagram with one letter."""
    body = msgspec.Raw(msgspec.msgpack.encode(letter))
    return msgspec.msgpack.encode((_KINDS[type(letter)], body))


def decode_message(datagram: bytes) -> DatagramMessage:
    """Return what a datagram holds.

    Raises:
        msgspec.DecodeError: If it is no letter.
    """
    envelope = _decode_envelope(datagram)
    letter: DatagramMessage = _DECODERS[envelope.kind].decode(envelope.body)
    return letter


class DatagramMessenger:
    """Sends letters, and hands over those that come.

    Args:
        traffic: Counts the letters by kind.
    """

    def __init__(self, traffic: ControlTraffic | None = None) -> None:
        self._traffic = traffic or ControlTraffic()
        self._handlers: dict[type, Callable[[Any, Address], None]] = {}
        self._datagrams = DatagramSocket(self._dispatch)

    def set_handler(
        self, type_: type, handler: Callable[[Any, Address], None]
    ) -> None:
        """Hand all letters of one type over, with their sender."""
        self._handlers[type_] = handler

    async def start(self, address: Address) -> None:
        """Listen on ``address``."""
        await self._datagrams.start(address)

    def close(self) -> None:
        """Stop listening."""
        self._datagrams.close()

    def send(
        self, letter: DatagramMessage, targets: Sequence[Address]
    ) -> None:
        """Send a letter to some gateways; it may not arrive."""
        data = encode_message(letter)
        for _ in targets:
            self._traffic.note(_KINDS[type(letter)], "sent", len(data))
        self._datagrams.send(data, targets)

    def _dispatch(self, data: bytes, sender: Address) -> None:
        try:
            letter = decode_message(data)
        except msgspec.DecodeError as error:
            eliot.log_message(
                message_type="lagoonpost:peers:unreadable", detail=str(error)
            )
            return
        self._traffic.note(_KINDS[type(letter)], "received", len(data))
        handler = self._handlers.get(type(letter))
        if handler is not None:
            handler(letter, sender)
