"""Starts a gateway whose new connections to runners can be made to fail.

A proxy accepts a connection before it can end it, so only the gateway's own
process can show what a network without a path does: connections that are
refused or never opened.
"""

import asyncio
import os
import runpy
import signal
from pathlib import Path

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


def main() -> None:
    """Run the gateway as `python -m lagoonpost.serve` does."""
    # Until the gateway installs its handler, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from lagoonpost.http.client import CallFailedError, Client, Socket
    from lagoonpost.http.message import Address

    path = Path(os.environ[CUT_VARIABLE])
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
