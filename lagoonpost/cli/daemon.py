"""The ``gateway``, ``controller`` and ``settings`` commands."""

import asyncio
import os
import sys
from collections.abc import Callable
from typing import Any, TypeVar

import click
import eliot

from lagoonpost.cli.option import ExitCode, fail
from lagoonpost.controller.daemon import ControllerDaemon
from lagoonpost.gateway.daemon import GatewayDaemon
from lagoonpost.settings import (
    SECRET_SETTINGS,
    ControllerSettings,
    GatewaySettings,
    Settings,
    read_settings,
)

SIGNING_KEY_VARIABLE = "LAGOONPOST_SIGNING_KEY"
Command = TypeVar("Command", bound=Callable[..., Any])

# Flag, parameter and help text. Values stay text here, because the settings
# module validates them together and reports all invalid ones at once.
_OPTIONS = (
    ("--name", "name", "Unique name of this instance."),
    ("--listen", "listen", "HOST:PORT for callers."),
    ("--advertise", "advertise", "HOST:PORT that is published to callers."),
    ("--peer-listen", "peer_listen", "HOST:PORT for other instances."),
    ("--seed-peer", "seeds", "Peer address of another instance; repeat."),
    ("--platform", "platform", "HOST:PORT of the platform's tables."),
    ("--region", "region", "Region of this host."),
    ("--failure-domain", "failure_domain", "Failure domain of this host."),
    ("--host", "host", "This host's name in the cloud's notices."),
    (
        "--operator-digest",
        "operator_digests",
        "SHA-256 of an operator's key; repeat.",
    ),
    ("--grace", "grace", "Seconds for requests to finish at a planned stop."),
    ("--statsd", "statsd", "HOST:PORT that receives metrics."),
    ("--memory-mb", "memory_mb", "Memory of the process in MB."),
    ("--max-fds", "max_fds", "Descriptors of the process."),
    ("--seed", "seed", "Seed of the decisions, for repeatable runs."),
)
_REPEATED = frozenset({"seeds", "operator_digests"})


def make_variable(parameter: str) -> str:
    """Return the name of the environment variable for a setting."""
    return f"LAGOONPOST_{parameter.upper()}"


def _add_options(fields: tuple[str, ...]) -> Callable[[Command], Command]:
    def decorate(command: Command) -> Command:
        for flag, parameter, text in reversed(_OPTIONS):
            if parameter in fields:
                command = click.option(
                    flag,
                    parameter,
                    multiple=parameter in _REPEATED,
                    envvar=make_variable(parameter),
                    show_envvar=True,
                    help=text,
                )(command)
        return command

    return decorate


@click.command()
@_add_options(GatewaySettings._fields)
def gateway(**values: Any) -> None:
    """Run a gateway until SIGTERM.

    Example: lagoonpost gateway --name gw-1 --listen 127.0.0.1:8101
    --platform 127.0.0.1:8201, with LAGOONPOST_SIGNING_KEY set
    """
    config = _check(GatewaySettings, values)
    eliot.to_file(sys.stdout)
    asyncio.run(_run_gateway(config))


@click.command()
@_add_options(ControllerSettings._fields)
def controller(**values: Any) -> None:
    """Run a controller until SIGTERM.

    Example: lagoonpost controller --name ct-1 --platform 127.0.0.1:8201
    """
    config = _check(ControllerSettings, values)
    eliot.to_file(sys.stdout)
    asyncio.run(_run_controller(config))


@click.command()
@_add_options(GatewaySettings._fields)
@click.pass_context
def settings(context: click.Context, /, **values: Any) -> None:
    """Print the gateway settings in force and the source of each.

    Example: lagoonpost settings --name gw-1 --listen 127.0.0.1:8101
    """
    config = _check(GatewaySettings, values)
    for name, value in config._asdict().items():
        source_name = _find_source(context, name, values.get(name))
        shown = "(secret)" if name in SECRET_SETTINGS else _format(value)
        click.echo(f"{name.replace('_', '-'):<18}{shown:<28}{source_name}")


def _find_source(context: click.Context, name: str, value: Any) -> str:
    if name in SECRET_SETTINGS:
        return "environment"
    source = context.get_parameter_source(name)
    return source.name.lower() if source and value else "default"


def _check(kind: type[Settings], values: dict[str, Any]) -> Settings:
    if "signing_key" in kind._fields:
        # Not a flag, because other users of a host can read the arguments of
        # a process.
        values["signing_key"] = os.environ.get(SIGNING_KEY_VARIABLE)
    config = read_settings(kind, values)
    if isinstance(config, list):
        lines = "\n  ".join(str(fault) for fault in config)
        raise fail(f"invalid settings\n  {lines}", ExitCode.USAGE)
    return config


def _format(value: Any) -> str:
    if isinstance(value, tuple) and not hasattr(value, "_fields"):
        return " ".join(str(item) for item in value) or "-"
    return "-" if value in (None, "") else str(value)


# Daemons need a running event loop at construction, so coroutines create them.
async def _run_gateway(config: GatewaySettings) -> None:
    await GatewayDaemon(config).run()


async def _run_controller(config: ControllerSettings) -> None:
    await ControllerDaemon(config).run()
