"""Tunnels through another process, opened by the HTTP method CONNECT.

The bytes towards the target pass unchanged. The bytes from it are framed, as
the end of a response may be the end of its connection: without frames, a
process that ends in the middle of such a response would make it look complete.
Each frame is a length of four bytes and as many bytes; length 0 says that the
target has closed its connection after the bytes before.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
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
_LENGTH = struct.Struct("!I")
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
    return Socket(_FrameReader(outer.reader), outer.writer)


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
    outward = asyncio.create_task(_copy_out(near.reader, far.writer))
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
    except OSError:
        pass
    finally:
        for task in (outward, inward):
            task.cancel()
        await asyncio.gather(outward, inward, return_exceptions=True)
        far.writer.transport.abort()
        if inward.cancelled() or inward.exception() is not None:
            near.writer.transport.abort()
        else:
            near.writer.close()


async def _copy_out(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Pass bytes on to the target.

    Returns:
        True once the sender has closed, False if the target reads no more.
    """
    while data := await reader.read(READ_BYTES):
        try:
            writer.write(data)
            await writer.drain()
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
