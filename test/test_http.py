"""Tests of lagoonpost.http."""

import asyncio
import gc
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any, cast

import h11
import pytest

from lagoonpost.http.account import ClientAccount
from lagoonpost.http.client import PIECE_BYTES, CallFailedError, Client
from lagoonpost.http.decoding_limiter import DecodingLimiter
from lagoonpost.http.message import (
    Address,
    Request,
    Response,
    parse_address,
)
from lagoonpost.http.request_reader import ClientReader, RequestReader
from lagoonpost.http.responder import (
    ClientDisconnectedError,
    Limits,
    Responder,
)
from lagoonpost.http.server import Server
from lagoonpost.systems.holdings import (
    CONNECTION_BYTES,
    STALL_SECONDS,
    HoldingBounds,
)

LOOPBACK = Address("127.0.0.1", 0)
EMPTY_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


async def _echo(request: Request, responder: Responder) -> None:
    await responder.send(Response(200, (), request.body))


class TestServer:
    def test_echoes_two_calls_on_one_connection(self) -> None:
        async def scenario() -> list[bytes]:
            server = Server(_echo)
            address = await server.start(LOOPBACK)
            client = Client()
            bodies = []
            for body in (b"one", b"two"):
                answer = await client.call(
                    address, "POST", "/", body, timeout=5
                )
                bodies.append(answer.body)
            client.close()
            await server.close(1.0)
            return bodies

        assert asyncio.run(scenario()) == [b"one", b"two"]

    def test_refuses_oversized_body_as_not_run(self) -> None:
        async def scenario() -> Response:
            server = Server(_echo, Limits(body=10))
            address = await server.start(LOOPBACK)
            client = Client()
            answer = await client.call(
                address, "POST", "/", b"x" * 11, timeout=5
            )
            client.close()
            await server.close(1.0)
            return answer

        answer = asyncio.run(scenario())
        assert answer.status == 413
        assert b'"not_run"' in answer.body


class TestHeadRequests:
    """Requests for the head of an answer only (RFC 9110, section 9.3.2)."""

    def ask(self, *requests: bytes, limit: int = 100) -> bytes:
        """Return what a server sends on one connection, until it closes."""

        async def handle(request: Request, responder: Responder) -> None:
            if request.path == "/chunks":
                await responder.start(200, ())
                await responder.write(b"body")
                await responder.finish()
            else:
                await responder.send(Response(503, (), b"body"))

        async def scenario() -> bytes:
            server = Server(handle, Limits(body=limit))
            address = await server.start(LOOPBACK)
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"".join(requests))
            writer.write_eof()
            async with asyncio.timeout(10):
                answer = await reader.read()
            writer.close()
            await server.close(1.0)
            return answer

        return asyncio.run(scenario())

    @pytest.mark.parametrize("path", [b"/", b"/chunks"])
    def test_they_are_answered_without_a_body(self, path):
        """Guards against connections that are closed without an answer."""
        request = b"HEAD %b HTTP/1.1\r\nhost: x\r\n\r\n" % path
        answer = self.ask(request, request)
        assert answer.count(b"HTTP/1.1 ") == 2
        assert b"body" not in answer
        assert answer.endswith(b"\r\n\r\n")

    def test_the_length_is_that_of_the_body(self):
        answer = self.ask(b"HEAD / HTTP/1.1\r\nhost: x\r\n\r\n")
        assert b"content-length: 4\r\n" in answer

    def test_one_that_is_too_large_is_told_so(self):
        """Guards against rejections that are lost for their body."""
        request = b"HEAD / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n"
        answer = self.ask(request, limit=5)
        assert answer.startswith(b"HTTP/1.1 413 ")
        assert answer.endswith(b"\r\n\r\n")


class TestKeptConnections:
    def test_all_fall_silent_at_once(self) -> None:
        """All pooled connections go silent at the same time.

        A client that tried one pooled connection after the other would wait
        for a timeout on each. The first timeout has to discard all of them.
        """
        pooled = 4
        silent: set[int] = set()

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            port = writer.get_extra_info("peername")[1]
            ports.add(port)
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                while await reader.readuntil(b"\r\n\r\n"):
                    if port not in silent:
                        await asyncio.sleep(0.01)
                        writer.write(EMPTY_RESPONSE)

        async def scenario() -> int:
            server = await asyncio.start_server(answer, *LOOPBACK)
            address = Address(*server.sockets[0].getsockname()[:2])
            client = Client()

            async def call() -> int:
                try:
                    await client.call(address, "GET", "/", timeout=0.3)
                except CallFailedError:
                    return 1
                return 0

            failed = sum(
                await asyncio.gather(*(call() for _ in range(pooled)))
            )
            silent.update(ports)
            assert (failed, len(silent)) == (0, pooled)
            failed = 0
            for _ in range(2 * pooled):
                failed += await call()
            client.close()
            server.close()
            return failed

        ports: set[int] = set()
        assert asyncio.run(scenario()) == 1


class TestSlowCallers:
    def test_a_caller_that_never_reads_holds_bounded_memory(self) -> None:
        """A caller requests a long response and never reads any of it.

        Without a bound, the entire response would pile up in the server's
        memory. Instead the write waits for the caller, and the server drops
        the caller after a timeout.
        """
        part = b"x" * 65536
        limits = Limits(write_seconds=0.3, buffer=4 * len(part))
        written = 0
        disconnected = asyncio.Event()

        async def stream_endlessly(
            request: Request, responder: Responder
        ) -> None:
            nonlocal written
            await responder.start(200, ())
            try:
                while written < 4096:
                    await responder.write(part)
                    written += 1
            except ClientDisconnectedError:
                disconnected.set()

        async def scenario() -> None:
            server = Server(stream_endlessly, limits)
            address = await server.start(LOOPBACK)
            client = Client()
            stream = await client.open(address, "GET", "/")
            async with asyncio.timeout(20):
                await disconnected.wait()
            stream.close()
            await server.close(0.0)

        asyncio.run(scenario())
        assert written < 1024

    def test_a_caller_that_sends_too_slowly_is_told_so(self) -> None:
        """A caller sends part of a request and then nothing more.

        Without a time limit per request it would occupy its connection
        forever.
        """

        async def scenario() -> bytes:
            server = Server(_echo, Limits(read_seconds=0.3))
            address = await server.start(LOOPBACK)
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"POST / HTTP/1.1\r\nhost: x\r\n")
            async with asyncio.timeout(20):
                answer = await reader.read()
            writer.close()
            await server.close(0.0)
            return answer

        answer = asyncio.run(scenario())
        assert answer.startswith(b"HTTP/1.1 408")
        assert b'"execution":"not_run"' in answer


class TestGoneCaller:
    """Handlers of requests whose callers disconnect before the response."""

    @pytest.mark.parametrize("disconnect", ["close", "reset", "half_close"])
    def test_a_request_is_given_up_when_its_caller_leaves(
        self, disconnect
    ) -> None:
        """Otherwise runners would keep working on abandoned requests."""
        ended = asyncio.Event()

        async def wait(request: Request, responder: Responder) -> None:
            try:
                await asyncio.sleep(3600)
            finally:
                ended.set()

        async def scenario() -> None:
            server = Server(wait, cancel_on_disconnect=True)
            address = await server.start(LOOPBACK)
            _, writer = await asyncio.open_connection(*address)
            writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            await asyncio.sleep(0.1)
            _DISCONNECT[disconnect](writer)
            async with asyncio.timeout(20):
                await ended.wait()
            writer.close()
            await server.close(0.0)

        asyncio.run(scenario())

    def test_a_request_sent_ahead_is_answered_in_its_turn(self) -> None:
        async def answer_late(request: Request, responder: Responder) -> None:
            await asyncio.sleep(0.05)
            await responder.send(Response(200, (), request.path.encode()))

        async def scenario() -> bytes:
            server = Server(answer_late, cancel_on_disconnect=True)
            address = await server.start(LOOPBACK)
            reader, writer = await asyncio.open_connection(*address)
            for path in (b"/one", b"/two"):
                writer.write(b"GET %b HTTP/1.1\r\nhost: x\r\n\r\n" % path)
            async with asyncio.timeout(20):
                first = await reader.readuntil(b"/one")
                second = await reader.readuntil(b"/two")
            writer.close()
            await server.close(0.0)
            return first + second

        assert asyncio.run(scenario()).count(b"200") == 2

    def test_a_server_that_closes_cancels_what_is_open(self) -> None:
        async def wait(request: Request, responder: Responder) -> None:
            await asyncio.sleep(3600)

        async def scenario() -> bytes:
            server = Server(wait, cancel_on_disconnect=True)
            address = await server.start(LOOPBACK)
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            await asyncio.sleep(0.1)
            await server.close(0.0)
            async with asyncio.timeout(20):
                return await reader.read()

        assert asyncio.run(scenario()) == b""

    def test_an_answer_that_is_never_taken_does_not_stay(self) -> None:
        """Guards against connections that close only once they are read.

        The response fits the connection's buffer, so that its handler has
        ended, and the client neither reads nor closes.
        """
        body = b"a" * (16 * 1024 * 1024)
        limits = Limits(
            buffer=2 * len(body), idle_seconds=0.2, write_seconds=0.3
        )
        transports: list[asyncio.WriteTransport] = []

        async def answer(request: Request, responder: Responder) -> None:
            transports.append(responder._writer.transport)
            await responder.send(Response(200, (), body))

        async def scenario() -> int:
            account = ClientAccount()
            server = Server(answer, limits, account=account)
            address = await server.start(LOOPBACK)
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                client.connect(address)
                client.sendall(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                async with asyncio.timeout(20):
                    while not transports or account.descriptors:  # noqa: ASYNC110
                        await asyncio.sleep(0.01)
                unsent = transports[0].get_write_buffer_size()
            await server.close(0.0)
            return unsent

        assert asyncio.run(scenario()) == 0


class TestRefusedRequests:
    @staticmethod
    async def send(address: Address, head: bytes, size: int = 0) -> bytes:
        """Send a request, and read what comes only after ``size`` bytes."""
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"POST / HTTP/1.1\r\nhost: x\r\n" + head + b"\r\n\r\n")
        async with asyncio.timeout(20):
            for _ in range(0, size, 65536):
                writer.write(b"a" * 65536)
                await writer.drain()
            answer = await reader.read()
        writer.transport.abort()
        return answer

    @pytest.mark.parametrize(
        "head", [b"content-length: 1000000000", b"transfer-encoding: chunked"]
    )
    def test_one_that_still_sends_learns_why(self, head):
        """Guards against a reset that takes the response with it."""
        if head.startswith(b"transfer"):
            head += b"\r\n\r\n3b9aca00"

        async def scenario() -> bytes:
            server = Server(_echo, Limits(body=1000))
            address = await server.start(LOOPBACK)
            answer = await self.send(address, head, 3 * 1024 * 1024)
            await server.close(0.0)
            return answer

        answer = asyncio.run(scenario())
        assert answer.startswith(b"HTTP/1.1 413")
        assert b'"execution":"not_run"' in answer

    def test_one_that_sends_on_for_ever_is_closed(self):
        """Guards against discarding bytes without end."""

        async def scenario() -> None:
            server = Server(_echo, Limits(body=1000))
            address = await server.start(LOOPBACK)
            with suppress(ConnectionError):
                await self.send(
                    address, b"content-length: 1000000000", 1_000_000_000
                )
            await server.close(0.0)

        asyncio.run(scenario())

    def test_a_body_is_not_asked_for_in_vain(self):
        """Guards against an interim response to a request that is refused."""

        async def scenario() -> tuple[bytes, bytes]:
            account = ClientAccount(HoldingBounds(CONNECTION_BYTES * 40, 10))
            server = Server(_echo, Limits(body=1000000), account=account)
            address = await server.start(LOOPBACK)
            expects = b"expect: 100-continue\r\ncontent-length: "
            too_large = await self.send(address, expects + b"1000001")
            # One that is larger than the account is handled already.
            holding = account.open(asyncio.Transport())
            assert holding is not None
            assert account.resize(holding, "body", 1000000)
            account.enter(holding, "handled")
            no_room = await self.send(address, expects + b"1000000")
            await server.close(0.0)
            return too_large, no_room

        too_large, no_room = asyncio.run(scenario())
        assert too_large.startswith(b"HTTP/1.1 413")
        assert no_room.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 1\r\n" in no_room
        assert b'"execution":"not_run"' in no_room

    def test_a_head_that_takes_too_long_is_refused(self):
        """Guards against heads that may take as long as whole bodies."""

        async def scenario() -> bytes:
            server = Server(_echo, Limits(head_seconds=0.2))
            address = await server.start(LOOPBACK)
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"POST / HTTP/1.1\r\nhost")
            async with asyncio.timeout(15):
                answer = await reader.read()
            writer.close()
            await server.close(0.0)
            return answer

        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 408")


class ClosedTransport(asyncio.Transport):
    """The transport of a connection that was closed."""

    def is_closing(self) -> bool:
        return True


class TestWhatIsHeld:
    def test_an_idle_connection_keeps_no_request(self):
        """Guards against the last body staying while its connection idles."""

        async def scenario() -> tuple[int, int]:
            account = ClientAccount()
            server = Server(_echo, account=account)
            address = await server.start(LOOPBACK)
            client = Client()
            await client.call(address, "POST", "/", b"a" * 9000, timeout=5)
            await asyncio.sleep(0.05)
            kept = sum(isinstance(o, Request) for o in gc.get_objects())
            memory = account.memory
            client.close()
            await server.close(1.0)
            return kept, memory

        gc.collect()
        assert asyncio.run(scenario()) == (0, CONNECTION_BYTES)

    @pytest.mark.parametrize("chunked", [False, True])
    def test_requests_sent_ahead_are_answered_in_turn(self, chunked):
        """Guards against bytes that are lost between two requests."""
        framing = (
            b"transfer-encoding: chunked\r\n\r\n2\r\n%b\r\n0\r\n\r\n"
            if chunked
            else b"content-length: 2\r\n\r\n%b"
        )
        request = b"POST / HTTP/1.1\r\nhost: x\r\n" + framing

        async def scenario() -> bytes:
            server = Server(_echo)
            address = await server.start(LOOPBACK)
            reader, writer = await asyncio.open_connection(*address)
            bodies = [b"%02d" % number for number in range(50)]
            writer.write(b"".join(request % body for body in bodies))
            async with asyncio.timeout(20):
                await reader.readuntil(b"\r\n\r\n49")
            writer.write(request % b"50")
            async with asyncio.timeout(20):
                last = await reader.readuntil(b"\r\n\r\n50")
            writer.close()
            await server.close(0.0)
            return last

        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")

    @pytest.mark.parametrize("chunked", [False, True])
    def test_a_request_closed_for_another_is_never_handled(self, chunked):
        """Guards against what is left of a body passing for all of it."""
        size = 200_000
        body = b"a" * size
        head = b"POST / HTTP/1.1\r\nhost: x\r\n"
        if chunked:
            whole = head + b"transfer-encoding: chunked\r\n\r\n"
            whole += b"%x\r\n%b\r\n0\r\n\r\n" % (size, body)
        else:
            whole = head + b"content-length: %d\r\n\r\n%b" % (size, body)
        handled: list[bytes] = []

        async def record(request: Request, responder: Responder) -> None:
            handled.append(request.body)
            await responder.send(Response(200))

        async def scenario() -> bytes:
            account = ClientAccount(HoldingBounds(400_000, 10))
            server = Server(record, account=account)
            address = await server.start(LOOPBACK)
            _, stalled = await asyncio.open_connection(*address)
            stalled.write(whole[: size - 1000])
            await asyncio.sleep(1.5 * STALL_SECONDS)
            reader, other = await asyncio.open_connection(*address)
            other.write(whole)
            async with asyncio.timeout(20):
                line = await reader.readline()
            with suppress(ConnectionError):
                stalled.write(whole[size - 1000 :])
                await stalled.drain()
            await asyncio.sleep(0.1)
            stalled.transport.abort()
            other.close()
            await server.close(0.0)
            return line

        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")
        assert handled == [body]

    @pytest.mark.parametrize("chunked", [False, True])
    def test_bytes_that_follow_a_dropped_body_are_no_request(self, chunked):
        """Guards against bytes in the buffer of a connection that was closed.

        Its task still finds them when it runs the next time.
        """
        framing = (
            (b"transfer-encoding: chunked\r\n\r\n4\r\n", b"\r\n0\r\n\r\n")
            if chunked
            else (b"content-length: 4\r\n\r\n", b"")
        )

        async def scenario() -> object:
            account = ClientAccount()
            transport = ClosedTransport()
            holding = account.open(transport)
            assert holding is not None
            loop = asyncio.get_running_loop()
            reader = ClientReader(loop)
            writer = asyncio.StreamWriter(
                transport, asyncio.StreamReaderProtocol(reader), reader, loop
            )
            requests = RequestReader(
                reader, writer, account, holding, DecodingLimiter(), set()
            )
            requests.begin(Limits())
            reading = asyncio.create_task(requests.read())
            head = b"POST / HTTP/1.1\r\nhost: x\r\n" + framing[0]
            reader.feed_data(head + b"aa")
            await asyncio.sleep(0.05)
            requests._drop()
            reader.feed_data(b"bb" + framing[1])
            async with asyncio.timeout(5):
                return await reading

        with pytest.raises(ClientDisconnectedError):
            asyncio.run(scenario())

    def test_a_large_answer_is_whole(self):
        """Guards against pieces of an answer that are lost or doubled."""
        sizes = [0, 1, 65535, 65536, 65537, 131072, 1000000]

        async def scenario() -> list[bool]:
            account = ClientAccount()
            server = Server(_echo, account=account)
            address = await server.start(LOOPBACK)
            client = Client()
            whole = []
            for size in sizes:
                body = bytes(i % 251 for i in range(size))
                answer = await client.call(
                    address, "POST", "/", body, timeout=20
                )
                whole.append(answer.body == body)
            client.close()
            await server.close(1.0)
            return whole

        assert asyncio.run(scenario()) == [True] * len(sizes)


class _RecordingWriter:
    """Takes everything at once, as a connection whose client reads."""

    def __init__(self) -> None:
        self.writes: list[bytes] = []
        self.transport = self

    def write(self, data: bytes) -> None:
        self.writes.append(data)

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0


class TestShortAnswers:
    def test_head_and_body_are_written_at_once(self):
        """Guards against a body that waits for the head's acknowledgement."""
        connection = h11.Connection(h11.SERVER)
        connection.receive_data(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        connection.next_event()
        writer = _RecordingWriter()
        responder = Responder(connection, cast(Any, writer), Limits())
        asyncio.run(responder.send(Response(200, (), b"short")))
        (written,) = writer.writes
        assert written.startswith(b"HTTP/1.1 200")
        assert written.endswith(b"\r\n\r\nshort")


class TestLargeBodies:
    """Requests whose body is larger than a connection takes at once."""

    BODY = b"a" * (8 * 1024 * 1024)

    def test_are_not_copied_for_a_server_that_does_not_read(self):
        """Guards against holding each body once more while it is sent."""

        async def scenario() -> int:
            server = socket.create_server(LOOPBACK)
            client = Client()
            stream = await client.open(
                Address(*server.getsockname()), "POST", "/", self.BODY
            )
            await asyncio.sleep(0.2)
            transport = stream._socket.writer.transport
            size = transport.get_write_buffer_size()
            stream.close()
            server.close()
            return size

        assert asyncio.run(scenario()) <= 4 * PIECE_BYTES

    def test_an_answer_may_come_before_they_are_read(self):
        """Guards against a connection that is used again within a body."""

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(EMPTY_RESPONSE)
            with suppress(ConnectionError):
                await writer.drain()

        async def scenario() -> tuple[int, int]:
            server = await asyncio.start_server(answer, *LOOPBACK, limit=1000)
            address = Address(*server.sockets[0].getsockname()[:2])
            client = Client()
            response = await client.call(
                address, "POST", "/", self.BODY, timeout=20
            )
            idle = sum(map(len, client._idle.values()))
            client.close()
            server.close()
            return response.status, idle

        assert asyncio.run(scenario()) == (200, 0)


_DISCONNECT: dict[str, Callable[[asyncio.StreamWriter], None]] = {
    "close": lambda writer: writer.close(),
    "reset": lambda writer: writer.transport.abort(),
    "half_close": lambda writer: writer.write_eof(),
}


class TestAddress:
    def test_parses_host_and_port(self) -> None:
        assert parse_address("127.0.0.1:80") == Address("127.0.0.1", 80)
        assert parse_address("[::1]:80") == Address("::1", 80)

    def test_refuses_what_is_no_ip_address_and_port(self) -> None:
        for text in ("", ":80", "host:80", "127.0.0.1", "127.0.0.1:0"):
            with pytest.raises(ValueError):
                parse_address(text)
        with pytest.raises(ValueError):
            parse_address("127.0.0.1:80127.0.0.1:81")
