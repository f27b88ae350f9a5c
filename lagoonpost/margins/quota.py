"""Share of its quota that a workspace used within a window."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from lagoonpost.margins.line import Line, RequestEnd
from lagoonpost.margins.margin import Margin
from lagoonpost.systems.quota_limit import TOLERANCE_SHARE

_LIMIT_INDEX = 2
"""Index of the limit that the gateway enforced in ``RequestEnd.quota``."""

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
    """Find the largest share of a workspace's quota used in a window.

    The allowance is derived from the largest limit that any gateway
    enforced. A gateway that receives the reports of all others enforces the
    quota plus a part of the tolerance. If no gateway received all reports,
    the allowance is underestimated. Each run counts when it begins, also a
    second or later one of a request.

    Args:
        requests: Ended requests in any order.
        window: Seconds over which usage is counted.
        overage: Share of the quota by which usage may exceed it.
        slack: Units by which usage may exceed the quota and its overage.
    """
    margin = Margin(QUOTA_RULE, bound=1.0, unit="", sense="at most")
    if window is None or overage is None or slack is None:
        return margin._replace(
            untold="the logs do not contain the quota window"
        )
    uses: dict[str, list[_QuotaUse]] = {}
    limits: dict[str, dict[int, float]] = {}
    for line in requests:
        message = line.message
        if len(message.quota) <= _LIMIT_INDEX:
            continue
        by_version = limits.setdefault(message.workspace, {})
        limit = max(
            by_version.get(message.version, 0.0), message.quota[_LIMIT_INDEX]
        )
        by_version[message.version] = limit
        for after, units in message.runs:
            use = _QuotaUse(line.at - message.took + after, units, line)
            uses.setdefault(message.workspace, []).append(use)
    for workspace, workspace_uses in sorted(uses.items()):
        allowances = {
            version: compute_allowance(limit, overage, slack)
            for version, limit in limits[workspace].items()
        }
        margin = _find_fullest(
            margin, workspace, workspace_uses, allowances, window
        )
    if margin.value is None:
        return margin._replace(
            what="no request belongs to a workspace with a quota"
        )
    return margin


def compute_allowance(limit: float, overage: float, slack: float) -> float:
    """Return the units that a workspace may use, from the enforced limit.

    Args:
        limit: Units admitted by a gateway with the reports of all others.
        overage: Share of the quota by which usage may exceed it.
        slack: Units by which usage may exceed the quota and its overage.
    """
    quota = (limit - TOLERANCE_SHARE * slack) / (1 + TOLERANCE_SHARE * overage)
    return max(0.0, quota) * (1 + overage) + slack


def _find_fullest(
    margin: Margin,
    workspace: str,
    uses: list[_QuotaUse],
    allowances: dict[int, float],
    window: float,
) -> Margin:
    """Return the margin of the workspace's fullest window if it is larger.

    In a window with requests under several configurations, the largest of
    their allowances applies.
    """
    uses.sort(key=lambda use: use.at)
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
        most = max(allowances[version] for version, n in versions.items() if n)
        if most > 0 and total / most > best:
            best, found = total / most, (first, last + 1)
    if found is None:
        return margin
    inside = uses[slice(*found)]
    units = sum(use.units for use in inside)
    gateways = sorted({use.line.gateway for use in inside})
    return margin._replace(
        subject=workspace,
        value=best,
        at=inside[-1].at,
        what=f"{units:.0f} of {units / best:.0f} units in {window:g} s",
        gateways=tuple(gateways),
    )
