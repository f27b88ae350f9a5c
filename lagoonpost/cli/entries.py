"""The commands that look at the system: ``entries`` and ``status``."""

import asyncio
import json
import os
from contextlib import suppress
from typing import Any

import click

from lagoonpost.cli.option import (
    KEY_VARIABLE,
    OPERATOR_KEY_VARIABLE,
    ExitCode,
    entry_option,
    fail,
    read_secret,
)
from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Response

CALL_TIMEOUT_SECONDS = 3.0


@click.command()
@entry_option
def entries(entries: tuple[Address, ...]) -> None:
    """Print the entries that a workspace is told to use.

    Example: lagoonpost entries --entry 127.0.0.1:8101
    """
    key = os.environ.get(KEY_VARIABLE, "")
    answer = asyncio.run(_get(entries, "/v1/entries", key))
    for listed in answer["entries"]:
        click.echo(f"{listed['address']}  {listed['failure_domain']}")


@click.command()
@entry_option
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def status(entries: tuple[Address, ...], as_json: bool) -> None:
    """Show gateways, runners and refusals as one gateway sees them.

    Example: lagoonpost status --entry 127.0.0.1:8101
    """
    key = read_secret(OPERATOR_KEY_VARIABLE)
    answer = asyncio.run(_get(entries, "/v1/status", key))
    if as_json:
        click.echo(json.dumps(answer))
        return
    click.echo(
        f"{answer['gateway']}: {answer['phase']}, "
        f"revision {answer['revision']}, up {answer['uptime']:.0f} s"
    )
    for member in answer["members"]:
        click.echo(
            f"  gateway {member['name']:<12} {member['address']:<22}"
            f"{member['failure_domain']}"
        )
    for runner in answer["runners"]:
        click.echo(
            f"  runner  {runner['name']:<12} {runner['service']}/"
            f"{runner['version']:<12} {runner['failure_domain']:<10}"
            f"{runner['state']}"
        )
    for move in answer["moves"]:
        click.echo(
            f"  move    {move['service']} {move['from']} -> {move['to']}: "
            f"{move['outcome']} {move['reason']} share {move['share']:.2%}, "
            f"{move['seconds_left']:.0f} s left, {move['evidence']}"
        )
    for name, count in sorted(answer["counts"].items()):
        click.echo(f"  {name} {count}")


async def _get(
    entries: tuple[Address, ...], path: str, key: str
) -> dict[str, Any]:
    """Ask the first entry that answers."""
    client = Client()
    headers = (("authorization", f"Bearer {key}"),) if key else ()
    try:
        for entry in entries:
            with suppress(CallFailedError):
                answer = await client.call(
                    entry,
                    "GET",
                    path,
                    headers=headers,
                    timeout=CALL_TIMEOUT_SECONDS,
                )
                return _read(answer)
    finally:
        client.close()
    raise fail("no entry answers", ExitCode.UNREACHABLE)


def _read(answer: Response) -> dict[str, Any]:
    value: dict[str, Any] = json.loads(answer.body)
    if answer.status >= 400:
        raise fail(value.get("detail", "refused"), ExitCode.FAILED)
    return value
