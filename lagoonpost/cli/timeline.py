"""The ``timeline`` command, which lists changes from gateways' logs."""

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

import click

from lagoonpost.cli.explain import LogLine, read_log
from lagoonpost.cli.option import ExitCode, fail, logs_option

GROUP_SECONDS = 5.0
"""Time within which equal changes at several gateways count as one event. It
exceeds the longest time that a change may take to reach all gateways."""

Formatter = Callable[[dict[str, Any]], str]


def _format_cause(fields: dict[str, Any]) -> str:
    cause = fields.get("cause")
    return f" ({cause})" if cause else ""


_FORMATTERS: dict[str, Formatter] = {
    "lagoonpost:forwarding:started": lambda f: "started",
    "lagoonpost:forwarding:leaving": lambda f: "was told to stop",
    "lagoonpost:forwarding:stopped": lambda f: "stopped",
    "lagoonpost:forwarding:broken": lambda f: f"failed: {f['detail']}",
    "lagoonpost:forwarding:thawed": lambda f: "had been suspended",
    "lagoonpost:forwarding:reloaded": lambda f: "reloaded its settings",
    "lagoonpost:store:lost": lambda f: f"lost the store ({f['table']})",
    "lagoonpost:store:regained": lambda f: (
        f"regained the store ({f['table']})"
    ),
    "lagoonpost:store:history_lost": lambda f: "the store forgot its history",
    "lagoonpost:store:era": lambda f: (
        f"the store came back from an older copy (era {f['era']})"
    ),
    "lagoonpost:controller:lease": lambda f: (
        f"{f['holder']} {'holds' if f['held'] else 'lost'} the duties"
        f" with fence {f['fence']}{_format_cause(f)}"
    ),
    "lagoonpost:duties:contend": lambda f: (
        "contends for the duties"
        if f["wanted"]
        else f"leaves the duties to {', '.join(f['contenders'])}"
    ),
    "lagoonpost:duties:order": lambda f: (
        f"ordered {f['count']} {'reclaimable ' if f['spot'] else ''}runners "
        f"of {f['service']} in {f['failure_domain']}: {f['outcome']}"
    ),
    "lagoonpost:belief:configuration": lambda f: (
        f"configuration {f['version']} in force"
    ),
    "lagoonpost:belief:lapsing": lambda f: (
        f"entry of runner {f['runner']} is gone; held, as it may have lapsed"
    ),
    "lagoonpost:belief:runner": lambda f: f"runner {f['runner']} {f['state']}",
    "lagoonpost:peers:member": lambda f: f"{f['member']} is {f['state']}",
    "lagoonpost:shift:phase": lambda f: (
        f"{f['service']} to version {f['to']}: {f['phase']}"
    ),
}

_RUNNER_KINDS = ("lagoonpost:belief:lapsing", "lagoonpost:belief:runner")


class Event(NamedTuple):
    """One change that one or more gateways logged.

    Attributes:
        at: Time of the first log message, in seconds since the epoch.
        text: Description of the change.
        gateways: Names of the logs that contain the change.
        spread: Seconds from the first to the last log message.
    """

    at: float
    text: str
    gateways: tuple[str, ...]
    spread: float


def group_events(lines: Iterable[LogLine]) -> list[Event]:
    """Group equal changes into events, ordered by their first message.

    Args:
        lines: Messages from the logs of all gateways.
    """
    events: list[Event] = []
    latest_index_by_text: dict[str, int] = {}
    for line in sorted(lines, key=lambda line: line.at):
        formatter = _FORMATTERS.get(line.kind)
        if formatter is None:
            continue
        text = formatter(line.fields)
        index = latest_index_by_text.get(text)
        if index is None or line.at > events[index].at + GROUP_SECONDS:
            latest_index_by_text[text] = len(events)
            events.append(Event(line.at, text, (line.source,), 0.0))
            continue
        event = events[index]
        if line.source not in event.gateways:
            events[index] = event._replace(
                gateways=(*event.gateways, line.source),
                spread=line.at - event.at,
            )
    return events


def format_event(event: Event, start: float) -> str:
    """Format an event as one line.

    Args:
        event: The event.
        start: Time of the first event, in seconds since the epoch.
    """
    gateway_names = ", ".join(
        name.removesuffix(".log") for name in event.gateways
    )
    location = gateway_names
    if len(event.gateways) > 1:
        location = (
            f"{len(event.gateways)} gateways within {event.spread:.2f} s"
        )
    return f"{event.at - start:9.2f} s  {event.text}  [{location}]"


@click.command()
@logs_option
@click.option(
    "--runners/--no-runners", default=True, help="Include changes of runners."
)
def timeline(paths: tuple[Path, ...], runners: bool) -> None:
    """List the changes that all gateways logged, in chronological order.

    Example: lagoonpost timeline --logs a.log --logs b.log
    """
    lines = [line for path in paths for line in read_log(path)]
    if not runners:
        lines = [line for line in lines if line.kind not in _RUNNER_KINDS]
    events = group_events(lines)
    if not events:
        raise fail("no log names a change", ExitCode.NOT_FOUND)
    for event in events:
        click.echo(format_event(event, events[0].at))
