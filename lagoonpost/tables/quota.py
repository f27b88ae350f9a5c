"""Quotas of workspaces: how exactly they are kept, and what decides."""

from typing import NamedTuple

from lagoonpost.tables.configuration import Workspace


class QuotaBounds(NamedTuple):
    """Over which time and how exactly quotas are kept.

    Attributes:
        window: Seconds over which units are counted.
        overage: Part of the quota that may be let through beyond it.
        slack: Units that may be let through beyond that.
    """

    window: float = 8.0
    overage: float = 0.1
    slack: float = 0.0


class QuotaCheck(NamedTuple):
    """Inputs of a decision about one request.

    Attributes:
        used: Units that are known to have been let through in the window.
        unheard: Units that others may have let through besides.
        repeated: The same by all own requests but the largest, as one alone
            does not show that others come as well.
        limit: Most units in the window, the request included.
        excess: Units beyond what the rate allows.
        burst: Most units beyond what the rate allows.
    """

    used: float
    unreported: float
    unreported_beyond_largest: float
    limit: float
    excess: float
    burst: float

    def fits(self, cost: float) -> bool:
        """Tell whether a request may be let through.

        What nobody else has used lets even the largest request through.
        """
        used = self.used + self.unreported + cost
        excess = self.excess + self.unreported_beyond_largest + cost
        return (self.used <= 0 or used <= self.limit) and (
            self.excess <= 0 or excess <= self.burst
        )


def count_units(workspace: Workspace, tokens: int | None) -> float:
    """Return a request's units.

    Args:
        workspace: Whose request it is.
        tokens: Tokens of prompt and answer; None if it names none.
    """
    if not workspace.by_tokens:
        return 1.0
    return workspace.default_tokens if tokens is None else float(tokens)
