"""Option types, exit codes and error output shared by the commands."""

import os
from enum import IntEnum
from pathlib import Path
from typing import Any

import click

from lagoonpost.http.message import Address, parse_address


class ExitCode(IntEnum):
    """Exit status of a command."""

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
    """Parameter type for addresses of the form ``HOST:PORT``."""

    name = "HOST:PORT"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Address:
        """Return ``value`` as an address, or fail with a usage error."""
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
    """Return a secret from the environment.

    Secrets are not accepted as flags, because other users of a host can read
    the arguments of a process.

    Args:
        variable: Name of the environment variable.

    Raises:
        click.exceptions.Exit: If the variable is unset or empty.
    """
    secret = os.environ.get(variable)
    if not secret:
        raise fail(f"set {variable} in the environment", ExitCode.USAGE)
    return secret


def fail(message: str, code: ExitCode) -> click.exceptions.Exit:
    """Print an error message and return the exception to raise."""
    click.echo(f"Error: {message}", err=True)
    return click.exceptions.Exit(int(code))
