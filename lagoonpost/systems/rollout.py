"""One gateway's part in the version moves under way.

Pattern of load: all gateways move a service's traffic at the same time, each
sees a part of the requests, and what one sees of a fault has to count on all.

What goes wrong without it: each gateway alone needs as much evidence as all
together, so that a fault harms as many requests on each of them.

How it decides: gateways count bad requests by route, question and version
over intervals of ``INTERVAL_SECONDS`` on the common clock, and gossip the
counts of an interval once, when it is over. An interval is judged one
interval later, when gossip has brought all counts; what comes later still
is left out, which loses evidence and harms nobody. Any gateway that finds
the version worse trips the move for all.
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
    """How one attempt of a request went.

    Attributes:
        route: Route of the request.
        version: Version that ran it.
        share: Chance that the new version had when it was sent.
        failed: Whether the runner failed under it.
        slow: Whether it missed its route's target.
    """

    route: str
    version: str
    share: float
    failed: bool
    slow: bool


class Tally(NamedTuple):
    """Bad requests of one route and question in one interval."""

    route: str
    criterion: Criterion
    counts: Counts


class Report(NamedTuple):
    """What one gateway saw of a move in one interval."""

    gateway: str
    interval: int
    tallies: tuple[Tally, ...]


class _Kind(NamedTuple):
    route: str
    criterion: Criterion
    share: float
    is_new: bool


def find_interval(now: float) -> int:
    """Return the number of the interval that ``now`` lies in."""
    return int(now // INTERVAL_SECONDS)


class Rollout:
    """Evidence on one move, as this gateway knows it.

    Attributes:
        row: The move.
    """

    def __init__(self, row: MoveRow, routes: int) -> None:
        self.row = row
        self._questions = routes * len(CRITERIA)
        self._intervals = max(1.0, (row.end - row.started) / INTERVAL_SECONDS)
        self._own: dict[int, Counter[_Kind]] = {}
        self._heard: dict[int, dict[str, Report]] = {}
        self._evidence: dict[tuple[str, Criterion], Evidence] = {}
        self._judged = find_interval(row.started) - 1

    def record(self, outcome: Outcome, now: float) -> None:
        """Count an attempt that has ended."""
        move = self.row.move
        if outcome.version not in (move.from_version, move.to_version):
            return
        is_new = outcome.version == move.to_version
        interval = find_interval(now)
        own = self._own.setdefault(interval, Counter())
        asked: Mapping[Criterion, bool] = {
            "failed": outcome.failed,
            "slow": outcome.slow,
        }
        for question, bad in asked.items():
            if bad:
                kind = _Kind(outcome.route, question, outcome.share, is_new)
                own[kind] += 1

    def close_intervals(self, gateway: str, now: float) -> list[Report]:
        """Return the reports of own intervals that are over."""
        over = [each for each in self._own if each < find_interval(now)]
        reports = []
        for interval in sorted(over):
            counted = self._own.pop(interval)
            tallies = _make_tallies(counted)
            if tallies:
                reports.append(Report(gateway, interval, tallies))
        return reports

    def add_report(self, report: Report) -> None:
        """Take in a gateway's report, this one's included."""
        if report.interval > self._judged:
            heard = self._heard.setdefault(report.interval, {})
            heard[report.gateway] = report

    def evaluate(self, now: float) -> bool:
        """Judge what is complete; True if the move trips by it."""
        last = find_interval(now) - 2
        while self._judged < last and self.row.outcome == "moving":
            self._judged += 1
            reports = self._heard.pop(self._judged, {})
            if self._add(reports):
                return True
        return False

    def roll_back(self, reason: str, now: float) -> MoveRow:
        """Take the move back and return its row."""
        self.row = roll_back(self.row, reason, now)
        return self.row

    def merge(self, row: MoveRow) -> bool:
        """Take in another gateway's row; True if it changed this one."""
        merged = merge_moves(self.row, row)
        changed = merged != self.row
        self.row = merged
        return changed

    def describe_evidence(self) -> str:
        """Name the route and question with the most evidence."""
        if not self._evidence:
            return "no bad request"
        (route, question), _ = max(
            self._evidence.items(), key=lambda item: max(item[1].log_sums)
        )
        return f"{question} on {route}"

    def _add(self, reports: Mapping[str, Report]) -> bool:
        ratios: dict[tuple[str, Criterion], list[tuple[float, ...]]] = {}
        for report in reports.values():
            for route, question, counts in report.tallies:
                asked = ratios.setdefault((route, question), [])
                asked.append(compute_log_ratios(counts))
        for key in self._evidence.keys() | ratios.keys():
            self._evidence[key] = add_interval(
                self._evidence.get(key, Evidence()),
                ratios.get(key, ()),
                self._intervals,
            )
        return any(
            is_worse(evidence, self._questions)
            for evidence in self._evidence.values()
        )


def _make_tallies(counted: Mapping[_Kind, int]) -> tuple[Tally, ...]:
    asked = sorted({kind._replace(is_new=True) for kind in counted})
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
        for kind in asked
    )
