"""Starts a gateway whose paths to runners and to peers can be cut.

A proxy accepts a connection before it can end it, so only the gateway's own
process can show what a network without a path does: connections that are
refused or never opened, and datagrams that are lost.
"""

import asyncio
import os
import runpy
import signal
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

Carry = Callable[..., Awaitable[Any | None]]
CUT_VARIABLE = "LAGOONPOST_SOAK_CUT"
"""Environment variable with the path of a file: the mode, `refuse` or `hang`,
and the addresses that can't be reached. Without the file nothing is cut."""


def read_cut(path: Path) -> tuple[str, frozenset[str]]:
    """Return the mode and the addresses that can't be reached."""
    try:
        mode, *addresses = path.read_text().split()
    except (OSError, ValueError):
        return "", frozenset()
    return mode, frozenset(addresses)


def write_cut(path: Path, mode: str, addresses: list[str]) -> None:
    """Cut the path from a gateway to some addresses."""
    new = path.with_suffix(".new")
    new.write_text(" ".join([mode, *addresses]))
    new.replace(path)


def name_peer_cut(path: Path) -> Path:
    """Return the file that names the peers that can't be reached.

    Args:
        path: File that names the runners that can't be reached.
    """
    return path.with_suffix(".peers")


def cut_peers(path: Path) -> None:
    """Lose datagrams and calls to the peers that a file names."""
    from lagoonpost.http.message import Address
    from lagoonpost.peers.datagram_socket import DatagramSocket
    from lagoonpost.peers.pool import Method
    from lagoonpost.peers.transport import GrpcTransport

    send = DatagramSocket.send
    call, call_apart = GrpcTransport.call, GrpcTransport.call_apart

    def send_unless_cut(
        socket: DatagramSocket, body: bytes, targets: Iterable[Address]
    ) -> None:
        _, lost = read_cut(path)
        send(socket, body, [each for each in targets if str(each) not in lost])

    def cut_calls(carry: Carry) -> Carry:
        async def carry_unless_cut(
            transport: GrpcTransport,
            address: Address,
            method: Method,
            request: Any,
            timeout: float,
        ) -> Any | None:
            _, lost = read_cut(path)
            if str(address) not in lost:
                return await carry(
                    transport, address, method, request, timeout
                )
            await asyncio.sleep(timeout)
            return None

        return carry_unless_cut

    setattr(DatagramSocket, "send", send_unless_cut)  # noqa: B010
    setattr(GrpcTransport, "call", cut_calls(call))  # noqa: B010
    setattr(GrpcTransport, "call_apart", cut_calls(call_apart))  # noqa: B010


def main() -> None:
    """Run the gateway as `python -m lagoonpost.serve` does."""
    # Until the gateway installs its handler, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from lagoonpost.http.client import CallFailedError, Client, Socket
    from lagoonpost.http.message import Address

    path = Path(os.environ[CUT_VARIABLE])
    cut_peers(name_peer_cut(path))
    connect = Client.connect

    async def connect_unless_cut(
        client: Client, address: Address, seconds: float
    ) -> Socket:
        mode, addresses = read_cut(path)
        if str(address) not in addresses:
            return await connect(client, address, seconds)
        if mode == "hang":
            await asyncio.sleep(seconds)
        raise CallFailedError(f"cannot connect to {address}", sent=False)

    setattr(Client, "connect", connect_unless_cut)  # noqa: B010
    runpy.run_module("lagoonpost.serve", run_name="__main__")


if __name__ == "__main__":
    main()
