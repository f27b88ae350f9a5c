"""Promises of the system, checked against what callers and runners saw."""

import math
from bisect import bisect_left
from collections.abc import Iterable, Sequence

from lagoonpost.http.client import Client
from lagoonpost.tables.bounds import Bounds
from lagoonpost_standins.cloud_api import AcceptedCall
from soak.callers import Callers, probe_route
from soak.record import (
    AT_MOST_ONCE_KINDS,
    CALL_KINDS,
    Attempt,
    CrashTime,
    Finding,
    LimitTime,
    Probe,
    RepeatTime,
    Span,
)
from soak.system import APPLY_SECONDS, DRAIN_SECONDS, SoakSystem

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that guarantee that a request has not run."""
RECOVERY_SECONDS = 3.0
"""Time after a fault in which time bounds are not promised."""
DEADLINE_SLACK_SECONDS = 1.0
"""Allowed delay of an answer beyond its deadline: all processes of a soak run
share one machine, which may be slow."""
GATEWAY_FAULTS = frozenset(("kill", "herd", "pause", "stop"))
PROPAGATION_FAULTS = GATEWAY_FAULTS | {
    "outage",
    "cut_store",
    "compact",
    "drill",
    "flood",
}
"""Faults that may delay updates from the store to the gateways."""
RUNNER_FAULTS = frozenset(
    (
        "crash",
        "crash_part",
        "crash_request",
        "fault",
        "harm_runner",
        "brittle",
        "limit",
        "reject",
        "turn_away",
    )
)
_MUTE_FAULTS = frozenset(("fault", "harm_runner"))
"""Faults because of which a runner's words may not be heard."""
_CRASHES = frozenset(("crash_part", "crash_request"))
"""Faults that start runners anew, about which nothing is known then."""
MIN_SERVED_RATIO = 0.9
"""Share of calls that must be served after the faults are over."""
MIN_HANDBACK_SECONDS = Bounds().lease_seconds
"""Least time between two calls of a lease holder if another holder makes a
call in between."""
MAX_FALLS, MAX_FALLS_SHARE = 2, 0.1
"""Times that brittle runners of a service may fall over, and further times by
the number of its runners."""
MIN_PARTITIONED_RATIO = 2 / 3
"""Least share of attempts served at partitioned gateways, relative to the
others."""
MAX_FAILED, MAX_FAILED_SHARE = 10, 1 / 50
"""Attempts that may fail there in any case, and by the number of attempts."""
LIMIT_WINDOW_SECONDS, LIMIT_OVERAGE, LIMIT_SLACK = 4.0, 1.5, 5.0
"""A runner with a limit may get ``LIMIT_OVERAGE`` times what it allows in any
``LIMIT_WINDOW_SECONDS``, and ``LIMIT_SLACK`` requests."""
LIMIT_TOLD_SECONDS = Bounds().contact_seconds
"""Time from which a limit counts after a runner first named it."""
ANSWER_SECONDS = 0.5
"""Time by which the head of an answer of a sound runner is heard."""
MOST_IN_REST, REST_SLACK_SECONDS = 2, 0.5
"""Requests of a gateway that may reach a runner in a rest that it has asked
for, and time after the refusal from which they count."""
CRASHES_BEFORE, REPEATS_BEFORE = 5, 3
"""Crashes under one part of prompts, and under one request, after which such
requests are late."""
LATE_ALLOWED = 3
"""Those that may come ``CONTACT_SECONDS`` later all the same."""
CONTACT_SECONDS = Bounds().contact_seconds
RECOVERY_CALLS = 5
"""Calls of each kind to each gateway after the faults are over."""


def _has_fault(
    spans: Iterable[Span],
    kinds: frozenset[str],
    begin: float,
    end: float,
    target: str = "",
) -> bool:
    """Return whether a fault or its recovery overlaps a time interval.

    Args:
        spans: Faults of the run.
        kinds: Kinds of faults to consider.
        begin: Start of the interval.
        end: End of the interval.
        target: Gateway that the fault must affect; empty for any target.
    """
    return any(
        span.what in kinds
        and span.begin < end
        and span.end > begin - RECOVERY_SECONDS
        and (not target or span.whom in (target, "half", "store"))
        for span in spans
    )


def check_attempts(
    system: SoakSystem, attempts: Iterable[Attempt]
) -> list[Finding]:
    """Check the outcome of each attempt."""
    runs = system.count_runs()
    found = []
    for attempt in attempts:
        ran = runs.get(attempt.id, 0)
        if attempt.kind in AT_MOST_ONCE_KINDS and ran > 1:
            found.append(Finding("at most once", f"{attempt} ran {ran} times"))
        if (
            attempt.status in NOT_RUN_STATUSES
            and attempt.kind in AT_MOST_ONCE_KINDS
            and ran
        ):
            found.append(Finding("refused is not run", f"{attempt} ran {ran}"))
        if attempt.wrong:
            found.append(Finding("its own whole answer", str(attempt)))
        if _is_late(system, attempt):
            found.append(Finding("a final answer in time", str(attempt)))
        if _is_cut_by_stop(system, attempt):
            found.append(Finding("a planned stop cuts nothing", str(attempt)))
    return found


def _name_gateway(attempt: Attempt) -> str:
    return f"gateway-{attempt.gateway + 1}"


def _is_late(system: SoakSystem, attempt: Attempt) -> bool:
    if attempt.ended <= attempt.due + DEADLINE_SLACK_SECONDS:
        return False
    return not _has_fault(
        system.spans,
        GATEWAY_FAULTS,
        attempt.sent,
        attempt.ended,
        _name_gateway(attempt),
    )


def _is_cut_by_stop(system: SoakSystem, attempt: Attempt) -> bool:
    """Return whether a planned stop cut off a request sent before it.

    Only if nothing else can be the cause: no runner had a fault or was
    drained, and the gateway was neither killed nor frozen meanwhile.
    """
    if attempt.whole or attempt.status not in (0, 200):
        return False
    begin, end = attempt.sent, attempt.ended
    stopped = any(
        span.what == "stop"
        and span.whom == _name_gateway(attempt)
        and begin < span.begin < end
        for span in system.spans
    )
    drains = {"leave", "reclaim"}
    others = GATEWAY_FAULTS - {"stop"} | RUNNER_FAULTS | drains
    return stopped and not _has_fault(system.spans, others, begin, end)


def check_draining(system: SoakSystem) -> list[Finding]:
    """Check that draining runners get no new work after the bound."""
    drained_at = {drain.runner: drain.at for drain in system.drains}

    def is_late(runner: str, at: float) -> bool:
        acknowledged = drained_at.get(runner)
        if acknowledged is None or at <= acknowledged + DRAIN_SECONDS:
            return False
        # Once gateways know of the drain, a restore of the store must not
        # make them forget it.
        known_at = acknowledged + DRAIN_SECONDS
        return not (
            _has_fault(
                system.spans, PROPAGATION_FAULTS - {"drill"}, acknowledged, at
            )
            or _has_fault(
                system.spans, frozenset({"drill"}), acknowledged, known_at
            )
        )

    return [
        Finding("a leaving runner gets no new work", f"{late}")
        for late in system.find_requests(is_late)
    ]


def check_configuration(callers: Callers) -> list[Finding]:
    """Check that no gateway process reverts to an older configuration."""
    newest: dict[tuple[int, int], int] = {}
    found = []
    for probe in callers.probes:
        key = (probe.gateway, probe.run)
        latest = newest.get(key, 0)
        if probe.found and probe.version < latest:
            detail = f"{probe} after version {latest}"
            found.append(Finding("never reverts", detail))
        if probe.found:
            newest[key] = max(latest, probe.version)
    return found


def check_applied_in_time(
    system: SoakSystem, callers: Callers
) -> list[Finding]:
    """Check that each configuration is applied within `APPLY_SECONDS`."""
    return [
        Finding("in force in time", f"{probe}")
        for probe in callers.probes
        if not probe.found and _is_overdue(system, probe)
    ]


def _is_overdue(system: SoakSystem, probe: Probe) -> bool:
    """Return whether a missing route should have been present.

    The next version removes the route, so a probe counts only if that
    version was written later.
    """
    acknowledged = {change.version: change.at for change in system.changes}
    at = acknowledged.get(probe.version)
    following = acknowledged.get(probe.version + 1, math.inf)
    if at is None or not at + APPLY_SECONDS < probe.at:
        return False
    if following <= probe.at + DEADLINE_SLACK_SECONDS:
        return False
    name = f"gateway-{probe.gateway + 1}"
    return not _has_fault(
        system.spans, PROPAGATION_FAULTS, probe.at, probe.at, name
    )


def check_duties(system: SoakSystem) -> list[Finding]:
    """Check that each duty has one lease holder, even after restores."""
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
    return found + _check_handbacks(system.cloud.accepted_calls)


def _check_handbacks(calls: Sequence[AcceptedCall]) -> list[Finding]:
    """Check that a duty does not return to a holder within the bound."""
    found = []
    holders: dict[object, str] = {}
    last_calls: dict[object, float] = {}
    for at, subject, holder in calls:
        last = last_calls.get((subject, holder))
        changed = holders.get(subject, holder) != holder
        if changed and last is not None and at < last + MIN_HANDBACK_SECONDS:
            text = f"{holder} after {at - last:.3f} s on {subject}"
            found.append(Finding("holders do not come back at once", text))
        holders[subject] = holder
        last_calls[subject, holder] = at
    return found


def check_partitions(
    system: SoakSystem, attempts: Sequence[Attempt]
) -> list[Finding]:
    """Check that callers of partitioned gateways are served as others are."""
    found = []
    for span in system.spans:
        if span.what != "cut_runners":
            continue
        counted = [
            attempt
            for attempt in attempts
            if span.begin + RECOVERY_SECONDS < attempt.sent < span.end
            and not _has_fault(
                system.spans,
                GATEWAY_FAULTS | RUNNER_FAULTS,
                attempt.sent,
                attempt.ended,
            )
        ]
        names = span.whom.split()
        inside = [_is_served(a) for a in counted if _name_gateway(a) in names]
        outside = [
            _is_served(a) for a in counted if _name_gateway(a) not in names
        ]
        if _are_served_worse(inside, outside):
            detail = (
                f"{span}: {sum(inside)} of {len(inside)} there, "
                f"{sum(outside)} of {len(outside)} elsewhere"
            )
            found.append(Finding("served while partitioned", detail))
    return found


def _is_served(attempt: Attempt) -> bool:
    return attempt.whole and attempt.status == 200


def _are_served_worse(inside: list[bool], outside: list[bool]) -> bool:
    failed = len(inside) - sum(inside)
    if not outside or failed <= MAX_FAILED + MAX_FAILED_SHARE * len(inside):
        return False
    share, usual = sum(inside) / len(inside), sum(outside) / len(outside)
    return share < MIN_PARTITIONED_RATIO * usual


def check_brittle_runners(system: SoakSystem) -> list[Finding]:
    """Check that runners that say they are brittle rarely fall over.

    Gateways that start or wake know of no others for a moment, and requests
    of a gateway that was killed still run at their runners.
    """
    runners = len(system.runners) / 2
    return [
        Finding("brittle runners stand", str(falls))
        for falls in system.falls
        if falls.number > MAX_FALLS + MAX_FALLS_SHARE * runners
        and not _has_fault(
            system.spans, GATEWAY_FAULTS, falls.begin, falls.end
        )
    ]


def check_limits(system: SoakSystem) -> list[Finding]:
    """Check that runners get no more than the limits that they name.

    Limits are left out during faults of gateways, which forget them, and of
    the runner itself, whose answers may not arrive.
    """
    found = []
    for limit in system.limit_times:
        if _is_excused(system.spans, limit):
            continue
        times = [
            at
            for at in system.list_arrivals(limit.runner)
            if limit.begin <= at < limit.end
        ]
        first = times[0] + LIMIT_TOLD_SECONDS if times else limit.end
        times = [at for at in times if at >= first]
        most = max(
            (
                bisect_left(times, begin + LIMIT_WINDOW_SECONDS) - index
                for index, begin in enumerate(times)
            ),
            default=0,
        )
        allowed = LIMIT_OVERAGE * LIMIT_WINDOW_SECONDS * limit.rate
        if most > allowed + LIMIT_SLACK:
            detail = f"{limit.runner}, {limit.rate} a second: {most} in 4 s"
            found.append(Finding("limits are kept", detail))
    return found


def check_departures(system: SoakSystem) -> list[Finding]:
    """Check that runners get no new work once their answers say they leave.

    Gateways that start or wake hear of it again, and answers of a runner with
    a fault may not arrive.
    """
    found = []
    for leaving in system.departure_times:
        times = [
            at
            for at in system.list_arrivals(leaving.runner)
            if leaving.begin <= at < leaving.end
        ]
        known = times[0] + ANSWER_SECONDS + DRAIN_SECONDS if times else 0.0
        late = [
            at
            for at in times
            if at > known
            and not _has_fault(
                system.spans, GATEWAY_FAULTS, at - DRAIN_SECONDS, at
            )
            and not _has_fault(
                system.spans, _MUTE_FAULTS, leaving.begin, at, leaving.runner
            )
            and not _has_fault(system.spans, _CRASHES, leaving.begin, at)
        ]
        if late:
            detail = f"{leaving.runner}: {len(late)} requests"
            found.append(Finding("leaving by answers is heard", detail))
    return found


def check_rests(
    system: SoakSystem, attempts: Sequence[Attempt]
) -> list[Finding]:
    """Check that runners get the rest that they ask gateways for."""
    gateways = {attempt.id: attempt.gateway for attempt in attempts}
    found = []
    for slot in system.runners:
        for runner in slot.all_runners():
            arrivals = [
                (each, gateways.get(each.request.header("attempt-id") or ""))
                for each in runner.received
            ]
            for refused, gateway in arrivals:
                if not refused.rest or gateway is None:
                    continue
                end = refused.at + float(refused.rest)
                within = [
                    each.at
                    for each, sender in arrivals
                    if sender == gateway
                    and refused.at + REST_SLACK_SECONDS <= each.at < end
                ]
                if len(within) > MOST_IN_REST and not _may_forget_rest(
                    system.spans, runner.id, gateway, refused.at, end
                ):
                    detail = f"{runner.id}: {len(within)} of {gateway + 1}"
                    found.append(Finding("rests are kept", detail))
    return found


def _may_forget_rest(
    spans: Sequence[Span], runner: str, gateway: int, begin: float, end: float
) -> bool:
    """Return whether a gateway may not know of a rest."""
    name = f"gateway-{gateway + 1}"
    return (
        _has_fault(spans, GATEWAY_FAULTS, begin, end, name)
        or _has_fault(spans, _MUTE_FAULTS, begin, end, runner)
        or _has_fault(spans, _CRASHES, begin, end)
    )


def check_crashing_parts(system: SoakSystem) -> list[Finding]:
    """Check that few requests reach runners that a part of them crashes.

    Requests that arrive while gateways or their view of the store have
    faults, or soon after, are left out.
    """
    found = []
    for times in system.crash_times:
        arrivals = system.list_arrivals_with(times.part)
        found += _check_late(system, "chat", times, arrivals, CRASHES_BEFORE)
    return found


def check_crashing_requests(system: SoakSystem) -> list[Finding]:
    """Check that a request that crashes its runners reaches few of them.

    The same arrivals are left out.
    """
    found = []
    for times in system.repeat_times:
        arrivals = system.list_arrivals_of(times.path)
        found += _check_late(system, "desk", times, arrivals, REPEATS_BEFORE)
    return found


def _check_late(
    system: SoakSystem,
    service: str,
    times: CrashTime | RepeatTime,
    arrivals: list[float],
    before: int,
) -> list[Finding]:
    """Check that few requests arrive late after so many crashes."""
    crashes = sorted(
        at
        for slot in system.runners
        if slot.service == service
        for runner in slot.all_runners()
        for at in runner.crashes
        if times.begin <= at < times.end
    )
    if len(crashes) < before:
        return []
    since = crashes[before - 1] + CONTACT_SECONDS
    late = [
        at
        for at in arrivals
        if at > since
        and not _has_fault(
            system.spans, PROPAGATION_FAULTS, at - CONTACT_SECONDS, at
        )
    ]
    if len(late) <= LATE_ALLOWED:
        return []
    detail = f"{times}: {len(late)} late, {len(crashes)} crashes"
    return [Finding("what crashes runners stops", detail)]


def _is_excused(spans: Sequence[Span], limit: LimitTime) -> bool:
    """Return whether gateways may not know of a runner's limit."""
    begin, end = limit.begin, limit.end
    kinds = frozenset(("fault", "harm_runner"))
    return _has_fault(spans, GATEWAY_FAULTS, begin, end) or _has_fault(
        spans, kinds, begin, end, limit.runner
    )


async def check_recovery(
    system: SoakSystem, callers: Callers
) -> list[Finding]:
    """Check that every gateway serves calls by the newest configuration."""
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
