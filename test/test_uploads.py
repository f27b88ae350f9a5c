"""Tests for answers that begin before their request was read."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Literal, NamedTuple

import pytest
from forwarding_stack import (
    Stack,
    make_configuration,
    make_prompt,
)
from test_partition import cut_path
from test_tunnel import Between, listen

from lagoonpost.http import client as client_module
from lagoonpost.http import upload as upload_module
from lagoonpost.http.client import CallFailedError, Client, Socket
from lagoonpost.http.message import Address, Headers, Response
from lagoonpost.http.tunnel import TunnelRequest, open_tunnel
from lagoonpost.http.upload import UNWATCHED_BYTES, find_upload
from lagoonpost.tables.answer_end import UploadState
from lagoonpost_standins.runner import (
    RunnerStandin,
    make_event,
)

EarlyEnd = Literal[
    "reset",
    "unread",
    "reset_soon",
    "reset_later",
    "silent",
    "read_on",
    "framed",
]
"""What a server does once it has answered a request whose head it has read:

- reset: sends half of the answer and resets the connection
- unread: sends half of it and closes the connection, with unread bytes
- reset_soon, reset_later: sends half of it, shuts its side down and resets
  the connection 50 ms or 0.5 s later
- silent: sends half of it, shuts its side down and reads nothing more
- read_on: sends all of it, shuts its side down and reads on to the end
- framed: sends all of it with its length, and reads nothing more
"""
CUTS: tuple[EarlyEnd, ...] = (
    "reset",
    "unread",
    "reset_soon",
    "reset_later",
)
RESET_SECONDS = {"reset_soon": 0.05, "reset_later": 0.5}
LARGE = 8_000_000
SIZES = (16 * 1024, 200 * 1024, LARGE)
"""Sizes of uploads in bytes: one that is sent with its head, one that the
kernel's buffers hold, and one that they don't."""
READ_PAUSE_SECONDS = 0.001
EVENTS = 4


class EarlyServer:
    """Answers each request as soon as it has read its head.

    Args:
        end: What it does then.
    """

    def __init__(self, end: EarlyEnd) -> None:
        self.end = end
        self.address = Address("127.0.0.1", 0)
        self.read = 0
        self._listener = socket.socket()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        """Listen on a free port and return the address."""
        self._listener.setblocking(False)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
        self.address = Address(*self._listener.getsockname())
        self._start_task(self._accept())
        return self.address

    async def close(self) -> None:
        """Stop and cut all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._listener.close()

    def _start_task(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self) -> None:
        while True:
            connection, _ = await asyncio.get_running_loop().sock_accept(
                self._listener
            )
            connection.setblocking(False)
            self._start_task(self._serve(connection))

    async def _serve(self, connection: socket.socket) -> None:
        with connection:
            try:
                await self._answer(connection)
            except OSError:
                return

    async def _answer(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        head = b""
        # Nothing beyond the head may leave the kernel's buffer.
        while not head.endswith(b"\r\n\r\n"):
            byte = await loop.sock_recv(connection, 1)
            if not byte:
                return
            head += byte
        await loop.sock_sendall(connection, self._make_answer(head))
        await self._end(connection)

    def _make_answer(self, head: bytes) -> bytes:
        target = head.split()[1].decode("latin-1")
        own = [b"response-signature: s"]
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"attempt-id":
                own.append(line)
            if name.lower() == b"target-instance":
                own.append(b"instance-id:" + value)
        is_cut = self.end not in ("read_on", "framed")
        body = make_whole(target)
        lines = [b"HTTP/1.1 200 OK", b"connection: close", *own]
        if b"\r\nmodel:" in head.lower():
            lines.append(b"content-type: text/event-stream")
            events = [make_event(target, n + 1) for n in range(EVENTS)]
            body = b"".join(events[: EVENTS // 2] if is_cut else events)
        elif is_cut:
            body = body[: len(body) // 2]
        if self.end == "framed":
            lines.append(b"content-length: %d" % len(body))
        return b"\r\n".join((*lines, b"", body))

    async def _end(self, connection: socket.socket) -> None:
        if self.end == "unread":
            # The first bytes of the body have arrived.
            await asyncio.sleep(0.05)
            return
        if self.end == "framed":
            await asyncio.sleep(0.2)
            return
        if self.end != "reset":
            connection.shutdown(socket.SHUT_WR)
        if self.end == "read_on":
            await self._read_on(connection)
            return
        if self.end == "silent":
            await asyncio.sleep(3600)
        await asyncio.sleep(RESET_SECONDS.get(self.end, 0.0))
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def _read_on(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(connection, 64 * 1024):
            self.read += len(data)
            await asyncio.sleep(READ_PAUSE_SECONDS)


def make_whole(target: str) -> bytes:
    """Return the whole answer to a plain request."""
    return f"the whole answer to {target}".encode("latin-1")


def make_stream(target: str, events: int) -> bytes:
    """Return a whole stream."""
    return b"".join(make_event(target, n + 1) for n in range(events))


class EarlyRunner(RunnerStandin):
    """A runner that answers as soon as it has read the head of a request."""

    def __init__(self, id: str, end: EarlyEnd) -> None:
        super().__init__(id)
        self.early = EarlyServer(end)

    async def start(self) -> Address:
        self.address = await self.early.start()
        return self.address

    async def close(self) -> None:
        await self.early.close()


@asynccontextmanager
async def open_stack(
    end: EarlyEnd, early: tuple[str, ...], tunnelled: bool
) -> AsyncIterator[Stack]:
    """Start gateways of which the first uses tunnels, if it is to.

    Args:
        end: What early runners do.
        early: Ids of the early runners.
        tunnelled: Whether the first gateway reaches no runner itself.
    """
    limits = {"max_body_bytes": 10_000_000, "idle_timeout_ms": 15000}
    stack = Stack(
        gateways=2 if tunnelled else 1,
        configuration=make_configuration(limits=limits),
    )
    for id_ in early:
        stack.runners[id_] = EarlyRunner(id_, end)
    for runner in stack.runners.values():
        runner.events = EVENTS
        runner._server.limits = runner._server.limits._replace(body=10_000_000)
    async with stack:
        if tunnelled:
            cut_path(stack, stack.gateways[0], "refuse")
        yield stack


class Kind(NamedTuple):
    """A kind of request.

    Attributes:
        path: Its path.
        method: Its method.
        streams: Whether its answer is a stream.
    """

    path: str
    method: str
    streams: bool = False


KINDS = {
    "safe": Kind("/check/1", "PUT"),
    "booking": Kind("/book/1", "POST"),
    "stream": Kind("/reply/1", "POST", True),
    "resumable": Kind("/draft/1", "POST", True),
}
ALL = ("chat-1", "chat-2", "desk-1", "desk-2")
VIA = pytest.mark.parametrize(
    "tunnelled", [False, True], ids=["direct", "tunnel"]
)


async def upload(stack: Stack, kind: Kind, size: int) -> str:
    """Send an upload and return what its caller got."""
    headers: Headers = make_prompt() if kind.streams else ()
    try:
        answer = await stack.call(
            kind.path, kind.method, b"x" * size, headers=headers, deadline=15.0
        )
    except CallFailedError:
        return "cut"
    if answer.status != 200:
        return str(answer.status)
    return "whole" if is_whole(answer, kind, size) else "short"


def is_whole(answer: Response, kind: Kind, size: int) -> bool:
    """Return whether a caller got all that a runner answers."""
    if kind.streams:
        return answer.body == make_stream(kind.path, EVENTS)
    # A sound runner sends the body back.
    return answer.body == make_whole(kind.path) or len(answer.body) > size


async def upload_each(
    stack: Stack, names: tuple[str, ...], sizes: tuple[int, ...] = SIZES
) -> dict[str, str]:
    """Send uploads of each kind and size; return what their callers got."""
    cases = [(name, size) for name in names for size in sizes]
    found = await asyncio.gather(
        *(upload(stack, KINDS[name], size) for name, size in cases)
    )
    return {
        f"{name} {size}": result
        for (name, size), result in zip(cases, found, strict=True)
    }


class TestForwardedUploads:
    @VIA
    @pytest.mark.parametrize("end", CUTS)
    def test_a_part_is_not_passed_on_as_the_whole(self, end, tunnelled):
        """Guards against the end of a connection that a reset follows."""

        async def scenario() -> dict[str, str]:
            async with open_stack(end, ALL, tunnelled) as stack:
                return await upload_each(stack, tuple(KINDS))

        found = asyncio.run(scenario())
        for case, result in found.items():
            streams = KINDS[case.split()[0]].streams
            assert result in ("502", "cut") if streams else result == "502"

    @VIA
    @pytest.mark.parametrize(
        ("end", "sizes"),
        [
            ("reset_soon", SIZES),
            ("reset_later", SIZES),
            # What the kernel holds looks read.
            ("silent", (LARGE,)),
        ],
    )
    def test_what_may_repeat_goes_on_elsewhere(self, end, sizes, tunnelled):
        """Guards against failing what another runner can answer."""

        async def scenario() -> dict[str, str]:
            early = ("chat-1", "desk-1")
            async with open_stack(end, early, tunnelled) as stack:
                return await upload_each(stack, ("safe", "resumable"), sizes)

        found = asyncio.run(scenario())
        assert found == dict.fromkeys(found, "whole")

    @VIA
    @pytest.mark.parametrize("end", ["read_on", "framed"])
    def test_a_whole_early_answer_stays_whole(self, end, tunnelled):
        """Guards against true ends that are taken for cuts."""

        async def scenario() -> dict[str, str]:
            async with open_stack(end, ALL, tunnelled) as stack:
                return await upload_each(stack, tuple(KINDS))

        found = asyncio.run(scenario())
        assert found == dict.fromkeys(found, "whole")


async def connect(
    client: Client, address: Address, between: Between | None
) -> Socket:
    """Connect to a server, through a tunnel if there is one between."""
    if between is None:
        return await client.connect(address, 1.0)
    return await open_tunnel(
        client,
        await listen(between.serve),
        TunnelRequest("target", ()),
        1.0,
        1.0,
    )


async def ask_state(
    end: EarlyEnd, size: int, tunnelled: bool
) -> tuple[UploadState, int]:
    """Send an upload to an early server.

    Returns:
        What is known of it after the end of the answer, and how many bytes of
        it the server has read.
    """
    server, client = EarlyServer(end), Client()
    address = await server.start()
    between = Between(address) if tunnelled else None
    try:
        socket = await connect(client, address, between)
        async with client.send(
            socket, address, "POST", "/", b"x" * size, reusable=False
        ) as stream:
            await stream.receive_head()
            await stream.read()
            return await stream.find_upload(), server.read
    finally:
        await server.close()


class TestStates:
    @VIA
    @pytest.mark.parametrize("size", SIZES)
    @pytest.mark.parametrize("end", ["reset_soon", "reset_later"])
    def test_a_reset_behind_the_end_shows(self, end, size, tunnelled):
        """Guards against a reset that no read reports."""
        state, _ = asyncio.run(ask_state(end, size, tunnelled))
        assert state is UploadState.RESET

    @VIA
    @pytest.mark.parametrize("size", SIZES)
    def test_an_upload_is_sent_on_after_the_end(self, size, tunnelled):
        """Guards against true ends that are taken for cuts."""
        found = asyncio.run(ask_state("read_on", size, tunnelled))
        assert found == (UploadState.READ, size)

    @VIA
    def test_a_server_that_reads_no_more_is_given_up(self, tunnelled):
        """Guards against a wait without end."""
        state, _ = asyncio.run(ask_state("silent", LARGE, tunnelled))
        assert state is UploadState.UNFINISHED

    @pytest.mark.parametrize("size", [0, UNWATCHED_BYTES])
    def test_a_short_request_is_not_watched(self, size, monkeypatch):
        """Guards against a wait that usual requests pay for."""

        async def fail(writer, written):
            raise AssertionError("the connection is watched")

        monkeypatch.setattr(client_module, "find_upload", fail)
        state, _ = asyncio.run(ask_state("read_on", size, False))
        assert state is UploadState.READ

    def test_an_upload_taken_long_ago_is_not_waited_for(self, monkeypatch):
        """Guards against streams that end late."""
        looks = []
        read = upload_module._read_transfer

        def count(writer):
            looks.append(writer)
            return read(writer)

        async def scenario() -> UploadState:
            async def take(reader, writer):
                await reader.readexactly(SIZES[0])
                await asyncio.sleep(0.3)
                writer.write_eof()

            socket = await Client().connect(await listen(take), 1.0)
            socket.writer.write(bytes(SIZES[0]))
            await socket.reader.read()
            written = asyncio.get_running_loop().create_future()
            written.set_result(True)
            return await find_upload(socket.writer, written)

        monkeypatch.setattr(upload_module, "RESET_WATCH_SECONDS", 0.05)
        monkeypatch.setattr(upload_module, "_read_transfer", count)
        assert asyncio.run(scenario()) is UploadState.READ
        assert len(looks) == 1

    def test_a_closed_stream_is_no_error(self):
        """Guards against moves that close a stream which is judged."""

        async def scenario() -> UploadState:
            server, client = EarlyServer("silent"), Client()
            address = await server.start()
            stream = await client.open(address, "POST", "/", bytes(LARGE))
            await stream.receive_head()
            await stream.read()
            asyncio.get_running_loop().call_later(0.1, stream.close)
            try:
                return await stream.find_upload()
            finally:
                await server.close()

        assert asyncio.run(scenario()) is UploadState.RESET
