"""Workspace quotas: enforcement tolerances and the admission check."""

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
        unreported: Estimate of the units that other gateways admitted but
            have not reported yet, extrapolated from this gateway's recent
            requests.
        unreported_beyond_largest: The same estimate without this gateway's
            largest recent request: a single request does not show that other
            gateways admit similar ones.
        limit: Maximum of units within the window, including the request.
        excess: Units admitted above the rate.
        burst: Maximum of units above the rate, including the request.
    """

    used: float
    unreported: float
    unreported_beyond_largest: float
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
        excess = self.excess + self.unreported_beyond_largest + cost
        return (self.used <= 0 or used <= self.limit) and (
            self.excess <= 0 or excess <= self.burst
        )


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
