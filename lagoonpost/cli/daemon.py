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

# Flag, parameter, help. All are text here: the settings module checks them
# together, so that one start shows every fault.
_OPTIONS = (
    ("--name", "name", "Unique name of this instance."),
    ("--listen", "listen", "HOST:PORT for callers."),
    ("--advertise", "advertise", "HOST:PORT that callers are told."),
    ("--peer-listen", "peer_listen", "HOST:PORT for other instances."),
    ("--seed-peer", "seeds", "Peer address of another instance; repeat."),
    ("--platform", "platform", "HOST:PORT of the platform's tables."),
    ("--region", "region", "Region of this host."),
    ("--failure-domain", "failure_domain", "Failure domain of this host."),
    ("--host", "host", "This host's name in the cloud's notices."),
    ("--operator-digest", "operator_digests", "SHA-256 of a key; repeat."),
    ("--grace", "grace", "Seconds to end requests at a planned stop."),
    ("--statsd", "statsd", "HOST:PORT where metrics go."),
    ("--seed", "seed", "Seed of the decisions, for repeatable runs."),
)
_REPEATED = frozenset({"seeds", "operator_digests"})


def make_variable(parameter: str) -> str:
    """Return the environment variable of a setting."""
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
    checked = _check(GatewaySettings, values)
    eliot.to_file(sys.stdout)
    asyncio.run(_run_gateway(checked))


@click.command()
@_add_options(ControllerSettings._fields)
def controller(**values: Any) -> None:
    """Run a controller until SIGTERM.

    Example: lagoonpost controller --name ct-1 --platform 127.0.0.1:8201
    """
    checked = _check(ControllerSettings, values)
    eliot.to_file(sys.stdout)
    asyncio.run(_run_controller(checked))


@click.command()
@_add_options(GatewaySettings._fields)
@click.pass_context
def settings(context: click.Context, /, **values: Any) -> None:
    """Print the gateway settings in force and where each comes from.

    Example: lagoonpost settings --name gw-1 --listen 127.0.0.1:8101
    """
    checked = _check(GatewaySettings, values)
    for name, value in checked._asdict().items():
        origin = _find_origin(context, name, values.get(name))
        shown = "(secret)" if name in SECRET_SETTINGS else _format(value)
        click.echo(f"{name.replace('_', '-'):<18}{shown:<28}{origin}")


def _find_origin(context: click.Context, name: str, value: Any) -> str:
    if name in SECRET_SETTINGS:
        return "environment"
    source = context.get_parameter_source(name)
    return source.name.lower() if source and value else "default"


def _check(kind: type[Settings], values: dict[str, Any]) -> Settings:
    if "signing_key" in kind._fields:
        # Not a flag: the arguments of a process are for all to see.
        values["signing_key"] = os.environ.get(SIGNING_KEY_VARIABLE)
    checked = read_settings(kind, values)
    if isinstance(checked, list):
        lines = "\n  ".join(str(fault) for fault in checked)
        raise fail(f"wrong settings\n  {lines}", ExitCode.USAGE)
    return checked


def _format(value: Any) -> str:
    if isinstance(value, tuple) and not hasattr(value, "_fields"):
        return " ".join(str(each) for each in value) or "-"
    return "-" if value in (None, "") else str(value)


# A daemon is made within its loop, which its parts ask for.
async def _run_gateway(checked: GatewaySettings) -> None:
    await GatewayDaemon(checked).run()


async def _run_controller(checked: ControllerSettings) -> None:
    await ControllerDaemon(checked).run()
