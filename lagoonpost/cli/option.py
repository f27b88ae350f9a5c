"""Option types and exit codes that the commands share."""

from enum import IntEnum
from typing import Any

import click

from lagoonpost.http.message import Address, parse_address


class ExitCode(IntEnum):
    """What a command's exit status says."""

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4
    UNREACHABLE = 5


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


def fail(message: str, code: ExitCode) -> click.exceptions.Exit:
    """Print ``message`` as an error and return the exit to raise."""
    click.echo(f"Error: {message}", err=True)
    return click.exceptions.Exit(int(code))
