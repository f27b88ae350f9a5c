"""Limits of a quota: units per window, per burst and after a start."""

from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.quota import QuotaBounds

TOLERANCE_SHARE = 0.3
"""Part of the promised tolerance that is admitted. The rest covers usage in
reports that are in flight: at 300,000 tokens a second, seven times the usual
rate of a large workspace, 0.2 s of reports are 60,000 tokens, and a tolerance
of 110,000 leaves 77,000 besides a tenth of the quota itself."""
STARTUP_TOLERANCE_SHARE = 0.3
"""Part of the tolerance beyond the limit that a gateway which has just started
admits at once, regardless of prior usage."""
MIN_BURST_SECONDS = 1.0
"""Smallest burst, in seconds of the rate, as callers coincide by chance."""


def compute_limit(bounds: QuotaBounds, workspace: Workspace) -> float:
    """Return the units that may be admitted within a window."""
    quota = _find_quota(bounds, workspace)
    return quota + TOLERANCE_SHARE * _find_tolerance(bounds, workspace)


def compute_burst(bounds: QuotaBounds, workspace: Workspace) -> float:
    """Return the units beyond the rate that may be admitted unrecorded."""
    burst = max(workspace.burst, workspace.rate * MIN_BURST_SECONDS)
    return burst + TOLERANCE_SHARE * _find_tolerance(bounds, workspace)


def compute_startup_allowance(
    bounds: QuotaBounds, workspace: Workspace
) -> float:
    """Return the units that a gateway admits at once after its start."""
    tolerance = _find_tolerance(bounds, workspace)
    return STARTUP_TOLERANCE_SHARE * (1 - TOLERANCE_SHARE) * tolerance


def _find_quota(bounds: QuotaBounds, workspace: Workspace) -> float:
    return workspace.rate * bounds.window + workspace.burst


def _find_tolerance(bounds: QuotaBounds, workspace: Workspace) -> float:
    quota = _find_quota(bounds, workspace)
    return quota * bounds.overage + bounds.slack
