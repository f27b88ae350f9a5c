"""The ``margins`` command: what came nearest to each bound, from logs."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from lagoonpost.cli.option import ExitCode, fail, logs_option
from lagoonpost.margins.duties import Tenure, list_tenures
from lagoonpost.margins.finding import find_margins
from lagoonpost.margins.line import Dropped, LeaseChange
from lagoonpost.margins.margin import Margin
from lagoonpost.margins.reading import LogError, Logs, read_logs

MAX_NAMED_GATEWAYS = 4
"""Gateways that a row of the table names; of more it has the number."""

_HEAD = ("rule", "subject", "value", "bound", "distance", "at", "case")
_TENURE_HEAD = ("from", "until", "seconds", "holder", "fence", "taken", "end")


@click.command()
@logs_option
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def margins(paths: tuple[Path, ...], as_json: bool) -> None:
    """Tell what came nearest to each bound, from gateways' logs.

    A distance is how far a value is from its bound, below 0 if beyond it.
    Times are seconds from the first line, or those that stand in a log of
    many gateways.

    Example: lagoonpost margins --logs a.log --logs b.log
    """
    try:
        logs = read_logs(paths)
    except LogError as error:
        raise fail(str(error), ExitCode.FAILED) from error
    found = find_margins(logs)
    tenures = list_tenures(logs.find(LeaseChange))
    dropped = sum(each.message.lines for each in logs.find(Dropped))
    if as_json:
        click.echo(json.dumps(make_document(logs, found, tenures, dropped)))
        return
    click.echo(format_table(_HEAD, [_row(each, logs) for each in found]))
    if tenures:
        rows = [_tenure_row(each, logs) for each in tenures]
        click.echo(f"\n{format_table(_TENURE_HEAD, rows)}")
    if dropped:
        click.echo(
            f"\n{dropped} lines are missing, as their reader was slow; "
            "what they tell is not in the table"
        )


def make_document(
    logs: Logs, found: list[Margin], tenures: list[Tenure], dropped: int
) -> dict[str, Any]:
    """Return all that was found, as a program reads it."""
    return {
        "start": logs.start,
        "dropped": dropped,
        "margins": [
            {**each._asdict(), "distance": each.distance} for each in found
        ],
        "tenures": [
            {**each._asdict(), "seconds": each.seconds} for each in tenures
        ],
    }


def format_table(head: Sequence[str], rows: list[list[str]]) -> str:
    """Return rows as text, with columns as wide as they need."""
    table = [list(head), *rows]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in table
    )


def _row(margin: Margin, logs: Logs) -> list[str]:
    value = _number(margin.value, margin.unit)
    if margin.sense and margin.value is not None:
        value = f"{margin.sense} {value}"
    at = _time(margin.at, logs)
    if margin.untold:
        case = f"not told by the logs: {margin.untold}"
    else:
        case = f"{margin.what}{_name(margin.gateways)}"
    bound = _number(margin.bound, margin.unit)
    distance = _number(margin.distance, margin.unit)
    return [margin.rule, margin.subject, value, bound, distance, at, case]


def _name(gateways: tuple[str, ...]) -> str:
    if not gateways:
        return ""
    if len(gateways) > MAX_NAMED_GATEWAYS:
        return f" [{len(gateways)} gateways]"
    return f" [{', '.join(gateways)}]"


def _tenure_row(tenure: Tenure, logs: Logs) -> list[str]:
    return [
        _time(tenure.since, logs),
        _time(tenure.until, logs),
        _number(tenure.seconds, ""),
        tenure.holder,
        str(tenure.fence),
        tenure.taken or "-",
        tenure.ended or ("-" if tenure.until else "not told by the logs"),
    ]


def _number(value: float | None, unit: str) -> str:
    if value is None:
        return "-"
    text = f"{value:d}" if isinstance(value, int) else f"{value:.3f}"
    return f"{text} {unit}".rstrip()


def _time(at: float | None, logs: Logs) -> str:
    return "-" if at is None else f"{at - logs.start:.3f}"
