"""Decodes the entries that runners write about themselves."""

import msgspec

from lagoonpost.http.message import parse_address
from lagoonpost.platform.configuration import MS_PER_SECOND, InvalidRowError
from lagoonpost.tables.endpoint import Endpoint

_STATES = {"ready": False, "draining": True}


class _Entry(msgspec.Struct):
    """An entry as written.

    ``version`` is that of the software, ``cold_remaining_ms`` is not read:
    slow starts are measured. ``seq`` counts how often it was written since
    the start that ``born`` names.
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


class _Place(msgspec.Struct):
    born: int = 0
    seq: int = 0


_decoder = msgspec.json.Decoder(_Entry, strict=True)


def decode_sequence(body: bytes) -> tuple[int, int] | None:
    """Return a runner's start and count, which order all that it wrote."""
    try:
        place = msgspec.json.decode(body, type=_Place)
    except msgspec.DecodeError:
        return None
    return (place.born, place.seq) if place.born and place.seq else None


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
            leaves_in_seconds=None
            if entry.leaves_ms is None
            else entry.leaves_ms / MS_PER_SECOND,
            born=entry.born,
        )
    except (msgspec.DecodeError, ValueError, KeyError) as error:
        raise InvalidRowError(f"runner {key}: {error!r}") from error
