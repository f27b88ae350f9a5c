"""Tests for tunnels through another process."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import TypeVar

import h11
import pytest

from lagoonpost.http import tunnel, upload
from lagoonpost.http.client import CallFailedError, Client, Socket
from lagoonpost.http.message import Address, Headers
from lagoonpost.http.tunnel import (
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_INTERVAL_SECONDS,
    KEEPALIVE_PROBES,
    TunnelRefusedError,
    TunnelRequest,
    open_tunnel,
    read_tunnel_request,
    relay_tunnel,
    send_tunnel_answer,
    set_keepalive,
)
from lagoonpost.tables.answer_end import UploadState

_T = TypeVar("_T")
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
UNFRAMED = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nthe answer"
"""A response that ends with its connection."""
RESET = b"\0\0\0\1\3"
"""The frame for a target that closed before it had read its request."""


class Between:
    """A process that opens tunnels to one target.

    Attributes:
        status: Status of its answers.
        task: The last tunnel.
        heads: Statuses of the responses that passed.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.status = 200
        self.task: asyncio.Task[None] | None = None
        self.heads: list[int] = []

    def note_head(self, status: int, headers: Headers) -> None:
        self.heads.append(status)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.task = asyncio.current_task()
        connection = h11.Connection(h11.SERVER)
        request = await read_tunnel_request(connection, reader)
        assert request is not None
        await send_tunnel_answer(connection, writer, self.status)
        if self.status != 200:
            writer.close()
            return
        far = await Client().connect(self.target, 1.0)
        try:
            await relay_tunnel(Socket(reader, writer), far, self.note_head)
        except asyncio.CancelledError:
            writer.close()


async def listen(serve: Serve) -> Address:
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return Address("127.0.0.1", server.sockets[0].getsockname()[1])


async def call_through(
    serve: Serve, body: bytes = b"", status: int = 200
) -> tuple[int, bytes]:
    """Call a target through a tunnel; return the response."""
    target = await listen(serve)
    between = Between(target)
    between.status = status
    client = Client()
    outer = await open_tunnel(
        client,
        await listen(between.serve),
        TunnelRequest("target", (("peer-key", "k"),)),
        1.0,
        1.0,
    )
    stream = client.send(outer, target, "POST", "/", body, (), reusable=False)
    async with stream:
        await stream.receive_head()
        response = await stream.read()
        return response.status, response.body


class TestTunnel:
    def test_bytes_pass_both_ways(self):
        body = bytes(range(256)) * 4000

        async def echo(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            data = await reader.readexactly(len(body))
            assert head.startswith(b"POST / HTTP/1.1\r\n")
            length = b"content-length: %d\r\n\r\n" % len(data)
            writer.write(b"HTTP/1.1 200 OK\r\n" + length + data)
            await writer.drain()

        assert asyncio.run(call_through(echo, body)) == (200, body)

    @pytest.mark.parametrize(
        ("answer", "heads"),
        [
            (b"HTTP/1.1 503 Full\r\nretry-after: 3\r\n\r\n", [503]),
            (b"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", [200]),
            (b"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 500 No\r\n\r\n", [200]),
            (b"HTTP/1.1 200", []),
            (b"no response\r\n\r\n", []),
        ],
    )
    def test_heads_are_read_as_they_pass(self, answer, heads):
        """Guards against runners that tell the gateway between in vain."""

        async def scenario():
            async def tell(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                for byte in answer:
                    writer.write(bytes([byte]))
                    await writer.drain()
                writer.close()

            between = Between(await listen(tell))
            outer = await open_tunnel(
                Client(),
                await listen(between.serve),
                TunnelRequest("target", ()),
                1.0,
                1.0,
            )
            outer.writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            data = b""
            while part := await outer.reader.read():
                data += part
            outer.writer.close()
            return data, between.heads

        assert asyncio.run(scenario()) == (answer, heads)

    def test_a_response_may_end_with_its_connection(self):
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(UNFRAMED)
            writer.close()

        found = asyncio.run(call_through(answer))
        assert found == (200, b"the answer")

    def test_a_reset_target_leaves_no_complete_response(self):
        """Guards against taking a broken answer without length for whole."""

        async def reset(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(UNFRAMED)
            await writer.drain()
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

        with pytest.raises(CallFailedError):
            asyncio.run(call_through(reset))

    def test_an_end_of_the_process_between_leaves_no_complete_response(self):
        """Guards against the same as that process ends and closes politely."""

        async def scenario():
            async def answer(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(UNFRAMED)
                await writer.drain()
                await asyncio.sleep(0.05)
                between.task.cancel()

            target = await listen(answer)
            between = Between(target)
            client = Client()
            outer = await open_tunnel(
                client,
                await listen(between.serve),
                TunnelRequest("target", ()),
                1.0,
                1.0,
            )
            async with client.send(
                outer, target, "GET", "/", reusable=False
            ) as stream:
                await stream.receive_head()
                await stream.read()

        with pytest.raises(CallFailedError):
            asyncio.run(scenario())

    def test_an_answer_before_the_body_was_read_arrives(self):
        """Guards against losing the answer to a long request."""

        async def refuse(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 413 Too Large\r\ncontent-length: 2\r\n\r\nno"
            )
            await writer.drain()
            await asyncio.sleep(0.2)
            writer.close()

        found = asyncio.run(call_through(refuse, b"x" * 8_000_000))
        assert found == (413, b"no")

    def test_an_answer_arrives_after_its_target_stopped_to_read(self):
        """Guards against the same if the end of reading shows first."""

        class Transport:
            def abort(self) -> None: ...

            def set_write_buffer_limits(self, high: int) -> None: ...

        class Closed:
            transport = Transport()

            def write(self, data: bytes) -> None:
                raise ConnectionResetError

        async def scenario():
            ends = []
            address = await listen(
                lambda reader, writer: ends.append(Socket(reader, writer))
            )
            outer = await Client().connect(address, 1.0)
            while not ends:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            far = Socket(asyncio.StreamReader(), Closed())
            outer.writer.write(b"request")
            relaying = asyncio.create_task(
                relay_tunnel(ends[0], far, lambda status, headers: None)
            )
            await asyncio.sleep(0.05)
            far.reader.feed_data(b"answer")
            far.reader.feed_eof()
            await relaying
            return await outer.reader.read()

        frames = asyncio.run(scenario())
        assert frames == b"\0\0\0\6answer\0\0\0\0"

    def test_a_refusal_says_that_nothing_was_sent(self):
        async def never(reader, writer):
            raise AssertionError("the target was connected")

        with pytest.raises(TunnelRefusedError) as caught:
            asyncio.run(call_through(never, status=503))
        assert caught.value.status == 503

    def test_no_answer_says_that_nothing_was_sent(self):
        async def keep_silent(reader, writer):
            await asyncio.sleep(5.0)

        async def scenario():
            address = await listen(keep_silent)
            request = TunnelRequest("target", ())
            await open_tunnel(Client(), address, request, 1.0, 0.05)

        with pytest.raises(CallFailedError) as caught:
            asyncio.run(scenario())
        assert not caught.value.sent


END = b"\0\0\0\0"
"""The frame for a target that has closed."""
LONG = 100_000
"""Size of a request whose state is asked for, in bytes."""
LARGE = 8_000_000
"""Size of one that the kernel's buffers don't hold."""


async def ask_upload(frames: bytes, size: int = LONG) -> UploadState:
    """Return what a gateway takes an upload for.

    Args:
        frames: What the process between sends after the end of the answer,
            before it closes.
        size: Bytes of the upload.
    """

    async def serve(reader, writer):
        connection = h11.Connection(h11.SERVER)
        await read_tunnel_request(connection, reader)
        await send_tunnel_answer(connection, writer, 200)
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(size)
        length = struct.pack("!I", len(UNFRAMED))
        writer.write(length + UNFRAMED + END + frames)
        writer.close()

    client, target = Client(), TunnelRequest("target", ())
    address = await listen(serve)
    outer = await open_tunnel(client, address, target, 1.0, 1.0)
    async with client.send(
        outer, address, "POST", "/", bytes(size), reusable=False
    ) as stream:
        await stream.receive_head()
        await stream.read()
        return await stream.find_upload()


class TestUploads:
    @pytest.mark.parametrize(
        ("frames", "state"),
        [
            (b"\0\0\0\1\1", UploadState.READ),
            (b"\0\0\0\1\0\0\0\0\1\1", UploadState.READ),
            (b"\0\0\0\1\2", UploadState.UNFINISHED),
            (RESET, UploadState.RESET),
            (b"\0\0\0\1\0", UploadState.UNFINISHED),
            (b"\0\0\0\1\4", UploadState.UNFINISHED),
            (b"\0\0\0\2\1\1", UploadState.UNFINISHED),
            (b"\0\0\0", UploadState.UNFINISHED),
        ],
    )
    def test_the_state_is_read_from_the_frames(self, frames, state):
        assert asyncio.run(ask_upload(frames)) is state

    @pytest.mark.parametrize(
        ("size", "state"),
        [(LONG, UploadState.UNFINISHED), (100, UploadState.READ)],
    )
    def test_an_older_process_between_proves_nothing(self, size, state):
        """Guards against a cut answer while builds are mixed."""
        assert asyncio.run(ask_upload(b"", size)) is state

    @pytest.mark.parametrize(
        ("size", "probe_seconds"), [(0, 3600.0), (LONG, 0.05), (LARGE, 0.05)]
    )
    def test_a_tunnel_ends_when_its_sender_closes(
        self, size, probe_seconds, monkeypatch
    ):
        """Guards against tunnels to targets that stopped to read."""
        monkeypatch.setattr(tunnel, "PROBE_SECONDS", probe_seconds)
        for name in ("STALL_SECONDS", "RESET_WATCH_SECONDS"):
            monkeypatch.setattr(upload, name, 3600.0)

        async def scenario() -> bytes:
            async def close_at_once(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(UNFRAMED)
                writer.write_eof()
                await asyncio.sleep(3600)

            between = Between(await listen(close_at_once))
            address = await listen(between.serve)
            target = TunnelRequest("target", ())
            outer = await open_tunnel(Client(), address, target, 1.0, 1.0)
            outer.writer.write(b"POST / HTTP/1.1\r\n\r\n" + bytes(size))
            answer = b""
            while data := await outer.reader.read():
                answer += data
            outer.writer.transport.abort()
            assert between.task is not None
            async with asyncio.timeout(20.0):
                await asyncio.gather(between.task, return_exceptions=True)
            return answer

        assert asyncio.run(scenario()) == UNFRAMED


class TestKeepalive:
    def test_the_user_timeout_lets_all_probes_be_sent(self):
        """Guards against a user timeout that ends probing early.

        Linux closes the connection once it has passed and a probe is
        unanswered, whatever the number of probes.
        """

        async def scenario():
            address = await listen(lambda reader, writer: asyncio.sleep(1.0))
            outer = await Client().connect(address, 1.0)
            set_keepalive(outer.writer)
            sock = outer.writer.get_extra_info("socket")
            return [
                sock.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                    socket.TCP_USER_TIMEOUT,
                )
            ]

        idle, interval, probes, timeout = asyncio.run(scenario())
        assert idle == KEEPALIVE_IDLE_SECONDS
        assert interval == KEEPALIVE_INTERVAL_SECONDS
        assert probes == KEEPALIVE_PROBES
        assert timeout >= 1000 * (idle + probes * interval)
