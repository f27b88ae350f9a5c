"""The command line interface and its table of commands."""

import click

from lagoonpost.cli.ask import ask, book, check
from lagoonpost.cli.check_config import check_config
from lagoonpost.cli.daemon import controller, gateway, settings
from lagoonpost.cli.entries import entries, status
from lagoonpost.cli.explain import explain
from lagoonpost.cli.margins import margins
from lagoonpost.cli.serve import serve
from lagoonpost.cli.ticket import ticket
from lagoonpost.cli.timeline import timeline

COMMANDS: tuple[click.Command, ...] = (
    gateway,
    controller,
    serve,
    ask,
    book,
    check,
    entries,
    status,
    explain,
    timeline,
    margins,
    settings,
    ticket,
    check_config,
)


@click.group(context_settings={"auto_envvar_prefix": "LAGOONPOST"})
@click.version_option(package_name="lagoonpost")
def main() -> None:
    """Serve language models and plain services on reclaimable hosts."""


for command in COMMANDS:
    main.add_command(command)
