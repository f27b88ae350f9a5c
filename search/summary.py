"""Summary of a search: the closest days, findings and counts."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

from search.day import write_day
from search.selection import TrialResult, is_past_bound, sum_distances

CLOSEST = 5
"""Number of closest days written as files, besides the findings."""


class Summary(NamedTuple):
    """Results of a search.

    Attributes:
        rules: Rules searched for, the main one first.
        seed: Seed of the draws.
        even: Whether the draws were unguided.
        plays: Number of plays.
        first: Number of the first play past the first rule's bound.
        findings: Plays that broke a rule or failed.
        closest: Completed plays with the smallest distances, closest first.
    """

    rules: Sequence[str]
    seed: int
    even: bool
    plays: int
    first: int | None
    findings: list[TrialResult]
    closest: list[TrialResult]


def make_summary(
    results: Sequence[TrialResult], rules: Sequence[str], seed: int, even: bool
) -> Summary:
    """Return the summary of a search's results."""
    past_bound = [
        result for result in results if is_past_bound(result.play, rules)
    ]
    whole = [result for result in results if not result.play.died]
    whole.sort(key=lambda result: sum_distances(result.play, rules))
    return Summary(
        rules,
        seed,
        even,
        plays=len(results),
        first=past_bound[0].trial.number if past_bound else None,
        findings=[
            result
            for result in results
            if result.play.broken or result.play.died
        ],
        closest=whole[:CLOSEST],
    )


def write_all(
    folder: Path, results: Sequence[TrialResult], summary: Summary
) -> None:
    """Write the summary and the days of the closest plays and findings."""
    names = {f"closest-{n}": p for n, p in enumerate(summary.closest, 1)}
    names |= {f"finding-{p.trial.number}": p for p in summary.findings}
    for name, played in names.items():
        text = write_day(played.trial.day, describe_result(played))
        (folder / f"{name}.toml").write_text(text)
    document = summary._asdict() | {
        "findings": [result.trial.number for result in summary.findings],
        "closest": [result.trial.number for result in summary.closest],
        "rows": list(map(_make_row, results)),
    }
    (folder / "summary.json").write_text(json.dumps(document, indent=1) + "\n")
    (folder / "summary.txt").write_text(format_summary(summary))


def format_summary(summary: Summary) -> str:
    """Return a summary as text."""
    mode = "even draws" if summary.even else "guided"
    lines = [
        f"{summary.plays} plays, {mode}, seed {summary.seed}, "
        f"{len(summary.findings)} findings",
        f"first play beyond the bound of {summary.rules[0]!r}: "
        f"{summary.first or 'none'}",
        *(f"closest: {describe_result(result)}" for result in summary.closest),
        *(
            f"finding: {describe_result(result)}"
            for result in summary.findings
        ),
    ]
    return "\n".join(lines) + "\n"


def describe_result(played: TrialResult) -> str:
    """Return a result in one line, to fit a comment in a day's file."""
    trial, play = played
    line = f"play {trial.number}, day {trial.day.name}, seed {trial.day.seed}"
    line += f", from {trial.parent}" if trial.parent else ""
    line += f", {trial.change}: "
    line += f"BROKEN {play.broken}; " if play.broken else ""
    line += f"DIED {play.died}; " if play.died else ""
    return " ".join((line + "; ".join(play.told)).split())


def _make_row(played: TrialResult) -> dict[str, Any]:
    trial = played.trial._asdict()
    trial |= {"day": played.trial.day.name, "seed": played.trial.day.seed}
    return trial | played.play._asdict()
