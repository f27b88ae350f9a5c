"""Requests that crash runners."""

from collections.abc import Iterable

from lagoonpost.margins.line import Conviction, Line, RunnerCrash
from lagoonpost.margins.margin import Margin

CRASH_RULE = "requests that crash runners, late after the fifth crash"
CRASHES_BEFORE = 5
"""Crashes under one cause after which its requests are counted."""
LATE_ALLOWED = 3
"""Requests that may reach runners later than the contact time after that."""


def find_late_crashes(
    crashes: Iterable[Line[RunnerCrash]],
    convictions: Iterable[Line[Conviction]],
    contact: float | None,
) -> Margin:
    """Find the convicted cause with most requests that came late.

    Only requests under which a runner ended are in the logs.

    Args:
        crashes: Runs that were cut off by a crash, at all gateways.
        convictions: Verdicts of all gateways.
        contact: Seconds after the fifth crash from which requests are late.
    """
    margin = Margin(CRASH_RULE, unit="", sense="at least")
    if contact is None:
        return margin._replace(
            untold="the logs do not contain the contact time"
        )
    by_cause: dict[str, dict[str, float]] = {}
    for line in crashes:
        crash = line.message
        for cause in crash.causes:
            by_cause.setdefault(cause, {})[crash.runner] = crash.crashed
    for cause in sorted({line.message.cause for line in convictions}):
        times = sorted(by_cause.get(cause, {}).values())
        if len(times) < CRASHES_BEFORE:
            continue
        since = times[CRASHES_BEFORE - 1] + contact
        late = [at for at in times if at > since]
        if margin.value is None or len(late) > margin.value:
            margin = margin._replace(
                subject=cause,
                value=float(len(late)),
                bound=float(LATE_ALLOWED),
                at=late[-1] if late else since,
            )
    if margin.value is None:
        return margin._replace(what="nothing crashed five runners")
    return margin
