"""What a search found: the closest days, findings, and counts."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import TypedDict

from search.choice import Played, is_beyond, measure
from search.day import write_day

CLOSEST = 5
"""Days that are written as files, besides the findings."""


class PlayRow(TypedDict):
    """A play, as the summary has it."""

    number: int
    parent: int
    change: str
    day: str
    seed: int
    distances: dict[str, float]
    broken: str
    died: str


class Summary(TypedDict):
    """What a search found.

    Attributes:
        rules: What led it, the first one first.
        seed: What it was drawn from.
        even: Whether nothing led it.
        plays: How many there were.
        first: Number of the first play beyond the first bound; None if
            there was none.
        findings: Numbers of plays that broke a rule or died.
        closest: Numbers of the closest plays, the closest first.
        rows: All plays.
    """

    rules: list[str]
    seed: int
    even: bool
    plays: int
    first: int | None
    findings: list[int]
    closest: list[int]
    rows: list[PlayRow]


def make_summary(
    results: Sequence[Played], rules: Sequence[str], seed: int, even: bool
) -> Summary:
    """Return what a search found."""
    beyond = [each for each in results if is_beyond(each.play, rules)]
    findings = [each for each in results if each.play.broken or each.play.died]
    return {
        "rules": list(rules),
        "seed": seed,
        "even": even,
        "plays": len(results),
        "first": beyond[0].trial.number if beyond else None,
        "findings": [each.trial.number for each in findings],
        "closest": [
            each.trial.number for each in find_closest(results, rules)
        ],
        "rows": [_make_row(each) for each in results],
    }


def find_closest(
    results: Sequence[Played], rules: Sequence[str]
) -> list[Played]:
    """Return the closest plays that were whole, the closest first."""
    whole = [each for each in results if not each.play.died]
    whole.sort(key=lambda each: measure(each.play, rules))
    return whole[:CLOSEST]


def write_all(
    folder: Path,
    results: Sequence[Played],
    summary: Summary,
) -> None:
    """Write the summary, and the days of closest plays and of findings."""
    by_number = {each.trial.number: each for each in results}
    names = {
        number: f"closest-{rank}"
        for rank, number in enumerate(summary["closest"], 1)
    }
    names |= {number: f"finding-{number}" for number in summary["findings"]}
    for number, name in names.items():
        played = by_number[number]
        day = played.trial.day
        text = write_day(day, f"{describe(played)}; seed {day.seed}")
        (folder / f"{name}.toml").write_text(text)
    (folder / "summary.json").write_text(json.dumps(summary, indent=1) + "\n")
    (folder / "summary.txt").write_text(format_summary(results, summary))


def format_summary(results: Sequence[Played], summary: Summary) -> str:
    """Return a summary as text."""
    by_number = {each.trial.number: each for each in results}
    way = "even draws" if summary["even"] else "guided"
    first = summary["first"] or "none"
    lines = [
        f"{summary['plays']} plays, {way}, seed {summary['seed']}, "
        f"{len(summary['findings'])} findings",
        f"first play beyond the bound of {summary['rules'][0]!r}: {first}",
    ]
    for title, numbers in (
        ("closest", summary["closest"]),
        ("finding", summary["findings"]),
    ):
        lines += [f"{title}: {describe(by_number[each])}" for each in numbers]
    return "\n".join(lines) + "\n"


def describe(played: Played) -> str:
    """Return a play in one line."""
    trial, play = played
    line = f"play {trial.number}, day {trial.day.name}, seed {trial.day.seed}"
    line += f", from {trial.parent}" if trial.parent else ""
    line += f", {trial.change}: "
    line += f"BROKEN {play.broken}; " if play.broken else ""
    line += f"DIED {play.died}; " if play.died else ""
    # A comment in a day's file has to stay one line.
    return " ".join((line + "; ".join(play.told)).split())


def _make_row(played: Played) -> PlayRow:
    trial, play = played
    return {
        "number": trial.number,
        "parent": trial.parent,
        "change": trial.change,
        "day": trial.day.name,
        "seed": trial.day.seed,
        "distances": play.distances,
        "broken": play.broken,
        "died": play.died,
    }
