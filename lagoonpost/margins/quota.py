"""How much of its promised quota a workspace used within a window."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from lagoonpost.margins.line import Line, RequestEnd
from lagoonpost.margins.margin import Margin
from lagoonpost.systems.quota_limit import TOLERANCE_SHARE

_EXECUTED_OUTCOMES = frozenset({"whole", "began", "moved", "broken", "silent"})
"""Outcomes of offers that may have run."""
_LIMIT_INDEX = 3
"""Where a request's line has the limit that its gateway kept to."""

QUOTA_RULE = "part of a quota used in a window"


class _QuotaUse(NamedTuple):
    at: float
    units: float
    line: Line[RequestEnd]


def find_quota_use(
    requests: Iterable[Line[RequestEnd]],
    window: float | None,
    overage: float | None,
    slack: float | None,
) -> Margin:
    """Return the largest part of a workspace's quota used in a window.

    What is promised is told from the largest limit that a gateway kept to:
    one that hears all others keeps to the quota and a part of the
    tolerance. Where none heard all, the quota is taken for smaller.
    Requests count from their arrival, so that a window may have more of
    them than their runners began within it.

    Args:
        requests: In any order.
        window: Seconds over which use is counted.
        overage: Part of a quota that may be used beyond it.
        slack: Units that may be used beyond that.
    """
    margin = Margin(QUOTA_RULE, bound=1.0, unit="", sense="at most")
    if window is None or overage is None or slack is None:
        return margin._replace(untold="no line says over which window")
    uses: dict[str, list[_QuotaUse]] = {}
    limits: dict[str, dict[int, float]] = {}
    for line in requests:
        said = line.message
        if len(said.quota) <= _LIMIT_INDEX:
            continue
        by_version = limits.setdefault(said.workspace, {})
        limit = max(
            by_version.get(said.version, 0.0), said.quota[_LIMIT_INDEX]
        )
        by_version[said.version] = limit
        if said.units and _may_have_run(said):
            use = _QuotaUse(line.at - said.took, said.units, line)
            uses.setdefault(said.workspace, []).append(use)
    for workspace, held in sorted(uses.items()):
        promised = {
            version: compute_allowance(limit, overage, slack)
            for version, limit in limits[workspace].items()
        }
        margin = _find_fullest(margin, workspace, held, promised, window)
    if margin.value is None:
        return margin._replace(what="no request of a workspace with a quota")
    return margin


def _may_have_run(said: RequestEnd) -> bool:
    outcomes = {step.split(":")[1] for step in said.steps if ":" in step}
    return not outcomes.isdisjoint(_EXECUTED_OUTCOMES)


def compute_allowance(limit: float, overage: float, slack: float) -> float:
    """Return what a workspace may use, from the limit that is kept to.

    Args:
        limit: Units that a gateway which hears all others lets through.
        overage: Part of a quota that may be used beyond it.
        slack: Units that may be used beyond that.
    """
    quota = (limit - TOLERANCE_SHARE * slack) / (1 + TOLERANCE_SHARE * overage)
    return max(0.0, quota) * (1 + overage) + slack


def _find_fullest(
    margin: Margin,
    workspace: str,
    uses: list[_QuotaUse],
    promised: dict[int, float],
    window: float,
) -> Margin:
    """Return the margin with the fullest window, if it is this workspace's.

    While a window has requests judged by several configurations, the
    highest of their promises holds.
    """
    uses.sort(key=lambda each: each.at)
    versions: Counter[int] = Counter()
    total = 0.0
    first = 0
    best = margin.value or 0.0
    found: tuple[int, int] | None = None
    for last, use in enumerate(uses):
        versions[use.line.message.version] += 1
        total += use.units
        while uses[first].at <= use.at - window:
            total -= uses[first].units
            versions[uses[first].line.message.version] -= 1
            first += 1
        most = max(promised[each] for each, n in versions.items() if n)
        if most > 0 and total / most > best:
            best, found = total / most, (first, last + 1)
    if found is None:
        return margin
    inside = uses[slice(*found)]
    units = sum(each.units for each in inside)
    gateways = sorted({each.line.gateway for each in inside})
    return margin._replace(
        subject=workspace,
        value=best,
        at=inside[-1].at,
        what=f"{units:.0f} of {units / best:.0f} units in {window:g} s",
        gateways=tuple(gateways),
    )
