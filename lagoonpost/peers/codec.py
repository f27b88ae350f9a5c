"""MessagePack codec for gRPC messages defined as NamedTuples."""

from functools import cache
from typing import Any

import msgspec
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError

from lagoonpost.tables.control_traffic import ControlTraffic
from lagoonpost.tables.decoding import UNREADABLE
from lagoonpost.unreadable import log_unreadable


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
            GRPCError: If ``data`` does not match the type. The call fails as
                any other: a server answers with this error, and a caller
                gets no reply.
        """
        flow = _name_flow(message_type)
        self._traffic.note(flow, "received", len(data))
        try:
            return _make_decoder(message_type).decode(data)
        except UNREADABLE as error:
            log_unreadable("call", flow, error)
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error


def _name_flow(message_type: Any) -> str:
    return f"peer {message_type.__name__.lower()}"
