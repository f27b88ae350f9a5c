"""Finds out whether a server has read the request that it answered.

A server may answer before it has read the whole request, and may end its side
of the connection with the answer. If the answer has neither a length nor
chunks, that end is all that marks it as complete; a server that then resets
the connection, as it reads no more, has not vouched for it. The reset arrives
after the end of input, so that no read reports it.
"""

import asyncio
import fcntl
import math
import select
import socket
import struct
import termios
from typing import NamedTuple, Protocol

from lagoonpost.tables.answer_end import UploadState

UNWATCHED_BYTES = 4096
"""Largest body that needs no watch: servers read it together with the head."""
RESET_WATCH_SECONDS = 1.0
"""Time for a reset after the server's kernel has taken the last byte of the
request. Servers that shut their side down before they close the connection
wait for half a second or so between the two."""
STALL_SECONDS = 2.0
"""Time without progress after which a server is considered to have stopped
reading. A sound one may be silent for a second or so."""
MAX_UPLOAD_SECONDS = 60.0
"""Longest time for a request to be read after the end of its answer."""
POLL_SECONDS = 0.05
"""Pause between looks at a connection. No event tells what the peer's kernel
has taken, and the event loop ignores a connection whose input has ended."""
_QUEUED = struct.Struct("i")
_TCP_INFO_BYTES = 128
_SINCE_SENT = struct.Struct("=I")
_SINCE_SENT_OFFSET = 44
"""Offset of ``tcpi_last_data_sent``, in ms, in Linux's ``struct tcp_info``."""
_ACKNOWLEDGED = struct.Struct("=Q")
_ACKNOWLEDGED_OFFSET = 120
"""Offset of ``tcpi_bytes_acked`` in Linux's ``struct tcp_info``."""


class UploadReporter(Protocol):
    """Tells what became of a request that another process passes on."""

    async def __call__(
        self,
        writer: asyncio.StreamWriter,
        written: asyncio.Future[bool],
        patience: float,
    ) -> UploadState:
        """Return what is known of the request after its answer ended.

        Args:
            writer: Connection to the other process.
            written: Done once the connection has the whole request; false if
                it failed before.
            patience: Longest wait for a reset, in seconds.
        """
        ...


class _Transfer(NamedTuple):
    """How far the peer's kernel has taken what was sent.

    Attributes:
        queued: Bytes not sent yet, or not acknowledged.
        acknowledged: Bytes acknowledged since the connection was opened.
        since_sent: Seconds since the last byte was sent.
    """

    queued: int
    acknowledged: int
    since_sent: float


async def find_upload(
    writer: asyncio.StreamWriter,
    written: asyncio.Future[bool],
    patience: float = RESET_WATCH_SECONDS,
) -> UploadState:
    """Return whether the peer has read a request, after its answer ended.

    Bytes that the peer's kernel has taken may be unread. Therefore a reset is
    waited for after the last of them. Until then this side stays open, too.

    Args:
        writer: The connection, whose input has ended.
        written: Done once the connection has the whole request; false if it
            failed before.
        patience: Longest wait for a reset, in seconds, if it is shorter.
    """
    watch = min(RESET_WATCH_SECONDS, patience)
    taken_at = math.inf
    clock = asyncio.get_running_loop().time
    began = progress_at = clock()
    acknowledged = -1
    while clock() <= min(
        progress_at + STALL_SECONDS, began + MAX_UPLOAD_SECONDS
    ):
        if _has_failed(written) or is_reset(writer):
            return UploadState.RESET
        transfer = _read_transfer(writer)
        if written.done() and not transfer.queued:
            progress_at = clock()
            taken_at = min(taken_at, progress_at)
            # A byte is acknowledged right after it was last sent.
            since = max(transfer.since_sent, progress_at - taken_at)
            if since >= watch:
                return UploadState.READ
        elif transfer.acknowledged != acknowledged:
            acknowledged, progress_at = transfer.acknowledged, clock()
        await asyncio.sleep(POLL_SECONDS)
    return UploadState.UNFINISHED


def is_reset(writer: asyncio.StreamWriter) -> bool:
    """Return whether a connection was reset, or this side has closed it."""
    # Writing may have met the error before and closed the connection.
    if writer.transport.is_closing():
        return True
    # Errors and hang-ups are reported without being asked for.
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), 0)
    return bool(poll.poll(0))


def _has_failed(written: asyncio.Future[bool]) -> bool:
    return written.done() and (written.cancelled() or not written.result())


def _read_transfer(writer: asyncio.StreamWriter) -> _Transfer:
    """Return how far the peer's kernel has taken what was sent.

    A kernel that doesn't tell leaves what this process has not written yet.
    """
    sock: socket.socket = writer.get_extra_info("socket")
    unwritten = writer.transport.get_write_buffer_size()
    try:
        queued = fcntl.ioctl(
            sock.fileno(), termios.TIOCOUTQ, bytes(_QUEUED.size)
        )
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
        (since_sent,) = _SINCE_SENT.unpack_from(info, _SINCE_SENT_OFFSET)
        (acknowledged,) = _ACKNOWLEDGED.unpack_from(info, _ACKNOWLEDGED_OFFSET)
    except (OSError, struct.error):
        return _Transfer(unwritten, -unwritten, 0.0)
    return _Transfer(
        unwritten + _QUEUED.unpack(queued)[0],
        acknowledged,
        since_sent / 1000,
    )
