"""Usage reports: sums the counts of a usage window and finds due windows."""

from collections.abc import Iterable

from lagoonpost.tables.gateway_report import GatewayReport

SETTLE_SECONDS = 1.0
"""Pause after a window's end: two reporting intervals of a gateway, so that a
late or lost report does not omit a count."""


def sum_begun_requests(
    reports: Iterable[GatewayReport], window: int
) -> dict[str, int]:
    """Sum the requests that runners began, over all gateway runs.

    Args:
        reports: The last report of each run of a gateway.
        window: Number of the usage window.

    Returns:
        Number of requests by workspace.
    """
    total: dict[str, int] = {}
    for report in reports:
        for workspace, count in report.begun.get(window, {}).items():
            total[workspace] = total.get(workspace, 0) + count
    return total


def find_due_windows(
    now: float, seconds: float, late: float, done: Iterable[int]
) -> list[int]:
    """Return the numbers of the windows to report now, oldest first.

    Args:
        now: Seconds since the epoch.
        seconds: Length of a window in seconds.
        late: Seconds after a window's end during which a report is still
            accepted.
        done: Numbers of windows that need no further report.
    """
    first = int((now - late) // seconds)
    last = int((now - SETTLE_SECONDS) // seconds) - 1
    finished = frozenset(done)
    return [
        window for window in range(first, last + 1) if window not in finished
    ]


def is_remembered(
    window: int, seconds: float, starts: Iterable[float]
) -> bool:
    """Return whether a running gateway could know what was told of a window.

    A window is told after its end. What is told reaches all that run then; if
    all have started since, only the store can know.

    Args:
        window: Number of the usage window.
        seconds: Length of a window in seconds.
        starts: Starts of the running gateways, in seconds since the epoch.
    """
    end = (window + 1) * seconds
    return any(start <= end for start in starts)
