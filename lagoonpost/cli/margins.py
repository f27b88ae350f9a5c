"""The ``margins`` command, which reports how close each bound came."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from lagoonpost.cli.option import ExitCode, fail, logs_option
from lagoonpost.margins.duties import Tenure, list_tenures
from lagoonpost.margins.line import Dropped, LeaseChange
from lagoonpost.margins.log_reader import LogError, Logs, read_logs
from lagoonpost.margins.margin import Margin
from lagoonpost.margins.rules import find_margins

MAX_NAMED_GATEWAYS = 4
"""Rows that concern more gateways show only their number."""

_MARGIN_COLUMNS = (
    "rule",
    "subject",
    "value",
    "bound",
    "distance",
    "at",
    "case",
)
_TENURE_COLUMNS = (
    "from",
    "until",
    "seconds",
    "holder",
    "fence",
    "taken",
    "end",
)


@click.command()
@logs_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def margins(paths: tuple[Path, ...], as_json: bool) -> None:
    """Show the value closest to each bound, from gateways' logs.

    A distance is how far a value is from its bound; it is below 0 beyond
    the bound. Times are seconds since the first line, or as written in a log
    that several gateways share.

    Example: lagoonpost margins --logs a.log --logs b.log
    """
    try:
        logs = read_logs(paths)
    except LogError as error:
        raise fail(str(error), ExitCode.FAILED) from error
    found_margins = find_margins(logs)
    tenures = list_tenures(logs.find(LeaseChange))
    dropped = sum(drop.message.lines for drop in logs.find(Dropped))
    if as_json:
        click.echo(
            json.dumps(make_document(logs, found_margins, tenures, dropped))
        )
        return
    click.echo(
        format_table(
            _MARGIN_COLUMNS,
            [_format_margin(margin, logs) for margin in found_margins],
        )
    )
    if tenures:
        rows = [_format_tenure(tenure, logs) for tenure in tenures]
        click.echo(f"\n{format_table(_TENURE_COLUMNS, rows)}")
    if dropped:
        click.echo(
            f"\n{dropped} lines are missing, as their reader was slow; "
            "what they tell is not in the table"
        )


def make_document(
    logs: Logs,
    found_margins: list[Margin],
    tenures: list[Tenure],
    dropped: int,
) -> dict[str, Any]:
    """Return all results as a JSON-serializable document."""
    return {
        "start": logs.start,
        "dropped": dropped,
        "margins": [
            {**margin._asdict(), "distance": margin.distance}
            for margin in found_margins
        ],
        "tenures": [
            {**tenure._asdict(), "seconds": tenure.seconds}
            for tenure in tenures
        ],
    }


def format_table(head: Sequence[str], rows: list[list[str]]) -> str:
    """Format rows as a table whose columns fit their widest cells."""
    table = [list(head), *rows]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in table
    )


def _format_margin(margin: Margin, logs: Logs) -> list[str]:
    value = _format_number(margin.value, margin.unit)
    if margin.sense and margin.value is not None:
        value = f"{margin.sense} {value}"
    at = _format_time(margin.at, logs)
    if margin.untold:
        case = f"not told by the logs: {margin.untold}"
    else:
        case = f"{margin.what}{_format_gateways(margin.gateways)}"
    bound = _format_number(margin.bound, margin.unit)
    distance = _format_number(margin.distance, margin.unit)
    return [margin.rule, margin.subject, value, bound, distance, at, case]


def _format_gateways(gateways: tuple[str, ...]) -> str:
    if not gateways:
        return ""
    if len(gateways) > MAX_NAMED_GATEWAYS:
        return f" [{len(gateways)} gateways]"
    return f" [{', '.join(gateways)}]"


def _format_tenure(tenure: Tenure, logs: Logs) -> list[str]:
    return [
        _format_time(tenure.since, logs),
        _format_time(tenure.until, logs),
        _format_number(tenure.seconds, ""),
        tenure.holder,
        str(tenure.fence),
        tenure.taken or "-",
        tenure.ended or ("-" if tenure.until else "not told by the logs"),
    ]


def _format_number(value: float | None, unit: str) -> str:
    if value is None:
        return "-"
    text = f"{value:d}" if isinstance(value, int) else f"{value:.3f}"
    return f"{text} {unit}".rstrip()


def _format_time(at: float | None, logs: Logs) -> str:
    return "-" if at is None else f"{at - logs.start:.3f}"
