"""The ``gateway`` command: settings in, daemon up."""

import asyncio
import sys
from typing import Any

import click
import eliot

from lagoonpost.cli.option import ADDRESS, ExitCode, fail
from lagoonpost.gateway.daemon import GatewayDaemon
from lagoonpost.gateway.settings import GatewaySettings, check_settings


@click.command()
@click.option("--name", required=True, help="Unique name of this instance.")
@click.option("--listen", type=ADDRESS, required=True, help="For callers.")
@click.option("--advertise", type=ADDRESS, help="What callers are told.")
@click.option("--peer-listen", type=ADDRESS, help="For other instances.")
@click.option(
    "--seed-peer",
    "seeds",
    type=ADDRESS,
    multiple=True,
    help="Another instance's peer address; repeat for more.",
)
@click.option(
    "--platform", type=ADDRESS, required=True, help="The table service."
)
@click.option("--region", default="r1", show_default=True)
@click.option("--failure-domain", default="a", show_default=True)
@click.option("--host", default="", help="This host's name in the cloud.")
@click.option(
    "--signing-key",
    envvar="LAGOONPOST_SIGNING_KEY",
    required=True,
    help="Signs event ids; set it in the environment, not as a flag.",
)
@click.option(
    "--operator-digest",
    "operator_digests",
    multiple=True,
    help="SHA-256 of an operator's key.",
)
@click.option("--grace", default=25.0, show_default=True, help="Seconds.")
@click.option("--statsd", type=ADDRESS, help="Where metrics go.")
@click.option("--seed", type=int, help="Seed of the decisions.")
def gateway(**values: Any) -> None:
    """Run a gateway until SIGTERM.

    Example: LAGOONPOST_SIGNING_KEY=... lagoonpost gateway --name gw-1
    --listen 127.0.0.1:8101 --platform 127.0.0.1:8201
    """
    given = {
        name: value for name, value in values.items() if value is not None
    }
    settings = GatewaySettings(**given)
    faults = check_settings(settings)
    if faults:
        lines = (f"--{fault.setting}: {fault.allowed}" for fault in faults)
        raise fail("settings\n  " + "\n  ".join(lines), ExitCode.USAGE)
    eliot.to_file(sys.stdout)
    asyncio.run(_run(settings))


async def _run(settings: GatewaySettings) -> None:
    await GatewayDaemon(settings).run()
