"""Service at gateways without a path to runners, and the care for runners."""

from bisect import bisect_left
from collections.abc import Iterable, Sequence

from lagoonpost.margins.line import (
    BrittleRefusal,
    Line,
    PartitionChange,
    RequestEnd,
    SilentRunner,
    Started,
)
from lagoonpost.margins.margin import Margin

_SERVED_OUTCOMES = frozenset({"whole", "began", "moved"})
"""Outcomes of offers that gave the caller an answer, or the start of one."""
MIN_SERVED_RATIO = 2 / 3
"""Least share served at partitioned gateways, relative to the others."""
SOUND_SILENCE_SECONDS = 1.0
"""Silence of a runner that goes on afterwards."""

PARTITION_RULE = "served at partitioned gateways, relative to the others"
BRITTLE_RULE = "requests that a brittle runner turns away in a second"
SILENCE_RULE = "silence after which a stream's runner was given up"
KEEPALIVE_RULE = "time-out of tunnels, against the time of all probes"


def find_partition_service(
    changes: Iterable[Line[PartitionChange]],
    requests: Iterable[Line[RequestEnd]],
    contact: float | None,
) -> Margin:
    """Compare the requests served at partitioned gateways and at the others.

    Args:
        changes: Beginnings and ends of partitions, in chronological order.
        requests: Ended requests in any order.
        contact: Seconds after its beginning from which a partition counts.
    """
    margin = Margin(
        PARTITION_RULE, bound=MIN_SERVED_RATIO, keeps="at least", unit=""
    )
    if contact is None:
        return margin._replace(
            untold="the logs do not contain the contact time"
        )
    begun: dict[str, float] = {}
    spans: list[tuple[str, float, float]] = []
    for line in changes:
        if line.message.partitioned:
            begun[line.gateway] = line.at
        elif line.gateway in begun:
            start = begun.pop(line.gateway) + contact
            spans.append((line.gateway, start, line.at))
    spans += [(name, at + contact, float("inf")) for name, at in begun.items()]
    inside: list[bool] = []
    outside: list[bool] = []
    for request in requests:
        arrived = request.at - request.message.took
        during = [name for name, start, end in spans if start < arrived < end]
        if not request.message.steps or not during:
            continue
        group = inside if request.gateway in during else outside
        group.append(_is_served(request.message))
    if not inside or not any(outside):
        return margin._replace(what="no gateway was partitioned for long")
    ratio = _find_share(inside) / _find_share(outside)
    what = f"of {len(inside)} requests there, and of {len(outside)} elsewhere"
    return margin._replace(value=ratio, what=what)


def _is_served(request: RequestEnd) -> bool:
    return any(
        step.split(":")[1] in _SERVED_OUTCOMES
        for step in request.steps
        if step.count(":") > 1
    )


def _find_share(served: Sequence[bool]) -> float:
    return sum(served) / len(served)


def find_brittle_refusals(lines: Iterable[Line[BrittleRefusal]]) -> Margin:
    """Find the most requests that a brittle runner refused in a second.

    Args:
        lines: Refusals by brittle runners at all gateways.
    """
    by_runner: dict[str, list[Line[BrittleRefusal]]] = {}
    for line in lines:
        by_runner.setdefault(line.message.runner, []).append(line)
    margin = Margin(BRITTLE_RULE, unit="")
    for runner, refusals in sorted(by_runner.items()):
        refusals.sort(key=lambda line: line.at)
        times = [line.at for line in refusals]
        for index, line in enumerate(refusals):
            count = index + 1 - bisect_left(times, line.at - 1.0)
            found = margin._replace(
                subject=runner,
                value=float(count),
                bound=line.message.threshold,
                at=line.at,
            )
            if margin.distance is None or found.distance < margin.distance:  # type: ignore[operator]
                margin = found
    if margin.value is None:
        return margin._replace(what="no runner was brittle and full")
    return margin


def find_shortest_silence(lines: Iterable[Line[SilentRunner]]) -> Margin:
    """Find the shortest silence after which a stream went on elsewhere."""
    margin = Margin(
        SILENCE_RULE, bound=SOUND_SILENCE_SECONDS, keeps="at least"
    )
    shortest = min(
        (line for line in lines if line.message.stream),
        key=lambda line: line.message.seconds,
        default=None,
    )
    if shortest is None:
        return margin._replace(what="no stream's runner was given up")
    return margin._replace(
        subject=shortest.message.runner,
        value=shortest.message.seconds,
        at=shortest.at,
        gateways=(shortest.gateway,),
    )


def find_keepalive(lines: Iterable[Line[Started]]) -> Margin:
    """Compare the time-out of tunnels with the time that probing takes."""
    margin = Margin(KEEPALIVE_RULE, keeps="at least")
    for line in lines:
        keepalive = line.message.keepalive
        if keepalive is not None:
            return margin._replace(
                value=keepalive.user_timeout,
                bound=keepalive.idle + keepalive.probes * keepalive.interval,
                at=line.at,
                gateways=(line.gateway,),
            )
    return margin._replace(untold="no start says how tunnels are probed")
