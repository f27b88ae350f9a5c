"""Messages by which gateways agree on trials of suspected requests."""

from typing import NamedTuple


class TrialRequest(NamedTuple):
    """Asks whether a request may be sent to a service as a trial.

    Attributes:
        number: Assigned by the asking gateway.
        service: Name of the service.
    """

    number: int
    service: str


class TrialReply(NamedTuple):
    """The reply to the ``TrialRequest`` with the same number.

    Attributes:
        number: Number of the request.
        granted: Whether the request may be sent.
    """

    number: int
    granted: bool
