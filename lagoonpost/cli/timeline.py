"""The ``timeline`` command: what changed in all gateways, in order of time."""

from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

import click

from lagoonpost.cli.explain import LogLine, read_log
from lagoonpost.cli.option import ExitCode, fail, logs_option

GROUP_SECONDS = 5.0
"""Time within which the same news at several gateways is one event: longer
than the worst that any news may take."""

Describe = Callable[[dict[str, Any]], str]


def _tell_cause(fields: dict[str, Any]) -> str:
    cause = fields.get("cause")
    return f" ({cause})" if cause else ""


_CHANGES: dict[str, Describe] = {
    "lagoonpost:forwarding:started": lambda f: "started",
    "lagoonpost:forwarding:leaving": lambda f: "was told to stop",
    "lagoonpost:forwarding:stopped": lambda f: "stopped",
    "lagoonpost:forwarding:broken": lambda f: f"failed: {f['detail']}",
    "lagoonpost:forwarding:thawed": lambda f: "had stood still",
    "lagoonpost:forwarding:reloaded": lambda f: "read its settings again",
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
        f" with fence {f['fence']}{_tell_cause(f)}"
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
    """One change, at whichever gateways it showed.

    Attributes:
        at: When it first showed, in seconds since the epoch.
        text: What changed.
        gateways: Names of the logs in which it stands.
        spread: Seconds from the first to the last of them.
    """

    at: float
    text: str
    gateways: tuple[str, ...]
    spread: float


def group_events(lines: Iterable[LogLine]) -> list[Event]:
    """Return all changes in the order in which they first showed."""
    events: list[Event] = []
    open_events: dict[str, int] = {}
    for line in sorted(lines, key=lambda each: each.at):
        describe = _CHANGES.get(line.kind)
        if describe is None:
            continue
        text = describe(line.fields)
        index = open_events.get(text)
        if index is None or line.at > events[index].at + GROUP_SECONDS:
            open_events[text] = len(events)
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
    """Return the line of one event."""
    names = ", ".join(each.removesuffix(".log") for each in event.gateways)
    where = names
    if len(event.gateways) > 1:
        where = f"{len(event.gateways)} gateways within {event.spread:.2f} s"
    return f"{event.at - start:9.2f} s  {event.text}  [{where}]"


@click.command()
@logs_option
@click.option("--runners/--no-runners", default=True, help="Tell of runners.")
def timeline(paths: tuple[Path, ...], runners: bool) -> None:
    """Tell what changed in all gateways, from their logs, by time.

    Example: lagoonpost timeline --logs a.log --logs b.log
    """
    lines = [line for path in paths for line in read_log(path)]
    if not runners:
        lines = [each for each in lines if each.kind not in _RUNNER_KINDS]
    events = group_events(lines)
    if not events:
        raise fail("no log names a change", ExitCode.NOT_FOUND)
    for event in events:
        click.echo(format_event(event, events[0].at))
