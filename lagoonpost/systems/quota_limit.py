"""How many units of a quota may be let through, at all and at once."""

from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.quota import QuotaBounds

TOLERANCE_SHARE = 0.3
"""Part of the promised tolerance that is let through. The rest is for news
under way: at 300,000 tokens a second, seven times a large workspace's usual,
0.2 s of news is 60,000 tokens, and a tolerance of 110,000 leaves 77,000
besides a tenth of the quota itself."""
STARTUP_TOLERANCE_SHARE = 0.3
"""Part of the tolerance left beyond the limit that a gateway which has just
started lets through at once, whatever was let through before."""
MIN_BURST_SECONDS = 1.0
"""Least burst, in seconds of the rate: callers come together by chance."""


def compute_limit(bounds: QuotaBounds, workspace: Workspace) -> float:
    """Return the units that may be let through within a window."""
    quota = _find_quota(bounds, workspace)
    return quota + TOLERANCE_SHARE * _find_tolerance(bounds, workspace)


def compute_burst(bounds: QuotaBounds, workspace: Workspace) -> float:
    """Return the units beyond the rate that need no record."""
    burst = max(workspace.burst, workspace.rate * MIN_BURST_SECONDS)
    return burst + TOLERANCE_SHARE * _find_tolerance(bounds, workspace)


def compute_startup_allowance(
    bounds: QuotaBounds, workspace: Workspace
) -> float:
    """Return the units that a gateway which starts lets through at once."""
    tolerance = _find_tolerance(bounds, workspace)
    return STARTUP_TOLERANCE_SHARE * (1 - TOLERANCE_SHARE) * tolerance


def _find_quota(bounds: QuotaBounds, workspace: Workspace) -> float:
    return workspace.rate * bounds.window + workspace.burst


def _find_tolerance(bounds: QuotaBounds, workspace: Workspace) -> float:
    quota = _find_quota(bounds, workspace)
    return quota * bounds.overage + bounds.slack
