"""Decodes the entries that runners write about themselves."""

import msgspec

from lagoonpost.http.message import parse_address
from lagoonpost.platform.configuration import MILLISECONDS, UnreadableError
from lagoonpost.tables.endpoint import Endpoint

_STATES = {"ready": False, "draining": True}


class _Entry(msgspec.Struct):
    """An entry as written.

    ``version`` is that of the software, ``cold_remaining_ms`` and ``seq``
    are not read: slow starts are measured, and a restart shows by ``born``.
    """

    service: str
    address: str
    zone: str
    state: str
    slots: int
    version: str = ""
    born: int = 0
    spot: bool = False
    leaves_ms: float | None = None


_decoder = msgspec.json.Decoder(_Entry, strict=True)


def decode_endpoint(key: str, body: bytes) -> Endpoint:
    """Decode the entry of the runner with id ``key``.

    Raises:
        UnreadableError: If a needed field is missing, of another type or
            unknown, so that the entry names no runner to use.
    """
    try:
        entry = _decoder.decode(body)
        return Endpoint(
            id=key,
            service=entry.service,
            address=parse_address(entry.address),
            failure_domain=entry.zone,
            version=entry.version,
            slots=entry.slots,
            leaving=_STATES[entry.state],
            spot=entry.spot,
            leaves=None
            if entry.leaves_ms is None
            else entry.leaves_ms / MILLISECONDS,
            born=entry.born,
        )
    except (msgspec.DecodeError, ValueError, KeyError) as error:
        raise UnreadableError(f"runner {key}: {error!r}") from error
