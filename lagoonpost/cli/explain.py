"""The ``explain`` command: what one request met, from gateways' logs alone."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec

from lagoonpost.cli.option import ExitCode, fail, logs_option

CONTEXT_SECONDS = 10.0
"""How far back a belief may have changed that still decided something: a lost
runner is passed over for four seconds, a drought lasts some more."""

_OUTCOMES = {
    "answered": "a runner answered, and its answer was passed on whole",
    "broken_off": "a stream had begun, its runner was lost, and no other one "
    "could go on",
    "caller_gone": "the caller closed its connection before the answer ended",
    "over_quota": "refused: the workspace was over its quota",
    "no_configuration": "refused: the gateway had just started and knew no "
    "configuration",
    "no_route": "refused: no route of the configuration in force leads there",
    "no_key": "refused: no workspace of the configuration in force has the "
    "key",
    "no_runner": "refused: no runner of the service served",
    "runners_full": "refused: each runner that was asked was full",
    "unreachable": "refused: no runner that was asked could be connected to",
    "not_sent": "refused: its time was over before a runner took it",
    "timeout": "its time was over while a runner may have been at work on it",
    "answer_lost": "a runner may have run it, and its answer did not come",
    "quarantined": "refused: runners crashed three times while they ran it",
}
_OFFERS = {
    "whole": "answered whole",
    "began": "began a stream",
    "notrun": "said that it did not run it",
    "broken": "ended the connection before a whole answer",
    "silent": "said nothing for so long that it was taken to be lost",
    "unreachable": "could not be connected to",
    "moved": "stopped the run, which went on at another runner",
}
_STEPS = {
    "timeout": "the time for it was over",
    "no_budget": "the budget of repeats was used up: many failed at once",
}
_CONTEXT = {
    "lagoonpost:store:unanswered": "a call to the store got no answer",
    "lagoonpost:store:lost": "the store no longer answered this gateway",
    "lagoonpost:store:regained": "the store answered this gateway again",
    "lagoonpost:store:history_lost": "the store had forgotten its history",
    "lagoonpost:forwarding:thawed": "this host had stood still",
    "lagoonpost:forwarding:started": "this gateway started",
    "lagoonpost:forwarding:leaving": "this gateway was told to stop",
    "lagoonpost:belief:configuration": "a newer configuration came in force",
    "lagoonpost:shift:phase": "a service's move to a version went on",
}
REQUEST_TYPE = "lagoonpost:forwarding:request"
RUNNER_TYPE = "lagoonpost:belief:runner"
ORDER_TYPE = "lagoonpost:duties:order"
MOVED_TYPE = "lagoonpost:forwarding:moved"


class LogLine(NamedTuple):
    """One line of a log.

    Attributes:
        source: Name of the log's file.
        at: Seconds since the epoch, by the clock of its host.
        kind: Type of the message.
        fields: The whole message.
    """

    source: str
    at: float
    kind: str
    fields: dict[str, Any]


def read_log(path: Path) -> Iterator[LogLine]:
    """Yield the lines of one log; what is no message is passed over."""
    with path.open("rb") as log:
        for raw in log:
            try:
                fields = msgspec.json.decode(raw, type=dict[str, Any])
            except msgspec.DecodeError:
                # A line that was cut off by the end of the process.
                continue
            kind = str(fields.get("message_type", ""))
            yield LogLine(
                path.name, float(fields.get("timestamp", 0)), kind, fields
            )


def explain_request(request: str, lines: Iterable[LogLine]) -> list[str]:
    """Return what a request met, as sentences in the order of time.

    Args:
        request: Its id.
        lines: All lines of some gateways' logs.
    """
    held = list(lines)
    told: list[str] = []
    for line in held:
        if line.kind == REQUEST_TYPE and line.fields.get("request") == request:
            told += _explain(line, held)
    return told


def _explain(line: LogLine, lines: list[LogLine]) -> list[str]:
    fields = line.fields
    began = line.at - float(fields.get("took") or 0.0)
    outcome = str(fields["outcome"])
    told = [
        f"{line.source}: request {fields['request']} on route "
        f"{fields['route'] or '(none)'} of workspace "
        f"{fields['workspace'] or '(none)'}, by configuration "
        f"{fields['version']}"
    ]
    told += _tell_context(line, lines, began)
    told += [f"  {_tell_step(step)}" for step in fields["steps"]]
    told.append(
        f"  after {fields['took']} s: {fields['status'] or 'no status'}, "
        f"{outcome}: {_OUTCOMES.get(outcome, outcome)}"
    )
    return told


def _tell_step(step: str) -> str:
    runner, _, rest = step.partition(":")
    outcome, _, seconds = rest.partition(":")
    if outcome not in _OFFERS:
        return _STEPS.get(step, step)
    predicted = f"predicted to begin in {seconds} s"
    return f"offered to {runner} ({predicted}): it {_OFFERS[outcome]}"


def _tell_context(
    line: LogLine, lines: list[LogLine], began: float
) -> list[str]:
    """Return what this gateway learned shortly before and meanwhile."""
    runners = {step.partition(":")[0] for step in line.fields["steps"]}
    told = []
    for each in lines:
        age = began - each.at
        if not -float(line.fields["took"]) <= age <= CONTEXT_SECONDS:
            continue
        text = _tell_move(each, line) or _tell_change(
            each, runners, line.source
        )
        if text:
            when = f"{age:.1f} s before" if age > 0 else f"{-age:.1f} s after"
            told.append(f"  {when} its arrival: {text}")
    return told


def _tell_move(each: LogLine, line: LogLine) -> str:
    fields = each.fields
    if each.kind != MOVED_TYPE or fields["request"] != line.fields["request"]:
        return ""
    return (
        f"it was to leave its runner: {fields['outcome']}, "
        f"{fields['left']} s before that went"
    )


def _tell_change(each: LogLine, runners: set[str], source: str) -> str:
    fields = each.fields
    if each.kind == ORDER_TYPE and fields["outcome"] != "done":
        return f"an order of runners for {fields['service']} was not taken"
    if each.source != source:
        return ""
    if each.kind == RUNNER_TYPE:
        runner, state = str(fields["runner"]), str(fields["state"])
        if runner in runners or state != "ready":
            return (
                f"runner {runner} of {fields['service'] or 'its service'} "
                f"became known as {state}, from the {fields['source']}"
            )
        return ""
    return _CONTEXT.get(each.kind, "")


@click.command()
@click.argument("request")
@logs_option
def explain(request: str, paths: tuple[Path, ...]) -> None:
    """Tell what a REQUEST met, from the logs of forwarding gateways.

    Example: lagoonpost explain 9c41d07b --logs a.log --logs b.log
    """
    lines = [line for path in paths for line in read_log(path)]
    told = explain_request(request, sorted(lines, key=lambda each: each.at))
    if not told:
        raise fail(f"no log names the request {request}", ExitCode.NOT_FOUND)
    click.echo("\n".join(told))
