"""Signed ids of stream events, with which a caller resumes anywhere."""

import base64
import hashlib
import hmac
from typing import NamedTuple

import msgspec

MAC_BYTES = 9
MAX_ID_CHARACTERS = 1024


class StreamOrigin(NamedTuple):
    """Which answer an event belongs to and where it is generated.

    Attributes:
        request_id: Id of the request, also the engine's stream id.
        workspace: The only workspace that may resume it.
        service: Service asked for.
        runner: Runner that generated the event.
        body_digest: Digest of the request's body; resuming with another
            body would splice two answers.
    """

    request_id: str
    workspace: str
    service: str
    runner: str
    body_digest: str


class StreamPosition(NamedTuple):
    """A verified event id: the answer and the tokens before and with it."""

    origin: StreamOrigin
    offset: int


class EventSigner:
    """Makes the ids of one stream's events; cheap enough for each token."""

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
    """Return what a signed event id says, or None if it is not ours."""
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
