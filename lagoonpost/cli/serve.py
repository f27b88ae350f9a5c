"""The ``serve`` command: a forwarding gateway by the platform's settings."""

import asyncio

import click

from lagoonpost.cli.option import ExitCode, fail
from lagoonpost.forwarding.daemon import ForwardingDaemon
from lagoonpost.forwarding.log import LogWriter
from lagoonpost.platform.settings import PATH_VARIABLE, SettingsError


@click.command()
@click.option(
    "--config",
    envvar=PATH_VARIABLE,
    show_envvar=True,
    required=True,
    help="Settings file that the platform writes.",
)
def serve(config: str) -> None:
    """Forward requests on the users' platform until SIGTERM.

    Example: lagoonpost serve --config boot.toml
    """
    LogWriter().install()
    try:
        asyncio.run(_run(config))
    except SettingsError as error:
        raise fail(f"wrong settings: {error}", ExitCode.USAGE) from error


async def _run(path: str) -> None:
    await ForwardingDaemon(path).run()
