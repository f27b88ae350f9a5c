"""Option types and exit codes that the commands share."""

import os
from enum import IntEnum
from pathlib import Path
from typing import Any

import click

from lagoonpost.http.message import Address, parse_address


class ExitCode(IntEnum):
    """What a command's exit status says."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    NOT_RUN = 4
    UNKNOWN = 5
    NOT_IN_FORCE = 6
    NOT_FOUND = 7
    UNREACHABLE = 8


class AddressType(click.ParamType[Address]):
    """An address as ``HOST:PORT``."""

    name = "HOST:PORT"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Address:
        """Return the address that ``value`` names."""
        if isinstance(value, Address):
            return value
        try:
            return parse_address(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


ADDRESS = AddressType()
entry_option = click.option(
    "--entry",
    "entries",
    type=ADDRESS,
    multiple=True,
    envvar="LAGOONPOST_ENTRY",
    default=("127.0.0.1:8101",),
    show_default=True,
    show_envvar=True,
    help="HOST:PORT of a gateway; repeat for more.",
)
logs_option = click.option(
    "--logs",
    "paths",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    multiple=True,
    required=True,
    help="A gateway's log; repeat for each.",
)
KEY_VARIABLE = "LAGOONPOST_KEY"
OPERATOR_KEY_VARIABLE = "LAGOONPOST_OPERATOR_KEY"


def read_secret(variable: str) -> str:
    """Return a secret from the environment, or exit with how to give it.

    Secrets are no flags: the arguments of a process are for all to see.
    """
    secret = os.environ.get(variable)
    if not secret:
        raise fail(f"set {variable} in the environment", ExitCode.USAGE)
    return secret


def fail(message: str, code: ExitCode) -> click.exceptions.Exit:
    """Print ``message`` as an error and return the exit to raise."""
    click.echo(f"Error: {message}", err=True)
    return click.exceptions.Exit(int(code))
