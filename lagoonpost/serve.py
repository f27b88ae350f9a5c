"""Starts the forwarding gateway's process: `python -m lagoonpost.serve`."""

import signal

if __name__ == "__main__":
    # Until the gateway takes it as an order to read its settings again, the
    # signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from lagoonpost.cli.serve import serve

    serve()
