"""The ``ticket`` commands, which check, plan, apply and list tickets."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from lagoonpost.cli.operator import OperatorClient
from lagoonpost.cli.option import (
    OPERATOR_KEY_VARIABLE,
    ExitCode,
    entry_option,
    read_secret,
)
from lagoonpost.declarations.content import format_content
from lagoonpost.declarations.file import load_ticket
from lagoonpost.declarations.plan import list_changes
from lagoonpost.http.client import CallFailedError
from lagoonpost.http.message import Address, Response
from lagoonpost.systems.ticket import find_unreachable_deadlines
from lagoonpost.tables.ticket import InvalidTicket, Ticket

POLL_SECONDS = 0.2
_CODES = {
    400: ExitCode.FAILED,
    422: ExitCode.FAILED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.REFUSED,
}
_Result = TypeVar("_Result")


@click.group()
@entry_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def ticket(
    context: click.Context, entries: tuple[Address, ...], as_json: bool
) -> None:
    r"""Submit numbered change tickets.

    Pass every gateway as an entry, so that `apply` can wait for all of them.

    The operator's key is read from LAGOONPOST_OPERATOR_KEY, so that it does
    not show in the list of processes.

    \b
    Exit codes: 0 done, 1 invalid ticket, 2 wrong command line,
    3 refused (number taken, stale, overlaps a move), 4 not run,
    5 unknown: submit the same ticket again, 6 accepted but not yet in
    force everywhere, 7 not found.
    """
    context.obj = {"entries": entries, "json": as_json}


@ticket.command()
@click.argument("file", type=click.Path(exists=True, path_type=Path))
@click.pass_obj
def check(settings: dict[str, Any], file: Path) -> None:
    """Check FILE without a gateway.

    Example: lagoonpost ticket check examples/tickets/1-start.yaml
    """
    loaded = _load(settings, file)
    text = f"ticket {loaded.number}: {len(loaded.objects)} objects, no faults"
    _print(settings, text, {"ticket": loaded.number, "faults": []})


@ticket.command()
@click.argument("file", type=click.Path(exists=True, path_type=Path))
@click.pass_obj
def plan(settings: dict[str, Any], file: Path) -> None:
    """Show the changes that FILE would make to the state in force."""
    loaded = _load(settings, file)

    async def run(gateways: OperatorClient) -> Response:
        return await gateways.call_any("GET", "/v1/declaration?objects=1")

    body = _read(settings, _run_with_gateways(settings, run))
    states = {key: row["state"] for key, row in body["objects"].items()}
    changes = list_changes(states, loaded.objects)
    stale = [
        f"{key} was set by ticket {body['objects'][key]['ticket']}"
        for key in loaded.objects
        if body["objects"].get(key, {"ticket": 0})["ticket"] >= loaded.number
    ]
    lines = [str(change) for change in changes]
    lines += [f"would be refused: {line}" for line in stale]
    listed = [change._asdict() for change in changes]
    text = "\n".join(lines) or "nothing changes"
    _print(settings, text, {"changes": listed, "stale": stale})
    if stale:
        raise click.exceptions.Exit(ExitCode.REFUSED)


@ticket.command()
@click.argument("file", type=click.Path(exists=True, path_type=Path))
@click.option(
    "--wait", default=30.0, show_default=True, help="Seconds to wait."
)
@click.pass_obj
def apply(settings: dict[str, Any], file: Path, wait: float) -> None:
    """Submit FILE and wait until it is in force at all entries."""
    loaded = _load(settings, file)

    async def run(gateways: OperatorClient) -> tuple[Response, int]:
        body = format_content(loaded)
        response = await gateways.call_any("POST", "/v1/tickets", body)
        if response.status != 200:
            return response, 0
        revision = json.loads(response.body)["revision"]
        click.echo(f"accepted as revision {revision}", err=True)
        return response, await _wait_until_in_force(gateways, revision, wait)

    response, reached = _run_with_gateways(settings, run)
    body = _read(settings, response)
    total = len(settings["entries"])
    body |= {"in_force": reached, "gateways": total}
    text = f"ticket {loaded.number}: in force at {reached} of {total} gateways"
    _print(settings, text, body)
    if reached < total:
        raise click.exceptions.Exit(ExitCode.NOT_IN_FORCE)


@ticket.command()
@click.argument("number", type=int)
@click.pass_obj
def status(settings: dict[str, Any], number: int) -> None:
    """Show ticket NUMBER and at how many entries it is in force."""

    async def run(gateways: OperatorClient) -> tuple[Response, int]:
        path = f"/v1/tickets/{number}"
        response = await gateways.call_any("GET", path)
        if response.status != 200:
            return response, 0
        revision = json.loads(response.body)["revision"]
        return response, await _count_in_force(gateways, revision)

    response, reached = _run_with_gateways(settings, run)
    body = _read(settings, response)
    total = len(settings["entries"])
    body |= {"in_force": reached, "gateways": total}
    text = (
        f"{_describe(body)}\nin force at {reached} of {total} gateways\n"
        + "\n".join(f"  {key}" for key in body["objects"])
    )
    _print(settings, text, body)


@ticket.command()
@click.option("--after", default=0, help="Only higher numbers.")
@click.option("--limit", default=20, show_default=True)
@click.pass_obj
def history(settings: dict[str, Any], after: int, limit: int) -> None:
    """List accepted tickets by number."""

    async def run(gateways: OperatorClient) -> Response:
        path = f"/v1/tickets?after={after}&limit={limit}"
        return await gateways.call_any("GET", path)

    body = _read(settings, _run_with_gateways(settings, run))
    _print(settings, "\n".join(map(_describe, body["tickets"])), body)


def _describe(record: dict[str, Any]) -> str:
    number, revision = record["number"], record["revision"]
    who = f"by {record['operator']}: {record['reason']}"
    return f"ticket {number}, revision {revision}, {who}"


async def _wait_until_in_force(
    gateways: OperatorClient, revision: int, seconds: float
) -> int:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    total = len(gateways.entries)
    last_reported = -1
    while True:
        reached = await _count_in_force(gateways, revision)
        if reached != last_reported:
            click.echo(f"in force at {reached} of {total}", err=True)
            last_reported = reached
        if reached == total or loop.time() >= deadline:
            return reached
        await asyncio.sleep(POLL_SECONDS)


async def _count_in_force(gateways: OperatorClient, revision: int) -> int:
    async def ask(entry: Address) -> bool:
        try:
            response = await gateways.call(entry, "GET", "/v1/declaration")
        except CallFailedError:
            return False
        if response.status != 200:
            return False
        body = json.loads(response.body)
        return bool(body["current"] and body["revision"] >= revision)

    return sum(await asyncio.gather(*map(ask, gateways.entries)))


def _load(settings: dict[str, Any], file: Path) -> Ticket:
    loaded = load_ticket(file)
    if isinstance(loaded, InvalidTicket):
        faults = [fault._asdict() for fault in loaded.errors]
        _print(
            settings,
            "\n".join(map(str, loaded.errors)),
            {"faults": faults},
        )
        raise click.exceptions.Exit(ExitCode.FAILED)
    # Warn before the ticket is submitted, while its deadline can still be
    # changed.
    for warning in find_unreachable_deadlines(loaded, time.time()):
        click.echo(f"warning: {warning}", err=True)
    return loaded


def _run_with_gateways(
    settings: dict[str, Any],
    operation: Callable[[OperatorClient], Awaitable[_Result]],
) -> _Result:
    if not settings["entries"]:
        raise click.UsageError("give at least one --entry HOST:PORT")
    key = read_secret(OPERATOR_KEY_VARIABLE)

    async def run() -> _Result:
        gateways = OperatorClient(settings["entries"], key)
        try:
            return await operation(gateways)
        finally:
            gateways.close()

    return asyncio.run(run())


def _read(settings: dict[str, Any], response: Response) -> dict[str, Any]:
    body: dict[str, Any] = json.loads(response.body)
    if response.status == 200:
        return body
    lines = [f"{body.get('title', 'failed')}: {body.get('detail', '')}"]
    for fault in body.get("faults", ()):
        lines.append(f"  {fault['field']}: {fault['message']}")
    if body.get("execution") == "unknown":
        lines.append("Unknown outcome: submit the same ticket again.")
    _print(settings, "\n".join(lines), body)
    raise click.exceptions.Exit(_choose_code(response.status, body))


def _choose_code(status: int, body: dict[str, Any]) -> ExitCode:
    if status in _CODES:
        return _CODES[status]
    if body.get("execution") == "not_run":
        return ExitCode.NOT_RUN
    return ExitCode.UNKNOWN


def _print(settings: dict[str, Any], text: str, body: object) -> None:
    click.echo(json.dumps(body) if settings["json"] else text)
