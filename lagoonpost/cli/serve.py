"""The ``serve`` command, which runs a forwarding gateway.

``python -m lagoonpost.serve`` runs it without importing the other commands.
This reduces the processor time of a start from 0.45 s to 0.3 s.
"""

import asyncio
import socket
from collections.abc import Mapping

import click

from lagoonpost.cli.option import ExitCode, fail
from lagoonpost.forwarding.daemon import BASE_RUNNERS, ForwardingDaemon
from lagoonpost.forwarding.log import LogWriter
from lagoonpost.platform.settings import PATH_VARIABLE, SettingsError
from lagoonpost.systems.scheduling import (
    AUTOMATIC,
    SchedulingSetting,
    parse_scheduling,
)
from lagoonpost.tables.address import Address
from lagoonpost.tables.scheduling import Scheduling

PARTS = Scheduling._fields


def convert_scheduling(
    ctx: click.Context, param: click.Parameter, value: str
) -> SchedulingSetting:
    """Return the parsed setting of the scheduling."""
    try:
        return parse_scheduling(value)
    except ValueError as error:
        raise click.BadParameter(str(error), ctx, param) from error


@click.command()
@click.option(
    "--config",
    envvar=PATH_VARIABLE,
    show_envvar=True,
    required=True,
    help="Settings file that the platform writes.",
)
@click.option(
    "--base-runners",
    envvar="LAGOONPOST_BASE_RUNNERS",
    show_envvar=True,
    type=click.IntRange(0),
    default=BASE_RUNNERS,
    show_default=True,
    help="Runners at full price that each scaled service keeps.",
)
@click.option(
    "--metrics-port",
    envvar="LAGOONPOST_METRICS_PORT",
    show_envvar=True,
    type=click.IntRange(0, 65535),
    default=0,
    show_default=True,
    help="Port of the metrics on the entry's address; 0 for none.",
)
@click.option(
    "--scheduling",
    envvar="LAGOONPOST_SCHEDULING",
    show_envvar=True,
    callback=convert_scheduling,
    default=AUTOMATIC,
    show_default=True,
    help="Parts of the scheduling over all gateways: auto for all parts where"
    f" there are many gateways, off, or some of {','.join(PARTS)}.",
)
@click.pass_obj
def serve(
    listeners: Mapping[Address, socket.socket] | None,
    config: str,
    base_runners: int,
    metrics_port: int,
    scheduling: SchedulingSetting,
) -> None:
    """Forward requests on the users' platform until SIGTERM.

    Example: lagoonpost serve --config boot.toml
    """
    LogWriter().install()
    try:
        asyncio.run(
            _run(
                config,
                base_runners,
                metrics_port,
                listeners or {},
                scheduling,
            )
        )
    except SettingsError as error:
        raise fail(f"invalid settings: {error}", ExitCode.USAGE) from error


async def _run(
    path: str,
    base_runners: int,
    metrics_port: int,
    listeners: Mapping[Address, socket.socket],
    scheduling: SchedulingSetting,
) -> None:
    daemon = ForwardingDaemon(
        path, base_runners, metrics_port, listeners, scheduling
    )
    await daemon.run()
