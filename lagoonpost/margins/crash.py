"""Requests that crash runners."""

from collections.abc import Iterable

from lagoonpost.margins.line import Conviction, Line, RunnerCrash
from lagoonpost.margins.margin import Margin
from lagoonpost.systems.request_causes import is_content

CRASH_RULE = "requests that crash runners, late after the fifth crash"
REPEAT_RULE = "one request that crashes runners, late after the third crash"
CRASHES_BEFORE, REPEATS_BEFORE = 5, 3
"""Crashes under one cause, and under one content, after which its requests
are counted."""
LATE_ALLOWED = 3
"""Requests that may reach runners later than the contact time after that."""
_UNTOLD = "the logs do not contain the contact time"


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
        return margin._replace(untold=_UNTOLD)
    causes = {line.message.cause for line in convictions}
    times = _list_times(crashes)
    return _find_worst(
        margin,
        {cause: times.get(cause, []) for cause in causes},
        CRASHES_BEFORE,
        contact,
    )


def find_late_repeats(
    crashes: Iterable[Line[RunnerCrash]], contact: float | None
) -> Margin:
    """Find the content with most requests that came late, convicted or not.

    Only requests under which a runner ended are in the logs.

    Args:
        crashes: Runs that were cut off by a crash, at all gateways.
        contact: Seconds after the third crash from which requests are late.
    """
    margin = Margin(REPEAT_RULE, unit="", sense="at least")
    if contact is None:
        return margin._replace(untold=_UNTOLD)
    contents = {
        cause: times
        for cause, times in _list_times(crashes).items()
        if is_content(cause)
    }
    return _find_worst(margin, contents, REPEATS_BEFORE, contact)


def _list_times(
    crashes: Iterable[Line[RunnerCrash]],
) -> dict[str, list[float]]:
    """Return the times of the crashes under each cause, one for a runner."""
    by_cause: dict[str, dict[str, float]] = {}
    for line in crashes:
        crash = line.message
        for cause in crash.causes:
            by_cause.setdefault(cause, {})[crash.runner] = crash.crashed
    return {cause: sorted(each.values()) for cause, each in by_cause.items()}


def _find_worst(
    margin: Margin,
    by_cause: dict[str, list[float]],
    before: int,
    contact: float,
) -> Margin:
    for cause, times in sorted(by_cause.items()):
        if len(times) < before:
            continue
        since = times[before - 1] + contact
        late = [at for at in times if at > since]
        if margin.value is None or len(late) > margin.value:
            margin = margin._replace(
                subject=cause,
                value=float(len(late)),
                bound=float(LATE_ALLOWED),
                at=late[-1] if late else since,
            )
    if margin.value is None:
        return margin._replace(what=f"nothing crashed {before} runners")
    return margin
