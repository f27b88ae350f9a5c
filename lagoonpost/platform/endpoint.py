"""Decodes the endpoint entries that runners write to the store."""

import msgspec

from lagoonpost.http.message import parse_address
from lagoonpost.platform.configuration import MS_PER_SECOND, InvalidRowError
from lagoonpost.tables.decoding import UNREADABLE, read_json
from lagoonpost.tables.endpoint import Endpoint

_STATES = {"ready": False, "draining": True}


class _Entry(msgspec.Struct):
    """An entry in the platform's JSON format.

    ``version`` is the software version. ``seq`` counts the writes of the entry
    since the runner's start, which ``born`` identifies.
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
    cold_remaining_ms: float = 0.0


class _Sequence(msgspec.Struct):
    born: int = 0
    seq: int = 0


_decoder = msgspec.json.Decoder(_Entry, strict=True)


def decode_sequence(body: bytes) -> tuple[int, int] | None:
    """Return a runner's start and write count, which order its entries."""
    order = read_json(body, _Sequence)
    return (
        (order.born, order.seq) if order and order.born and order.seq else None
    )


def read_start(report: bytes) -> int:
    """Return the start that a runner's report names; 0 if it names none."""
    answer = read_json(report, _Sequence)
    return answer.born if answer else 0


def decode_endpoint(key: str, body: bytes) -> Endpoint:
    """Decode the entry of the runner with id ``key``.

    Raises:
        InvalidRowError: If a required field is missing or invalid.
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
            cold_seconds=max(0.0, entry.cold_remaining_ms / MS_PER_SECOND),
        )
    except (*UNREADABLE, KeyError) as error:
        raise InvalidRowError(f"runner {key}: {error!r}") from error
