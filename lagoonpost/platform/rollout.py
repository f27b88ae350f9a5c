"""Orders to move a service to another version, and what is told of them."""

import msgspec

from lagoonpost.platform.configuration import InvalidRowError
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
    """Decode an order.

    Raises:
        UnreadableError: If it can't be read; nothing is moved then.
    """
    try:
        order = msgspec.json.decode(body, type=_Order)
    except msgspec.DecodeError as error:
        raise InvalidRowError(f"rollout: {error}") from error
    return ShiftOrder(order.service, order.to, order.duration_s, number)


def format_status(order: ShiftOrder, phase: ShiftPhase) -> dict[str, str]:
    """Return what operators are told of an order."""
    return {"state": _STATES[phase], "to": order.to}


def decode_final_phase(body: bytes, order: ShiftOrder) -> ShiftPhase | None:
    """Return how an order has ended by what operators were told before.

    Returns:
        None if it has not ended, or the row is of another order.
    """
    try:
        status = msgspec.json.decode(body, type=_Status)
    except msgspec.DecodeError:
        # Nobody else writes there; what can't be read is written anew.
        return None
    return _ENDS.get(status.state) if status.to == order.to else None
