"""What all gateways counted in one usage window, and which are due."""

from collections.abc import Iterable

from lagoonpost.tables.gateway_report import GatewayReport

SETTLE_SECONDS = 1.0
"""Pause after a window's end: two reports of each gateway, so that one
that is late or lost does not leave a count out."""


def sum_begun_requests(
    reports: Iterable[GatewayReport], window: int
) -> dict[str, int]:
    """Return the begun requests by workspace, over all runs of gateways."""
    total: dict[str, int] = {}
    for report in reports:
        for workspace, count in report.begun.get(window, {}).items():
            total[workspace] = total.get(workspace, 0) + count
    return total


def find_due_windows(
    now: float, seconds: float, late: float, done: Iterable[int]
) -> list[int]:
    """Return the windows to be reported now, oldest first.

    Args:
        now: Seconds since the epoch.
        seconds: Length of a window.
        late: Seconds after a window's end for which it is still wanted.
        done: Windows that need no report any more.
    """
    first = int((now - late) // seconds)
    last = int((now - SETTLE_SECONDS) // seconds) - 1
    kept = frozenset(done)
    return [each for each in range(first, last + 1) if each not in kept]
