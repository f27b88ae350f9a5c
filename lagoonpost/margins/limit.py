"""Requests to runners that name a limit."""

from bisect import bisect_right
from collections.abc import Iterable

from lagoonpost.margins.line import LimitedRequest, Line
from lagoonpost.margins.margin import Margin

LIMIT_RULE = "requests in 4 s to a runner that names a limit"
WINDOW_SECONDS, OVERAGE, SLACK = 4.0, 1.5, 5.0
"""A runner may get ``OVERAGE`` times what its limit allows in
``WINDOW_SECONDS``, and ``SLACK`` requests."""


def find_limited_requests(
    lines: Iterable[Line[LimitedRequest]], contact: float | None
) -> Margin:
    """Find the window in which a runner got most, relative to its limit.

    Args:
        lines: Requests to runners with a limit, at all gateways.
        contact: Seconds after its first such request from which a limit
            counts.
    """
    margin = Margin(LIMIT_RULE, unit="")
    if contact is None:
        return margin._replace(
            untold="the logs do not contain the contact time"
        )
    by_runner: dict[str, list[Line[LimitedRequest]]] = {}
    for line in lines:
        by_runner.setdefault(line.message.runner, []).append(line)
    for runner, requests in sorted(by_runner.items()):
        requests.sort(key=lambda line: line.at)
        first = requests[0].at + contact
        counted = [line for line in requests if line.at >= first]
        times = [line.at for line in counted]
        for index, line in enumerate(counted):
            begin = bisect_right(times, line.at - WINDOW_SECONDS)
            window = counted[begin : index + 1]
            rate = max(each.message.rate for each in window)
            found = margin._replace(
                subject=runner,
                value=float(len(window)),
                bound=OVERAGE * WINDOW_SECONDS * rate + SLACK,
                at=line.at,
            )
            if margin.distance is None or found.distance < margin.distance:  # type: ignore[operator]
                margin = found
    if margin.value is None:
        return margin._replace(what="no runner named a limit for long")
    return margin
