"""Command line of the stand-ins."""

import asyncio
import signal

import click

from lagoonpost.http.message import Address, parse_address
from lagoonpost.http.server import Handler, Server
from lagoonpost_standins.platform import Platform
from lagoonpost_standins.service import Service

GRACE_SECONDS = 1.0


listen_option = click.option(
    "--listen", type=parse_address, metavar="HOST:PORT", required=True
)


@click.group()
def main() -> None:
    """Stand-ins for what lagoonpost needs around it, for tests."""


@main.command()
@listen_option
def platform(listen: Address) -> None:
    """Table service, object store, hosts and notices, all in memory."""
    asyncio.run(serve(listen, Platform().handle))


@main.command()
@listen_option
@click.option("--name", default="service")
def service(listen: Address, name: str) -> None:
    """Plain service that takes bookings and answers checks."""
    asyncio.run(serve(listen, Service(name).handle))


@main.command()
@listen_option
@click.option("--name", default="engine")
def engine(listen: Address, name: str) -> None:
    """Model engine."""
    from lagoonpost_standins.engine import (  # type: ignore[import-not-found, unused-ignore]
        serve_engine,
    )

    asyncio.run(serve_engine(listen, name))


async def serve(listen: Address, handler: Handler) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = Server(handler)
    address = await server.start(listen)
    click.echo(f"listening on {address}")
    await stop.wait()
    await server.close(GRACE_SECONDS)


if __name__ == "__main__":
    main()
