"""The ``explain`` command, which traces one request in gateways' logs."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec

from lagoonpost.cli.option import ExitCode, fail, logs_option

CONTEXT_SECONDS = 10.0
"""How long before a request a change is still reported as a possible cause.
Gateways avoid a lost runner for four seconds, and a shortage of runners lasts
longer."""

_OUTCOMES = {
    "answered": "the complete response of a runner was forwarded",
    "broken_off": "a stream had begun, its runner was lost, and no other "
    "runner could continue it",
    "caller_gone": "the caller closed its connection before the answer ended",
    "over_quota": "refused: the workspace was over its quota",
    "no_configuration": "refused: the gateway had just started and had no "
    "configuration yet",
    "no_route": "refused: no route of the configuration in force leads there",
    "no_key": "refused: no workspace of the configuration in force has the "
    "key",
    "no_runner": "refused: no runner of the service was available",
    "runners_full": "refused: every runner that was tried was at capacity",
    "runners_limited": "refused: the runners that were left took no more "
    "requests by the limits that they name, or were cold",
    "runners_rest": "refused: all runners of the service had asked this "
    "gateway for a rest",
    "overloaded": "refused: no runner could have begun before its deadline",
    "unreachable": "refused: no runner that was tried could be reached",
    "not_sent": "refused: its deadline passed before a runner accepted it",
    "timeout": "its time was over while a runner may have been at work on it",
    "answer_lost": "a runner may have executed it, but its response was lost",
    "quarantined": "refused: runners crashed three times while executing it",
    "crashes_runners": "refused: runners crashed under requests like it",
}
_OFFERS = {
    "whole": "answered whole",
    "began": "began a stream",
    "notrun": "said that it did not run it",
    "withdrawn": "was to go on for a silent runner, which went on first",
    "foreign": "sent something that is no answer to the request",
    "broken": "ended the connection before a whole answer",
    "silent": "sent nothing for so long that it was considered lost",
    "unreachable": "could not be connected to",
    "barred": "was not sent the request, as others like it crashed runners",
    "withheld": "was not sent the request, as it was leaving or had asked for "
    "a rest",
    "moved": "stopped the run, which went on at another runner",
}
_STEPS = {
    "timeout": "its deadline passed",
    "overload": "the work before it would have taken beyond its deadline",
    "over_share": "its service was short and its workspace asked for more "
    "than its share",
    "place": "it waited a little for a place, as it had returned",
    "memory": "it waited a little, as no runner had memory for it",
    "turn": "it waited until its runner, which was cold or named a limit, "
    "took another request",
    "rest": "it waited until a runner's rest was over",
    "no_budget": "the budget of repeats was used up: many failed at once",
}
_FOREIGN_REASONS = {
    "other_id": "the id of another request",
    "conflicting_ids": "ids that differ",
    "no_id": "no id of a request",
    "encoded": "an encoded body",
    "success_not_run": "a success that says that it has not run",
    "no_signature": "a success without a signature",
    "conflicting_signatures": "signatures that differ",
}
ORDER_STEP, ORDER_FIELDS = "order:", 7
_ORDER_ACTIONS = {
    "send": "sent among those in time",
    "send_later": "sent behind all that could still be in time",
    "wait": "kept at the gateway for a little",
    "refuse": "refused at once",
}
_OUTLOOKS = {
    "in_time": "it was expected in time",
    "late": "it was expected to be late",
    "too_late": "it was not expected to begin before its deadline",
    "hopeless": "it could not have begun before its deadline",
}
_STANDINGS = {
    "yields": ", and its workspace had more than its share or more urgent "
    "requests were being refused",
    "returns": ", and it had been refused or offered before",
}
_CONTEXT = {
    "lagoonpost:store:unanswered": "a call to the store got no response",
    "lagoonpost:store:lost": "the store no longer answered this gateway",
    "lagoonpost:store:regained": "the store answered this gateway again",
    "lagoonpost:store:history_lost": "the store had lost its history",
    "lagoonpost:forwarding:thawed": "this host had been suspended",
    "lagoonpost:forwarding:started": "this gateway started",
    "lagoonpost:forwarding:leaving": "this gateway was told to stop",
    "lagoonpost:belief:configuration": "a newer configuration came in force",
    "lagoonpost:belief:evacuation": "an evacuation was ordered or withdrawn",
    "lagoonpost:shift:phase": "a service's version move changed phase",
}
REQUEST_TYPE = "lagoonpost:forwarding:request"
RUNNER_TYPE = "lagoonpost:belief:runner"
ORDER_TYPE = "lagoonpost:duties:order"
COMPARED_PREFIX = "compared "
"""Beginning of the step that names the runners that were drawn."""
HOMES_PREFIX = "homes "
"""Beginning of the step that tells how many runners are to cache the shared
parts of a prompt, if there are several."""
FOREIGN_PREFIX = "foreign "
"""Beginning of the step that tells why what came back was no answer."""
MOVED_TYPE = "lagoonpost:forwarding:moved"


class LogLine(NamedTuple):
    """One message of a log.

    Attributes:
        source: Name of the log file.
        at: Seconds since the epoch, by the clock of the logging host.
        kind: Value of ``message_type``.
        fields: All fields of the message.
    """

    source: str
    at: float
    kind: str
    fields: dict[str, Any]


def read_log(path: Path) -> Iterator[LogLine]:
    """Yield the messages of one log; skip lines that are not valid JSON."""
    with path.open("rb") as log:
        for raw in log:
            try:
                fields = msgspec.json.decode(raw, type=dict[str, Any])
            except msgspec.DecodeError:
                # The last line is incomplete if the process was killed.
                continue
            kind = str(fields.get("message_type", ""))
            yield LogLine(
                path.name, float(fields.get("timestamp", 0)), kind, fields
            )


def explain_request(request: str, lines: Iterable[LogLine]) -> list[str]:
    """Describe the course of a request, one step per string.

    Args:
        request: Id of the request.
        lines: Messages from the logs of one or more gateways.

    Returns:
        Descriptions in chronological order; empty if no log contains the
        request.
    """
    log_lines = list(lines)
    sentences: list[str] = []
    for line in log_lines:
        if line.kind == REQUEST_TYPE and line.fields.get("request") == request:
            sentences += _explain_line(line, log_lines)
    return sentences


def _explain_line(line: LogLine, lines: list[LogLine]) -> list[str]:
    fields = line.fields
    began = line.at - float(fields.get("took") or 0.0)
    outcome = str(fields["outcome"])
    sentences = [
        f"{line.source}: request {fields['request']} on route "
        f"{fields['route'] or '(none)'} of workspace "
        f"{fields['workspace'] or '(none)'}, by configuration "
        f"{fields['version']}"
    ]
    sentences += _describe_context(line, lines, began)
    sentences += [f"  {_describe_step(step)}" for step in fields["steps"]]
    sentences.append(
        f"  after {fields['took']} s: {fields['status'] or 'no status'}, "
        f"{outcome}: {_OUTCOMES.get(outcome, outcome)}"
    )
    return sentences


def _describe_order(step: str) -> str:
    """Describe what the order of requests decided."""
    _, action, outlook, standing, *figures = step.split(":")
    first_byte, objective, wait, left = figures
    return (
        f"{_ORDER_ACTIONS.get(action, action)}: {_OUTLOOKS.get(outlook, '')}"
        f"{_STANDINGS.get(standing, '')} (first byte expected in "
        f"{first_byte} s, due in {objective} s; behind all others it would "
        f"wait {wait} s, {left} s before its deadline)"
    )


def _describe_step(step: str) -> str:
    if step.count(":") == ORDER_FIELDS and step.startswith(ORDER_STEP):
        return _describe_order(step)
    runner, _, rest = step.partition(":")
    outcome, _, seconds = rest.partition(":")
    if step.startswith(COMPARED_PREFIX):
        waits = step.removeprefix(COMPARED_PREFIX).replace(" ", ", ")
        return f"drawn and compared, by predicted seconds: {waits}"
    if step.startswith(HOMES_PREFIX):
        count = step.removeprefix(HOMES_PREFIX)
        return f"{count} runners were to cache its shared parts, as many asked"
    if step.startswith(FOREIGN_PREFIX):
        status, reason = step.removeprefix(FOREIGN_PREFIX).split()
        shown = _FOREIGN_REASONS.get(reason, reason)
        return f"what came back had status {status} and {shown}"
    if outcome not in _OFFERS:
        return _STEPS.get(step, step)
    predicted = f"predicted to begin in {seconds} s"
    return f"offered to {runner} ({predicted}): it {_OFFERS[outcome]}"


def _describe_context(
    line: LogLine, lines: list[LogLine], began: float
) -> list[str]:
    """Describe what changed shortly before the request and during it."""
    runners = {step.partition(":")[0] for step in line.fields["steps"]}
    sentences = []
    for other in lines:
        age = began - other.at
        if not -float(line.fields["took"]) <= age <= CONTEXT_SECONDS:
            continue
        text = _describe_move(other, line) or _describe_change(
            other, runners, line.source
        )
        if text:
            when = f"{age:.1f} s before" if age > 0 else f"{-age:.1f} s after"
            sentences.append(f"  {when} its arrival: {text}")
    return sentences


def _describe_move(other: LogLine, line: LogLine) -> str:
    fields = other.fields
    if other.kind != MOVED_TYPE or fields["request"] != line.fields["request"]:
        return ""
    return (
        f"it was to leave its runner: {fields['outcome']}, "
        f"{fields['left']} s before that went"
    )


def _describe_change(other: LogLine, runners: set[str], source: str) -> str:
    fields = other.fields
    if other.kind == ORDER_TYPE and fields["outcome"] != "done":
        return f"an order of runners for {fields['service']} was not taken"
    if other.source != source:
        return ""
    if other.kind == RUNNER_TYPE:
        runner, state = str(fields["runner"]), str(fields["state"])
        if runner in runners or state != "ready":
            return (
                f"runner {runner} of {fields['service'] or 'its service'} "
                f"became known as {state}, from the {fields['source']}"
            )
        return ""
    return _CONTEXT.get(other.kind, "")


@click.command()
@click.argument("request")
@logs_option
def explain(request: str, paths: tuple[Path, ...]) -> None:
    """Explain the outcome of REQUEST from the logs of forwarding gateways.

    Example: lagoonpost explain 9c41d07b --logs a.log --logs b.log
    """
    lines = [line for path in paths for line in read_log(path)]
    sentences = explain_request(
        request, sorted(lines, key=lambda line: line.at)
    )
    if not sentences:
        raise fail(f"no log names the request {request}", ExitCode.NOT_FOUND)
    click.echo("\n".join(sentences))
