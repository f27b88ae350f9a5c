"""What must hold, checked from what callers and back ends saw."""

import math
from collections.abc import Iterable, Sequence

from lagoonpost.http.client import Client
from lagoonpost.platform.settings import Bounds
from lagoonpost_standins.cloud_api import AcceptedCall
from soak.callers import Callers, probe_route
from soak.record import (
    AT_MOST_ONCE_KINDS,
    CALL_KINDS,
    Attempt,
    Finding,
    Probe,
    Span,
)
from soak.system import APPLY_SECONDS, DRAIN_SECONDS, SoakSystem

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise that a request has not run."""
RECOVERY_SECONDS = 3.0
"""Time after a disturbance in which bounds of time are not promised."""
DEADLINE_SLACK_SECONDS = 1.0
"""How far behind its deadline a final answer may come: what this machine may
be slow, as all processes of a soak share it."""
GATEWAY_FAULTS = frozenset(("kill", "herd", "pause", "stop"))
PROPAGATION_FAULTS = GATEWAY_FAULTS | {
    "outage",
    "cut_store",
    "compact",
    "drill",
}
"""Disturbances under which news of runners may be late."""
RUNNER_FAULTS = frozenset(("crash", "fault", "harm_runner"))
MIN_SERVED_RATIO = 0.9
"""Part of the calls that is served once all is calm again."""
MIN_HANDBACK_SECONDS = Bounds().lease_seconds
"""Time in which no holder may act, another one act and the first act again."""
RECOVERY_CALLS = 5
"""Calls of each kind at each gateway when all is calm again."""


def _near(
    spans: Iterable[Span],
    what: frozenset[str],
    begin: float,
    end: float,
    whom: str = "",
) -> bool:
    """Tell whether a disturbance reaches into a time."""
    return any(
        span.what in what
        and span.begin < end
        and span.end > begin - RECOVERY_SECONDS
        and (not whom or span.whom in (whom, "half", "store"))
        for span in spans
    )


def check_attempts(
    system: SoakSystem, attempts: Iterable[Attempt]
) -> list[Finding]:
    """Check what each caller got."""
    runs = system.count_runs()
    found = []
    for each in attempts:
        ran = runs.get(each.id, 0)
        if each.kind in AT_MOST_ONCE_KINDS and ran > 1:
            found.append(Finding("at most once", f"{each} ran {ran} times"))
        if (
            each.status in NOT_RUN_STATUSES
            and each.kind in AT_MOST_ONCE_KINDS
            and ran
        ):
            found.append(Finding("refused is not run", f"{each} ran {ran}"))
        if each.wrong:
            found.append(Finding("its own whole answer", str(each)))
        if _is_late(system, each):
            found.append(Finding("a final answer in time", str(each)))
        if _is_cut_by_stop(system, each):
            found.append(Finding("a planned stop cuts nothing", str(each)))
    return found


def _name(attempt: Attempt) -> str:
    return f"gateway-{attempt.gateway + 1}"


def _is_late(system: SoakSystem, attempt: Attempt) -> bool:
    if attempt.ended <= attempt.due + DEADLINE_SLACK_SECONDS:
        return False
    return not _near(
        system.spans,
        GATEWAY_FAULTS,
        attempt.sent,
        attempt.ended,
        _name(attempt),
    )


def _is_cut_by_stop(system: SoakSystem, attempt: Attempt) -> bool:
    """Tell whether a request that was sent before a stop was cut off by it.

    Only where nothing else can be the reason: no runner was harmed, and the
    process was neither killed nor frozen meanwhile.
    """
    if attempt.whole or attempt.status not in (0, 200):
        return False
    begin, end = attempt.sent, attempt.ended
    stopped = any(
        span.what == "stop"
        and span.whom == _name(attempt)
        and begin < span.begin < end
        for span in system.spans
    )
    others = GATEWAY_FAULTS - {"stop"} | RUNNER_FAULTS | {"leave"}
    return stopped and not _near(system.spans, others, begin, end)


def check_draining(system: SoakSystem) -> list[Finding]:
    """Check that runners that leave get no new work after the bound."""
    left = {drain.runner: drain.at for drain in system.drains}

    def is_late(runner: str, at: float) -> bool:
        acknowledged = left.get(runner)
        if acknowledged is None or at <= acknowledged + DRAIN_SECONDS:
            return False
        # What gateways knew before a drill holds in it and after.
        known = acknowledged + DRAIN_SECONDS
        return not (
            _near(
                system.spans, PROPAGATION_FAULTS - {"drill"}, acknowledged, at
            )
            or _near(system.spans, frozenset({"drill"}), acknowledged, known)
        )

    return [
        Finding("a leaving runner gets no new work", f"{late}")
        for late in system.find_requests(is_late)
    ]


def check_configuration(callers: Callers) -> list[Finding]:
    """Check that no process goes back to an older configuration."""
    newest: dict[tuple[int, int], int] = {}
    found = []
    for probe in callers.probes:
        key = (probe.gateway, probe.run)
        seen = newest.get(key, 0)
        if probe.found and probe.version < seen:
            detail = f"{probe} after version {seen}"
            found.append(Finding("never reverts", detail))
        if probe.found:
            newest[key] = max(seen, probe.version)
    return found


def check_applied_in_time(
    system: SoakSystem, callers: Callers
) -> list[Finding]:
    """Check that a newer configuration is in force once its time is over."""
    return [
        Finding("in force in time", f"{probe}")
        for probe in callers.probes
        if not probe.found and _is_overdue(system, probe)
    ]


def _is_overdue(system: SoakSystem, probe: Probe) -> bool:
    """Tell whether a route that was not there ought to have been.

    The next version drops it, so that one may not have been sent yet.
    """
    acknowledged = {each.version: each.at for each in system.changes}
    at = acknowledged.get(probe.version)
    following = acknowledged.get(probe.version + 1, math.inf)
    if at is None or not at + APPLY_SECONDS < probe.at:
        return False
    if following <= probe.at + DEADLINE_SLACK_SECONDS:
        return False
    name = f"gateway-{probe.gateway + 1}"
    return not _near(
        system.spans, PROPAGATION_FAULTS, probe.at, probe.at, name
    )


def check_duties(system: SoakSystem) -> list[Finding]:
    """Check that duties have one holder, whatever the store lost."""
    holders: dict[int, set[str]] = {}
    for _, holder, fence, _ in system.cloud.calls:
        holders.setdefault(fence, set()).add(holder)
    found = [
        Finding("a fencing number has one holder", f"{fence}: {names}")
        for fence, names in holders.items()
        if len(names) > 1
    ]
    found += [
        Finding("a window has one count", f"{window}")
        for window in system.cloud.conflicts
    ]
    return found + _check_turns(system.cloud.accepted_calls)


def _check_turns(acts: Sequence[AcceptedCall]) -> list[Finding]:
    """Check that no holder acts again soon after another one has."""
    found = []
    latest: dict[object, str] = {}
    last: dict[object, float] = {}
    for at, subject, holder in acts:
        before = last.get((subject, holder))
        turned = latest.get(subject, holder) != holder
        if (
            turned
            and before is not None
            and at < before + MIN_HANDBACK_SECONDS
        ):
            text = f"{holder} after {at - before:.3f} s on {subject}"
            found.append(Finding("holders do not come back at once", text))
        latest[subject] = holder
        last[subject, holder] = at
    return found


async def check_recovery(
    system: SoakSystem, callers: Callers
) -> list[Finding]:
    """Check that all is served again everywhere, by the newest version."""
    found = []
    client = Client()
    for number, entry in enumerate(system.entries):
        status = await probe_route(client, entry, system.version)
        if status != 200:
            detail = f"gateway-{number + 1}: {status} at the newest route"
            found.append(Finding("in force everywhere", detail))
        for kind in CALL_KINDS:
            calls = [
                await callers.call(client, kind, number)
                for _ in range(RECOVERY_CALLS)
            ]
            served = sum(c.status == 200 and c.whole for c in calls)
            if served < MIN_SERVED_RATIO * RECOVERY_CALLS:
                detail = f"gateway-{number + 1}: {kind} {served} of {calls}"
                found.append(Finding("served again", detail))
    client.close()
    return found
