"""Checks that repeats stay within their budget, by arrivals at the runners."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Sequence

from soak.record import Attempt, CallKind, Finding
from soak.system import (
    RETRY_FLOOR,
    RETRY_RATIO,
    RETRY_WINDOW_SECONDS,
    SoakSystem,
)

_SERVICES: dict[CallKind, str] = {
    "book": "desk",
    "check": "desk",
    "draft": "chat",
    "reply": "chat",
}


def check_retries(
    system: SoakSystem, attempts: Sequence[Attempt]
) -> list[Finding]:
    """Check the arrivals beyond the first of each request, by service."""
    found = []
    for service in sorted(set(_SERVICES.values())):
        arrivals = system.list_offers(service)
        sent = {
            attempt.id: attempt.sent
            for attempt in attempts
            if _SERVICES[attempt.kind] == service
        }
        finding = _find_excess(service, arrivals, sent)
        if finding is not None:
            found.append(finding)
    return found


def _find_excess(
    service: str,
    arrivals: Iterable[tuple[str, float]],
    sent: dict[str, float],
) -> Finding | None:
    """Return the first window with more repeats than are allowed.

    Args:
        service: Name of the service.
        arrivals: Id and time of each request that reached a runner.
        sent: Times at which callers sent requests, by id; for others, the
            first arrival counts.
    """
    times: dict[str, list[float]] = defaultdict(list)
    for id_, at in arrivals:
        times[id_].append(at)
    firsts = {id_: min(each) for id_, each in times.items()}
    requests = sorted({**firsts, **sent}.values())
    repeats = sorted(at for each in times.values() for at in sorted(each)[1:])
    window = RETRY_WINDOW_SECONDS
    for start in repeats:
        most = _count(repeats, start)
        asked = max(
            _count(requests, begin)
            for begin in (start, start - window / 2, start - window)
        )
        allowed = RETRY_RATIO * asked + RETRY_FLOOR
        if most > allowed:
            detail = f"{service}: {most} repeats in {window:.0f} s, "
            detail += f"{allowed:.0f} allowed for {asked} requests"
            return Finding("repeats stay within their budget", detail)
    return None


def _count(times: Sequence[float], start: float) -> int:
    end = bisect_left(times, start + RETRY_WINDOW_SECONDS)
    return end - bisect_left(times, start)
