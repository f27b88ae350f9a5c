"""Workspace quotas: tolerances, admission checks and grants."""

from typing import NamedTuple

from lagoonpost.tables.configuration import Workspace


class QuotaBounds(NamedTuple):
    """Window and tolerance for the enforcement of quotas.

    Attributes:
        window: Length of the sliding window in seconds.
        overage: Tolerated overage as a fraction of the quota.
        slack: Tolerated overage in units, added to ``overage``.
    """

    window: float = 8.0
    overage: float = 0.1
    slack: float = 0.0


class QuotaCheck(NamedTuple):
    """Inputs of the admission decision for one request.

    Attributes:
        used: Units known to have been admitted within the window.
        unreported: Units that other gateways may have admitted and not
            reported yet, as far as the decision allows for them.
        limit: Maximum of units within the window, including the request.
        excess: Units admitted above the rate.
        burst: Maximum of units above the rate, including the request.
    """

    used: float
    unreported: float
    limit: float
    excess: float
    burst: float

    def fits(self, cost: float) -> bool:
        """Return whether a request may be admitted.

        A limit does not apply while nothing is counted against it, so that a
        request larger than the limit can be admitted at all.

        Args:
            cost: Units of the request.
        """
        used = self.used + self.unreported + cost
        excess = self.excess + self.unreported + cost
        return (self.used <= 0 or used <= self.limit) and (
            self.excess <= 0 or excess <= self.burst
        )


class QuotaCharge(NamedTuple):
    """Units charged for one run of a request.

    Attributes:
        at: Time of the charge in seconds.
        units: Number of units.
    """

    at: float
    units: float


class QuotaOrder(NamedTuple):
    """Place of a report or a request among the messages of one gateway.

    Attributes:
        number: Number of the message since the start.
        first_open: Number of the first request that waited for its reply
            then, or of the next message.
    """

    number: int
    first_open: int


class QuotaRequest(NamedTuple):
    """Asks the issuer of a workspace's quota to grant a run.

    Attributes:
        number: Number of the message since the asking gateway's start.
        first_open: As in `QuotaOrder`.
        sender: The asking gateway's "NAME/RUN", as in its reports.
        workspace: Name of the workspace.
        units: Units of the run.
        used: Units that the asking gateway has admitted since its start.
        margin_share: Part that the run may use of what is admitted beyond
            the quota.
    """

    number: int
    first_open: int
    sender: str
    workspace: str
    units: float
    used: float
    margin_share: float


class QuotaReply(NamedTuple):
    """The reply to the ``QuotaRequest`` with the same number.

    Attributes:
        number: Number of the request.
        retry_after: Seconds until the run would be granted; None if it is.
    """

    number: int
    retry_after: float | None


def count_units(workspace: Workspace, tokens: int | None) -> float:
    """Return the quota units that a request costs.

    Args:
        workspace: Workspace of the request.
        tokens: Tokens of prompt and response; None if the request doesn't
            state them.
    """
    if not workspace.by_tokens:
        return 1.0
    return workspace.default_tokens if tokens is None else float(tokens)
