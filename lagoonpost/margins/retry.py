"""Retries of a service within a window of their budget."""

from bisect import bisect_left
from collections.abc import Iterable, Sequence

from lagoonpost.margins.line import Line, RequestEnd, Retry
from lagoonpost.margins.margin import Margin

RETRY_RULE = "part of a retry budget used in a window"


def find_retry_use(
    retries: Iterable[Line[Retry]],
    requests: Iterable[Line[RequestEnd]],
    window: float | None,
    ratio: float | None,
    floor: float | None,
) -> Margin:
    """Find the window in which a service used most of its budget.

    A retry may be granted and then not sent, and a gateway that was killed
    has no line of the requests that it had.

    Args:
        retries: Decisions on retries at all gateways.
        requests: Requests at all gateways.
        window: Length of the window in seconds.
        ratio: Retries allowed as a part of the requests.
        floor: Further retries allowed.
    """
    margin = Margin(RETRY_RULE, bound=1.0, unit="", sense="at most")
    if window is None or ratio is None or floor is None:
        return margin._replace(
            untold="the logs do not contain the bounds of retries"
        )
    granted: dict[str, list[float]] = {}
    for retry in retries:
        if retry.message.granted:
            granted.setdefault(retry.message.service, []).append(retry.at)
    sent: dict[str, list[float]] = {service: [] for service in granted}
    for request in requests:
        if request.message.service in sent:
            arrived = request.at - request.message.took
            sent[request.message.service].append(arrived)
    for service, times in sorted(granted.items()):
        times.sort()
        sent[service].sort()
        for start in times:
            asked = max(
                _count(sent[service], begin, window)
                for begin in (start, start - window / 2, start - window)
            )
            used = _count(times, start, window) / (ratio * asked + floor)
            if margin.value is None or used > margin.value:
                margin = margin._replace(
                    subject=service, value=round(used, 3), at=start
                )
    if margin.value is None:
        return margin._replace(what="no request was offered again")
    return margin


def _count(times: Sequence[float], start: float, window: float) -> int:
    return bisect_left(times, start + window) - bisect_left(times, start)
