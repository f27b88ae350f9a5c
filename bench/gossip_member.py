"""Gossip member for bench/gossip.py, driven by lines on standard input."""

import asyncio
import json
import sys
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

import click
from grpclib.protocol import H2Protocol

from lagoonpost.http.message import Address, parse_address
from lagoonpost.peers import pool
from lagoonpost.peers.codec import MessagePackCodec
from lagoonpost.peers.node import Peers, PeerSettings
from lagoonpost.peers.transport import GrpcTransport
from lagoonpost.systems import membership
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.peer import Member


class Counts(NamedTuple):
    """Bytes and calls on the sockets of this process."""

    bytes_in: int = 0
    reads: int = 0
    bytes_out: int = 0
    writes: int = 0
    connections: int = 0

    def add(self, **increments: int) -> "Counts":
        """Return the counts with the given fields increased."""
        fields = self._asdict()
        return self._replace(
            **{
                name: fields[name] + value
                for name, value in increments.items()
            }
        )


class Meter:
    """Counts bytes between grpclib and the transport."""

    def __init__(self) -> None:
        self.counts = Counts()

    def install(self) -> None:
        """Patch grpclib to count all connections made from now on."""
        protocol_type: Any = H2Protocol
        made = protocol_type.connection_made
        received = protocol_type.data_received

        def connection_made(protocol: Any, transport: Any) -> None:
            write = transport.write

            def count_write(data: bytes) -> None:
                self.counts = self.counts.add(bytes_out=len(data), writes=1)
                write(data)

            transport.write = count_write
            self.counts = self.counts.add(connections=1)
            made(protocol, transport)

        def data_received(protocol: Any, data: bytes) -> None:
            self.counts = self.counts.add(bytes_in=len(data), reads=1)
            received(protocol, data)

        protocol_type.connection_made = connection_made
        protocol_type.data_received = data_received


class Program:
    """Runs a gossip member and executes the commands of the benchmark."""

    def __init__(self, settings: PeerSettings, channels: int) -> None:
        self.known: dict[str, float] = {}
        self.published: dict[str, float] = {}
        self.meter = Meter()
        self.meter.install()
        transport = GrpcTransport(MessagePackCodec())
        transport.pool = pool.ChannelPool(channels)
        self.peers = Peers(
            settings, self._record_facts, self._ignore, transport=transport
        )

    def _record_facts(self, facts: Sequence[Fact]) -> None:
        for fact in facts:
            self.known.setdefault(fact.key, time.time())

    def _ignore(self, members: Sequence[Member]) -> None:
        pass

    async def run(self) -> None:
        """Start, then execute one command per line until the input ends."""
        address = await self.peers.start()
        print(address, flush=True)
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            command, _, argument = line.decode().strip().partition(" ")
            getattr(self, f"_do_{command}")(argument)
        await self.peers.close()

    def _do_publish(self, key: str) -> None:
        self.published[key] = time.time()
        # A body of 60 bytes, like the row of a leaving runner or the digest
        # of a ticket.
        ends = self.published[key] + 3600
        self.peers.publish(Fact("runner_leaving", key, 1, b"x" * 60, ends))

    def _do_report(self, argument: str) -> None:
        report = {
            "members": len(self.peers.members()),
            "current": self.peers.current(),
            "known": self.known,
            "published": self.published,
            "counts": self.meter.counts._asdict(),
        }
        print(json.dumps(report), flush=True)


@click.command()
@click.option("--name", required=True)
@click.option("--region", default="north")
@click.option("--failure-domain", default="north-0")
@click.option("--seed", multiple=True)
@click.option("--channels", default=pool.MAX_POOLED_CHANNELS)
@click.option("--rings", default=membership.RINGS)
def main(
    name: str,
    region: str,
    failure_domain: str,
    seed: Sequence[str],
    channels: int,
    rings: int,
) -> None:
    """Run one member until standard input ends."""
    # Allows other numbers of neighbours to be compared with the default.
    membership.RINGS = rings
    settings = PeerSettings(
        name=name,
        role="gateway",
        region=region,
        failure_domain=failure_domain,
        address=Address("127.0.0.1", 0),
        seeds=tuple(parse_address(text) for text in seed),
    )
    asyncio.run(Program(settings, channels).run())


if __name__ == "__main__":
    main()
