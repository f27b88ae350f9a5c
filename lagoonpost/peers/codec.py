"""MessagePack for gRPC messages that are plain NamedTuples."""

from functools import cache
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from lagoonpost.tables.control_traffic import ControlTraffic


@cache
def _make_decoder(message_type: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(message_type)


class MessagePackCodec(CodecBase):
    """Encodes by msgspec and checks types when it decodes.

    Args:
        traffic: Counts the messages by the name of their type.
    """

    __content_subtype__ = "msgpack"

    def __init__(self, traffic: ControlTraffic | None = None) -> None:
        self._traffic = traffic or ControlTraffic()

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the message as MessagePack."""
        data = msgspec.msgpack.encode(message)
        self._traffic.note(_name(message_type), "sent", len(data))
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message of the given type.

        Raises:
            msgspec.ValidationError: If ``data`` is not of that type.
        """
        self._traffic.note(_name(message_type), "received", len(data))
        return _make_decoder(message_type).decode(data)


def _name(message_type: Any) -> str:
    return f"peer {message_type.__name__.lower()}"
