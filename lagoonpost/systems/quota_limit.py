"""Limits of a quota: units per window, per burst and after a start.

Load pattern: a workspace asks for more than its quota with urgent and less
urgent requests. What is left of it would go to whichever come first, mostly
to the more frequent kind. The part of the tolerance that is admitted beyond
the quota is therefore kept for the more urgent requests: usage leaves the
window all the time, and what becomes free goes to them first.
"""

from collections.abc import Collection

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
CONTINUED_MARGIN_SHARE = 2.5
"""Share of the admitted tolerance for a run that continues an answer which its
caller has a part of: three quarters of the tolerance. Most hosts of a
workspace's runs may be reclaimed at once, and each run then begins again."""
MIN_BURST_SECONDS = 1.0
"""Smallest burst, in seconds of the rate, as callers coincide by chance."""


def compute_limit(
    bounds: QuotaBounds, workspace: Workspace, margin_share: float = 1.0
) -> float:
    """Return the units that may be admitted within a window.

    Args:
        bounds: Window and tolerance of the quotas.
        workspace: The workspace.
        margin_share: Part that may be used of what is admitted beyond the
            quota, from 0 to 1.
    """
    margin = TOLERANCE_SHARE * _find_tolerance(bounds, workspace)
    return _find_quota(bounds, workspace) + margin_share * margin


def compute_burst(
    bounds: QuotaBounds, workspace: Workspace, margin_share: float = 1.0
) -> float:
    """Return the units beyond the rate that may be admitted unrecorded.

    Args:
        bounds: Window and tolerance of the quotas.
        workspace: The workspace.
        margin_share: As for `compute_limit`.
    """
    burst = max(workspace.burst, workspace.rate * MIN_BURST_SECONDS)
    margin = TOLERANCE_SHARE * _find_tolerance(bounds, workspace)
    return burst + margin_share * margin


def find_margin_share(priority: int, priorities: Collection[int]) -> float:
    """Return the part of what lies beyond a quota that a request may use.

    Args:
        priority: Priority of the request; 0 is the most urgent.
        priorities: Priorities of all routes, each once.

    Returns:
        1 for the most urgent, 0 for the least urgent, others in proportion
        to their rank.
    """
    if len(priorities) <= 1:
        return 1.0
    more_urgent = sum(each < priority for each in priorities)
    return max(0.0, 1.0 - more_urgent / (len(priorities) - 1))


def compute_startup_allowance(
    bounds: QuotaBounds, workspace: Workspace
) -> float:
    """Return the units that a gateway admits at once after its start."""
    tolerance = _find_tolerance(bounds, workspace)
    return STARTUP_TOLERANCE_SHARE * (1 - TOLERANCE_SHARE) * tolerance


def compute_alone_allowance(
    bounds: QuotaBounds, workspace: Workspace
) -> float:
    """Return the units that may be admitted without being reported yet.

    It is what the runs with the largest margin leave of the tolerance, so that
    both together stay within it.
    """
    admitted = TOLERANCE_SHARE * CONTINUED_MARGIN_SHARE
    return (1 - admitted) * _find_tolerance(bounds, workspace)


def _find_quota(bounds: QuotaBounds, workspace: Workspace) -> float:
    return workspace.rate * bounds.window + workspace.burst


def _find_tolerance(bounds: QuotaBounds, workspace: Workspace) -> float:
    quota = _find_quota(bounds, workspace)
    return quota * bounds.overage + bounds.slack
