"""MessagePack codec for gRPC messages defined as NamedTuples."""

from functools import cache
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from lagoonpost.tables.control_traffic import ControlTraffic


@cache
def _make_decoder(message_type: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(message_type)


class MessagePackCodec(CodecBase):
    """Encodes messages with msgspec and validates types when decoding.

    Args:
        traffic: Counts messages and bytes by message type.
    """

    __content_subtype__ = "msgpack"

    def __init__(self, traffic: ControlTraffic | None = None) -> None:
        self._traffic = traffic or ControlTraffic()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message as MessagePack."""
        data = msgspec.msgpack.encode(message)
        self._traffic.note(_name_flow(message_type), "sent", len(data))
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message of the given type.

        Raises:
            msgspec.ValidationError: If ``data`` does not match the type.
        """
        self._traffic.note(_name_flow(message_type), "received", len(data))
        return _make_decoder(message_type).decode(data)


def _name_flow(message_type: Any) -> str:
    return f"peer {message_type.__name__.lower()}"
