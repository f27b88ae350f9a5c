"""Checks that a workspace's runs stay within its quota, at the runners."""

from bisect import bisect_left
from collections.abc import Sequence

from soak.record import Finding
from soak.system import (
    QUOTA_BURST,
    QUOTA_OVERAGE,
    QUOTA_RATE,
    QUOTA_SLACK,
    QUOTA_WINDOW_SECONDS,
    QUOTA_WORKSPACE,
    SoakSystem,
)


def check_quota(system: SoakSystem) -> list[Finding]:
    """Check the runs of the workspace that asks for more than its quota."""
    quota = QUOTA_RATE * QUOTA_WINDOW_SECONDS + QUOTA_BURST
    allowed = quota * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
    most = find_most(system.list_runs_of(QUOTA_WORKSPACE))
    if most <= allowed:
        return []
    detail = f"{QUOTA_WORKSPACE}: {most} runs in {QUOTA_WINDOW_SECONDS:.0f} s"
    return [
        Finding("runs stay within a quota", f"{detail}, {allowed:.0f} allowed")
    ]


def find_most(times: Sequence[float]) -> int:
    """Return the most runs of one window, given their times in order."""
    return max(
        (
            bisect_left(times, start + QUOTA_WINDOW_SECONDS) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )
