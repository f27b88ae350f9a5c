"""The ``entries`` and ``status`` commands, which query a gateway."""

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
    """Print the entries that a workspace should use.

    Example: lagoonpost entries --entry 127.0.0.1:8101
    """
    key = os.environ.get(KEY_VARIABLE, "")
    response = asyncio.run(_get(entries, "/v1/entries", key))
    for entry in response["entries"]:
        click.echo(f"{entry['address']}  {entry['failure_domain']}")


@click.command()
@entry_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def status(entries: tuple[Address, ...], as_json: bool) -> None:
    """Show gateways, runners and refusals as one gateway sees them.

    Example: lagoonpost status --entry 127.0.0.1:8101
    """
    key = read_secret(OPERATOR_KEY_VARIABLE)
    response = asyncio.run(_get(entries, "/v1/status", key))
    if as_json:
        click.echo(json.dumps(response))
        return
    click.echo(
        f"{response['gateway']}: {response['phase']}, "
        f"revision {response['revision']}, up {response['uptime']:.0f} s"
    )
    for member in response["members"]:
        click.echo(
            f"  gateway {member['name']:<12} {member['address']:<22}"
            f"{member['failure_domain']}"
        )
    for runner in response["runners"]:
        click.echo(
            f"  runner  {runner['name']:<12} {runner['service']}/"
            f"{runner['version']:<12} {runner['failure_domain']:<10}"
            f"{runner['state']}"
        )
    for move in response["moves"]:
        click.echo(
            f"  move    {move['service']} {move['from']} -> {move['to']}: "
            f"{move['outcome']} {move['reason']} share {move['share']:.2%}, "
            f"{move['seconds_left']:.0f} s left, {move['evidence']}"
        )
    for name, count in sorted(response["counts"].items()):
        click.echo(f"  {name} {count}")


async def _get(
    entries: tuple[Address, ...], path: str, key: str
) -> dict[str, Any]:
    """Return the response of the first entry that can be reached."""
    client = Client()
    headers = (("authorization", f"Bearer {key}"),) if key else ()
    try:
        for entry in entries:
            with suppress(CallFailedError):
                response = await client.call(
                    entry,
                    "GET",
                    path,
                    headers=headers,
                    timeout=CALL_TIMEOUT_SECONDS,
                )
                return _read(response)
    finally:
        client.close()
    raise fail("no entry could be reached", ExitCode.UNREACHABLE)


def _read(response: Response) -> dict[str, Any]:
    value: dict[str, Any] = json.loads(response.body)
    if response.status >= 400:
        raise fail(value.get("detail", "refused"), ExitCode.FAILED)
    return value
