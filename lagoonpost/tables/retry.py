"""Retries: messages between gateways, records in the store, decisions."""

from typing import Annotated, NamedTuple

from msgspec import Meta

MAX_UNITS = 1_000_000
"""Most retries of one reservation: far more than any floor."""


class RetryRequest(NamedTuple):
    """Asks whether a request to a service may be offered once more.

    Attributes:
        number: Assigned by the asking gateway.
        service: Name of the service.
        credit: Credit that the asking gateway hands over, in retries.
    """

    number: int
    service: str
    credit: float


class RetryReply(NamedTuple):
    """The reply to the ``RetryRequest`` with the same number.

    Attributes:
        number: Number of the request.
        granted: Whether the request may be offered once more.
    """

    number: int
    granted: bool


class Reservation(NamedTuple):
    """Retries that one gateway may grant, as recorded in the store.

    Attributes:
        at: Time of the reservation in seconds, by the store's clock.
        units: Number of retries.
    """

    at: float
    units: Annotated[int, Meta(ge=0, le=MAX_UNITS)]


class BudgetState(NamedTuple):
    """What a gateway knows of a budget, for the log.

    Attributes:
        window: Length of the budget's window in seconds.
        gateways: Number of gateways that may serve callers.
        requests: Requests of this gateway within the window.
        retries: Retries that this gateway granted within the window.
        credit: Credit that is left, in retries.
        held: Retries that are reserved and not granted yet.
        reserved: Retries that all gateways reserved within the window, as far
            as this gateway knows.
        reservable: Retries that may be reserved within the window.
    """

    window: float
    gateways: int
    requests: int
    retries: int
    credit: float
    held: int
    reserved: int
    reservable: float
