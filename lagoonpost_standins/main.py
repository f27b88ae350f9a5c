"""Command line of the stand-ins."""

import asyncio
from typing import Any

import click

from lagoonpost.http.message import Address, parse_address
from lagoonpost.http.server import Handler, Server
from lagoonpost_standins.engine import serve_engine
from lagoonpost_standins.engine_batch import EngineOptions
from lagoonpost_standins.platform import Platform
from lagoonpost_standins.service import Service
from lagoonpost_standins.shutdown import GRACE_SECONDS, wait_for_stop

listen_option = click.option(
    "--listen", type=parse_address, metavar="HOST:PORT", required=True
)


@click.group()
def main() -> None:
    """Stand-ins for the systems around lagoonpost, for tests."""


@main.command()
@listen_option
def platform(listen: Address) -> None:
    """Table service, object store, hosts and reclaim notices in memory."""
    asyncio.run(serve(listen, Platform().handle))


@main.command()
@listen_option
@click.option("--name", default="service")
def service(listen: Address, name: str) -> None:
    """Plain service that takes bookings and answers checks."""
    asyncio.run(serve(listen, Service(name).handle))


_DEFAULTS = EngineOptions()


@main.command()
@listen_option
@click.option("--name", default="engine")
@click.option("--token-rate", default=_DEFAULTS.token_rate)
@click.option("--prefill-rate", default=_DEFAULTS.prefill_rate)
@click.option("--slots", default=_DEFAULTS.slots)
@click.option("--cache-tokens", default=_DEFAULTS.cache_tokens)
@click.option("--kv-bytes", default=_DEFAULTS.kv_bytes)
@click.option("--export-rate", default=_DEFAULTS.export_rate)
@click.option("--keep-seconds", default=_DEFAULTS.keep_seconds)
@click.option("--report-seconds", default=_DEFAULTS.report_seconds)
@click.option("--load-seconds", default=_DEFAULTS.load_seconds)
@click.option("--checks-fence/--ignores-fence", default=True)
@click.option("--loaded", "versions", multiple=True, metavar="VERSION")
def engine(listen: Address, name: str, **options: Any) -> None:
    """Model engine; see EngineOptions for the options."""
    asyncio.run(serve_engine(listen, name, EngineOptions(**options)))


async def serve(listen: Address, handler: Handler) -> None:
    """Serve until SIGTERM or SIGINT."""
    server = Server(handler)
    address = await server.start(listen)
    click.echo(f"listening on {address}")
    await wait_for_stop()
    await server.close(GRACE_SECONDS)


if __name__ == "__main__":
    main()
