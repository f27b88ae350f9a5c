"""Signed event ids, with which a caller resumes at any gateway."""

import base64
import hashlib
import hmac
from typing import NamedTuple

import msgspec

MAC_BYTES = 9
MAX_ID_CHARACTERS = 1024


class StreamOrigin(NamedTuple):
    """Identity of the answer that an event belongs to, and its runner.

    Attributes:
        request_id: Id of the request, also used as the engine's stream id.
        workspace: The only workspace that may resume the answer.
        service: Name of the requested service.
        runner: Name of the runner that generated the event.
        body_digest: Digest of the request body. Resuming with a different
            body would splice two answers together.
    """

    request_id: str
    workspace: str
    service: str
    runner: str
    body_digest: str


class StreamPosition(NamedTuple):
    """Position in an answer, from a verified event id.

    Attributes:
        origin: Identity of the answer.
        offset: Number of tokens up to and including the event's.
    """

    origin: StreamOrigin
    offset: int


class EventSigner:
    """Signs the event ids of one stream; cheap enough for every token."""

    def __init__(self, key: bytes, origin: StreamOrigin) -> None:
        packed = msgspec.msgpack.encode(origin)
        self._prefix = base64.urlsafe_b64encode(packed).rstrip(b"=") + b"."
        self._state = hashlib.blake2b(
            self._prefix, key=key, digest_size=MAC_BYTES
        )

    def sign(self, offset: int) -> bytes:
        """Return the id of the event that carries token ``offset``."""
        number = b"%d" % offset
        state = self._state.copy()
        state.update(number)
        return b"%b%b.%b" % (
            self._prefix,
            number,
            state.hexdigest().encode("ascii"),
        )


def verify_event_id(key: bytes, text: str) -> StreamPosition | None:
    """Return the position in a signed event id, or None if it is invalid."""
    prefix, _, rest = text.partition(".")
    number, _, mac = rest.partition(".")
    if (
        len(text) > MAX_ID_CHARACTERS
        or not number.isdecimal()
        or not text.isascii()
    ):
        return None
    signed = f"{prefix}.{number}".encode("ascii")
    expected = hashlib.blake2b(
        signed, key=key, digest_size=MAC_BYTES
    ).hexdigest()
    if not hmac.compare_digest(expected, mac):
        return None
    packed = base64.urlsafe_b64decode(prefix + "=" * (-len(prefix) % 4))
    origin = msgspec.msgpack.decode(packed, type=StreamOrigin)
    return StreamPosition(origin, int(number))
