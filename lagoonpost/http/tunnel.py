"""Tunnels through another process, opened by the HTTP method CONNECT.

The bytes towards the target pass unchanged. The bytes from it are framed, as
the end of a response may be the end of its connection: without frames, a
process that ends in the middle of such a response would make it look complete.
Each frame is a length of four bytes and as many bytes; length 0 says that the
target has closed its connection after the bytes before.

A target may close its side before it has read the request, whose rest still
passes after that frame. A sender that ends its direction then asks what became
of the request. The answer is one more frame: a byte that names the state, or
several if the state isn't known yet. A sender that does not ask closes the
connection. An older process closes it instead of answering, which proves
nothing.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

import h11

from lagoonpost.http.client import (
    MAX_INTERIM_RESPONSES,
    CallFailedError,
    Client,
    Socket,
    decode_head,
)
from lagoonpost.http.message import (
    Address,
    Headers,
    encode_headers,
)
from lagoonpost.http.running_time import limit_running_time
from lagoonpost.http.upload import (
    MAX_UPLOAD_SECONDS,
    UNWATCHED_BYTES,
    find_upload,
    is_reset,
)
from lagoonpost.tables.answer_end import UploadState

READ_BYTES = 16 * 1024
"""Bytes read at once, and limit of each buffer of a tunnel. A tunnel holds
some 100 KB at most if its receiver does not read."""
MAX_HEAD_BYTES = 4096
HEAD_TIMEOUT_SECONDS = 1.0
"""Longest wait for the head of a request for a tunnel."""
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 3
"""Unanswered probes after which the other end of a tunnel is gone."""
USER_TIMEOUT_SECONDS = (
    KEEPALIVE_IDLE_SECONDS + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_SECONDS
)
"""Time without an acknowledgement after which the other end is gone. Linux
ends keep-alive probing by this time, whatever the number of probes."""
PROBE_SECONDS = 0.25
"""Pause between frames that show whether a sender still waits for the state of
its request."""
_LENGTH = struct.Struct("!I")
_STATE = struct.Struct("!IB")
"""A frame of one byte, which names the state of a request."""
_STATE_CODES = {
    UploadState.UNKNOWN: 0,
    UploadState.READ: 1,
    UploadState.UNFINISHED: 2,
    UploadState.RESET: 3,
}
_STATES = {code: state for state, code in _STATE_CODES.items()}
_HEAD_END = b"\r\n\r\n"
_NO_HEAD = (
    OSError,
    TimeoutError,
    h11.ProtocolError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
)
"""Errors that mean that no head of a message arrived."""


class TunnelRequest(NamedTuple):
    """The head of a request for a tunnel.

    Attributes:
        target: What to connect to.
        headers: Headers with names in lower case.
    """

    target: str
    headers: Headers


class TunnelRefusedError(Exception):
    """A process did not open a tunnel; nothing was sent to its target.

    Attributes:
        status: HTTP status of the answer.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"tunnel refused with status {status}")
        self.status = status


def set_keepalive(writer: asyncio.StreamWriter) -> None:
    """Detect within seconds that the other host of a connection is gone."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, int(USER_TIMEOUT_SECONDS * 1000)),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def describe_keepalive() -> dict[str, float]:
    """Return how tunnels are probed, in seconds, for the log."""
    return {
        "idle": KEEPALIVE_IDLE_SECONDS,
        "interval": KEEPALIVE_INTERVAL_SECONDS,
        "probes": KEEPALIVE_PROBES,
        "user_timeout": USER_TIMEOUT_SECONDS,
    }


class _FrameReader(asyncio.StreamReader):
    """Reads the target's bytes out of the frames of a tunnel."""

    def __init__(self, frames: asyncio.StreamReader) -> None:
        super().__init__(limit=READ_BYTES)
        self._frames = frames
        self._left = 0
        self._ended = False

    async def read(self, n: int = -1) -> bytes:
        """Return the next bytes, or none once the target has closed.

        Raises:
            ConnectionResetError: If the tunnel ended before its target.
        """
        while not self._left and not self._ended:
            try:
                length = await self._frames.readexactly(_LENGTH.size)
            except asyncio.IncompleteReadError as error:
                raise ConnectionResetError("tunnel closed") from error
            (self._left,) = _LENGTH.unpack(length)
            self._ended = not self._left
        if self._ended:
            return b""
        wanted = self._left if n < 0 else min(n, self._left)
        data = await self._frames.read(wanted)
        if not data:
            raise ConnectionResetError("tunnel closed within a frame")
        self._left -= len(data)
        return data

    async def find_upload(
        self,
        writer: asyncio.StreamWriter,
        written: asyncio.Future[bool],
        patience: float,
    ) -> UploadState:
        """Ask what became of the request, after the target has closed.

        The other process has its own patience.
        """
        asking = asyncio.create_task(_end_direction(writer, written))
        state = UploadState.UNKNOWN
        try:
            async with asyncio.timeout(MAX_UPLOAD_SECONDS):
                while state is UploadState.UNKNOWN:
                    state = await self._read_state()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return UploadState.UNFINISHED
        finally:
            asking.cancel()
        return state

    async def _read_state(self) -> UploadState:
        length, code = _STATE.unpack(
            await self._frames.readexactly(_STATE.size)
        )
        if length != 1:
            return UploadState.UNFINISHED
        return _STATES.get(code, UploadState.UNFINISHED)


async def _end_direction(
    writer: asyncio.StreamWriter, written: asyncio.Future[bool]
) -> None:
    """Close the direction to the other process once all was written."""
    if await asyncio.shield(written):
        with suppress(OSError):
            writer.write_eof()


async def open_tunnel(
    client: Client,
    address: Address,
    request: TunnelRequest,
    connect_seconds: float,
    answer_seconds: float,
) -> Socket:
    """Open a connection to a target through another process.

    Args:
        client: Opens the connection to the other process.
        address: Address of the other process.
        request: The target, and headers for the other process.
        connect_seconds: Longest time for connecting to the other process.
        answer_seconds: Longest wait for its answer.

    Raises:
        CallFailedError: If the other process cannot be reached or does not
            answer. Nothing was sent to the target.
        TunnelRefusedError: If it refuses.
    """
    outer = await client.connect(address, connect_seconds)
    try:
        set_keepalive(outer.writer)
        connection = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method="CONNECT",
            target=request.target,
            headers=encode_headers((("host", str(address)), *request.headers)),
        )
        data = connection.send(head) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        outer.writer.write(data)
        async with limit_running_time(answer_seconds):
            status = await _read_status(connection, outer.reader)
    except _NO_HEAD as error:
        outer.writer.transport.abort()
        detail = f"{address} opened no tunnel: {error or 'no answer'}"
        raise CallFailedError(detail, sent=False) from error
    except asyncio.CancelledError:
        outer.writer.transport.abort()
        raise
    if status != 200:
        outer.writer.close()
        raise TunnelRefusedError(status)
    reader = _FrameReader(outer.reader)
    return Socket(reader, outer.writer, reader.find_upload)


async def _read_status(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> int:
    connection.receive_data(await reader.readuntil(_HEAD_END))
    event = connection.next_event()
    if not isinstance(event, h11.Response):
        raise ConnectionResetError("the answer is no response")
    return decode_head(event)[0]


async def read_tunnel_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> TunnelRequest | None:
    """Read a request for a tunnel; None if it is something else."""
    try:
        async with limit_running_time(HEAD_TIMEOUT_SECONDS):
            connection.receive_data(await reader.readuntil(_HEAD_END))
        event = connection.next_event()
        connection.next_event()
    except _NO_HEAD:
        return None
    if not isinstance(event, h11.Request) or event.method != b"CONNECT":
        return None
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in event.headers
    )
    return TunnelRequest(event.target.decode("latin-1"), headers)


async def send_tunnel_answer(
    connection: h11.Connection, writer: asyncio.StreamWriter, status: int
) -> None:
    """Answer a request for a tunnel; other statuses than 200 refuse it."""
    headers = [] if status == 200 else [("content-length", "0")]
    response = h11.Response(status_code=status, headers=headers)
    writer.write(connection.send(response) or b"")
    await writer.drain()


class _HeadReader:
    """Reads the head of the first response in bytes that pass by.

    Args:
        on_head: Called with its status and headers, if the bytes are a
            response.
    """

    def __init__(self, on_head: Callable[[int, Headers], None]) -> None:
        self._on_head = on_head
        self._interim = 0
        self._connection: h11.Connection | None = h11.Connection(h11.CLIENT)
        # A response is expected once a request was sent; which one, does not
        # matter for its head.
        self._connection.send(
            h11.Request(method="GET", target="/", headers=[("host", "")])
        )
        self._connection.send(h11.EndOfMessage())

    def feed(self, data: bytes) -> None:
        """Read the next bytes; without effect after the head."""
        if self._connection is None:
            return
        try:
            self._connection.receive_data(data)
            event = self._connection.next_event()
            while isinstance(event, h11.InformationalResponse):
                self._interim += 1
                if self._interim > MAX_INTERIM_RESPONSES:
                    self._connection = None
                    return
                event = self._connection.next_event()
            if event is h11.NEED_DATA:
                return
            self._connection = None
            if isinstance(event, h11.Response):
                self._on_head(*decode_head(event))
        except h11.RemoteProtocolError:
            self._connection = None


async def relay_tunnel(
    near: Socket, far: Socket, on_head: Callable[[int, Headers], None]
) -> None:
    """Pass bytes between both ends of a tunnel until one of them closes.

    Args:
        near: Connection of the process that asked for the tunnel.
        far: Connection to the target.
        on_head: Called with the status and headers of the target's response
            before it is passed on.
    """
    for end in (near, far):
        end.writer.transport.set_write_buffer_limits(high=READ_BYTES)
    copy = _OutwardCopy(near.reader, far.writer)
    outward = asyncio.create_task(copy.run())
    head_reader = _HeadReader(on_head)
    inward = asyncio.create_task(
        _copy_frames(far.reader, near.writer, head_reader)
    )
    try:
        await asyncio.wait(
            (outward, inward), return_when=asyncio.FIRST_COMPLETED
        )
        # A target may answer and close before it has read everything.
        if outward.done() and not outward.result():
            await asyncio.wait((inward,))
        if _has_ended(inward):
            await _report_upload(near, far, copy, outward)
    except OSError:
        pass
    finally:
        for task in (outward, inward):
            task.cancel()
        await asyncio.gather(outward, inward, return_exceptions=True)
        far.writer.transport.abort()
        if not _has_ended(inward):
            near.writer.transport.abort()
        else:
            near.writer.close()


async def _report_upload(
    near: Socket,
    far: Socket,
    copy: "_OutwardCopy",
    outward: asyncio.Task[bool],
) -> None:
    """Tell the sender what became of the request whose target has closed.

    Args:
        near: Connection of the sender.
        far: Connection to the target.
        copy: Passes the rest of the request on.
        outward: Task of ``copy``.
    """
    finding = asyncio.create_task(find_upload(far.writer, outward))
    leaving = asyncio.create_task(_wait_for_leave(near.writer, copy, outward))
    try:
        await asyncio.wait(
            (finding, leaving), return_when=asyncio.FIRST_COMPLETED
        )
        if not leaving.done():
            await _write_state(near.writer, finding.result())
    finally:
        finding.cancel()
        leaving.cancel()
        await asyncio.gather(finding, leaving, return_exceptions=True)


async def _wait_for_leave(
    writer: asyncio.StreamWriter,
    copy: "_OutwardCopy",
    outward: asyncio.Task[bool],
) -> None:
    """Wait until the sender has closed its connection instead of asking.

    The two look the same until something is sent to it, but nobody asks about
    a short request.
    """
    if not outward.done():
        await asyncio.wait((outward,), timeout=PROBE_SECONDS)
    while not is_reset(writer):
        if outward.done() and copy.size <= UNWATCHED_BYTES:
            return
        await _write_state(writer, UploadState.UNKNOWN)
        await asyncio.sleep(PROBE_SECONDS)


async def _write_state(
    writer: asyncio.StreamWriter, state: UploadState
) -> None:
    writer.write(_STATE.pack(1, _STATE_CODES[state]))
    await writer.drain()


def _has_ended(copying: asyncio.Task[None]) -> bool:
    """Return whether all was copied to the end."""
    return (
        copying.done()
        and not copying.cancelled()
        and copying.exception() is None
    )


class _OutwardCopy:
    """Passes bytes on to the target.

    Args:
        reader: Connection of the sender.
        writer: Connection to the target.

    Attributes:
        size: Bytes passed on.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.size = 0
        self._reader = reader
        self._writer = writer

    async def run(self) -> bool:
        """Pass bytes on until one side ends.

        Returns:
            True once the sender has closed, False if the target reads no
            more.
        """
        while data := await self._reader.read(READ_BYTES):
            self.size += len(data)
            try:
                self._writer.write(data)
                await self._writer.drain()
            except OSError:
                return False
        return True


async def _copy_frames(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    head_reader: _HeadReader,
) -> None:
    while True:
        data = await reader.read(READ_BYTES)
        head_reader.feed(data)
        writer.write(_LENGTH.pack(len(data)) + data)
        await writer.drain()
        if not data:
            return
