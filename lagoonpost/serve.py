"""Entry point of the forwarding gateway: `python -m lagoonpost.serve`.

The process listens before it imports the server, so that callers wait in the
backlog during the import instead of being refused.
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
    """Open the listening sockets that the settings name.

    Args:
        arguments: Command line arguments.

    Returns:
        Sockets by address; empty if the settings are invalid.
    """
    path = os.environ.get(PATH_VARIABLE, "")
    if CONFIG_OPTION in arguments[:-1]:
        path = arguments[arguments.index(CONFIG_OPTION) + 1]
    try:
        settings = read_host_settings(path)
    except SettingsError:
        # The serve command reads the settings again and reports the error.
        return {}
    return open_listeners((settings.entry, settings.directory))


if __name__ == "__main__":
    # SIGHUP asks the gateway to reload its settings. Until its handler is
    # installed, the signal would terminate the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    listeners = listen_early(sys.argv[1:])

    from lagoonpost.cli.serve import serve

    serve(obj=listeners)
