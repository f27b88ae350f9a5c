"""One gateway's share of the evidence on version rollouts in progress.

Load pattern: all gateways shift a service's traffic at the same time. Each
observes only a part of the requests, while a fault that one of them observes
has to count for all.

Without it, each gateway alone needs as much evidence as all of them together,
so that a faulty version harms that many requests on every gateway.

Gateways count bad requests by route, criterion and version over intervals of
``INTERVAL_SECONDS`` on the common clock, and gossip the counts of an interval
once, when it has ended. An interval is evaluated one interval later, when
gossip has delivered all counts. Counts that arrive later still are ignored,
which loses evidence but harms no caller. Any gateway that finds the new
version worse rolls it back for all.
"""

from collections import Counter
from collections.abc import Mapping
from typing import Literal, NamedTuple

from lagoonpost.systems.evidence import (
    INTERVAL_SECONDS,
    Counts,
    Evidence,
    add_interval,
    compute_log_ratios,
    is_worse,
)
from lagoonpost.systems.move import MoveRow, merge_moves, roll_back

Criterion = Literal["failed", "slow"]
CRITERIA: tuple[Criterion, ...] = ("failed", "slow")


class Outcome(NamedTuple):
    """Outcome of one attempt of a request.

    Attributes:
        route: Route of the request.
        version: Version that ran the request.
        share: Probability of choosing the new version when the request was
            sent.
        failed: Whether the runner failed during the attempt.
        slow: Whether the attempt missed its route's latency target.
    """

    route: str
    version: str
    share: float
    failed: bool
    slow: bool


class Tally(NamedTuple):
    """Bad requests by one route and criterion in one interval."""

    route: str
    criterion: Criterion
    counts: Counts


class Report(NamedTuple):
    """Bad requests that one gateway counted in one interval."""

    gateway: str
    interval: int
    tallies: tuple[Tally, ...]


class _Kind(NamedTuple):
    route: str
    criterion: Criterion
    share: float
    is_new: bool


def find_interval(now: float) -> int:
    """Return the number of the interval that contains ``now``."""
    return int(now // INTERVAL_SECONDS)


class Rollout:
    """Evidence on one version move, as known to this gateway.

    Attributes:
        row: State of the move.
    """

    def __init__(self, row: MoveRow, routes: int) -> None:
        self.row = row
        self._criteria = routes * len(CRITERIA)
        self._intervals = max(1.0, (row.end - row.started) / INTERVAL_SECONDS)
        self._own: dict[int, Counter[_Kind]] = {}
        self._reports: dict[int, dict[str, Report]] = {}
        self._evidence: dict[tuple[str, Criterion], Evidence] = {}
        self._last_evaluated = find_interval(row.started) - 1

    def record(self, outcome: Outcome, now: float) -> None:
        """Count an attempt that has ended."""
        move = self.row.move
        if outcome.version not in (move.from_version, move.to_version):
            return
        is_new = outcome.version == move.to_version
        interval = find_interval(now)
        own = self._own.setdefault(interval, Counter())
        findings: Mapping[Criterion, bool] = {
            "failed": outcome.failed,
            "slow": outcome.slow,
        }
        for criterion, bad in findings.items():
            if bad:
                kind = _Kind(outcome.route, criterion, outcome.share, is_new)
                own[kind] += 1

    def close_intervals(self, gateway: str, now: float) -> list[Report]:
        """Return this gateway's reports on intervals that have ended."""
        ended = [key for key in self._own if key < find_interval(now)]
        reports = []
        for interval in sorted(ended):
            counted = self._own.pop(interval)
            tallies = _make_tallies(counted)
            if tallies:
                reports.append(Report(gateway, interval, tallies))
        return reports

    def add_report(self, report: Report) -> None:
        """Add a gateway's report, including this gateway's own."""
        if report.interval > self._last_evaluated:
            reports = self._reports.setdefault(report.interval, {})
            reports[report.gateway] = report

    def evaluate(self, now: float) -> bool:
        """Evaluate the complete intervals.

        Returns:
            True if the evidence requires a rollback.
        """
        last = find_interval(now) - 2
        while self._last_evaluated < last and self.row.outcome == "moving":
            self._last_evaluated += 1
            reports = self._reports.pop(self._last_evaluated, {})
            if self._add(reports):
                return True
        return False

    def roll_back(self, reason: str, now: float) -> MoveRow:
        """Roll the move back and return its new row."""
        self.row = roll_back(self.row, reason, now)
        return self.row

    def merge(self, row: MoveRow) -> bool:
        """Merge another gateway's row; return True if this row changed."""
        merged = merge_moves(self.row, row)
        changed = merged != self.row
        self.row = merged
        return changed

    def describe_evidence(self) -> str:
        """Return the criterion and route with the most evidence."""
        if not self._evidence:
            return "no bad request"
        (route, criterion), _ = max(
            self._evidence.items(), key=lambda item: max(item[1].log_sums)
        )
        return f"{criterion} on {route}"

    def _add(self, reports: Mapping[str, Report]) -> bool:
        ratios: dict[tuple[str, Criterion], list[tuple[float, ...]]] = {}
        for report in reports.values():
            for route, criterion, counts in report.tallies:
                gathered = ratios.setdefault((route, criterion), [])
                gathered.append(compute_log_ratios(counts))
        for key in self._evidence.keys() | ratios.keys():
            self._evidence[key] = add_interval(
                self._evidence.get(key, Evidence()),
                ratios.get(key, ()),
                self._intervals,
            )
        return any(
            is_worse(evidence, self._criteria)
            for evidence in self._evidence.values()
        )


def _make_tallies(counted: Mapping[_Kind, int]) -> tuple[Tally, ...]:
    kinds = sorted({kind._replace(is_new=True) for kind in counted})
    return tuple(
        Tally(
            kind.route,
            kind.criterion,
            Counts(
                kind.share,
                counted.get(kind, 0),
                counted.get(kind._replace(is_new=False), 0),
            ),
        )
        for kind in kinds
    )
