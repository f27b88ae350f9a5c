"""Formats of rollout orders and of the rollout status for operators."""

import msgspec

from lagoonpost.platform.configuration import InvalidRowError
from lagoonpost.tables.decoding import (
    UNREADABLE,
    Unreadable,
    convert_value,
    decode_json,
)
from lagoonpost.tables.version_shift import ShiftOrder, ShiftPhase

ORDER_PREFIX = "rollout/"
_STATES: dict[ShiftPhase, str] = {
    "trial": "active",
    "all": "active",
    "complete": "complete",
    "taken_back": "rolled_back",
}
_ENDS: dict[str, ShiftPhase] = {
    "complete": "complete",
    "rolled_back": "taken_back",
}


class _Order(msgspec.Struct):
    service: str
    to: str
    duration_s: float


class _Status(msgspec.Struct):
    state: str
    to: str


def decode_order(body: bytes, number: int) -> ShiftOrder:
    """Decode a rollout order.

    Raises:
        InvalidRowError: If decoding fails; no rollout is started then.
    """
    try:
        order = msgspec.json.decode(body, type=_Order)
    except UNREADABLE as error:
        raise InvalidRowError(f"rollout: {error}") from error
    return ShiftOrder(order.service, order.to, order.duration_s, number)


def format_status(order: ShiftOrder, phase: ShiftPhase) -> dict[str, str]:
    """Return the status of an order in the operators' format."""
    return {"state": _STATES[phase], "to": order.to}


def decode_final_phase(
    body: bytes, order: ShiftOrder
) -> ShiftPhase | Unreadable | None:
    """Return the final phase of an order from its last written status.

    Returns:
        None if the order has not ended or the status is of another order.
    """
    status = convert_value(decode_json(body), _Status)
    if isinstance(status, Unreadable):
        return status
    return _ENDS.get(status.state) if status.to == order.to else None
