"""MessagePack for gRPC messages that are plain NamedTuples."""

from functools import cache
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase


@cache
def _make_decoder(message_type: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(message_type)


class MessagePackCodec(CodecBase):
    """Encodes by msgspec and checks types when it decodes."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the message as MessagePack."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message of the given type.

        Raises:
            msgspec.ValidationError: If ``data`` is not of that type.
        """
        return _make_decoder(message_type).decode(data)
