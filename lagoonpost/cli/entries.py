"""The commands that look at the system: ``entries`` and ``status``."""

import asyncio
import json
import os
from typing import Any

import click

from lagoonpost.cli.option import (
    ADDRESS,
    KEY_VARIABLE,
    OPERATOR_KEY_VARIABLE,
    ExitCode,
    fail,
    read_secret,
)
from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address

CALL_SECONDS = 3.0


@click.command()
@click.option(
    "--entry", type=ADDRESS, envvar="LAGOONPOST_ENTRY", required=True
)
def entries(entry: Address) -> None:
    """Print the entries that a workspace is told to use.

    Example: lagoonpost entries --entry 127.0.0.1:8101
    """
    key = os.environ.get(KEY_VARIABLE, "")
    answer = asyncio.run(_get(entry, "/v1/entries", key))
    for listed in answer["entries"]:
        click.echo(f"{listed['address']}  {listed['failure_domain']}")


@click.command()
@click.option(
    "--entry", type=ADDRESS, envvar="LAGOONPOST_ENTRY", required=True
)
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def status(entry: Address, as_json: bool) -> None:
    """Show gateways, runners and refusals as one gateway sees them.

    Example: lagoonpost status --entry 127.0.0.1:8101
    """
    key = read_secret(OPERATOR_KEY_VARIABLE)
    answer = asyncio.run(_get(entry, "/v1/status", key))
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


async def _get(entry: Address, path: str, key: str) -> dict[str, Any]:
    client = Client()
    headers = (("authorization", f"Bearer {key}"),) if key else ()
    try:
        answer = await client.call(
            entry, "GET", path, headers=headers, timeout=CALL_SECONDS
        )
    except CallFailedError as error:
        raise fail(str(error), ExitCode.UNREACHABLE) from error
    finally:
        client.close()
    value: dict[str, Any] = json.loads(answer.body)
    if answer.status >= 400:
        raise fail(value.get("detail", "refused"), ExitCode.FAILED)
    return value
