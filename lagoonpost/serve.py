"""Starts the forwarding gateway's process: `python -m lagoonpost.serve`.

Little is loaded before the process listens; what serves comes after it.
"""

import os
import signal
import socket
import sys

from lagoonpost.http.listener import open_listeners
from lagoonpost.platform.settings import (
    PATH_VARIABLE,
    SettingsError,
    read_host_settings,
)
from lagoonpost.tables.address import Address

CONFIG_OPTION = "--config"


def listen_early(arguments: list[str]) -> dict[Address, socket.socket]:
    """Listen where the settings say; nowhere if they can't be used."""
    path = os.environ.get(PATH_VARIABLE, "")
    if CONFIG_OPTION in arguments[:-1]:
        path = arguments[arguments.index(CONFIG_OPTION) + 1]
    try:
        settings = read_host_settings(path)
    except SettingsError:
        # The command that serves reads them again, and reports the error.
        return {}
    return open_listeners((settings.entry, settings.directory))


if __name__ == "__main__":
    # Until the gateway takes it as an order to read its settings again, the
    # signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listeners = listen_early(sys.argv[1:])

    from lagoonpost.cli.serve import serve

    serve(obj=listeners)
